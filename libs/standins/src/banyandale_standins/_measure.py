"""Comparison of policies under the same load.

Each repeat runs every variant once, in turn, so that other load on the machine
does not affect just one variant. Tables show the median of the repeats.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import datetime
import itertools
import json
import pathlib
import statistics
import tempfile
import time
from typing import Any

import curio
import jinja2
import matplotlib
import matplotlib.figure

from banyandale_standins import _deployments as deployments
from banyandale_standins import _load as load
from banyandale_standins import _overhead as overhead
from banyandale_standins import _reports as reports
from banyandale_standins import _results as results
from banyandale_standins import _slopes as slopes
from banyandale_standins import _system as system

VARIANTS = (
    "home/least_loaded",
    "direct/random",
    "direct/round_robin",
    "direct/two_choices",
)
WARM_UP = "warm-up"
NORMAL = "60% load"
FULL = "100% load"
OVERLOAD = "200% load"
# Shares of the servers' capacity.
BASE_SHARE = 0.6
PHASES = (
    load.PhaseSettings(name=WARM_UP, seconds=5.0),
    load.PhaseSettings(name=NORMAL, seconds=12.0),
    load.PhaseSettings(name=FULL, seconds=6.0, factor=1.0 / BASE_SHARE),
    load.PhaseSettings(name=OVERLOAD, seconds=8.0, factor=2.0 / BASE_SHARE),
)
MEASURED = (NORMAL, FULL, OVERLOAD)
SLOPES = "slopes"
OVERHEAD = "overhead"
PERCENTILE_NAMES = ("p50", "p99", "p999")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Settings of a measurement.

    Attributes:
        deployment: The deployment, with `slow_down` applied.
        gateways: Number of gateways.
        variants: `routing/policy` of each variant.
        repeats: Runs of each variant.
        seed: Seed of the first repeat; each further repeat adds one.
        slow_down: Factor that was applied to service times.
    """

    deployment: deployments.Deployment
    gateways: int
    variants: tuple[str, ...]
    repeats: int
    seed: int
    slow_down: float

    def command(self) -> str:
        """Returns the command that repeats the measurement."""
        return (
            "python -m banyandale_standins measure"
            f" --deployment={self.deployment.name}"
            f" --gateways={self.gateways} --slow-down={self.slow_down:g}"
            f" --variants={','.join(self.variants)}"
            f" --repeats={self.repeats} --seed={self.seed}"
        )


async def measure_policies(
    plan: Plan, docs: pathlib.Path, print_line: Callable[[str], None]
) -> None:
    """Runs all variants and writes raw results, plots and the page.

    Args:
        plan: Settings of the measurement.
        docs: Folder of `MEASUREMENTS.md` and `measurements/`.
        print_line: Receives one line per run.
    """
    runs = []
    for repeat in range(plan.repeats):
        for name in plan.variants:
            run = await _run_once(plan, name, plan.seed + repeat)
            runs.append(run)
            print_line(f"repeat {repeat + 1}, {name}: {_describe(run)}")
    raw = {
        "command": plan.command(),
        "date": format_today(),
        "deployment": plan.deployment.name,
        "runs": runs,
    }
    _write_raw(docs, plan.deployment.name, raw)
    write_page(docs)


async def measure_overhead(
    plan: Plan, docs: pathlib.Path, print_line: Callable[[str], None]
) -> None:
    """Measures the latency that a gateway adds; writes raw results and page."""
    measured = await overhead.measure(
        repeats=plan.repeats,
        seed=plan.seed,
        port=plan.deployment.port,
        print_line=print_line,
    )
    raw = {
        "command": "python -m banyandale_standins measure --what=overhead"
        f" --repeats={plan.repeats} --seed={plan.seed}",
        "date": format_today(),
        "overhead": [result.to_json() for result in measured],
        "median": overhead.compute_medians(measured),
    }
    _write_raw(docs, OVERHEAD, raw)
    write_page(docs)


async def measure_slopes(
    plan: Plan, docs: pathlib.Path, print_line: Callable[[str], None]
) -> None:
    """Measures how control-plane costs grow, for docs/CAPACITY.md."""
    measured = await slopes.measure(
        port=plan.deployment.port, seed=plan.seed, print_line=print_line
    )
    raw = {
        "command": "python -m banyandale_standins measure --what=slopes"
        f" --seed={plan.seed}",
        "date": format_today(),
        **measured,
    }
    _write_raw(docs, SLOPES, raw)


def _write_raw(docs: pathlib.Path, name: str, raw: dict[str, Any]) -> None:
    folder = docs / "measurements"
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}.json"
    path.write_text(json.dumps(raw, indent=1) + "\n")


def format_today() -> str:
    """Returns the current date as YYYY-MM-DD (UTC)."""
    return datetime.datetime.now(datetime.UTC).date().isoformat()


