"""Demonstration: a zone is taken out of service and back under load."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import time

import curio

from banyandale_standins import _load as load
from banyandale_standins import _reports as reports
from banyandale_standins import _results as results
from banyandale_standins import _system as system

WARM_UP = "warm-up"
NORMAL = "normal"
LEAVING = "zone leaves"
OUT = "zone out"
RETURNING = "zone returns"
AFTER = "normal again"
PHASE_SECONDS = {
    WARM_UP: 4.0,
    NORMAL: 8.0,
    LEAVING: 5.0,
    OUT: 5.0,
    RETURNING: 5.0,
    AFTER: 6.0,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class DemoReport:
    """Results of a demonstration.

    Attributes:
        result: Results of all callers.
        costs: Cost by phase.
        in_force_seconds: Time until all gateways used each change.
        last_request_seconds: Seconds from the change that took the zone out
            of service until its servers got their last new request; None if
            they got none.
        violations: Requirements that were not met.
        counters: Sums of the gateways' counters at the end.
    """

    result: results.RunResult
    costs: dict[str, reports.PhaseCost]
    in_force_seconds: list[float]
    last_request_seconds: float | None
    violations: Sequence[str]
    counters: dict[str, int]


class Demo:
    """One demonstration on a started system."""

    def __init__(
        self,
        *,
        running_system: system.System,
        share: float,
        print_line: Callable[[str], None],
    ) -> None:
        self._system = running_system
        self._share = share
        self._print_line = print_line
        self._zone = running_system.deployment.zones[-1]
        self._in_force_seconds: list[float] = []
        self._readings: list[system.Reading] = []
        self._zone_out_at = 0.0
        self._last_request_seconds: float | None = None

    async def run(self) -> DemoReport:
        """Runs all phases and returns their results."""
        phases = [
            load.PhaseSettings(name=name, seconds=seconds)
            for name, seconds in PHASE_SECONDS.items()
        ]
        start_at = self._system.start_load(share=self._share, phases=phases)
        for name, seconds in PHASE_SECONDS.items():
            await curio.sleep(max(start_at - time.time(), 0.0))
            start_at += seconds
            self._print_line(f"phase {name}, {seconds:.0f} s")
            self._readings.append(await self._system.read_totals())
            await self._change_zone_state(name)
        await curio.sleep(max(start_at - time.time(), 0.0))
        self._readings.append(await self._system.read_totals())
        result = await self._system.finish_load()
        return await self._build_report(result)

    async def _change_zone_state(self, phase: str) -> None:
        if phase == LEAVING:
            self._zone_out_at = time.time()
            await self._change_zones((self._zone,))
        elif phase == RETURNING:
            servers = await self._system.read_servers(self._zone)
            last = max(server["last_request_at"] for server in servers)
            if last > self._zone_out_at:
                self._last_request_seconds = last - self._zone_out_at
            await self._change_zones(())

    async def _change_zones(self, out: Sequence[str]) -> None:
        generation = await self._system.apply_zones(out=out)
        seconds = await self._system.wait_in_force()
        self._in_force_seconds.append(seconds)
        self._print_line(
            f"generation {generation} (out of service:"
            f" {', '.join(out) or 'none'}) in force after {seconds:.1f} s"
        )

    async def _build_report(self, result: results.RunResult) -> DemoReport:
        violations = list(
            reports.find_violations(
                result=result,
                effects=await self._system.read_effects(),
                final_reading=await self._system.read_totals(),
            )
        )
        if (self._last_request_seconds or 0.0) > reports.ZONE_OUT_GRACE_SECONDS:
            violations.append(
                f"zone {self._zone} got new work"
                f" {self._last_request_seconds:.1f} s after it was taken out"
                " of service"
            )
        pairs = itertools.pairwise(self._readings)
        costs = {
            name: reports.compute_phase_cost(before, after)
            for name, (before, after) in zip(PHASE_SECONDS, pairs, strict=True)
        }
        return DemoReport(
            result=result,
            costs=costs,
            in_force_seconds=self._in_force_seconds,
            last_request_seconds=self._last_request_seconds,
            violations=violations,
            counters=self._readings[-1].gateways,
        )
