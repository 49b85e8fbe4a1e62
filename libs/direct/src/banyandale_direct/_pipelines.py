"""Order of the calls on one caller's connection.

Load pattern: callers send further calls before the first is answered. Served
one by one, a short call behind a long one would miss its target in a buffer.
Repeatable calls therefore run concurrently. One that must not be repeated runs
alone, after all earlier and before all later calls, because the order of its
effects can matter. Answers are sent in the order of the calls, and a call that
was not started yet when the caller leaves is never sent to a server.
"""

import dataclasses

import curio

# Maximum number of calls of a connection that are read and not yet answered.
MAX_OPEN_CALLS = 16
# Total size of their bodies from which on no further call is read.
MAX_OPEN_BYTES = 256 * 1024


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Slot:
    """The place of one call in the order of its connection.

    Attributes:
        repeatable: Whether the call may run concurrently with others.
        size: Size of its body in bytes.
        previous: The call before it, if that was unanswered when it was read.
        settled: Set once no server will run the call any more.
        answered: Set once its answer was sent or given up.
    """

    repeatable: bool
    size: int = 0
    previous: "Slot | None" = None
    settled: curio.Event = dataclasses.field(default_factory=curio.Event)
    answered: curio.Event = dataclasses.field(default_factory=curio.Event)

    async def wait_for_turn(self) -> None:
        """Waits until all earlier answers were sent."""
        if self.previous is not None:
            await self.previous.answered.wait()
            self.previous = None


class Pipeline:
    """The unanswered calls of one connection, oldest first."""

    def __init__(self) -> None:
        self._slots: list[Slot] = []

    def __len__(self) -> int:
        """Returns the number of unanswered calls."""
        return len(self._slots)

    @property
    def newest(self) -> Slot | None:
        """The last call that was read, if it is unanswered."""
        return self._slots[-1] if self._slots else None

    @property
    def oldest(self) -> Slot | None:
        """The first unanswered call."""
        return self._slots[0] if self._slots else None

    def has_room(self) -> bool:
        """Returns whether another call may be read."""
        if not self._slots:
            return True
        size = sum(slot.size for slot in self._slots)
        return len(self._slots) < MAX_OPEN_CALLS and size < MAX_OPEN_BYTES

    def add(self, *, repeatable: bool, size: int = 0) -> Slot:
        """Appends a call that was read."""
        slot = Slot(repeatable=repeatable, size=size, previous=self.newest)
        self._slots.append(slot)
        return slot

    def blocking(self, slot: Slot) -> list[Slot]:
        """Returns the earlier calls that must be settled before this one."""
        earlier = self._slots[: self._slots.index(slot)]
        return [
            other
            for other in earlier
            if not other.settled.is_set()
            and not (slot.repeatable and other.repeatable)
        ]

    async def finish(self, slot: Slot) -> None:
        """Removes a call whose answer was sent or given up."""
        self._slots.remove(slot)
        await slot.settled.set()
        await slot.answered.set()
