"""Running averages of the work and answer size of each route's calls.

Averages are kept per route, not per service: a service may serve several routes
whose calls differ in work and size.
"""

from banyandale_direct import _placement as placement

# Weight of a new sample in the running average.
SAMPLE_WEIGHT = 0.1
# Assumed work of a call before the first answer.
INITIAL_WORK_SECONDS = 0.2
# Samples are capped at this multiple of the average, so that a few calls at
# slow servers do not distort it.
MAX_SAMPLE_FACTOR = 2.0


class CallAgeTracker:
    """Estimates how long ago a caller made its first attempt.

    Callers state how long they still wait. The longest remaining time seen on a
    route is taken as its callers' full timeout; a call with less is a repeat,
    and the difference is its age.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def find_age(self, route: str, remaining_seconds: float) -> float:
        """Returns how long ago the caller made its first attempt."""
        longest = max(self._longest.get(route, 0.0), remaining_seconds)
        self._longest[route] = longest
        return longest - remaining_seconds


class DemandTracker:
    """Averages the work and the answer size of each route."""

    def __init__(self) -> None:
        self._work: dict[str, float] = {}
        self._bytes: dict[str, float] = {}

    def find(self, route: str) -> placement.Demand:
        """Returns the average work and answer size of a route's calls."""
        return placement.Demand(
            work_seconds=self._work.get(route, INITIAL_WORK_SECONDS),
            answer_bytes=self._bytes.get(route, 0.0),
        )

    def record(
        self, route: str, *, work_seconds: float | None, answer_bytes: int
    ) -> None:
        """Updates the averages with an answered call.

        Args:
            route: Name of the route.
            work_seconds: Time on an idle server of normal speed; None if not
                known.
            answer_bytes: Size of the answer.
        """
        work = self._work.get(route)
        if work_seconds is not None:
            if work is None:
                self._work[route] = work_seconds
            else:
                sample = min(work_seconds, work * MAX_SAMPLE_FACTOR)
                self._work[route] = work + (sample - work) * SAMPLE_WEIGHT
        size = self._bytes.get(route, float(answer_bytes))
        self._bytes[route] = size + (answer_bytes - size) * SAMPLE_WEIGHT
