"""Assignment of requests to the slots of one service's servers."""

from collections.abc import Mapping
from collections.abc import Sequence
import math

import curio

import banyandale_core as core
from banyandale_dispatch import _errors as errors
from banyandale_dispatch import _policies as policies
from banyandale_dispatch import _queues as queues
from banyandale_dispatch import _states as states
from banyandale_dispatch import _statistics as statistics
from banyandale_dispatch import _wakeups as wakeups

LOWEST_PRIORITY = 9
NO_ADDRESSES: frozenset[str] = frozenset()

# A server that lost a connection gets no work for this long, doubled with
# each further loss in a row. From the second loss on it counts as DOWN.
FIRST_LOSS_PAUSE_SECONDS = 0.05
MAX_LOSS_PAUSE_SECONDS = 1.0
DOWN_LOSSES = 2
# A server that sheds has no free slot; the pause keeps its quick rejections
# from attracting more requests.
MAX_SHED_PAUSE_SECONDS = 0.05
# A server in cold start gets no work for this long after a request that was
# given up: the server works on it until it sees the closed connection.
CANCEL_PAUSE_SECONDS = 0.05
# A server that fails this often in a row is used only when no other is free,
# because quick failures would make it the least loaded one.
SUSPECT_FAILURES = 3
# At twice the peak load and a timeout of ten mean service times, a margin of
# 1.0 let 9% of the admitted requests miss their deadline, 1.5 less than 2%.
WAIT_MARGIN = 1.5
GIVEN_UP_KINDS = frozenset(
    {states.OutcomeKind.CANCELLED, states.OutcomeKind.TIMED_OUT}
)


