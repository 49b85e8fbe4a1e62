"""Service times of the recent past."""

RING_SIZE = 512
RECOMPUTE_EVERY = 32


class ServiceTimes:
    """Percentiles over the last service times of one service.

    Attributes:
        p50: Median in seconds.
        p90: 90th percentile in seconds.
        p95: 95th percentile in seconds.
        mean: Mean in seconds.
        count: Values recorded since the start.
    """

    def __init__(self, *, initial_seconds: float) -> None:
        self.p50 = self.p90 = self.p95 = self.mean = initial_seconds
        self.count = 0
        self._ring: list[float] = []

    def record(self, seconds: float) -> None:
        """Adds one service time."""
        ring = self._ring
        if len(ring) < RING_SIZE:
            ring.append(seconds)
        else:
            ring[self.count % RING_SIZE] = seconds
        self.count += 1
        # The first values count at once, later ones in batches.
        if self.count % RECOMPUTE_EVERY == 0 or self.count <= 8:
            self._recompute()

    def _recompute(self) -> None:
        ordered = sorted(self._ring)
        size = len(ordered)
        self.p50 = ordered[size // 2]
        self.p90 = ordered[size * 90 // 100]
        self.p95 = ordered[size * 95 // 100]
        self.mean = sum(ordered) / size
