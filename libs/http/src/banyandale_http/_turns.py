"""Turns of connections whose data consists of very many small parts."""

import curio

# Number of events after which the other tasks run. A peer that sends chunks of
# one byte fills a buffer with thousands of events.
EVENTS_PER_TURN = 64


class TurnQueue:
    """The connections that share the time of one turn.

    Each waits for one pass over the tasks for every connection that waits, so
    that the length of a pass does not grow with their number.
    """

    def __init__(self) -> None:
        self._waiting = 0

    async def wait(self) -> None:
        """Lets the other tasks run."""
        self._waiting += 1
        try:
            for _ in range(self._waiting):
                await curio.sleep(0)
        finally:
            self._waiting -= 1


class Turns:
    """Counts the events of one connection and ends its turns.

    Neither parsing nor a receive whose data is there lets other tasks run.
    """

    def __init__(self, *, queue: TurnQueue) -> None:
        self._queue = queue
        self._event_count = 0

    async def count(self) -> bool:
        """Counts an event; returns whether other tasks ran meanwhile."""
        self._event_count += 1
        if self._event_count % EVENTS_PER_TURN:
            return False
        await self._queue.wait()
        return True
