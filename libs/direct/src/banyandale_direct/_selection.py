"""Chooses the server of a call by load reports fetched for it.

The decisions are in `_placement`, `_admission`, `_cold_limits` and
`_server_health`; this module probes the servers and waits between attempts.
"""

import dataclasses
import time

import curio

from banyandale_direct import _admission as admission
from banyandale_direct import _channels as channels
from banyandale_direct import _cold_limits as cold_limits
from banyandale_direct import _configuration as configuration
from banyandale_direct import _context as context
from banyandale_direct import _placement as placement
from banyandale_direct import _server_health as server_health


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """A server for a call, or the reason why there is none.

    Attributes:
        probe: The server and its report, or None.
        refusal: Reason why there is no server, or None.
        wait_seconds: Expected time until a slot is free, with a refusal.
        may_wait: Whether a slot may become free soon.
        asked: Number of servers probed, with a refusal.
        best: The best server probed, if any.
    """

    probe: channels.Probe | None = None
    refusal: admission.Refusal | None = None
    wait_seconds: float = 0.0
    may_wait: bool = False
    asked: int = 0
    best: channels.Probe | None = None

    def describe(self, *, now: float) -> dict[str, object]:
        """Returns the log fields of a refusal."""
        fields: dict[str, object] = {"asked": self.asked}
        if self.best is not None:
            fields["best"] = self.best.describe(now=now)
        return fields