async def _run_once(plan: Plan, variant: str, seed: int) -> dict[str, Any]:
    routing, _, policy = variant.partition("/")
    with tempfile.TemporaryDirectory() as folder:
        running_system = system.System(
            # Cold servers would hide the differences between policies:
            # several gateways that choose independently keep overloading a
            # cold server, so that it fails and never gets warm.
            deployment=plan.deployment.start_warm(),
            gateways=plan.gateways,
            variant=system.Variant(routing=routing, policy=policy),
            folder=pathlib.Path(folder),
            seed=seed,
        )
        try:
            await running_system.start()
            return await _run_load(running_system, variant, seed)
        finally:
            running_system.stop()


async def _run_load(
    running_system: system.System, variant: str, seed: int
) -> dict[str, Any]:
    at = running_system.start_load(share=BASE_SHARE, phases=PHASES)
    readings = []
    for phase in PHASES:
        await curio.sleep(max(at - time.time(), 0.0))
        readings.append(await running_system.read_totals())
        at += phase.seconds
    await curio.sleep(max(at - time.time(), 0.0))
    readings.append(await running_system.read_totals())
    result = await running_system.finish_load()
    costs = {
        phase.name: reports.compute_phase_cost(before, after)
        for phase, (before, after) in zip(
            PHASES, itertools.pairwise(readings), strict=True
        )
    }
    violations = reports.find_violations(
        result=result,
        effects=await running_system.read_effects(),
        final_reading=await running_system.read_totals(),
    )
    return {
        "variant": variant,
        "seed": seed,
        "lateness_ms": result.lateness.summarize(),
        "violations": list(violations),
        "phases": {
            phase.name: _summarize_phase(result, phase, costs[phase.name])
            for phase in PHASES
        },
    }


def _summarize_phase(
    result: results.RunResult,
    phase: load.PhaseSettings,
    cost: reports.PhaseCost,
) -> dict[str, Any]:
    services = result.services.get(phase.name, {})
    total = result.total(phase.name)
    return {
        "seconds": phase.seconds,
        "gateway_cpu_ms_per_call": round(
            cost.gateway_cpu / max(total.sent, 1) * 1000, 3
        ),
        "probes": cost.probes,
        "all": _summarize(total),
        "services": {
            name: _summarize(service)
            for name, service in sorted(services.items())
        },
    }


def _summarize(service: results.ServiceResult) -> dict[str, Any]:
    value = service.to_json()
    del value["histogram"]
    return value


def _describe(run: dict[str, Any]) -> str:
    parts = []
    for name in MEASURED:
        phase = run["phases"][name]
        latency = phase["all"]["latency_ms"]
        parts.append(
            f"{name}: {phase['all']['ok']} of {phase['all']['sent']} ok,"
            f" p99 {latency.get('p99', 0.0):.1f} ms"
        )
    return "; ".join([*parts, *run["violations"]])


def compute_medians(
    runs: Sequence[dict[str, Any]], phase: str
) -> dict[str, dict[str, dict[str, float]]]:
    """Returns medians over the repeats by variant and service.

    The metrics are `p50`, `p99`, `p999` in ms, `ok_per_s`, `ok_share` and,
    for all services together, `cpu` in ms per call and `probes` per call.
    """
    medians: dict[str, dict[str, dict[str, float]]] = {}
    for variant in dict.fromkeys(run["variant"] for run in runs):
        phases = [
            run["phases"][phase] for run in runs if run["variant"] == variant
        ]
        names = ("all", *phases[0]["services"])
        medians[variant] = {
            name: _compute_median(
                [_extract_metrics(item, name) for item in phases]
            )
            for name in names
        }
    return medians


def _extract_metrics(phase: dict[str, Any], service: str) -> dict[str, float]:
    result = phase["all"] if service == "all" else phase["services"][service]
    latency = result["latency_ms"]
    sent = max(result["sent"], 1)
    metrics = {
        name: latency.get(name, float("inf")) for name in PERCENTILE_NAMES
    }
    metrics["ok_per_s"] = result["ok"] / phase["seconds"]
    metrics["ok_share"] = result["ok"] / sent
    metrics["cpu"] = phase["gateway_cpu_ms_per_call"]
    metrics["probes"] = phase["probes"] / max(phase["all"]["sent"], 1)
    return metrics


def _compute_median(values: Sequence[dict[str, float]]) -> dict[str, float]:
    return {
        name: statistics.median(value[name] for value in values)
        for name in values[0]
    }


