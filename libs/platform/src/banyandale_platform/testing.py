"""In-memory platform with fault injection, for tests and the stand-in."""

import collections
from collections.abc import Sequence
import dataclasses

import curio

import banyandale_core as core
from banyandale_platform import _errors as errors
from banyandale_platform import _objects as objects

# Default number of changes that a store keeps for watches.
KEPT_CHANGES = 10_000


@dataclasses.dataclass(kw_only=True)
class Faults:
    """Faults to inject into all following calls.

    Attributes:
        down: Whether calls fail without effect. `MemoryStore.set_down` also
            fails the waiting watches.
        slow_seconds: Delay of every call before it takes effect.
        lose_write_responses: Number of following writes that take effect
            and then raise `OutcomeUnknownError`.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_write_responses: int = 0

    async def apply(self) -> None:
        """Delays the call, then fails it if the store is down."""
        if self.slow_seconds:
            await curio.sleep(self.slow_seconds)
        if self.down:
            raise errors.StoreUnavailableError("the store is down")

    def lose_response(self) -> None:
        """Fails a write after it took effect, if its response is to be lost."""
        if self.lose_write_responses > 0:
            self.lose_write_responses -= 1
            raise errors.OutcomeUnknownError("the response was lost")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreCopy:
    """The objects of a `MemoryStore` at one version."""

    version: int
    objects: dict[str, dict[str, objects.StoredObject]]


class MemoryStore:
    """An `ObjectStore` in memory.

    Attributes:
        faults: Faults to inject.
        counts: Number of calls by operation and kind, such as
            `update.lease`.
        era: Number of times that it came back from a copy.
    """

    def __init__(
        self,
        *,
        clock: core.Clock | None = None,
        faults: Faults | None = None,
        kept_changes: int = KEPT_CHANGES,
    ) -> None:
        """Creates an empty store.

        Args:
            clock: Clock for the deadlines of watches.
            faults: Faults to inject from the start.
            kept_changes: Number of latest changes that are kept for watches.
        """
        self._clock = clock or core.SystemClock()
        self.faults = faults or Faults()
        self.counts: collections.Counter[str] = collections.Counter()
        self.era = 0
        self._version = 0
        self._objects: dict[str, dict[str, objects.StoredObject]] = {}
        self._change_log: collections.deque[objects.Change] = collections.deque(
            maxlen=kept_changes
        )
        self._kept_since = 0
        self._waiters: set[curio.Event] = set()

    @property
    def version(self) -> int:
        """Store version of the last change."""
        return self._version

    def peek(self, *, kind: str, name: str) -> objects.StoredObject | None:
        """Returns an object without counting a call, even when down."""
        return self._objects.get(kind, {}).get(name)

    async def get(self, *, kind: str, name: str) -> objects.StoredObject | None:
        """Returns an object, or None when it does not exist."""
        await self._begin_call("get", kind)
        return self.peek(kind=kind, name=name)

    async def list(self, *, kind: str) -> objects.Listing:
        """Returns all objects of a kind, ordered by name."""
        await self._begin_call("list", kind)
        stored = self._objects.get(kind, {})
        return objects.Listing(
            version=self._version,
            objects=tuple(stored[name] for name in sorted(stored)),
            era=self.era,
        )

    async def create(
        self, *, kind: str, name: str, value: bytes
    ) -> objects.StoredObject:
        """Creates an object."""
        await self._begin_call("create", kind)
        self._check_version(kind, name, None)
        written = self._store(kind, name, value)
        await self._finish_write()
        return written

    async def update(
        self, *, kind: str, name: str, value: bytes, version: int
    ) -> objects.StoredObject:
        """Replaces an object that has the given version."""
        await self._begin_call("update", kind)
        self._check_version(kind, name, version)
        written = self._store(kind, name, value)
        await self._finish_write()
        return written

    async def delete(self, *, kind: str, name: str, version: int) -> None:
        """Deletes an object that has the given version."""
        await self._begin_call("delete", kind)
        self._check_version(kind, name, version)
        del self._objects[kind][name]
        self._record(objects.ChangeType.DELETE, kind, name, b"")
        await self._finish_write()

    async def watch(
        self, *, kinds: Sequence[str], since: int, deadline: float
    ) -> objects.Changes:
        """Waits until the deadline for changes."""
        await self._begin_call("watch", "+".join(kinds))
        while True:
            self._check_history(since)
            changes = self._find_changes(kinds, since)
            remaining = deadline - self._clock.monotonic()
            if changes or remaining <= 0:
                return objects.Changes(
                    version=self._version, changes=changes, era=self.era
                )
            await self._wait(remaining)
            await self.faults.apply()

    def copy(self) -> "StoreCopy":
        """Returns a copy of the objects, to come back from later."""
        return StoreCopy(
            version=self._version,
            objects={
                kind: dict(stored) for kind, stored in self._objects.items()
            },
        )

    async def restore(self, copy: "StoreCopy") -> None:
        """Comes back from a copy; starts the next era.

        Everything written since is lost, its versions are given out again, and
        changes before the copy are no longer kept.
        """
        self.era += 1
        self._version = copy.version
        self._objects = {
            kind: dict(stored) for kind, stored in copy.objects.items()
        }
        self._change_log.clear()
        self._kept_since = copy.version
        await self._wake_watches()

    async def set_down(self, down: bool) -> None:
        """Starts or ends an outage. Its start fails the waiting watches."""
        self.faults.down = down
        await self._wake_watches()

    async def _begin_call(self, operation: str, kind: str) -> None:
        self.counts[f"{operation}.{kind}"] += 1
        await self.faults.apply()

    async def _finish_write(self) -> None:
        await self._wake_watches()
        self.faults.lose_response()

    def _check_version(self, kind: str, name: str, version: int | None) -> None:
        current = self.peek(kind=kind, name=name)
        if (None if current is None else current.version) != version:
            raise errors.ConflictError(
                f"{kind}/{name}: version conflict", current=current
            )

    def _store(
        self, kind: str, name: str, value: bytes
    ) -> objects.StoredObject:
        written = self._record(objects.ChangeType.PUT, kind, name, value)
        self._objects.setdefault(kind, {})[name] = written
        return written

    def _record(
        self, change: objects.ChangeType, kind: str, name: str, value: bytes
    ) -> objects.StoredObject:
        self._version += 1
        written = objects.StoredObject(
            kind=kind, name=name, version=self._version, value=value
        )
        self._change_log.append(objects.Change(type=change, object=written))
        return written

    def _check_history(self, since: int) -> None:
        kept_since = self._kept_since
        if len(self._change_log) == self._change_log.maxlen:
            kept_since = self._change_log[0].object.version - 1
        if since > self._version or since < kept_since:
            raise errors.WatchExpiredError(
                f"changes since version {since} are no longer kept"
            )

    def _find_changes(
        self, kinds: Sequence[str], since: int
    ) -> tuple[objects.Change, ...]:
        found = []
        for change in reversed(self._change_log):
            if change.object.version <= since:
                break
            if change.object.kind in kinds:
                found.append(change)
        return tuple(reversed(found))

    async def _wait(self, seconds: float) -> None:
        event = curio.Event()
        self._waiters.add(event)
        try:
            async with curio.ignore_after(seconds):
                await event.wait()
        finally:
            self._waiters.discard(event)

    async def _wake_watches(self) -> None:
        for event in tuple(self._waiters):
            await event.set()


class MemoryVmList:
    """A `VmList` in memory.

    Attributes:
        faults: Faults to inject.
        vms: The VMs that `fetch` returns.
    """

    def __init__(
        self,
        *,
        vms: Sequence[objects.Vm] = (),
        faults: Faults | None = None,
    ) -> None:
        self.vms = tuple(vms)
        self.faults = faults or Faults()
        self.fetches = 0

    async def fetch(self) -> tuple[objects.Vm, ...]:
        """Returns all VMs."""
        self.fetches += 1
        await self.faults.apply()
        return self.vms
