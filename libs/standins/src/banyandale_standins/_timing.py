"""Timers for curio with a resolution below one millisecond."""

import select
import selectors


class HighResolutionSelector(selectors.EpollSelector):
    """An epoll selector with timeouts in microseconds.

    epoll_wait takes whole milliseconds and Python rounds them up, which would
    add up to 1 ms to every simulated service time and intended send time. An
    epoll descriptor can itself be polled, so select() does the waiting.
    """

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Waits for events, at most `timeout` seconds."""
        if timeout is not None and timeout > 0:
            select.select([self], [], [], timeout)
            timeout = 0
        return super().select(timeout)
