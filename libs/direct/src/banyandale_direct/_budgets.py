"""Shares of limits that hold over all gateways, without a word between them.

Load pattern: many servers of a service fail at once, so that every gateway
wants to repeat most of its calls. The limit over all gateways is a ratio of
the first sends plus a fixed number per window. A gateway takes the ratio of
its own calls and its part of the fixed number, so the sum stays below the
limit whatever the gateways know of each other, as long as none of them
counts fewer gateways than there are.
"""

import collections

# Part of the limit that is used; the rest covers gateways that joined and are
# not counted yet.
USED_SHARE = 0.9


class RepeatBudget:
    """Repeats of one service by one gateway, in a sliding window."""

    def __init__(
        self, *, ratio: float, slack: float, window_seconds: float
    ) -> None:
        """Creates a budget.

        Args:
            ratio: Repeats allowed per call.
            slack: Repeats allowed per window beyond the ratio, over all
                gateways.
            window_seconds: Length of the sliding window.
        """
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        self._calls: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def record_call(self, now: float) -> None:
        """Counts a call of a caller."""
        self._calls.append(now)

    def try_spend(self, *, now: float, gateways: int) -> bool:
        """Takes a repeat, if one is left.

        Args:
            now: Monotonic seconds.
            gateways: Gateways that share the limit.
        """
        if self.left(now=now, gateways=gateways) < 1.0:
            return False
        self._repeats.append(now)
        return True

    def left(self, *, now: float, gateways: int) -> float:
        """Returns the repeats that are left in the window."""
        start = now - self._window
        for times in (self._calls, self._repeats):
            while times and times[0] < start:
                times.popleft()
        allowed = self._ratio * len(self._calls)
        allowed += self._slack / max(gateways, 1)
        return allowed * USED_SHARE - len(self._repeats)
