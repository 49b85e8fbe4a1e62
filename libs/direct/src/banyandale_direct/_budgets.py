"""Retry budgets that hold over all gateways without coordination.

Load pattern: many servers of a service fail at once, so that every gateway
would repeat most of its calls. The limit over all gateways is a ratio of the
first sends plus a fixed number per window. Each gateway uses the ratio of its
own calls and an equal part of the fixed number. The sum stays below the limit
as long as none of them counts fewer gateways than there are, so one that has
just started, and may not know the others yet, uses one repeat instead of a part
of the fixed number.
"""

import collections
import math

# Fraction of the limit that is used. The rest covers gateways that have joined
# but are not counted yet, and those that have just started.
USED_SHARE = 0.65
# Repeats per window of a gateway that does not know its part yet.
FIRST_REPEATS = 1


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
        """Counts the first send of a call."""
        self._calls.append(now)

    def forget_call(self, now: float) -> None:
        """Takes back a call that another gateway counts.

        Args:
            now: Time at which it was counted.
        """
        if now in self._calls:
            self._calls.remove(now)

    def try_spend(self, *, now: float, gateways: float) -> bool:
        """Spends one repeat if the budget allows it; returns whether it did.

        Args:
            now: Monotonic seconds.
            gateways: Gateways that share the limit; infinite if not known.
        """
        if self.remaining(now=now, gateways=gateways) < 1.0:
            return False
        self._repeats.append(now)
        return True

    def remaining(self, *, now: float, gateways: float) -> float:
        """Returns the number of repeats left in the window."""
        start = now - self._window
        for times in (self._calls, self._repeats):
            while times and times[0] < start:
                times.popleft()
        allowed = self._ratio * len(self._calls)
        allowed += self._slack / max(gateways, 1)
        allowed *= USED_SHARE
        if math.isinf(gateways):
            allowed += FIRST_REPEATS
        return allowed - len(self._repeats)
