"""Keeps the configuration of a gateway up to date.

The generation in force only increases. It is read from the platform, or from
peers if the platform does not deliver it in time. Parts are checked against
their names, which are hashes. A root cannot be checked; it is accepted from
peers because they are authenticated.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import random
import time
from typing import Protocol
import uuid

import curio

from banyandale_config import _errors as errors
from banyandale_config import _fetch as fetch
from banyandale_config import _models as models
from banyandale_config import _parts as parts
from banyandale_config import _rollout as rollout
from banyandale_config import _snapshot as snapshot
import banyandale_core as core
import banyandale_platform as platform
import banyandale_retry as retry

# A watch on a connection that has become unresponsive delays a change by at
# most this long, so the change is still in force everywhere within 7 s.
WATCH_TIMEOUT_SECONDS = 4.0
# Time for the platform to deliver a generation that a peer has announced;
# after it the configuration is requested from peers.
STORE_GRACE_SECONDS = 0.5
PEER_CHECK_INTERVAL_SECONDS = 0.25
PEER_CALL_TIMEOUT_SECONDS = 2.0
MAX_PEERS_REQUESTED = 8


class Peer(Protocol):
    """Another gateway that serves the configuration it has in force."""

    async def fetch_root(self, *, deadline: float) -> bytes | None:
        """Returns the root that the peer has in force, or None."""

    async def fetch_parts(
        self, names: Sequence[str], *, deadline: float
    ) -> Mapping[str, bytes]:
        """Returns the parts among `names` that the peer has."""


def _no_peers() -> Sequence[Peer]:
    return ()


class Follower:
    """Keeps the newest published configuration.

    Args:
        store: The object store.
        gateway: Id of this gateway and name of its status object.
        boot: Identity of this process.
        peers: Returns the peers that are reachable now.
        on_change: Called with each new snapshot as it comes into force. It
            must not block.
        metrics: Receiver of counters.
        clock: Source of the time in the status object.
        rng: Source of jitter, and of the choice of peers.
    """

    def __init__(
        self,
        *,
        store: platform.ObjectStore,
        gateway: str,
        boot: str | None = None,
        peers: Callable[[], Sequence[Peer]] = _no_peers,
        on_change: Callable[[snapshot.Snapshot], None] | None = None,
        metrics: core.Metrics | None = None,
        clock: core.Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._gateway = gateway
        self._boot = boot or uuid.uuid4().hex
        self._peers = peers
        self._on_change = on_change
        self._metrics = metrics or core.MemoryMetrics()
        self._clock = clock or core.SystemClock()
        self._rng = rng or random.Random()
        self._writer = platform.Writer(
            store=store,
            writer=f"{gateway}/{self._boot}/status",
            metrics=self._metrics,
        )
        self._snapshot: snapshot.Snapshot | None = None
        self._root: bytes | None = None
        self._parts: dict[str, bytes] = {}
        self._services: dict[str, snapshot.Service] = {}
        self._peer_generation = 0
        self._reported_generation = 0
        self._status_version: int | None = None

    def current(self) -> snapshot.Snapshot | None:
        """Returns the configuration in force, or None if there is none."""
        return self._snapshot

    @property
    def generation(self) -> int:
        """Generation in force, or 0 if there is none."""
        return 0 if self._snapshot is None else self._snapshot.generation

    def root(self) -> bytes | None:
        """Returns the root in force, to be sent to a peer."""
        return self._root

    def parts(self, names: Sequence[str]) -> dict[str, bytes]:
        """Returns the parts in force among `names`, to be sent to a peer."""
        return {
            name: self._parts[name] for name in names if name in self._parts
        }

    def note_peer_generation(self, generation: int) -> None:
        """Records that a peer has a generation in force; does not block.

        If the platform does not deliver that generation within
        `STORE_GRACE_SECONDS`, the follower requests it from peers.
        """
        self._peer_generation = max(self._peer_generation, generation)

    def missing_parts(self, root: bytes) -> tuple[str, ...]:
        """Returns the names of the parts of a root that are not in force.

        Raises:
            DamagedConfigError: The value is not a valid root.
        """
        return self._missing(parts.read_root(root))

    def _missing(self, root: models.ConfigRoot) -> tuple[str, ...]:
        return tuple(sorted(set(root.parts.values()) - self._parts.keys()))

    def apply_root(self, root: bytes, values: Mapping[str, bytes]) -> bool:
        """Puts a root in force if it is newer and complete.

        Args:
            root: A root from the platform or a peer.
            values: Parts by name, at least those named by `missing_parts`.

        Returns:
            Whether the root was put in force.
        """
        try:
            model = parts.read_root(root)
            if model.generation <= self.generation:
                return False
            self._put_in_force(model, root, values)
        except errors.DamagedConfigError as error:
            self._metrics.incr(error.code)
            return False
        return True

    def _put_in_force(
        self,
        model: models.ConfigRoot,
        root: bytes,
        offered: Mapping[str, bytes],
    ) -> None:
        values = {}
        services = {}
        for service, name in sorted(model.parts.items()):
            value = self._parts.get(name) or offered.get(name)
            if value is None:
                raise errors.DamagedConfigError(
                    f"part of service {service} is missing"
                )
            values[name] = value
            services[name] = self._services.get(name) or (
                snapshot.build_service(parts.read_part(name, value))
            )
        self._snapshot = snapshot.Snapshot(
            generation=model.generation,
            zones=snapshot.build_zones(model.zones),
            services=tuple(services.values()),
        )
        self._root = root
        self._parts = values
        self._services = services
        self._metrics.gauge("config_generation", model.generation)
        if self._on_change is not None:
            self._on_change(self._snapshot)

    async def run(self) -> None:
        """Follows the platform and the peers until cancelled."""
        # Requests to peers run in a separate task, so that a platform call
        # that gets no answer does not delay them.
        peers = await curio.spawn(self._follow_peers)
        try:
            await self._follow_store()
        finally:
            await peers.cancel()

    async def _follow_store(self) -> None:
        backoff = retry.Backoff(rng=self._rng)
        since = None
        while True:
            try:
                if since is None:
                    since = await self._read_store()
                await self._report()
                since = await self._watch_store(since)
                backoff.reset()
            except (
                platform.PlatformError,
                errors.DamagedConfigError,
            ) as error:
                # After other errors `since` is kept, so that the next watch
                # returns a root again if its parts could not be fetched.
                if isinstance(error, platform.WatchExpiredError):
                    since = None
                self._metrics.incr(error.code)
                await curio.sleep(backoff.next_delay())

    async def _read_store(self) -> int:
        listing = await self._store.list(kind=parts.ROOT_KIND)
        for entry in listing.objects:
            if entry.name == parts.ROOT_NAME:
                await self._fetch_and_apply(entry.value)
        return listing.version

    async def _watch_store(self, since: int) -> int:
        changes = await self._store.watch(
            kinds=[parts.ROOT_KIND],
            since=since,
            deadline=time.monotonic() + WATCH_TIMEOUT_SECONDS,
        )
        roots = [
            change.object.value
            for change in changes.changes
            if change.type is platform.ChangeType.PUT
            and change.object.name == parts.ROOT_NAME
        ]
        if roots:
            await self._fetch_and_apply(roots[-1])
        return changes.version

    async def _fetch_and_apply(self, root: bytes) -> None:
        """Fetches the parts of a newer root and puts it in force."""
        model = parts.read_root(root)
        if model.generation <= self.generation:
            return
        values = await fetch.fetch_parts(self._store, self._missing(model))
        # A peer may have delivered a newer generation during the calls.
        if model.generation > self.generation:
            self._put_in_force(model, root, values)

    async def _report(self) -> None:
        """Writes the status object if the generation in force changed."""
        if self._reported_generation == self.generation:
            return
        generation = self.generation
        fields = {
            "boot": self._boot,
            "generation": generation,
            "unix_ms": int(self._clock.unix() * core.MILLISECONDS_PER_SECOND),
        }
        try:
            written = await self._write_status(fields)
        except platform.ConflictError as error:
            # An earlier process of this gateway has written the object, or a
            # sweep has deleted it.
            current = error.current
            self._status_version = current and current.version
            written = await self._write_status(fields)
        self._status_version = written.version
        self._reported_generation = generation

    async def _write_status(
        self, fields: Mapping[str, object]
    ) -> platform.StoredObject:
        if self._status_version is None:
            return await self._writer.create(
                kind=rollout.STATUS_KIND, name=self._gateway, fields=fields
            )
        return await self._writer.update(
            kind=rollout.STATUS_KIND,
            name=self._gateway,
            fields=fields,
            version=self._status_version,
        )

    async def _follow_peers(self) -> None:
        behind_since: float | None = None
        while True:
            await curio.sleep(PEER_CHECK_INTERVAL_SECONDS)
            if self._snapshot is not None and (
                self._peer_generation <= self.generation
            ):
                behind_since = None
                continue
            now = time.monotonic()
            if behind_since is None:
                behind_since = now
            if now >= behind_since + STORE_GRACE_SECONDS:
                await self._request_from_peers()
                behind_since = time.monotonic()

    async def _request_from_peers(self) -> None:
        """Puts in force the newest generation of a sample of the peers."""
        peers = list(self._peers())
        peers = self._rng.sample(peers, min(len(peers), MAX_PEERS_REQUESTED))
        deadline = time.monotonic() + PEER_CALL_TIMEOUT_SECONDS
        # All requests run at the same time, because a peer may not answer or
        # may have an old generation.
        tasks = [
            await curio.spawn(self._fetch_root, peer, deadline)
            for peer in peers
        ]
        try:
            roots = [await task.join() for task in tasks]
        except curio.CancelledError:
            for task in tasks:
                await task.cancel()
            raise
        found = [
            (generation, root, peer)
            for (generation, root), peer in zip(roots, peers, strict=True)
            if generation > self.generation
        ]
        for _, root, peer in sorted(found, key=lambda item: -item[0]):
            if await self._fetch_from_peer(peer, root):
                self._metrics.incr("config_from_peer")
                return

    async def _fetch_root(
        self, peer: Peer, deadline: float
    ) -> tuple[int, bytes]:
        try:
            async with core.timeout_at(deadline):
                root = await peer.fetch_root(deadline=deadline)
                if root is not None:
                    return parts.read_root(root).generation, root
        except (core.CodedError, OSError, curio.TaskTimeout):
            self._metrics.incr("config_peer_failed")
        return 0, b""

    async def _fetch_from_peer(self, peer: Peer, root: bytes) -> bool:
        deadline = time.monotonic() + PEER_CALL_TIMEOUT_SECONDS
        missing = self.missing_parts(root)
        values: Mapping[str, bytes] = {}
        try:
            async with core.timeout_at(deadline):
                if missing:
                    values = await peer.fetch_parts(missing, deadline=deadline)
        except (core.CodedError, OSError, curio.TaskTimeout):
            self._metrics.incr("config_peer_failed")
            return False
        return self.apply_root(root, values)
