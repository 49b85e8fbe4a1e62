"""Counts calls to an object store and keeps them within a budget."""

from collections.abc import Awaitable
from collections.abc import Sequence
import dataclasses
from typing import TypeVar

import banyandale_core as core
from banyandale_platform import _errors as errors
from banyandale_platform import _objects as objects
from banyandale_platform import _protocols as protocols

BURST_SECONDS = 2.0
REQUIRED_KINDS = frozenset({"lease"})

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallBudget:
    """Calls that one node may make.

    The platform as a whole takes several hundred writes and about two
    thousand reads a second. The defaults leave room for 16 nodes.

    Attributes:
        reads_per_second: Gets, lists and watches.
        writes_per_second: Creates, updates and deletes.
    """

    reads_per_second: float = 100.0
    writes_per_second: float = 50.0


class _Bucket:
    """Token bucket that holds at most `BURST_SECONDS` of its rate."""

    def __init__(self, rate: float, clock: core.Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._limit = rate * BURST_SECONDS
        self._tokens = self._limit
        self._filled_at = clock.monotonic()

    def take(self, *, required: bool) -> bool:
        """Takes one token; a required one may overdraw the bucket."""
        now = self._clock.monotonic()
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._tokens + gained, self._limit)
        self._filled_at = now
        if self._tokens < 1.0 and not required:
            return False
        self._tokens = max(self._tokens - 1.0, -self._limit)
        return True


class MeteredStore:
    """An `ObjectStore` that counts each call by operation and kind.

    Counters are named `platform_<operation>.<kind>` (a watch counts once,
    its kinds joined by `+`), and failures `platform_failed.<code>`. Calls
    over the budget fail with `CallBudgetError` and are not sent, except for
    the kinds of `required_kinds`: a refused lease renewal would stop a node
    that works.
    """

    def __init__(
        self,
        *,
        store: protocols.ObjectStore,
        metrics: core.Metrics,
        clock: core.Clock,
        budget: CallBudget,
        required_kinds: frozenset[str] = REQUIRED_KINDS,
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._required_kinds = required_kinds
        self._reads = _Bucket(budget.reads_per_second, clock)
        self._writes = _Bucket(budget.writes_per_second, clock)

    async def get(self, *, kind: str, name: str) -> objects.StoredObject | None:
        """Returns an object, or None when it does not exist."""
        self._spend(self._reads, "get", (kind,))
        return await self._count(self._store.get(kind=kind, name=name))

    async def list(self, *, kind: str) -> objects.Listing:
        """Returns all objects of a kind."""
        self._spend(self._reads, "list", (kind,))
        return await self._count(self._store.list(kind=kind))

    async def create(
        self, *, kind: str, name: str, value: bytes
    ) -> objects.StoredObject:
        """Writes a new object."""
        self._spend(self._writes, "create", (kind,))
        return await self._count(
            self._store.create(kind=kind, name=name, value=value)
        )

    async def update(
        self, *, kind: str, name: str, value: bytes, version: int
    ) -> objects.StoredObject:
        """Replaces an object that has the given version."""
        self._spend(self._writes, "update", (kind,))
        return await self._count(
            self._store.update(
                kind=kind, name=name, value=value, version=version
            )
        )

    async def delete(self, *, kind: str, name: str, version: int) -> None:
        """Deletes an object that has the given version."""
        self._spend(self._writes, "delete", (kind,))
        await self._count(
            self._store.delete(kind=kind, name=name, version=version)
        )

    async def watch(
        self, *, kinds: Sequence[str], since: int, deadline: float
    ) -> objects.Changes:
        """Waits for changes until the deadline."""
        self._spend(self._reads, "watch", kinds)
        return await self._count(
            self._store.watch(kinds=kinds, since=since, deadline=deadline)
        )

    def _spend(
        self, bucket: _Bucket, operation: str, kinds: Sequence[str]
    ) -> None:
        kind = "+".join(kinds)
        required = not self._required_kinds.isdisjoint(kinds)
        if not bucket.take(required=required):
            self._metrics.incr(f"platform_failed.{errors.CallBudgetError.code}")
            raise errors.CallBudgetError(
                f"call budget is used up: {operation} of kind {kind!r}"
            )
        self._metrics.incr(f"platform_{operation}.{kind}")

    async def _count(self, call: Awaitable[_T]) -> _T:
        try:
            return await call
        except errors.PlatformError as error:
            self._metrics.incr(f"platform_failed.{error.code}")
            raise
