"""Priority queue of requests that wait for a slot."""

import bisect

from banyandale_dispatch import _errors as errors
from banyandale_dispatch import _states as states
from banyandale_dispatch import _wakeups as wakeups


class Waiter:
    """A request that waits for a slot.

    Attributes:
        priority: Priority of the request; 0 is the highest.
        deadline: Monotonic seconds at which the response is due.
        exclude: Addresses that must not be assigned.
        assignment: The assigned slot, or None while there is none.
        error: Why the request was rejected, or None.
        wakeup: Wakes the task that waits for the slot.
        key: Sort key in the queue.
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
    """Waiters ordered by priority, then deadline, then arrival.

    The list is kept in reverse order: the first waiter is removed most often,
    and removing the last list element is cheap.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def list_in_order(self) -> list[Waiter]:
        """Returns all waiters in queue order."""
        return self._waiters[::-1]

    def peek_first(self) -> Waiter:
        """Returns the first waiter in queue order."""
        return self._waiters[-1]

    def peek_last(self) -> Waiter:
        """Returns the last waiter in queue order."""
        return self._waiters[0]

    def count_ahead(self, *, priority: int, deadline: float) -> int:
        """Returns how many waiters would precede a new one."""
        key = (-priority, -deadline, -self._arrivals - 1)
        index = bisect.bisect_left(self._waiters, key, key=_get_key)
        return len(self._waiters) - index

    def add(self, waiter: Waiter) -> None:
        """Inserts a waiter."""
        self._arrivals += 1
        waiter.key = (-waiter.priority, -waiter.deadline, -self._arrivals)
        bisect.insort(self._waiters, waiter, key=_get_key)

    def remove(self, waiter: Waiter) -> bool:
        """Removes a waiter; returns whether it was in the queue."""
        index = bisect.bisect_left(self._waiters, waiter.key, key=_get_key)
        if index < len(self._waiters) and self._waiters[index] is waiter:
            del self._waiters[index]
            return True
        return False
