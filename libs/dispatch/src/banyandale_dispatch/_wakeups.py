"""Lets synchronous code wake a waiting task."""

from concurrent import futures

from curio import traps


class Wakeup:
    """Lets one task wait until `wake` is called.

    `curio.Event` is unsuitable because its `set` is a coroutine: slots are
    also released where nothing may be awaited, for example while a task is
    being cancelled.
    """

    __slots__ = ("_future",)

    def __init__(self) -> None:
        self._future: futures.Future[None] = futures.Future()

    def wake(self) -> None:
        """Wakes the waiting task; further calls have no effect."""
        if not self._future.done():
            self._future.set_result(None)

    async def wait(self) -> None:
        """Waits until `wake` has been called.

        Raises:
            curio.CancelledError: The task was cancelled or timed out.
        """
        if not self._future.done():
            await traps._future_wait(self._future)
