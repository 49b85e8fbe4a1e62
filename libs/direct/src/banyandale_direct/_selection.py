"""Chooses the server of a call by load reports fetched for it.

The decisions are in `_placement`, `_admission`, `_cold_limits`, `_named_limits`
and `_server_health`; this module probes the servers and waits between attempts.
"""

from collections.abc import Callable
import dataclasses
import time

import curio

import banyandale_core as core
from banyandale_direct import _admission as admission
from banyandale_direct import _channels as channels
from banyandale_direct import _cold_limits as cold_limits
from banyandale_direct import _configuration as configuration
from banyandale_direct import _context as context
from banyandale_direct import _named_limits as named_limits
from banyandale_direct import _placement as placement
from banyandale_direct import _registry as registry
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
        turn: Planned send if only servers that name a limit are left.
        outdated: Whether another call took the turn of the best server while
            this one probed.
        unreached: Whether none of the probed servers answered.
        late: Whether none answered, but some accepted a connection.
        hand_over: Whether other gateways may reach a server for the call.
    """

    probe: channels.Probe | None = None
    refusal: admission.Refusal | None = None
    wait_seconds: float = 0.0
    may_wait: bool = False
    asked: int = 0
    best: channels.Probe | None = None
    turn: named_limits.Turn | None = None
    outdated: bool = False
    unreached: bool = False
    late: bool = False
    hand_over: bool = False

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
        can_hand_over: Callable[[], bool],
    ) -> None:
        """Creates a selection.

        Args:
            shared: State shared by all calls.
            route: The call's route.
            service: The service chosen for it.
            target_at: When an answer loses most of its value, in monotonic
                seconds.
            answer_by: Deadline of the answer, in monotonic seconds.
            can_hand_over: Returns whether other gateways may take the call.
        """
        self._shared = shared
        self._route = route
        self._service = service
        self._target_at = target_at
        self._answer_by = answer_by
        self._can_hand_over = can_hand_over
        self._turn: named_limits.Turn | None = None
        self._report_seconds = channels.REPORT_TIMEOUT_SECONDS

    async def choose(
        self, *, tried: frozenset[str], first: bool, direct: bool = False
    ) -> Choice:
        """Chooses a server, waiting for a better one where that helps.

        Args:
            tried: Ids of servers to which the call was already assigned.
            first: Whether this is the call's first attempt; only that one
                waits.
            direct: Whether no other gateway takes the call.
        """
        late_until = time.monotonic() + channels.LATE_REPORT_SECONDS
        try:
            while True:
                choice = await self._select_once(tried, direct=direct)
                if choice.outdated:
                    continue
                if choice.hand_over:
                    return choice
                now = time.monotonic()
                left = late_until - now
                if (
                    choice.late
                    and left > 0
                    and self._shared.paths.may_answer_late(
                        self._service.name, now=now
                    )
                ):
                    # Servers that accept connections are there.
                    self._report_seconds = left
                    continue
                if choice.probe is not None or not (first and choice.may_wait):
                    return choice
                # This task is cancelled when the caller leaves or at the
                # deadline.
                if choice.turn is None:
                    await curio.sleep(admission.RECHECK_SECONDS)
                else:
                    await self._wait_for_turn(choice.turn)
        finally:
            self._return_turn()

    async def _wait_for_turn(self, turn: named_limits.Turn) -> None:
        self._return_turn()
        self._shared.named_limits.take_turn(turn)
        self._turn = turn
        await curio.sleep(max(turn.at - time.monotonic(), 0.0))

    def _return_turn(self) -> None:
        if self._turn is not None:
            self._shared.named_limits.return_turn(self._turn)
            self._turn = None

    async def _select_once(
        self, tried: frozenset[str], *, direct: bool
    ) -> Choice:
        now = time.monotonic()
        entries = [
            entry
            for entry in self._shared.registry.find(self._service.name, now=now)
            if entry.server.id not in tried
            and self._region_allowed(entry.server.zone)
        ]
        if not entries:
            return Choice(
                refusal=admission.Refusal.NO_SERVER,
                wait_seconds=admission.MAX_RETRY_AFTER_SECONDS / 2,
            )
        if direct:
            return await self._select_among(entries, now)
        ids = [entry.server.id for entry in entries]
        monitor = self._shared.paths
        impaired = monitor.is_impaired(self._service.name, ids, now=now)
        if impaired and self._can_hand_over():
            entries = self._list_reached(entries, now)
            if not entries:
                return Choice(
                    refusal=admission.Refusal.NO_SERVER, hand_over=True
                )
        choice = await self._select_among(entries, now)
        if choice.probe is None:
            lost = impaired or choice.unreached
        else:
            # Nothing is known of a server that did not report.
            lost = choice.probe.candidate.report is None
        if not lost or choice.outdated or not self._can_hand_over():
            return choice
        if choice.probe is not None:
            await self._shared.channels.release(choice.probe)
        return Choice(refusal=admission.Refusal.NO_SERVER, hand_over=True)

    def _list_reached(
        self, entries: list[registry.Entry], now: float
    ) -> list[registry.Entry]:
        """Returns the servers that answer this gateway, as far as known."""
        monitor = self._shared.paths
        if monitor.cut:
            return []
        ids = [entry.server.id for entry in entries]
        unreached = frozenset(
            monitor.list_unreached(self._service.name, ids, now=now)
        )
        return [e for e in entries if e.server.id not in unreached]

    async def _select_among(
        self, entries: list[registry.Entry], now: float
    ) -> Choice:
        shared = self._shared
        demand = shared.demands.find(self._route)
        allowed = self._apply_named_limits(entries, now)
        if not allowed:
            return self._plan_turn(entries, demand)
        entries = allowed
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
                probes += await probing.collect(
                    drawn, timeout_seconds=self._report_seconds
                )
            choice = self._admit(probes, demand)
            if choice.probe is None:
                unreached = all(p.candidate.report is None for p in probes)
                return dataclasses.replace(
                    choice,
                    asked=len(probes),
                    best=self._best(probes, demand),
                    unreached=unreached,
                    late=unreached and any(probe.late for probe in probes),
                )
            return choice
        finally:
            await probing.close()
            for probe in probes:
                if probe is not choice.probe:
                    await shared.channels.release(probe)

    def _apply_named_limits(
        self, entries: list[registry.Entry], now: float
    ) -> list[registry.Entry]:
        """Returns the servers whose named limits allow a call now."""
        limits = self._shared.named_limits
        if limits.count() == 0:
            return entries
        boot_now = core.boot_seconds()
        return [
            entry
            for entry in entries
            if self._holds_turn(entry.server)
            or limits.next_send_at(entry.server, boot_now=boot_now) <= now
        ]

    def _plan_turn(
        self, limited: list[registry.Entry], demand: placement.Demand
    ) -> Choice:
        """Returns the refusal of a call that only limits keep from a server.

        It may wait for its turn if it then still meets its target.
        """
        now = time.monotonic()
        limits = self._shared.named_limits
        servers = [entry.server for entry in limited]
        turn = limits.plan_turn(servers, now=now, boot_now=core.boot_seconds())
        if turn is None:
            wait = limits.mean_wait_seconds(servers)
        else:
            wait = turn.at - now
        return Choice(
            refusal=admission.Refusal.SERVER_LIMIT,
            wait_seconds=wait,
            may_wait=turn is not None
            and turn.at <= self._timing(demand).latest_start_at,
            turn=turn,
        )

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
            refusal, wait = self._check_limits(best.candidate)
            if refusal is None:
                self._record_send(best.candidate.entry.server)
                return Choice(probe=best)
            last = dataclasses.replace(
                last,
                refusal=refusal,
                wait_seconds=wait,
                outdated=refusal is admission.Refusal.SERVER_LIMIT,
            )
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

    def _holds_turn(self, server: registry.Server) -> bool:
        return self._turn is not None and self._turn.server_id == server.id

    def _record_send(self, server: registry.Server) -> None:
        if self._holds_turn(server):
            # The turn is already recorded, and now used.
            self._turn = None
        else:
            self._shared.send_times.record(server.id, at=time.monotonic())

    def _check_limits(
        self, candidate: placement.Candidate
    ) -> tuple[admission.Refusal | None, float]:
        """Applies the rate limits of a server; returns like `_check`."""
        now = time.monotonic()
        server = candidate.entry.server
        if not self._apply_named_limits([candidate.entry], now):
            return admission.Refusal.SERVER_LIMIT, 0.0
        if candidate.report is not None:
            cold = candidate.report.cold_seconds > 0
        else:
            cold = candidate.entry.cold_until > now
        if not cold:
            return None, 0.0
        if self._holds_turn(server) and (
            self._turn.interval_seconds >= cold_limits.INTERVAL_SECONDS
        ):
            return None, 0.0
        send_at = cold_limits.next_send_at(
            server,
            calls_per_second=self._service.cold_calls_per_second,
            election=self._shared.election,
            times=self._shared.send_times,
            boot_now=core.boot_seconds(),
        )
        if send_at > now:
            wait = min(send_at - now, cold_limits.INTERVAL_SECONDS)
            return admission.Refusal.COLD_LIMIT, wait
        return None, 0.0