PAGE_TEMPLATE = """\
# Measurements

All figures are of whole systems on one machine: gateways, platform stand-in,
backend servers, relays and load tools share its cores. Every variant gets the
same calls at the same times (open loop, latency from the intended send time),
the same distribution of service times and the same noisy neighbours. Servers
are warm from the start, since several gateways that choose for themselves
overload a cold server and never warm it up. Variants run in turn; each figure
is the median of the repeats. Latencies are in ms and only of calls that got a
whole response; the share of these is beside them.
"Probes" are load reports that backend servers were asked for.

`home` routes each request through the one gateway that dispatches to a zone's
servers of its service; `direct` lets each gateway choose for itself, as
independent load balancers do.
{% for raw in all %}
## {{ raw.deployment }}

{{ raw.repeats }} repeats, run on {{ raw.date }}; repeat with

```
{{ raw.command }}
```
{% for phase, medians in raw.medians.items() %}
### {{ phase }}

| variant | service | ok | ok/s | p50 | p99 | p99.9 |
|---|---|---|---|---|---|---|
{% for variant, services in medians.items() -%}
{% for service, f in services.items() -%}
| {{ variant }} | {{ service }} | {{ "%.2f" % (100 * f.ok_share) }}% \
| {{ "%.0f" % f.ok_per_s }} | {{ "%.1f" % f.p50 }} | {{ "%.1f" % f.p99 }} \
| {{ "%.1f" % f.p999 }} |
{% endfor -%}
{% endfor %}
| variant | gateway CPU ms per call | probes per call |
|---|---|---|
{% for variant, services in medians.items() -%}
| {{ variant }} | {{ "%.2f" % services.all.cpu }} \
| {{ "%.3f" % services.all.probes }} |
{% endfor -%}
{% endfor %}
![p99 by service]({{ raw.plot }})

Load tools started calls late by {{ "%.2f" % raw.late_p50 }} ms (p50) and
{{ "%.2f" % raw.late_p99 }} ms (p99), medians of all runs. Broken requirements:
{% if raw.violations %}
{% for violation in raw.violations -%}
- {{ violation }}
{% endfor -%}
{% else %}none in any run.
{% endif %}
{% endfor -%}
{% if overhead %}
## Latency added by a gateway

Run on {{ overhead.date }}; repeat with

```
{{ overhead.command }}
```

One gateway at half of its peak, in home routing, against direct calls to the
same servers at the same time. The servers take 2 ms for every call.

| peak calls/s | calls/s | direct p99 | gateway p99 | added p50 | added p99 \
| load tool late by, p99 |
|---|---|---|---|---|---|---|
{% for run in overhead.overhead -%}
| {{ "%.0f" % run.peak_per_s }} | {{ "%.0f" % run.rate_per_s }} \
| {{ "%.2f" % run.direct.p99 }} | {{ "%.2f" % run.gateway.p99 }} \
| {{ "%.2f" % run.added_ms.p50 }} | {{ "%.2f" % run.added_ms.p99 }} \
| {{ "%.2f" % run.lateness.p99 }} |
{% endfor %}
Median added: {{ "%.2f" % overhead.median.p50 }} ms at p50,
{{ "%.2f" % overhead.median.p99 }} ms at p99.
{% endif -%}
"""


def write_page(docs: pathlib.Path) -> None:
    """Writes `MEASUREMENTS.md` and plots from all raw results."""
    pages = []
    overhead_raw = None
    for path in sorted((docs / "measurements").glob("*.json")):
        raw = json.loads(path.read_text())
        if path.stem == OVERHEAD:
            overhead_raw = raw
            continue
        if path.stem == SLOPES:
            continue
        medians = {
            phase: compute_medians(raw["runs"], phase) for phase in MEASURED
        }
        plot = path.with_suffix(".png")
        _plot(medians[NORMAL], plot)
        lateness = [run["lateness_ms"] for run in raw["runs"]]
        pages.append(
            {
                **raw,
                "medians": medians,
                "repeats": len(raw["runs"]) // len(medians[NORMAL]),
                "plot": f"measurements/{plot.name}",
                "late_p50": statistics.median(x["p50"] for x in lateness),
                "late_p99": statistics.median(x["p99"] for x in lateness),
                "violations": [
                    f"{run['variant']}, seed {run['seed']}: {violation}"
                    for run in raw["runs"]
                    for violation in run["violations"]
                ],
            }
        )
    text = jinja2.Template(PAGE_TEMPLATE, keep_trailing_newline=True).render(
        all=pages, overhead=overhead_raw
    )
    (docs / "MEASUREMENTS.md").write_text(text)


def _plot(
    medians: dict[str, dict[str, dict[str, float]]], path: pathlib.Path
) -> None:
    """Draws p99 by service, one bar per variant."""
    matplotlib.use("agg")
    figure = matplotlib.figure.Figure(figsize=(8, 4), layout="constrained")
    axes = figure.add_subplot()
    services = [name for name in next(iter(medians.values())) if name != "all"]
    width = 0.8 / len(medians)
    for index, (variant, by_service) in enumerate(medians.items()):
        positions = [
            position + index * width for position in range(len(services))
        ]
        heights = [by_service[name]["p99"] for name in services]
        axes.bar(positions, heights, width, label=variant)
    middle = 0.4 - width / 2
    axes.set_xticks(
        [position + middle for position in range(len(services))], services
    )
    axes.set_ylabel("p99 latency, ms")
    axes.set_title(f"{NORMAL}, median of repeats")
    axes.legend()
    figure.savefig(path, dpi=100, metadata={"Software": None})
