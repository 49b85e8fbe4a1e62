"""Forwards one call, with its repeats and hedges, to a final answer.

`_selection` chooses the servers; `_admission`, `_budgets` and `_hedging` decide
whether the call is repeated.
"""

import dataclasses
import enum
import time

import curio

import banyandale_core as core
from banyandale_direct import _admission as admission
from banyandale_direct import _budgets as budgets
from banyandale_direct import _channels as channels
from banyandale_direct import _configuration as configuration
from banyandale_direct import _context as context
from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _fingerprints as fingerprints
from banyandale_direct import _handovers as handovers
from banyandale_direct import _hedging as hedging
from banyandale_direct import _members as members
from banyandale_direct import _memory as memory
from banyandale_direct import _named_limits as named_limits
from banyandale_direct import _placement as placement
from banyandale_direct import _protocols as protocols
from banyandale_direct import _quarantine as quarantine
from banyandale_direct import _registry as registry
from banyandale_direct import _selection as selection
from banyandale_direct import _server_health as server_health
import banyandale_http as http

# Additional attempts of a call that ended before anything was sent, because the
# chosen server left or refused the connection.
UNSENT_ATTEMPTS = 2
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
TIMED_OUT_STATUS = 504
# Statuses by which a caller is told that its call has not run and will not run.
NOT_RUN_PROMISES = frozenset({408, 421, 429, NOT_RUN_STATUS})
# Answers that guarantee that the server did not run the call.
NOT_RUN_KINDS = frozenset(
    {
        protocols.AnswerKind.SHED,
        protocols.AnswerKind.EXPIRED,
        protocols.AnswerKind.MISDIRECTED,
    }
)
# Answers that may come from another server or belong to another call.
UNSIGNED_KINDS = frozenset(
    {protocols.AnswerKind.INVALID, protocols.AnswerKind.MISDIRECTED}
)
# Answers after which the server is known to have run the call and to live.
RUN_KINDS = frozenset(
    {protocols.AnswerKind.SERVED, protocols.AnswerKind.FAILED}
)
# Failures with which the connection to the server ended.
BROKEN_CODES = frozenset(
    {http.TruncatedResponseError.code, http.SendError.code}
)
# Retry delay of callers whose request crashes servers. Callers that wait this
# long at most come back after the longest delay that they accept.
CRASHING_RETRY_AFTER_SECONDS = 60.0
# Servers of the same service that are asked when one has gone silent.
COMPARED_SERVERS = 3
# Longest time to find out that a server is silent and that others are not.
SILENCE_CHECK_SECONDS = 2 * channels.REPORT_TIMEOUT_SECONDS
# A server whose call has ended without an answer is asked at once, and again
# this long after the time that the call could have lasted there.
AFTERMATH_SECONDS = 0.25
# Callers rejected by a stopping gateway can retry elsewhere immediately.
STOPPING_RETRY_AFTER_SECONDS = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FinalAnswer:
    """The gateway's final answer to a caller.

    Attributes:
        response: A server's response, or None when the call is refused.
        status: Status of the answer.
        refusal: Reason of the refusal, or None.
        retry_after_seconds: Delay after which the caller should retry, or None.
    """

    response: http.Response | None
    status: int
    refusal: admission.Refusal | None = None
    retry_after_seconds: float | None = None


def refuse_not_run(
    refusal: admission.Refusal, retry_after_seconds: float | None
) -> FinalAnswer:
    """Returns the answer to a call that did not and will not run."""
    return FinalAnswer(
        response=None,
        status=NOT_RUN_STATUS,
        refusal=refusal,
        retry_after_seconds=retry_after_seconds,
    )


def leave_unknown() -> FinalAnswer:
    """Returns the answer to a call that may have run."""
    return FinalAnswer(
        response=None,
        status=UNKNOWN_STATUS,
        refusal=admission.Refusal.OUTCOME_UNKNOWN,
    )


def refuse_stopping() -> FinalAnswer:
    """Returns the answer to a call that did not run as the process ends."""
    return refuse_not_run(
        admission.Refusal.STOPPING, STOPPING_RETRY_AFTER_SECONDS
    )


class _WakeReason(enum.Enum):
    """Events other than the end of an attempt that wake a waiting call."""

    CALLER_LEFT = "caller_left"
    HEDGE_PLANNED = "hedge_planned"
    STOPPING = "stopping"


