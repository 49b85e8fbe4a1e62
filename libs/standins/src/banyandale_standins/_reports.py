"""Result tables of a run, and the requirements that it violated."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from banyandale_standins import _results as results
from banyandale_standins import _system as system

# How long the design allows new requests in a zone after it was taken out of
# service.
ZONE_OUT_GRACE_SECONDS = 3.0

HEADERS = (
    "phase",
    "calls",
    "ok",
    "rejected",
    "failed",
    "wrong",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "gateway CPU ms/call",
    "probes/1000 calls",
)

SERVICE_HEADERS = (
    "phase",
    "service",
    "calls",
    "ok",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PhaseCost:
    """Resources used in a phase.

    Attributes:
        gateway_cpu: Processor seconds of all gateways.
        probes: Requests for load reports to the backend servers.
    """

    gateway_cpu: float
    probes: int


def compute_phase_cost(
    before: system.Reading, after: system.Reading
) -> PhaseCost:
    """Returns the resources used between two readings."""
    return PhaseCost(
        gateway_cpu=after.gateway_cpu - before.gateway_cpu,
        probes=after.backends.get("load_requests", 0)
        - before.backends.get("load_requests", 0),
    )


def build_rows(
    result: results.RunResult, costs: Mapping[str, PhaseCost]
) -> list[list[str]]:
    """Returns one row per phase, with the columns of `HEADERS`."""
    rows = []
    for phase in result.services:
        total = result.total(phase)
        latency = total.latency.summarize()
        cost = costs.get(phase)
        sent = max(total.sent, 1)
        rows.append(
            [
                phase,
                str(total.sent),
                str(total.ok),
                str(total.rejected.total()),
                str(total.failed.total()),
                str(total.wrong.total()),
                *(
                    f"{latency[name]:.1f}" if name in latency else "-"
                    for name in results.PERCENTILES
                ),
                f"{cost.gateway_cpu / sent * 1000:.2f}" if cost else "-",
                f"{cost.probes / sent * 1000:.1f}" if cost else "-",
            ]
        )
    return rows


def build_service_rows(result: results.RunResult) -> list[list[str]]:
    """Returns one row per phase and service, as `SERVICE_HEADERS` names."""
    rows = []
    for phase, services in result.services.items():
        for name, service in sorted(services.items()):
            latency = service.latency.summarize()
            percentiles = [
                f"{latency[key]:.1f}" if key in latency else "-"
                for key in results.PERCENTILES
            ]
            counts = [str(service.sent), str(service.ok)]
            rows.append([phase, name, *counts, *percentiles])
    return rows


def build_reason_rows(result: results.RunResult) -> list[list[str]]:
    """Returns phase, service, kind, reason and count of unsuccessful calls."""
    return [
        [phase, name, kind, reason, str(count)]
        for phase, services in result.services.items()
        for name, service in sorted(services.items())
        for kind in results.OUTCOME_COUNTERS
        for reason, count in sorted(getattr(service, kind).items())
    ]


def find_violations(
    *,
    result: results.RunResult,
    effects: Mapping[str, int],
    final_reading: system.Reading,
) -> Sequence[str]:
    """Returns the invariants that a run violated, one sentence each."""
    not_run = result.keys["not-run"]
    wrong = sum(
        service.wrong.total()
        for services in result.services.values()
        for service in services.values()
    )
    counts = {
        "responses were incomplete or belonged to another request": wrong,
        "non-idempotent requests ran more than once": sum(
            count > 1 for count in effects.values()
        ),
        "requests ran although a rejection said that they had not": sum(
            key in effects for key in not_run
        ),
        "requests got a response but never ran": sum(
            key not in effects for key in result.keys["ok"]
        ),
        "requests exceeded the limit of a cold server": (
            final_reading.backends.get("cold_overruns", 0)
        ),
        "requests reached servers more than 3 s after they began to leave": (
            final_reading.backends.get("late_requests_while_leaving", 0)
        ),
    }
    return [f"{count} {text}" for text, count in counts.items() if count]
