"""Metrics in the Prometheus text format."""

import prometheus_client
from prometheus_client import exposition

from banyandale_core import _clocks as clocks
from banyandale_core import _metrics as metrics

# Upper bounds in seconds, from the overhead of one hop to the longest request
# deadline of the first users (13 s).
LATENCY_BUCKETS = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5,
    0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 8.0, 13.0,
)  # fmt: skip


class PrometheusMetrics(metrics.MemoryMetrics):
    """Keeps all metrics in a Prometheus registry.

    A name may have one label after a colon: `refused:no_route` is counted as
    `refused` with the label `reason="no_route"`.
    """

    def __init__(self) -> None:
        super().__init__()
        self._registry = prometheus_client.CollectorRegistry()
        self._counters = prometheus_client.Counter(
            "banyandale_events",
            "Decisions and failures by name and reason.",
            ["name", "reason"],
            registry=self._registry,
        )
        self._gauges = prometheus_client.Gauge(
            "banyandale_level",
            "Current values by name.",
            ["name"],
            registry=self._registry,
        )
        self._timings = prometheus_client.Histogram(
            "banyandale_duration_seconds",
            "Durations by name and reason.",
            ["name", "reason"],
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )

    def incr(self, name: str, count: int = 1) -> None:
        """Adds `count` to the counter `name`."""
        super().incr(name, count)
        self._counters.labels(*_split_name(name)).inc(count)

    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name`."""
        super().gauge(name, value)
        self._gauges.labels(name).set(value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Adds a duration to the histogram `name`."""
        seconds = milliseconds / clocks.MILLISECONDS_PER_SECOND
        self._timings.labels(*_split_name(name)).observe(seconds)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return exposition.generate_latest(self._registry)


def _split_name(name: str) -> tuple[str, str]:
    head, _, reason = name.partition(":")
    return head, reason