@dataclasses.dataclass(kw_only=True, slots=True)
class _Attempt:
    """One attempt to send the call to a server.

    Attributes:
        open: Whether it has not ended yet.
        server_id: The chosen server; empty until one is chosen.
        entry: Its entry, or None while there is none.
        sent_at: Monotonic seconds when it was chosen.
        sent: Whether a byte may have reached the server.
        kind: Meaning of the server's response, or None without one.
        response: The complete response, if any.
        refusal: Reason why nothing was sent, or None.
        wait_seconds: Expected time until a slot is free, with a refusal.
        error: Code of the failure, or None.
        selection_fields: Log fields of the refusal when no server was chosen.
        report: Load report by which the server was chosen, or None.
        run: Whether the server may have run the call.
        permit: Permission to send the call's content.
        waiting: Whether it is sent, or about to be, and not answered yet.
        checking: Whether its server is asked for a report, as it is overdue.
        silenced: Whether its server answers nothing any more.
        handed_over: Whether another gateway made its sends.
    """

    open: bool = True
    server_id: str = ""
    entry: registry.Entry | None = None
    sent_at: float = 0.0
    sent: bool = False
    kind: protocols.AnswerKind | None = None
    response: http.Response | None = None
    refusal: admission.Refusal | None = None
    wait_seconds: float = 0.0
    error: str | None = None
    selection_fields: dict[str, object] = dataclasses.field(
        default_factory=dict
    )
    report: placement.LoadReport | None = None
    run: core.RunMark = core.RunMark.NOT_RUN
    permit: quarantine.Permit = quarantine.UNSUSPECTED
    waiting: bool = False
    checking: bool = False
    silenced: bool = False
    handed_over: bool = False

    @property
    def unanswered(self) -> bool:
        """Whether a server has the call and has neither answered nor ended."""
        return (
            self.sent
            and self.entry is not None
            and self.kind is None
            and self.error in (None, http.ResponseTimeoutError.code)
        )


