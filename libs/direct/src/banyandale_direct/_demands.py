"""Running averages of the work and size of each route's calls.

Averages are kept per route, not per service: a service may serve several routes
whose calls differ in work and size.
"""

from banyandale_direct import _configuration as configuration
from banyandale_direct import _placement as placement

# Weight of a new sample in the running average.
SAMPLE_WEIGHT = 0.1
# Assumed work of a call before the first answer, relative to the target of its
# route. Operators set targets of two to four times the usual work.
INITIAL_WORK_SHARE = 1 / 3
# Shortest timeout of a caller relative to the longest one on its route. The
# users' callers draw theirs from this range.
SHORTEST_TIMEOUT_SHARE = 0.8
# Samples are capped at this multiple of the average, so that a few calls at
# slow servers do not distort it.
MAX_SAMPLE_FACTOR = 2.0


class CallAgeTracker:
    """Estimates how long ago a caller made its first attempt.

    Callers state how long they still wait, which varies from caller to caller
    on a route. A call that states less than any first attempt would is a
    repeat. Its age is the difference to the mean first attempt.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def find_age(self, route: str, remaining_seconds: float) -> float:
        """Returns how long ago the caller made its first attempt."""
        longest = max(self._longest.get(route, 0.0), remaining_seconds)
        self._longest[route] = longest
        if remaining_seconds >= longest * SHORTEST_TIMEOUT_SHARE:
            return 0.0
        mean = longest * (1.0 + SHORTEST_TIMEOUT_SHARE) / 2
        return mean - remaining_seconds


class DemandTracker:
    """Averages the work and the size of each route's calls."""

    def __init__(self) -> None:
        self._work: dict[str, float] = {}
        self._bytes: dict[str, float] = {}

    def find(self, route: configuration.Route) -> placement.Demand:
        """Returns the average work and size of a route's calls."""
        work = self._work.get(route.name)
        if work is None:
            work = route.target_seconds * INITIAL_WORK_SHARE
        return placement.Demand(
            work_seconds=work, transfer_bytes=self._bytes.get(route.name, 0.0)
        )

    def record(
        self, route: str, *, work_seconds: float | None, transfer_bytes: int
    ) -> None:
        """Updates the averages with an answered call.

        Args:
            route: Name of the route.
            work_seconds: Time on an idle server of normal speed; None if not
                known.
            transfer_bytes: Size of the bodies of request and answer.
        """
        work = self._work.get(route)
        if work_seconds is not None:
            if work is None:
                self._work[route] = work_seconds
            else:
                sample = min(work_seconds, work * MAX_SAMPLE_FACTOR)
                self._work[route] = work + (sample - work) * SAMPLE_WEIGHT
        size = self._bytes.get(route, float(transfer_bytes))
        self._bytes[route] = size + (transfer_bytes - size) * SAMPLE_WEIGHT
