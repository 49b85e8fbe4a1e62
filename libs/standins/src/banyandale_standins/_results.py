"""Results of a load run: counts and latency histograms by phase."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

import hdrh.histogram as hdr

# Latencies are recorded in microseconds, up to one minute, to three digits.
MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
OUTCOME_COUNTERS = ("rejected", "failed", "wrong")
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p999": 99.9}


class Histogram:
    """Histogram of latencies; stores microseconds, takes seconds."""

    def __init__(self) -> None:
        self._values = hdr.HdrHistogram(
            MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Adds one latency; longer ones count as one minute."""
        value = int(seconds * MICROSECONDS_PER_SECOND)
        self._values.record_value(
            min(max(value, MIN_MICROSECONDS), MAX_MICROSECONDS)
        )

    def add_encoded(self, encoded: str) -> None:
        """Adds the latencies of an encoded histogram."""
        self._values.decode_and_add(encoded)

    def encode(self) -> str:
        """Returns the histogram in the HDR V2 text format."""
        return self._values.encode().decode()

    def summarize(self) -> dict[str, float]:
        """Returns count, percentiles and maximum, in milliseconds."""
        count = self._values.get_total_count()
        if not count:
            return {"count": 0}
        summary = {
            name: self._values.get_value_at_percentile(percentile) / 1000
            for name, percentile in PERCENTILES.items()
        }
        return {
            "count": count,
            **summary,
            "max": self._values.get_max_value() / 1000,
        }


class ServiceResult:
    """Outcomes of the calls to one service in one phase.

    Attributes:
        sent: Calls whose intended send time lies in the phase.
        ok: Calls that got the complete response to their own request.
        rejected: Rejected calls by `reason:run mark`.
        failed: Calls that got an error status or no complete response, by
            error code.
        wrong: Calls that got a wrong or incomplete body, by fault.
        latency: Latencies of the `ok` calls, from the intended send time.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.ok = 0
        self.rejected: collections.Counter[str] = collections.Counter()
        self.failed: collections.Counter[str] = collections.Counter()
        self.wrong: collections.Counter[str] = collections.Counter()
        self.latency = Histogram()

    def to_json(self) -> dict[str, object]:
        """Returns the result as JSON values, with the complete histogram."""
        return {
            "sent": self.sent,
            "ok": self.ok,
            **{name: dict(getattr(self, name)) for name in OUTCOME_COUNTERS},
            "latency_ms": self.latency.summarize(),
            "histogram": self.latency.encode(),
        }

    def add_json(self, value: Mapping[str, object]) -> None:
        """Adds a result that `to_json` returned."""
        self.sent += value["sent"]
        self.ok += value["ok"]
        for name in OUTCOME_COUNTERS:
            getattr(self, name).update(value[name])
        self.latency.add_encoded(value["histogram"])


class RunResult:
    """Results of one load run, or of several that ran at the same time.

    Attributes:
        services: Results by phase and service.
        lateness: Delay from the intended to the actual start of a call.
        counters: `lookups`, `failed_lookups`, `fallbacks` to other addresses
            and `retries`.
        keys: Idempotency keys by what callers know about their requests:
            `ok`, `not-run` or `unknown`.
        cpu_seconds: Processor time of the load tool.
    """

    def __init__(self) -> None:
        self.services: dict[str, dict[str, ServiceResult]] = {}
        self.lateness = Histogram()
        self.counters: collections.Counter[str] = collections.Counter()
        self.keys: dict[str, list[str]] = {
            "ok": [],
            "not-run": [],
            "unknown": [],
        }
        self.cpu_seconds = 0.0

    def get_or_create(self, phase: str, service: str) -> ServiceResult:
        """Returns the result of a service in a phase; adds it if missing."""
        services = self.services.setdefault(phase, {})
        if service not in services:
            services[service] = ServiceResult()
        return services[service]

    def to_json(self) -> dict[str, object]:
        """Returns all results as JSON values."""
        return {
            "phases": {
                phase: {
                    name: result.to_json() for name, result in services.items()
                }
                for phase, services in self.services.items()
            },
            "lateness_ms": self.lateness.summarize(),
            "lateness_histogram": self.lateness.encode(),
            "counters": dict(self.counters),
            "keys": self.keys,
            "cpu_seconds": self.cpu_seconds,
        }

    def add_json(self, value: Mapping[str, object]) -> None:
        """Adds results that `to_json` returned."""
        for phase, services in value["phases"].items():
            for name, result in services.items():
                self.get_or_create(phase, name).add_json(result)
        self.lateness.add_encoded(value["lateness_histogram"])
        self.counters.update(value["counters"])
        for outcome, keys in value["keys"].items():
            self.keys[outcome].extend(keys)
        self.cpu_seconds += value["cpu_seconds"]

    def total(self, phase: str) -> ServiceResult:
        """Returns the sum over all services in one phase."""
        total = ServiceResult()
        for result in self.services.get(phase, {}).values():
            total.add_json(result.to_json())
        return total


def merge(values: Iterable[Mapping[str, object]]) -> RunResult:
    """Adds up the results of load tools that ran at the same time."""
    merged = RunResult()
    for value in values:
        merged.add_json(value)
    return merged