class Selection:
    """Chooses servers for one call."""

    def __init__(
        self,
        *,
        shared: context.Shared,
        route: configuration.Route,
        service: configuration.Service,
        target_at: float,
        answer_by: float,
    ) -> None:
        """Creates a selection.

        Args:
            shared: State shared by all calls.
            route: The call's route.
            service: The service chosen for it.
            target_at: When an answer loses most of its value, in monotonic
                seconds.
            answer_by: Deadline of the answer, in monotonic seconds.
        """
        self._shared = shared
        self._route = route
        self._service = service
        self._target_at = target_at
        self._answer_by = answer_by

    async def choose(self, *, tried: frozenset[str], first: bool) -> Choice:
        """Chooses a server, waiting for a better one where that helps.

        Args:
            tried: Ids of servers to which the call was already assigned.
            first: Whether this is the call's first attempt; only that one
                waits.
        """
        while True:
            choice = await self._select_once(tried)
            if choice.probe is not None or not (first and choice.may_wait):
                return choice
            # This task is cancelled when the caller leaves or at the deadline.
            await curio.sleep(admission.RECHECK_SECONDS)

    async def _select_once(self, tried: frozenset[str]) -> Choice:
        shared = self._shared
        now = time.monotonic()
        entries = [
            entry
            for entry in shared.registry.find(self._service.name, now=now)
            if entry.server.id not in tried
            and self._region_allowed(entry.server.zone)
        ]
        if not entries:
            return Choice(
                refusal=admission.Refusal.NO_SERVER,
                wait_seconds=admission.MAX_RETRY_AFTER_SECONDS / 2,
            )
        demand = shared.demands.find(self._route)
        zone = shared.settings.zone
        groups = placement.list_groups(
            entries,
            shared.server_health,
            gateway=shared.members.own.ip,
            zone=zone,
            now=now,
        )
        probing = channels.ProbeRound(
            channels=shared.channels,
            service=self._service,
            health=shared.server_health,
            zone=zone,
        )
        probes: list[channels.Probe] = []
        choice = Choice()
        try:
            for group in groups:
                best = self._best(probes, demand)
                if probes and not placement.should_widen(
                    best.candidate if best else None,
                    demand,
                    cross_zone=not group.local,
                ):
                    break
                drawn = placement.draw_servers(
                    group, random_source=shared.random
                )
                probes += await probing.collect(drawn)
            choice = self._admit(probes, demand)
            if choice.probe is None:
                return dataclasses.replace(
                    choice, asked=len(probes), best=self._best(probes, demand)
                )
            return choice
        finally:
            await probing.close()
            for probe in probes:
                if probe is not choice.probe:
                    await shared.channels.release(probe)

    def _region_allowed(self, zone: str) -> bool:
        regions = self._route.regions
        return not regions or self._shared.settings.regions.get(zone) in regions

    def _best(
        self, probes: list[channels.Probe], demand: placement.Demand
    ) -> channels.Probe | None:
        candidate = placement.choose(
            [probe.candidate for probe in probes], demand, self._shared.random
        )
        for probe in probes:
            if probe.candidate is candidate:
                return probe
        return None

    def _admit(
        self, probes: list[channels.Probe], demand: placement.Demand
    ) -> Choice:
        """Returns the best server that may get the call now."""
        left = list(probes)
        last = Choice(
            refusal=admission.Refusal.NO_SERVER,
            wait_seconds=demand.work_seconds,
        )
        while left:
            best = self._best(left, demand)
            left.remove(best)
            refusal, wait = self._check(best.candidate, demand)
            if refusal is not None:
                last = Choice(
                    refusal=refusal,
                    wait_seconds=wait,
                    may_wait=self._may_wait(refusal, demand),
                )
                continue
            decision = self._decide(best.candidate, demand)
            if decision is not admission.Decision.SEND:
                # The remaining servers cost more.
                return dataclasses.replace(
                    last,
                    refusal=admission.Refusal.NO_ROOM,
                    may_wait=decision is admission.Decision.WAIT,
                )
            refusal, wait = self._check_cold(best.candidate)
            if refusal is None:
                return Choice(probe=best)
            last = dataclasses.replace(last, refusal=refusal, wait_seconds=wait)
        return last

    def _may_wait(
        self, refusal: admission.Refusal, demand: placement.Demand
    ) -> bool:
        return (
            refusal is not admission.Refusal.NO_SERVER
            and time.monotonic() + admission.RECHECK_SECONDS
            <= self._timing(demand).latest_start_at
        )

    def _timing(self, demand: placement.Demand) -> admission.CallTiming:
        return admission.CallTiming(
            target_at=self._target_at,
            answer_by=self._answer_by,
            work_seconds=demand.work_seconds,
        )

    def _decide(
        self, candidate: placement.Candidate, demand: placement.Demand
    ) -> admission.Decision:
        if candidate.report is None:
            return admission.Decision.SEND
        return admission.decide(
            candidate.report,
            self._timing(demand),
            now=time.monotonic(),
            cross_zone_seconds=0.0
            if candidate.local
            else demand.cross_zone_seconds,
        )

    def _check(
        self, candidate: placement.Candidate, demand: placement.Demand
    ) -> tuple[admission.Refusal | None, float]:
        """Returns why a server may not get the call, and for how long."""
        if candidate.report is None:
            health = self._shared.server_health.find(
                candidate.entry.server.id,
                started_unix_ms=candidate.entry.server.started_unix_ms,
            )
            if health.failures >= server_health.UNREACHABLE_FAILURES:
                return admission.Refusal.NO_SERVER, demand.work_seconds
            return None, 0.0
        return admission.check_report(
            candidate.report,
            server_id=candidate.entry.server.id,
            work_seconds=demand.work_seconds,
            now=time.monotonic(),
            deadline=self._answer_by,
        )

    def _check_cold(
        self, candidate: placement.Candidate
    ) -> tuple[admission.Refusal | None, float]:
        """Applies the cold limit; returns like `_check`."""
        now = time.monotonic()
        server_id = candidate.entry.server.id
        if candidate.report is not None:
            cold = candidate.report.cold_seconds > 0
        else:
            cold = candidate.entry.cold_until > now
        if not cold:
            return None, 0.0
        shared = self._shared
        if not cold_limits.is_sender(
            gateway=shared.members.own.ip,
            gateways=[m.ip for m in shared.members.live(now=now)],
            server_id=server_id,
            calls_per_second=self._service.cold_calls_per_second,
        ):
            return (
                admission.Refusal.COLD_LIMIT,
                cold_limits.INTERVAL_SECONDS,
            )
        if not shared.cold_limiter.try_send(server_id, now=now):
            wait = shared.cold_limiter.next_send_at(server_id) - now
            return admission.Refusal.COLD_LIMIT, wait
        return None, 0.0
