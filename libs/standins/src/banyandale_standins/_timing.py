"""Timers finer than a millisecond for curio, and short pauses."""

import gc
import select
import selectors


class FineSelector(selectors.EpollSelector):
    """An epoll selector with timeouts in microseconds.

    epoll_wait takes whole milliseconds and Python rounds up, which would add
    up to 1 ms to every simulated service time and intended send time. An
    epoll descriptor is itself pollable, so select() does the waiting.
    """

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Waits for events, at most `timeout` seconds."""
        if timeout is not None and timeout > 0:
            select.select([self], [], [], timeout)
            timeout = 0
        return super().select(timeout)


# Objects allocated between two collections, and collections of one
# generation before the next older one is collected too.
GC_THRESHOLDS = (20_000, 50, 100)


def shorten_pauses() -> None:
    """Keeps what exists now out of garbage collection, and collects less.

    Full collections with the default settings stopped a server for up to
    40 ms, since they visit all modules.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
