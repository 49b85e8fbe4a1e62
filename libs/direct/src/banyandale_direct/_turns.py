"""Lets tasks of this process act on the same key one after the other."""

import time

import curio


class Turns:
    """One queue of tasks per key."""

    def __init__(self) -> None:
        # The lock of each key, and the number of tasks that hold or await it.
        self._locks: dict[bytes, tuple[curio.Lock, int]] = {}

    def count(self) -> int:
        """Returns the number of keys in use."""
        return len(self._locks)

    async def take(self, key: bytes, *, deadline: float) -> bool:
        """Waits for the turn of this task; returns whether it has come.

        Args:
            key: What the turn is about.
            deadline: Monotonic seconds until when to wait.
        """
        lock, users = self._locks.get(key, (curio.Lock(), 0))
        self._locks[key] = lock, users + 1
        taken = False
        try:
            async with curio.ignore_after(
                max(deadline - time.monotonic(), 0.0)
            ):
                taken = await lock.acquire()
        finally:
            if not taken:
                self._leave(key)
        return taken

    async def end(self, key: bytes) -> None:
        """Ends the turn of this task."""
        lock, _ = self._locks[key]
        self._leave(key)
        await lock.release()

    def _leave(self, key: bytes) -> None:
        lock, users = self._locks[key]
        if users > 1:
            self._locks[key] = lock, users - 1
        else:
            del self._locks[key]
