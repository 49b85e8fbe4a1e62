"""Statistics of recent service times."""

MAX_SAMPLES = 512
RECOMPUTE_INTERVAL = 32


class ServiceTimes:
    """Percentiles and mean of one service's latest service times.

    Attributes:
        p50: Median in seconds.
        p90: 90th percentile in seconds.
        p95: 95th percentile in seconds.
        mean: Mean in seconds.
        count: Number of service times recorded so far.
    """

    def __init__(self, *, initial_seconds: float) -> None:
        self.p50 = self.p90 = self.p95 = self.mean = initial_seconds
        self.count = 0
        self._samples: list[float] = []

    def record(self, seconds: float) -> None:
        """Adds one service time."""
        samples = self._samples
        if len(samples) < MAX_SAMPLES:
            samples.append(seconds)
        else:
            samples[self.count % MAX_SAMPLES] = seconds
        self.count += 1
        # Sorting is costly: after the first values, recompute in batches.
        if self.count % RECOMPUTE_INTERVAL == 0 or self.count <= 8:
            self._recompute()

    def _recompute(self) -> None:
        ordered = sorted(self._samples)
        size = len(ordered)
        self.p50 = ordered[size // 2]
        self.p90 = ordered[size * 90 // 100]
        self.p95 = ordered[size * 95 // 100]
        self.mean = sum(ordered) / size
