"""Counts and rate-limits calls to an object store."""

from collections.abc import Awaitable
from collections.abc import Sequence
import dataclasses
from typing import TypeVar

import banyandale_core as core
from banyandale_platform import _errors as errors
from banyandale_platform import _objects as objects
from banyandale_platform import _protocols as protocols

# Capacity of a token bucket, in seconds of its rate.
BURST_SECONDS = 2.0
# Kinds whose calls are sent even when the budget is used up.
REQUIRED_KINDS = frozenset({"lease"})

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallBudget:
    """Rate limits for the calls of one node.

    The platform serves several hundred writes and about two thousand reads
    per second in total. The defaults are sized for 16 nodes.

    Attributes:
        reads_per_second: Limit of gets, lists and watches together.
        writes_per_second: Limit of creates, updates and deletes together.
    """

    reads_per_second: float = 100.0
    writes_per_second: float = 50.0


class _TokenBucket:
    """Token bucket with a capacity of `BURST_SECONDS` times its rate."""

    def __init__(self, rate: float, clock: core.Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._capacity = rate * BURST_SECONDS
        self._tokens = self._capacity
        self._refilled_at = clock.monotonic()

    def take(self, *, required: bool) -> bool:
        """Takes one token and returns whether the call may be sent.

        A required call may always be sent and can make the balance negative,
        down to minus the capacity.
        """
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._tokens + refill, self._capacity)
        self._refilled_at = now
        if self._tokens < 1.0 and not required:
            return False
        self._tokens = max(self._tokens - 1.0, -self._capacity)
        return True


class MeteredStore:
    """An `ObjectStore` that counts each call by operation and kind.

    Calls are counted as `platform_<operation>.<kind>` (a watch counts once,
    with its kinds joined by `+`) and failures as `platform_failed.<code>`.
    Calls that exceed the budget are not sent and raise `CallBudgetError`.
    Calls for `required_kinds` are always sent, because a refused lease
    renewal would stop a healthy node.
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
        self._reads = _TokenBucket(budget.reads_per_second, clock)
        self._writes = _TokenBucket(budget.writes_per_second, clock)

    async def get(self, *, kind: str, name: str) -> objects.StoredObject | None:
        """Returns an object, or None when it does not exist."""
        self._charge(self._reads, "get", (kind,))
        return await self._count_failures(self._store.get(kind=kind, name=name))

    async def list(self, *, kind: str) -> objects.Listing:
        """Returns all objects of a kind."""
        self._charge(self._reads, "list", (kind,))
        return await self._count_failures(self._store.list(kind=kind))

    async def create(
        self, *, kind: str, name: str, value: bytes
    ) -> objects.StoredObject:
        """Creates an object."""
        self._charge(self._writes, "create", (kind,))
        return await self._count_failures(
            self._store.create(kind=kind, name=name, value=value)
        )

    async def update(
        self, *, kind: str, name: str, value: bytes, version: int
    ) -> objects.StoredObject:
        """Replaces an object that has the given version."""
        self._charge(self._writes, "update", (kind,))
        return await self._count_failures(
            self._store.update(
                kind=kind, name=name, value=value, version=version
            )
        )

    async def delete(self, *, kind: str, name: str, version: int) -> None:
        """Deletes an object that has the given version."""
        self._charge(self._writes, "delete", (kind,))
        await self._count_failures(
            self._store.delete(kind=kind, name=name, version=version)
        )

    async def watch(
        self, *, kinds: Sequence[str], since: int, deadline: float
    ) -> objects.Changes:
        """Waits until the deadline for changes."""
        self._charge(self._reads, "watch", kinds)
        return await self._count_failures(
            self._store.watch(kinds=kinds, since=since, deadline=deadline)
        )

    def _charge(
        self, bucket: _TokenBucket, operation: str, kinds: Sequence[str]
    ) -> None:
        kind = "+".join(kinds)
        required = not self._required_kinds.isdisjoint(kinds)
        if not bucket.take(required=required):
            self._metrics.incr(f"platform_failed.{errors.CallBudgetError.code}")
            raise errors.CallBudgetError(
                f"call budget exceeded: {operation} of kind {kind!r}"
            )
        self._metrics.incr(f"platform_{operation}.{kind}")

    async def _count_failures(self, call: Awaitable[_T]) -> _T:
        try:
            return await call
        except errors.PlatformError as error:
            self._metrics.incr(f"platform_failed.{error.code}")
            raise
