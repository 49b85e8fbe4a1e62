"""Running averages of what the calls of each service need."""

from banyandale_direct import _placement as placement

# Weight of a new sample in the running average.
SAMPLE_WEIGHT = 0.1
# First guess of the work of a call, before the first answer.
FIRST_WORK_SECONDS = 0.2
# Samples are cut at this multiple of the average, so that a few calls at slow
# servers do not move it.
LONGEST_SAMPLE_FACTOR = 2.0


class DemandTracker:
    """Averages the work and the answer size of each service."""

    def __init__(self) -> None:
        self._work: dict[str, float] = {}
        self._bytes: dict[str, float] = {}

    def find(self, service: str) -> placement.Demand:
        """Returns what a call of the service usually needs."""
        return placement.Demand(
            work_seconds=self._work.get(service, FIRST_WORK_SECONDS),
            answer_bytes=self._bytes.get(service, 0.0),
        )

    def record(
        self, service: str, *, seconds: float, answer_bytes: int
    ) -> None:
        """Adds an answered call."""
        work = self._work.get(service)
        if work is None:
            self._work[service] = seconds
        else:
            sample = min(seconds, work * LONGEST_SAMPLE_FACTOR)
            self._work[service] = work + (sample - work) * SAMPLE_WEIGHT
        size = self._bytes.get(service, float(answer_bytes))
        self._bytes[service] = size + (answer_bytes - size) * SAMPLE_WEIGHT