class Dispatcher:
    """Dispatches the requests of one service to its servers in one zone.

    All methods belong to the thread of the event loop. Only `acquire` waits.

    Attributes:
        times: Service times of the recent past.
    """

    def __init__(
        self,
        *,
        clock: core.Clock | None = None,
        metrics: core.Metrics | None = None,
        policy: policies.Policy | None = None,
        queue_limit: int = 200,
        cold_limit: int = 1,
        cold_min_seconds: float = 1.0,
        slow_factor: float = 3.0,
        limit_slots: bool = True,
        allow_cold: bool = True,
        initial_service_seconds: float = 0.02,
        first_report_seconds: float = 0.0,
    ) -> None:
        """Creates a dispatcher without servers.

        Args:
            clock: Source of monotonic time.
            metrics: Receiver of counters.
            policy: Choice among servers with a free slot.
            queue_limit: Requests that may wait.
            cold_limit: Requests in flight on a server not known to be warm.
            cold_min_seconds: Time that a server stays cold at least.
            slow_factor: Multiple of the recent p90 from which on a request in
                flight makes its server slow.
            limit_slots: Whether slots and cold limits hold and requests
                queue; False sends each request at once (baselines).
            allow_cold: Whether servers not known to be warm get work.
            initial_service_seconds: Service time assumed before the first.
            first_report_seconds: How long a new server waits for its first
                load report before it gets work.
        """
        self._clock = clock or core.SystemClock()
        self._metrics = metrics or core.MemoryMetrics()
        self._policy = policy or policies.LeastLoaded()
        self._queue_limit = queue_limit
        self._cold_limit = cold_limit
        self._cold_min_seconds = cold_min_seconds
        self._slow_factor = slow_factor
        self._limit_slots = limit_slots
        self._allow_cold = allow_cold
        self._first_report_seconds = first_report_seconds
        self._servers: dict[str, states.ServerState] = {}
        self._queue = queues.Queue()
        self._alarm: wakeups.Wakeup | None = None
        self._alarm_at = math.inf
        self.times = statistics.ServiceTimes(
            initial_seconds=initial_service_seconds
        )

    @property
    def allow_cold(self) -> bool:
        """Whether servers not known to be warm get work."""
        return self._allow_cold

    @allow_cold.setter
    def allow_cold(self, allow: bool) -> None:
        if allow != self._allow_cold:
            self._allow_cold = allow
            self._hand_out(self._clock.monotonic())

    def update_servers(self, servers: Sequence[states.Server]) -> None:
        """Takes over the current list of servers.

        A server that is new, or that comes back, counts as cold. Requests in
        flight on a server that is no longer listed keep counting until they
        are released, in case the server comes back.
        """
        now = self._clock.monotonic()
        listed = {server.address: server for server in servers}
        for address, state in list(self._servers.items()):
            if address not in listed:
                state.phase = states.Phase.LEAVING
                state.listed = False
                if not state.in_flight:
                    del self._servers[address]
        for address, server in listed.items():
            state = self._servers.get(address)
            if state is None:
                state = states.ServerState(server, now=now)
                # It may have told another gateway that it is leaving.
                state.retry_at = now + self._first_report_seconds
                self._servers[address] = state
                continue
            returned = not state.listed or (
                state.server.leaving and not server.leaving
            )
            state.server = server
            state.listed = True
            if server.leaving:
                state.phase = states.Phase.LEAVING
            elif returned:
                state.become_cold(now)
        self._hand_out(now)

    def configure(
        self, *, queue_limit: int, cold_limit: int, cold_min_seconds: float
    ) -> None:
        """Takes over changed limits."""
        self._queue_limit = queue_limit
        self._cold_limit = cold_limit
        self._cold_min_seconds = cold_min_seconds
        self._hand_out(self._clock.monotonic())

    def get_warm_boot_ids(self) -> dict[str, str]:
        """Returns the boot identity of each warm server, for a handover."""
        return {
            address: state.boot
            for address, state in self._servers.items()
            if state.phase is states.Phase.WARM and state.boot is not None
        }

    def restore_warm(self, boots: Mapping[str, str]) -> None:
        """Takes over what the previous home knew to be warm.

        Only servers of which nothing else is known are affected.
        """
        for address, boot in boots.items():
            state = self._servers.get(address)
            if state is not None and state.phase is states.Phase.UNKNOWN:
                state.phase = states.Phase.WARM
                state.boot = boot
                # Its cold phase ended before this dispatcher was made.
                state.cold_since = -math.inf
        self._hand_out(self._clock.monotonic())

    async def acquire(
        self,
        *,
        deadline: float,
        priority: int = LOWEST_PRIORITY,
        exclude: frozenset[str] = NO_ADDRESSES,
    ) -> states.Assignment:
        """Waits for a slot.

        The caller must release the assignment in every case.

        Args:
            deadline: Monotonic seconds at which the response is due.
            priority: 0 is the highest.
            exclude: Addresses that must not be assigned.

        Raises:
            NoServerError: No server may receive the request.
            QueueFullError: The queue is full.
            DeadlineUnreachableError: The deadline cannot be met.
            DisplacedError: A request of higher priority took the place.
        """
        now = self._clock.monotonic()
        if now >= deadline:
            raise self._count(
                errors.DeadlineUnreachableError("the deadline has passed")
            )
        if not self._queue:
            state = self._pick(exclude, now, held=0)
            if state is not None:
                return self._assign(state, now)
        if self._alarm is None:
            self._alarm = wakeups.Wakeup()
            await curio.spawn(self._watch_time, daemon=True)
        waiter = self._enqueue(deadline, priority, exclude, now)
        self._hand_out(now)
        try:
            if waiter.assignment is None and waiter.error is None:
                remaining = max(deadline - now, 0.0)
                async with curio.timeout_after(remaining):
                    await waiter.wakeup.wait()
        except curio.TaskTimeout:
            self._drop(waiter)
            raise self._count(
                errors.DeadlineUnreachableError("no slot until the deadline")
            ) from None
        except BaseException:
            self._drop(waiter)
            raise
        if waiter.assignment is None:
            raise waiter.error or errors.DispatchError("woken without a slot")
        return waiter.assignment

    def try_acquire(
        self, *, exclude: frozenset[str] = NO_ADDRESSES
    ) -> states.Assignment | None:
        """Returns a slot that is free and that no waiter needs, if any."""
        now = self._clock.monotonic()
        if self._queue:
            return None
        state = self._pick(exclude, now, held=0, trial=False)
        return None if state is None else self._assign(state, now)

    def release(
        self, assignment: states.Assignment, outcome: states.Outcome
    ) -> None:
        """Returns a slot and takes note of the outcome.

        A second release of the same assignment has no effect.
        """
        state = assignment.state
        if state is None:
            return
        now = self._clock.monotonic()
        self._free(assignment, state)
        self._note_outcome(state, assignment, outcome, now)
        self._hand_out(now)

    def record_load_report(
        self, address: str, report: states.LoadReport
    ) -> None:
        """Takes note of a server's load report."""
        state = self._servers.get(address)
        if state is None or not state.listed:
            return
        now = self._clock.monotonic()
        state.reported_in_flight = report.in_flight
        state.last_report_at = now
        state.losses = 0
        if state.boot is None:
            state.retry_at = now
        if state.server.leaving:
            return
        before = state.phase
        state.note_report(
            report, now=now, cold_min_seconds=self._cold_min_seconds
        )
        if state.phase is not before:
            self._metrics.incr(f"dispatch_server_{state.phase.value}")
            self._hand_out(now)

    def record_connection_loss(self, address: str) -> None:
        """Takes note of a refused or reset connection to a server."""
        state = self._servers.get(address)
        if state is not None:
            now = self._clock.monotonic()
            self._note_loss(state, now)
            self._hand_out(now)

    def mark_unverified(self, address: str) -> None:
        """Takes note that a server may have restarted unnoticed.

        No connection to it lasted since its last report. It counts as cold
        until its next report; when that one is warm and has the same boot
        identity, it is warm at once.
        """
        state = self._servers.get(address)
        if state is not None and state.phase is states.Phase.WARM:
            state.phase = states.Phase.UNKNOWN
            state.epoch += 1

    def mark_all_unverified(self) -> None:
        """Takes note that any server may have restarted unnoticed."""
        for address in self._servers:
            self.mark_unverified(address)

    def is_current(self, assignment: states.Assignment) -> bool:
        """Whether an assigned request may still be sent.

        False once the server turned cold, started leaving or may have
        restarted after the assignment.
        """
        state = assignment.state
        return (
            state is not None
            and assignment.epoch == state.epoch
            and state.phase is not states.Phase.LEAVING
        )

    def revalidate(self, assignment: states.Assignment) -> bool:
        """Makes an assignment current again if the server's limit allows it.

        Returns:
            Whether the assigned request may be sent.
        """
        if self.is_current(assignment):
            return True
        state = assignment.state
        if state is None or state.phase is states.Phase.LEAVING:
            return False
        if state.in_flight > self._limit(state, self._clock.monotonic()):
            return False
        assignment.epoch = state.epoch
        return True

    def is_warm(self, address: str) -> bool:
        """Whether a server is known to be warm."""
        state = self._servers.get(address)
        return state is not None and state.phase is states.Phase.WARM

    def estimate_wait(self) -> float:
        """Returns the seconds that a new request would wait for a slot."""
        return self.load().wait_estimate

    def load(self) -> states.HomeLoad:
        """Returns the load for the other gateways."""
        now = self._clock.monotonic()
        free = 0
        total = 0
        for state in self._servers.values():
            limit = self._limit(state, now)
            total += limit
            if limit > state.in_flight and not self._is_suspect(state, now):
                free += limit - state.in_flight
        queued = len(self._queue)
        wait = 0.0
        if queued or not free:
            wait = self._estimate(queued + 1, total)
        return states.HomeLoad(
            free_slots=free, queued=queued, wait_estimate=wait
        )

    def list_states(self) -> tuple[states.ServerState, ...]:
        """Returns the state of each listed server, for status and probes."""
        return tuple(s for s in self._servers.values() if s.listed)

    def _estimate(self, position: int, slots: int) -> float:
        return self.times.mean * position / slots if slots else math.inf

    def _limit(self, state: states.ServerState, now: float) -> int:
        """Returns how many requests the server may have in flight."""
        if state.phase is states.Phase.LEAVING or state.retry_at > now:
            return 0
        if state.phase is states.Phase.WARM:
            return state.server.slots
        if not self._allow_cold:
            return 0
        return min(self._cold_limit, state.server.slots)

    def _is_suspect(self, state: states.ServerState, now: float) -> bool:
        """Whether the server should get work only when no other is free."""
        if state.failures >= SUSPECT_FAILURES or state.slow_until > now:
            return True
        if not state.in_flight:
            return False
        oldest = next(iter(state.running))
        return now - oldest.started_at > self._slow_factor * self.times.p90

    def _pick(
        self,
        exclude: frozenset[str],
        now: float,
        *,
        held: int,
        trial: bool = True,
    ) -> states.ServerState | None:
        """Chooses a server for one request.

        Args:
            exclude: Addresses that must not be chosen.
            now: Monotonic seconds.
            held: Requests that wait, beside this one.
            trial: Whether a suspect server may be chosen.
        """
        if not self._limit_slots:
            return self._pick_unlimited(exclude, now)
        free = []
        suspects = []
        eligible = 0
        suspect_count = 0
        for state in self._servers.values():
            limit = self._limit(state, now)
            if not limit:
                continue
            eligible += 1
            suspect = self._is_suspect(state, now)
            suspect_count += suspect
            if state.in_flight >= limit or state.address in exclude:
                continue
            if suspect:
                suspects.append(state)
            else:
                free.append(state)
        if free:
            return self._policy.choose(free, now)
        if suspect_count * 2 > eligible:
            # What slows most servers is not theirs. One trial at a time for
            # each would only halve their capacity.
            return self._policy.choose(suspects, now) if suspects else None
        suspects = [state for state in suspects if state.trial is None]
        if not suspects or not trial:
            return None
        # Waiting for a good server is better as long as that takes less time
        # than a slow one takes.
        wait = self._estimate(held + 1, self._count_good_slots(now))
        if wait < self._slow_factor * self.times.p90:
            return None
        return self._policy.choose(suspects, now)

    def _count_good_slots(self, now: float) -> int:
        return sum(
            self._limit(state, now)
            for state in self._servers.values()
            if not self._is_suspect(state, now)
        )

    def _pick_unlimited(
        self, exclude: frozenset[str], now: float
    ) -> states.ServerState | None:
        candidates = [
            state
            for state in self._servers.values()
            if state.phase is not states.Phase.LEAVING
            and state.address not in exclude
        ]
        return self._policy.choose(candidates, now) if candidates else None

    def _assign(
        self, state: states.ServerState, now: float
    ) -> states.Assignment:
        assignment = states.Assignment(state, now=now)
        if self._is_suspect(state, now):
            state.trial = assignment
            self._metrics.incr("dispatch_trial")
        state.running[assignment] = None
        state.in_flight += 1
        return assignment

    def _free(
        self, assignment: states.Assignment, state: states.ServerState
    ) -> None:
        assignment.state = None
        del state.running[assignment]
        state.in_flight -= 1
        if state.trial is assignment:
            state.trial = None
        if not state.listed and not state.in_flight:
            self._servers.pop(state.address, None)

    def _note_outcome(
        self,
        state: states.ServerState,
        assignment: states.Assignment,
        outcome: states.Outcome,
        now: float,
    ) -> None:
        kind = outcome.kind
        times = self.times
        self._metrics.incr(f"dispatch_{kind.value}")
        seconds = outcome.service_seconds
        if seconds is None:
            seconds = now - assignment.started_at
        if kind is states.OutcomeKind.OK:
            times.record(seconds)
            state.failures = state.losses = 0
            state.note_service_time(
                seconds, mean=times.mean, p90=times.p90, now=now
            )
        elif kind is states.OutcomeKind.LOST:
            self._note_loss(state, now)
        elif kind is states.OutcomeKind.SHED:
            pause = min(times.p50, MAX_SHED_PAUSE_SECONDS)
            state.retry_at = max(state.retry_at, now + pause)
        else:
            state.note_slow(seconds, p90=times.p90, now=now)
            if kind is not states.OutcomeKind.CANCELLED:
                state.failures += 1
        if (
            kind in GIVEN_UP_KINDS
            and state.phase is not states.Phase.WARM
            and self._limit_slots
        ):
            state.retry_at = max(state.retry_at, now + CANCEL_PAUSE_SECONDS)

    def _note_loss(self, state: states.ServerState, now: float) -> None:
        # Connections lost together count once.
        if state.retry_at <= now:
            state.losses += 1
            pause = FIRST_LOSS_PAUSE_SECONDS * 2 ** min(state.losses - 1, 10)
            state.retry_at = now + min(pause, MAX_LOSS_PAUSE_SECONDS)
        if state.phase is states.Phase.LEAVING:
            return
        state.become_cold(now)
        if state.losses >= DOWN_LOSSES:
            state.phase = states.Phase.DOWN

    def _count(self, error: errors.DispatchError) -> errors.DispatchError:
        self._metrics.incr(f"dispatch_{error.code}")
        return error

    def _enqueue(
        self,
        deadline: float,
        priority: int,
        exclude: frozenset[str],
        now: float,
    ) -> queues.Waiter:
        """Admits a request to the queue or raises the reason against it."""
        if not self._may_serve(exclude, now):
            raise self._count(errors.NoServerError("no server takes work"))
        ahead = self._queue.count_ahead(priority=priority, deadline=deadline)
        slots = sum(
            self._limit(state, now)
            for state in self._servers.values()
            if state.address not in exclude
        )
        wait = self._estimate(ahead + 1, slots)
        needed = wait * WAIT_MARGIN + self.times.p95
        if wait is not math.inf and now + needed > deadline:
            raise self._count(
                errors.DeadlineUnreachableError(
                    f"estimated wait of {wait:.3f} s is too long"
                )
            )
        if len(self._queue) >= self._queue_limit:
            self._displace(priority)
        waiter = queues.Waiter(
            priority=priority, deadline=deadline, exclude=exclude
        )
        self._queue.add(waiter)
        return waiter

    def _may_serve(self, exclude: frozenset[str], now: float) -> bool:
        """Whether a request could get a slot without outside change."""
        return any(
            state.phase is states.Phase.WARM
            or (
                self._allow_cold
                and state.phase is not states.Phase.LEAVING
                and (
                    state.phase is not states.Phase.DOWN
                    or state.retry_at <= now
                )
            )
            for state in self._servers.values()
            if state.address not in exclude
        )

    def _displace(self, priority: int) -> None:
        """Makes room in the full queue or raises QueueFullError."""
        if not self._queue or self._queue.peek_last().priority <= priority:
            raise self._count(errors.QueueFullError("the queue is full"))
        last = self._queue.peek_last()
        self._reject(
            last, errors.DisplacedError("displaced by a higher priority")
        )

    def _reject(
        self, waiter: queues.Waiter, error: errors.DispatchError
    ) -> None:
        self._queue.remove(waiter)
        waiter.error = self._count(error)
        waiter.wakeup.wake()

    def _drop(self, waiter: queues.Waiter) -> None:
        """Removes a waiter whose task stopped waiting.

        Its task may be stopped after a slot was assigned and before it ran.
        """
        if self._queue.remove(waiter):
            return
        assignment = waiter.assignment
        if assignment is not None and assignment.state is not None:
            self._free(assignment, assignment.state)
            self._hand_out(self._clock.monotonic())

    def _hand_out(self, now: float) -> None:
        """Assigns free slots to waiters, in their order."""
        if not self._queue:
            return
        for waiter in self._queue.list_in_order():
            if waiter.deadline - now < self.times.p50:
                self._reject(
                    waiter,
                    errors.DeadlineUnreachableError("no slot in time"),
                )
                continue
            state = self._pick(waiter.exclude, now, held=len(self._queue) - 1)
            if state is not None:
                self._queue.remove(waiter)
                waiter.assignment = self._assign(state, now)
                waiter.wakeup.wake()
            elif not self._may_serve(waiter.exclude, now):
                self._reject(waiter, errors.NoServerError("no server is left"))
            elif not waiter.exclude:
                break
        if self._queue and self._alarm is not None:
            when = self._next_change(now)
            if when < self._alarm_at:
                self._alarm.wake()

    def _next_change(self, now: float) -> float:
        """Returns when the passing of time may let a waiter proceed."""
        when = math.inf
        slow_seconds = self._slow_factor * self.times.p90
        for state in self._servers.values():
            if state.retry_at > now:
                when = min(when, state.retry_at)
            elif state.slow_until > now:
                when = min(when, state.slow_until)
            elif state.in_flight:
                oldest = next(iter(state.running))
                slow_at = oldest.started_at + slow_seconds
                if slow_at > now:
                    when = min(when, slow_at)
        return when

    async def _watch_time(self) -> None:
        """Hands out slots when a pause ends; one task per dispatcher."""
        while True:
            self._alarm = wakeups.Wakeup()
            now = self._clock.monotonic()
            self._alarm_at = self._next_change(now) if self._queue else math.inf
            await self._wait_for_alarm(now)
            self._hand_out(self._clock.monotonic())

    async def _wait_for_alarm(self, now: float) -> None:
        # curio 1.6 fails at the end of a timeout of None.
        if self._alarm_at == math.inf:
            await self._alarm.wait()
            return
        try:
            async with curio.timeout_after(max(self._alarm_at - now, 0.0)):
                await self._alarm.wait()
        except curio.TaskTimeout:
            pass