class Exchange:
    """One call in progress."""

    def __init__(
        self,
        *,
        shared: context.Shared,
        call: protocols.Call,
        route: configuration.Route,
        service: configuration.Service,
        started_at: float,
        age_seconds: float,
        version: int,
        terms: handovers.Terms | None = None,
    ) -> None:
        """Creates an exchange.

        Args:
            shared: State shared by all calls.
            call: The call.
            route: Its route.
            service: The service chosen for it.
            started_at: Monotonic seconds when it was read.
            age_seconds: Time between the caller's first attempt and
                `started_at`.
            version: Version of the configuration in use.
            terms: How another gateway has handed the call over; None for a
                call of a caller.
        """
        if terms is not None:
            route = dataclasses.replace(
                route, max_attempts=min(route.max_attempts, terms.attempts)
            )
        self._terms = terms
        self._age_seconds = age_seconds
        self._shared = shared
        self._call = call
        self._route = route
        self._service = service
        self._started_at = started_at
        self._version = version
        self._answer_by = route.find_deadline(
            arrived_at=started_at, remaining_seconds=call.remaining_seconds
        )
        self._selection = selection.Selection(
            shared=shared,
            route=route,
            service=service,
            target_at=started_at + route.target_seconds - age_seconds,
            answer_by=self._answer_by,
            can_hand_over=self._can_hand_over,
        )
        self._events: curio.Queue = curio.Queue()
        self._tried: set[str] = set()
        self._attempts: list[_Attempt] = []
        self._tasks: list[curio.Task] = []
        self._hedge_at: float | None = None
        self._ended = False
        self._abandoned = False
        self._reserved_bytes = 0

    @property
    def attempts(self) -> list[dict[str, object]]:
        """The attempts so far, for the log."""
        return [
            {
                "server": attempt.server_id,
                "outcome": attempt.kind.value
                if attempt.kind
                else attempt.error
                or (attempt.refusal.value if attempt.refusal else "open"),
                **attempt.selection_fields,
            }
            for attempt in self._attempts
        ]

    @property
    def answer_by(self) -> float:
        """Deadline of the answer, in monotonic seconds."""
        return self._answer_by

    @property
    def _budget(self) -> budgets.RepeatBudget:
        return self._shared.budget(self._service.name)

    async def run(self) -> FinalAnswer | None:
        """Returns the final answer, or None if the caller left."""
        if self._abandoned:
            self._log_caller_left()
            return None
        if self._terms is None or not self._terms.repeat:
            self._budget.record_call(self._started_at)
        try:
            await self._start_attempt()
            return await self._finish()
        finally:
            # Attempts run on until they are cancelled; this keeps them from
            # sending.
            self._ended = True
            for task in self._tasks:
                await task.cancel()
            await self._conclude()

    async def _conclude(self) -> None:
        """Follows up the servers that have not answered the call.

        A call that another server has answered has silenced none.
        """
        if any(a.kind in RUN_KINDS for a in self._attempts):
            for attempt in self._attempts:
                if attempt.unanswered:
                    await self._shared.quarantine.release(attempt.permit)
            return
        unanswered = [
            attempt
            for attempt in self._attempts
            if attempt.unanswered and not attempt.silenced
        ]
        if unanswered:
            await curio.spawn(self._watch_aftermath, unanswered, daemon=True)

    async def _watch_aftermath(self, attempts: list[_Attempt]) -> None:
        """Records servers that went silent right before or after the end.

        A server may run the call for the longest time from its own send.
        """
        longest = self._answer_by - self._started_at
        now = time.monotonic()
        checks = [(now, attempt) for attempt in attempts]
        checks += [
            (max(now, attempt.sent_at + longest) + AFTERMATH_SECONDS, attempt)
            for attempt in attempts
        ]
        try:
            for check_at, attempt in sorted(checks, key=lambda check: check[0]):
                if not attempt.silenced:
                    await self._check_aftermath(attempt, check_at)
            for attempt in attempts:
                await self._shared.quarantine.release(attempt.permit)
        except Exception as error:  # The call itself has ended.
            self._record_fault(error)

    async def _check_aftermath(
        self, attempt: _Attempt, check_at: float
    ) -> None:
        await self._shared.quarantine.extend(
            attempt.permit,
            check_at + 2 * SILENCE_CHECK_SECONDS - time.monotonic(),
        )
        await curio.sleep(max(check_at - time.monotonic(), 0.0))
        if await self._is_silent(attempt, attempt.entry):
            await self._record_silence(attempt, attempt.entry.server)

    async def abandon(self) -> None:
        """Ends the call because its caller has left."""
        self._abandoned = True
        await self._events.put(_WakeReason.CALLER_LEFT)

    async def stop_waiting(self) -> None:
        """Ends the call if no server has it, because the process ends."""
        await self._events.put(_WakeReason.STOPPING)

    def _reserve_memory(self, size: int) -> bool:
        reserved = self._shared.answer_memory.try_reserve(size)
        if reserved:
            self._reserved_bytes += size
        return reserved

    def release_memory(self) -> None:
        """Returns the memory of the answers, which must not be used later."""
        self._shared.answer_memory.release(self._reserved_bytes)
        self._reserved_bytes = 0

    async def _start_attempt(self) -> None:
        attempt = _Attempt()
        self._attempts.append(attempt)
        task = await curio.spawn(self._run_attempt, attempt, daemon=True)
        self._tasks.append(task)

    async def _run_attempt(self, attempt: _Attempt) -> None:
        try:
            await self._attempt(attempt)
        except Exception as error:  # The call must still be answered.
            attempt.error = "internal_error"
            self._record_fault(error)
        attempt.open = False
        await self._events.put(attempt)

    def _record_fault(self, error: Exception) -> None:
        self._shared.metrics.incr("internal_error")
        self._shared.events.write_state(
            "fault", request=self._call.id, error=repr(error)
        )

    async def _finish(self) -> FinalAnswer | None:
        open_attempts = 1
        while True:
            wake_at = self._answer_by
            if self._hedge_at is not None:
                wake_at = min(wake_at, self._hedge_at)
            try:
                async with core.timeout_at(wake_at):
                    event = await self._events.get()
            except curio.TaskTimeout:
                if time.monotonic() >= self._answer_by:
                    return self._time_out()
                self._hedge_at = None
                if self._may_hedge():
                    await self._start_attempt()
                    open_attempts += 1
                continue
            if event is _WakeReason.HEDGE_PLANNED:
                continue
            if event is _WakeReason.CALLER_LEFT:
                self._log_caller_left()
                return None
            if event is _WakeReason.STOPPING:
                if any(a.open and a.sent for a in self._attempts):
                    continue
                return self._end_wait()
            open_attempts -= 1
            if event.kind is protocols.AnswerKind.SERVED:
                return FinalAnswer(
                    response=event.response, status=event.response.status
                )
            if open_attempts > 0:
                continue
            if not self._may_repeat(event):
                return self._choose_answer()
            await self._start_attempt()
            open_attempts = 1

    def _end_wait(self) -> FinalAnswer:
        """Returns the answer to a call that was at no server at the exit."""
        if self._may_have_run():
            return leave_unknown()
        return refuse_stopping()

    def _may_send(self) -> bool:
        """Returns whether an answer may be expected before the process ends.

        Asked for each send, since the call may have waited.
        """
        stop = self._shared.stop
        return stop is None or stop.accepts_call(
            now=time.monotonic(),
            deadline=self._answer_by,
            estimate_seconds=self._shared.demands.find(
                self._route
            ).work_seconds,
            repeatable=self._route.repeatable,
        )

    def _may_hedge(self) -> bool:
        allowed = (
            self._route.repeatable
            and self._may_send()
            # The hedge of a call that silenced its server needs permission.
            and (self._attempts[0].silenced or not self._is_suspect())
            and self._count_sends() < self._route.max_attempts
            and self._spend_repeat()
        )
        self._shared.metrics.incr(
            "hedges:sent" if allowed else "hedges:not_allowed"
        )
        return allowed

    def _is_suspect(self) -> bool:
        return (
            self._shared.quarantine.suspicion(self._call)
            is not crash_records.Suspicion.NONE
        )

    def _may_repeat(self, attempt: _Attempt) -> bool:
        if attempt.refusal is not None:
            return False
        if attempt.handed_over and attempt.sent:
            # The receiver may have used all attempts.
            return False
        maybe_run = attempt.run is not core.RunMark.NOT_RUN
        if maybe_run and not self._route.repeatable:
            return False
        if not self._attempts_left():
            return False
        work = self._shared.demands.find(self._route).work_seconds
        in_time = admission.meets_deadline(
            estimate_seconds=work,
            now=time.monotonic(),
            deadline=self._answer_by,
        )
        return in_time and (not attempt.sent or self._spend_repeat())

    def _attempts_left(self) -> bool:
        most = self._route.max_attempts
        return (
            self._count_sends() < most
            and len(self._attempts) < most + UNSENT_ATTEMPTS
        )

    def _count_sends(self) -> int:
        """Counts sends, including open attempts without a server yet."""
        return sum(
            1 for attempt in self._attempts if attempt.sent or attempt.open
        )

    def _spend_repeat(self) -> bool:
        return self._budget.try_spend(
            now=time.monotonic(),
            # A process that ended may have used this gateway's part.
            gateways=self._shared.election.count_gateways(
                stable_seconds=self._shared.settings.repeat_window_seconds,
                now=core.boot_seconds(),
            ),
        )

    def _may_have_run(self) -> bool:
        return any(
            attempt.run is not core.RunMark.NOT_RUN
            for attempt in self._attempts
        )

    def _time_out(self) -> FinalAnswer:
        if self._may_have_run():
            return FinalAnswer(
                response=None,
                status=TIMED_OUT_STATUS,
                refusal=admission.Refusal.TIMED_OUT,
            )
        return refuse_not_run(admission.Refusal.TIMED_OUT, None)

    def _choose_answer(self) -> FinalAnswer:
        """Returns the answer of a call that no server served."""
        failed = None
        for attempt in self._attempts:
            if attempt.kind is protocols.AnswerKind.FAILED:
                failed = attempt.response
        if failed is not None and failed.status not in NOT_RUN_PROMISES:
            return FinalAnswer(response=failed, status=failed.status)
        if self._may_have_run():
            return leave_unknown()
        last = self._attempts[-1]
        if last.refusal is not None and last.response is not None:
            # A receiver's own answer.
            return FinalAnswer(
                response=last.response,
                status=last.response.status,
                refusal=last.refusal,
            )
        if last.refusal is admission.Refusal.STOPPING:
            return refuse_stopping()
        if last.refusal is admission.Refusal.CRASHES_SERVERS:
            return refuse_not_run(last.refusal, CRASHING_RETRY_AFTER_SECONDS)
        wait = last.wait_seconds
        if last.refusal is None and last.report is not None:
            # No wait if slots are free: such a server may accept the next call.
            work = self._shared.demands.find(self._route).work_seconds
            wait = placement.estimate_seconds(last.report, work) - work
        return refuse_not_run(
            last.refusal or admission.Refusal.NO_ROOM,
            admission.draw_retry_after_seconds(
                wait_seconds=wait, random_source=self._shared.random
            ),
        )

    def _log_caller_left(self) -> None:
        self._shared.metrics.incr("caller_left")
        self._shared.events.write(
            "caller_left",
            request=self._call.id,
            route=self._route.name,
            seconds=round(time.monotonic() - self._started_at, 4),
            attempts=self.attempts,
        )

    async def _attempt(self, attempt: _Attempt) -> None:
        await self._shared.quarantine.catch_up()
        if not self._is_suspect():
            await self._attempt_permitted(attempt)
            return
        quarantined = self._shared.quarantine
        work = self._shared.demands.find(self._route).work_seconds
        permit = await quarantined.acquire(
            self._call,
            lease_seconds=work * server_health.OVERDUE_FACTOR
            + SILENCE_CHECK_SECONDS,
            deadline=self._answer_by - work * admission.WORK_MARGIN,
        )
        if permit is None:
            attempt.refusal = quarantined.find_refusal(self._call)
            attempt.wait_seconds = work
            attempt.selection_fields = quarantined.describe(self._call)
            return
        attempt.permit = permit
        try:
            await self._attempt_permitted(attempt)
        finally:
            # Also when cancelled: others wait for the permission.
            if not attempt.unanswered:
                await quarantined.release(attempt.permit)

    async def _attempt_permitted(self, attempt: _Attempt) -> None:
        tried, first = frozenset(self._tried), len(self._attempts) == 1
        choice = await self._selection.choose(tried=tried, first=first)
        if not self._may_send():
            attempt.refusal = admission.Refusal.STOPPING
            if choice.probe is not None:
                await self._shared.channels.release(choice.probe)
            return
        if choice.hand_over:
            if await self._hand_over(attempt):
                return
            choice = await self._selection.choose(
                tried=tried, first=first, direct=True
            )
        attempt.refusal = choice.refusal
        attempt.wait_seconds = choice.wait_seconds
        probe = choice.probe
        if probe is None:
            attempt.selection_fields = choice.describe(now=time.monotonic())
            return
        if not attempt.permit.holder and self._is_suspect():
            # A server has ended under the same content in the meantime.
            attempt.error = "suspected"
            await self._shared.channels.release(probe)
            return
        server = probe.candidate.entry.server
        attempt.server_id = server.id
        attempt.report = probe.candidate.report
        self._tried.add(server.id)
        health = self._shared.server_health.find(
            server.id, started_unix_ms=server.started_unix_ms
        )
        health.in_flight += 1
        sent_at = time.monotonic()
        attempt.entry = probe.candidate.entry
        attempt.sent_at = sent_at
        self._log_placed(probe, sent_at)
        await self._plan_hedge(sent_at)
        attempt.waiting = True
        watch = await curio.spawn(
            self._watch_silence,
            attempt,
            probe.candidate.entry,
            sent_at,
            daemon=True,
        )
        try:
            await self._send(attempt, probe)
        finally:
            health.in_flight -= 1
            attempt.waiting = False
            if not attempt.checking:
                await watch.cancel(blocking=False)
        self._record_outcome(attempt, server.id, time.monotonic() - sent_at)
        await self._record_evidence(attempt, server, time.monotonic() - sent_at)

    async def _watch_silence(
        self, attempt: _Attempt, entry: registry.Entry, sent_at: float
    ) -> None:
        """Records that the call has silenced its server, once it has.

        The server is asked when the call is overdue, and then less and less
        often while the call is at it.
        """
        try:
            check_at = max(
                server_health.find_overdue_at(
                    sent_at, expected_seconds=self._expect_seconds(attempt)
                ),
                sent_at + channels.REPORT_TIMEOUT_SECONDS,
            )
            while not await self._check_silence(attempt, entry, check_at):
                check_at += check_at - sent_at
        except Exception as error:  # The call itself goes on.
            self._record_fault(error)

    async def _check_silence(
        self, attempt: _Attempt, entry: registry.Entry, check_at: float
    ) -> bool:
        """Asks the server at some time; returns whether that was the last."""
        # Most calls are answered before their permission must be extended.
        await curio.sleep(max(check_at - time.monotonic(), 0.0) / 2)
        await self._shared.quarantine.extend(
            attempt.permit,
            check_at + SILENCE_CHECK_SECONDS - time.monotonic(),
        )
        await curio.sleep(max(check_at - time.monotonic(), 0.0))
        if not attempt.sent:
            # It still waits for a connection.
            return False
        attempt.checking = True
        try:
            silenced = await self._is_silent(attempt, entry)
            if silenced and attempt.kind is None:
                await self._record_silence(attempt, entry.server)
                return True
        finally:
            attempt.checking = False
        return not attempt.waiting

    async def _is_silent(
        self, attempt: _Attempt, entry: registry.Entry
    ) -> bool:
        """Returns whether the call may have silenced its server."""
        reports = await self._reports(entry)
        return crash_records.has_silenced(
            reported_before=attempt.report is not None,
            reports=reports,
            others_report=not reports
            and await self._others_report(entry.server),
        )

    async def _record_silence(
        self, attempt: _Attempt, server: registry.Server
    ) -> None:
        """Records that the call has silenced its server, and hedges it."""
        if attempt.silenced:
            return
        permit = attempt.permit
        # It is held from here on, even if the call waits for much longer.
        attempt.permit = dataclasses.replace(permit, holder="")
        attempt.silenced = True
        await self._shared.quarantine.record_silence(
            self._call,
            server,
            permit=permit,
            sent_at=attempt.sent_at,
            waiting=attempt.waiting,
        )
        if self._ended:
            return
        if not permit.holder and len(self._attempts) == 1:
            self._hedge_at = time.monotonic()
            await self._events.put(_WakeReason.HEDGE_PLANNED)

    async def _reports(self, entry: registry.Entry) -> bool:
        """Returns whether a server reports to this gateway now."""
        probe = await self._shared.channels.probe(
            entry,
            self._service,
            local=False,
            avoided=False,
            deadline=time.monotonic() + channels.REPORT_TIMEOUT_SECONDS,
        )
        await self._shared.channels.release(probe)
        report = probe.candidate.report
        return report is not None and (
            report.server_id in ("", entry.server.id)
        )

    async def _others_report(self, server: registry.Server) -> bool:
        """Returns whether another server of the service reports now."""
        now = time.monotonic()
        others = {
            entry.server.id: entry
            for entry in self._shared.registry.find(self._service.name, now=now)
            if entry.server.id != server.id
        }
        for server_id in self._shared.paths.list_unreached(
            self._service.name, others, now=now
        ):
            del others[server_id]
        asked = self._shared.random.sample(
            list(others.values()), min(len(others), COMPARED_SERVERS)
        )
        async with curio.TaskGroup() as group:
            for entry in asked:
                await group.spawn(self._reports, entry)
        return any(group.results)

    async def _record_evidence(
        self, attempt: _Attempt, server: registry.Server, seconds: float
    ) -> None:
        """Records whether the call has ended the server that ran it."""
        if attempt.kind in RUN_KINDS:
            await self._shared.quarantine.record_answer(self._call)
            return
        if not attempt.sent or attempt.kind is not None:
            return
        overdue = (
            attempt.error == http.ResponseTimeoutError.code
            and self._is_overdue(attempt, seconds)
        )
        if overdue or attempt.error in BROKEN_CODES:
            await self._shared.quarantine.record_break(
                self._call,
                server,
                permit=attempt.permit,
                answers=overdue,
            )

    def _can_hand_over(self) -> bool:
        return self._terms is None and bool(self._list_receivers())

    def _list_receivers(self) -> list[members.Member]:
        settings = self._shared.settings
        regions = {settings.regions.get(settings.zone), *self._route.regions}
        servers = self._shared.registry.find(
            self._service.name, now=time.monotonic()
        )
        found = self._shared.handovers.list_receivers(
            service=self._service.name,
            server_zones={entry.server.zone for entry in servers},
            allowed_zones=[
                zone
                for zone, region in settings.regions.items()
                if not self._route.regions or region in regions
            ],
        )
        return [member for member in found if member.ip not in self._tried]

    async def _hand_over(self, attempt: _Attempt) -> bool:
        """Hands the call over to another gateway, if one takes it."""
        receiver = await self._shared.handovers.choose(
            self._list_receivers(), service=self._service.name
        )
        if receiver is None:
            return False
        # The receiver asks for permission itself.
        await self._shared.quarantine.release(attempt.permit)
        attempt.permit = quarantine.UNSUSPECTED
        attempt.server_id = receiver.ip
        self._tried.add(receiver.ip)
        pool = self._shared.handovers.call_pool(receiver)
        try:
            connection = await pool.acquire(
                deadline=min(
                    self._answer_by,
                    time.monotonic() + handovers.CONNECT_SECONDS,
                ),
                verified=True,
                key=self._call.id,
            )
        except http.ConnectError as error:
            attempt.error = error.code
            return True
        if self._ended:
            attempt.error = "call_ended"
            await pool.release(connection)
            return True
        await self._exchange_over(attempt, receiver, pool, connection)
        return True

    async def _exchange_over(
        self,
        attempt: _Attempt,
        receiver: handovers.Receiver,
        pool: http.Pool,
        connection: http.ClientConnection,
    ) -> None:
        """Sends the call to a receiver, and reads its answer."""
        terms = self._make_terms()
        if not terms.repeat:
            # The receiver counts it.
            self._budget.forget_call(self._started_at)
        self._log_handed_over(receiver, terms)
        attempt.handed_over = True
        response = await self._exchange(
            attempt,
            handovers.add_terms(self._call.request, terms),
            pool=pool,
            connection=connection,
        )
        if response is None:
            return
        kind = self._shared.codec.read_answer(self._call, response)
        if kind is protocols.AnswerKind.INVALID:
            # A refusal, too, may be that of another call.
            attempt.kind = kind
            await pool.discard(connection)
            return
        await pool.release(connection)
        outcome = handovers.read_answer(response)
        attempt.response = outcome.response
        if outcome.refusal is None:
            attempt.kind = kind
            return
        attempt.run = outcome.run
        if outcome.refusal in handovers.NOT_TAKEN:
            attempt.sent = False
            attempt.error = outcome.refusal.value
        else:
            attempt.refusal = outcome.refusal

    def _make_terms(self) -> handovers.Terms:
        now = time.monotonic()
        # This attempt is counted already.
        sends = self._count_sends() - 1
        return handovers.Terms(
            remaining_seconds=self._answer_by - now,
            age_seconds=self._age_seconds + now - self._started_at,
            attempts=max(self._route.max_attempts - sends, 1),
            repeat=sends > 0,
        )

    def _log_handed_over(
        self, receiver: handovers.Receiver, terms: handovers.Terms
    ) -> None:
        service = self._service.name
        now = time.monotonic()
        reached = self._shared.paths.reached_seconds_ago(service, now=now)
        self._shared.metrics.incr("handovers:sent")
        self._shared.events.write(
            "handed_over",
            request=self._call.id,
            route=self._route.name,
            service=service,
            attempt=len(self._attempts),
            gateway=receiver.ip,
            open_calls=receiver.open_calls,
            remaining=round(terms.remaining_seconds, 3),
            attempts_left=terms.attempts,
            reached_seconds_ago=None if reached is None else round(reached, 3),
        )

    async def _plan_hedge(self, sent_at: float) -> None:
        if len(self._attempts) > 1 or not self._route.repeatable:
            return
        if self._attempts[0].permit.holder:
            return
        demand = self._shared.demands.find(self._route)
        self._hedge_at = hedging.hedge_at(
            started_at=self._started_at,
            sent_at=sent_at,
            target_seconds=self._route.target_seconds,
            work_seconds=demand.work_seconds,
        )
        # Wakes `_finish`, which still waits for the previous deadline.
        await self._events.put(_WakeReason.HEDGE_PLANNED)

    async def _send(self, attempt: _Attempt, probe: channels.Probe) -> None:
        server = probe.candidate.entry.server
        pool = self._shared.channels.pool(server.address)
        connection = probe.connection
        probe.connection = None
        if connection is not None and connection.has_carried(self._call.id):
            # A copy of the earlier answer could not be told apart.
            await pool.release(connection)
            connection = None
        if connection is None:
            try:
                connection = await self._acquire_connection(server)
            except http.HttpError as error:
                attempt.error = error.code
                self._record_path(server, reached=False)
                return
        # There must be no await between these checks and the send: the call
        # could end or the server leave in between.
        if self._ended or not self._shared.registry.is_usable(server.id):
            attempt.error = "server_left"
            await pool.release(connection)
            return
        request = self._shared.codec.write_call(
            self._call,
            server_id=server.id,
            remaining_seconds=self._answer_by - time.monotonic(),
        )
        self._shared.channels.record_send(server.id)
        response = await self._exchange(
            attempt, request, pool=pool, connection=connection
        )
        if response is None:
            return
        self._record_path(server, reached=True)
        attempt.kind = self._shared.codec.read_answer(self._call, response)
        attempt.response = response
        self._record_limit(server, attempt)
        refused = attempt.kind in NOT_RUN_KINDS
        # Without an id, it may be the answer to an earlier call.
        proven = refused and bool(self._call.id)
        if proven:
            attempt.run = core.RunMark.NOT_RUN
        if attempt.kind is protocols.AnswerKind.INVALID or (
            refused and not proven
        ):
            # The response to this call may still arrive.
            await pool.discard(connection)
        else:
            await pool.release(connection)

    async def _exchange(
        self,
        attempt: _Attempt,
        request: http.Request,
        *,
        pool: http.Pool,
        connection: http.ClientConnection,
    ) -> http.Response | None:
        """Sends a request at once; None if there is no whole response.

        The caller returns the connection to its pool after a response.
        """
        attempt.sent = True
        attempt.run = core.RunMark.UNKNOWN
        try:
            return await connection.exchange_matching(
                request,
                matches=self._is_own,
                limit=memory.MAX_ANSWER_BYTES,
                deadline=self._answer_by,
                reserve=self._reserve_memory,
                key=self._call.id,
            )
        except http.HttpError as error:
            attempt.error = error.code
            attempt.run = error.run
            await pool.discard(connection)
            return None
        except BaseException:
            # Closing the connection makes the other side cancel the call.
            await pool.discard(connection)
            raise

    async def _acquire_connection(
        self, server: registry.Server
    ) -> http.ClientConnection:
        """Returns a connection to a server whose report was shared.

        A call that may not be repeated is sent only where an answer came from:
        a new connection may be closed before the server reads the call.
        """
        if self._route.repeatable:
            pool = self._shared.channels.pool(server.address)
            return await pool.acquire(
                deadline=self._answer_by, verified=True, key=self._call.id
            )
        deadline = max(
            self._started_at + channels.LATE_REPORT_SECONDS,
            time.monotonic() + channels.REPORT_TIMEOUT_SECONDS,
        )
        return await self._shared.channels.acquire_answering(
            server,
            self._service,
            key=self._call.id,
            deadline=min(deadline, self._answer_by),
        )

    def _record_path(self, server: registry.Server, *, reached: bool) -> None:
        self._shared.paths.record(
            server.service, server.id, reached=reached, now=time.monotonic()
        )

    def _record_limit(self, server: registry.Server, attempt: _Attempt) -> None:
        if attempt.kind in UNSIGNED_KINDS:
            return
        try:
            limit = self._shared.codec.read_limit(attempt.response)
        except protocols.MalformedLimitError as error:
            self._shared.metrics.incr("limit_unreadable")
            self._shared.events.write(
                "limit_unreadable",
                request=self._call.id,
                server=server.id,
                error=str(error),
            )
            return
        if limit is None and attempt.kind in NOT_RUN_KINDS:
            # A rejection may be sent before the server adds its limit.
            return
        notice = named_limits.Notice(
            server_id=server.id,
            started_unix_ms=server.started_unix_ms,
            calls_per_second=limit,
            said_at=core.boot_seconds(),
        )
        if self._shared.named_limits.record(notice):
            self._shared.metrics.incr("limits_named")
            self._shared.events.write_state(
                "limit_named",
                request=self._call.id,
                server=server.id,
                calls_per_second=limit,
                source="answer",
            )

    def _is_own(self, head: http.ResponseHead) -> bool:
        return self._shared.codec.matches_call(self._call, head)

    def _record_outcome(
        self, attempt: _Attempt, server_id: str, seconds: float
    ) -> None:
        shared = self._shared
        now = time.monotonic()
        kind = attempt.kind
        if kind is protocols.AnswerKind.SERVED:
            shared.server_health.record_success(server_id)
            work = None
            if attempt.report is not None:
                work = placement.estimate_work(attempt.report, seconds)
            shared.demands.record(
                self._route.name,
                work_seconds=work,
                transfer_bytes=len(self._call.request.body)
                + len(attempt.response.body),
            )
            shared.metrics.timing(
                "server_answer", seconds * core.MILLISECONDS_PER_SECOND
            )
            return
        outcome = kind.value if kind else attempt.error
        shared.metrics.incr(f"attempt_failed:{outcome}")
        if kind is protocols.AnswerKind.EXPIRED:
            return
        if kind is protocols.AnswerKind.SHED:
            shared.server_health.record_shed(server_id, now=now)
            return
        if attempt.error == "server_left":
            return
        if attempt.error == http.ResponseTimeoutError.code and (
            not self._is_overdue(attempt, seconds)
        ):
            return
        until = shared.server_health.record_failure(server_id, now=now)
        shared.events.write(
            "server_avoided",
            request=self._call.id,
            content=fingerprints.compute_fingerprint(self._call).hex(),
            server=server_id,
            outcome=outcome,
            seconds=round(seconds, 4),
            avoid_seconds=round(until - now, 2),
        )

    def _is_overdue(self, attempt: _Attempt, seconds: float) -> bool:
        """Returns whether an unanswered call counts as its server's failure."""
        return server_health.is_overdue(
            seconds, expected_seconds=self._expect_seconds(attempt)
        )

    def _expect_seconds(self, attempt: _Attempt) -> float:
        work = self._shared.demands.find(self._route).work_seconds
        if attempt.report is None:
            return work
        return placement.estimate_seconds(attempt.report, work)

    def _log_placed(self, probe: channels.Probe, now: float) -> None:
        self._shared.events.write(
            "placed",
            request=self._call.id,
            route=self._route.name,
            service=self._service.name,
            config_version=self._version,
            attempt=len(self._attempts),
            remaining=round(self._answer_by - now, 3),
            limit=self._shared.named_limits.find(probe.candidate.entry.server),
            **probe.describe(now=now),
        )
