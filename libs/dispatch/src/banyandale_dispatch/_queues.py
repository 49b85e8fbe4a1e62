"""Bounded queue of requests that wait for a slot."""

import bisect

from banyandale_dispatch import _errors as errors
from banyandale_dispatch import _states as states
from banyandale_dispatch import _wakeups as wakeups


class Waiter:
    """A request that waits for a slot.

    Attributes:
        priority: 0 is the highest.
        deadline: Monotonic seconds.
        exclude: Addresses that must not be assigned.
        assignment: The slot, once it was assigned.
        error: The reason, once the request was rejected.
        wakeup: Wakes the task of the request.
    """

    __slots__ = (
        "assignment",
        "deadline",
        "error",
        "exclude",
        "key",
        "priority",
        "wakeup",
    )

    def __init__(
        self, *, priority: int, deadline: float, exclude: frozenset[str]
    ) -> None:
        self.priority = priority
        self.deadline = deadline
        self.exclude = exclude
        self.assignment: states.Assignment | None = None
        self.error: errors.DispatchError | None = None
        self.wakeup = wakeups.Wakeup()
        self.key = (-priority, -deadline, 0)


def _get_key(waiter: Waiter) -> tuple[int, float, int]:
    return waiter.key


class Queue:
    """Waiters in the order of priority, then deadline, then arrival.

    The list is in reverse order, because the first waiter leaves most often.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def list_in_order(self) -> list[Waiter]:
        """Returns all waiters, the first in order first."""
        return self._waiters[::-1]

    def peek_first(self) -> Waiter:
        """Returns the waiter that gets the next slot."""
        return self._waiters[-1]

    def peek_last(self) -> Waiter:
        """Returns the waiter of the lowest priority, latest deadline."""
        return self._waiters[0]

    def count_ahead(self, *, priority: int, deadline: float) -> int:
        """Returns how many waiters go before a new one."""
        key = (-priority, -deadline, -self._arrivals - 1)
        index = bisect.bisect_left(self._waiters, key, key=_get_key)
        return len(self._waiters) - index

    def add(self, waiter: Waiter) -> None:
        """Inserts a waiter."""
        self._arrivals += 1
        waiter.key = (-waiter.priority, -waiter.deadline, -self._arrivals)
        bisect.insort(self._waiters, waiter, key=_get_key)

    def remove(self, waiter: Waiter) -> bool:
        """Removes a waiter; returns False when it is not in the queue."""
        index = bisect.bisect_left(self._waiters, waiter.key, key=_get_key)
        if index < len(self._waiters) and self._waiters[index] is waiter:
            del self._waiters[index]
            return True
        return False
