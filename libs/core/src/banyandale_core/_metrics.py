"""Counters, gauges and timings, kept in memory and sent to statsd."""

import collections
from typing import Protocol

import statsd


class Metrics(Protocol):
    """Records counters, gauges and timings."""

    def incr(self, name: str, count: int = 1) -> None:
        """Adds `count` to the counter `name`."""

    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name`."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Records a duration in milliseconds."""


class MemoryMetrics:
    """Keeps counters and gauges for the status page and for tests.

    Attributes:
        counters: Value of each counter since the start.
        gauges: Last value of each gauge.
    """

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Adds `count` to the counter `name`."""
        self.counters[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name`."""
        self.gauges[name] = value

    def timing(self, name: str, milliseconds: float) -> None:
        """Ignores the duration: memory holds only counters and gauges."""


class StatsdMetrics(MemoryMetrics):
    """Keeps counters in memory and also sends them to a statsd server.

    `flush` sends the counters in batches, because one UDP packet per request
    takes more CPU time than the bookkeeping for the request itself.
    """

    def __init__(self, *, host: str, port: int, prefix: str) -> None:
        super().__init__()
        self._client = statsd.StatsClient(host, port, prefix=prefix)
        self._sent: collections.Counter[str] = collections.Counter()

    def timing(self, name: str, milliseconds: float) -> None:
        """Sends a duration."""
        self._client.timing(name, milliseconds)

    def flush(self) -> None:
        """Sends counter changes since the last flush and all gauges."""
        with self._client.pipeline() as pipe:
            for name, total in self.counters.items():
                change = total - self._sent[name]
                if change:
                    pipe.incr(name, change)
                    self._sent[name] = total
            for name, value in self.gauges.items():
                pipe.gauge(name, value)
