"""Assigns requests to free slots of the servers of one service."""

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

# Pause after the first lost connection to a server. It doubles with each
# consecutive loss; from DOWN_LOSSES on the server counts as DOWN.
FIRST_LOSS_PAUSE_SECONDS = 0.05
MAX_LOSS_PAUSE_SECONDS = 1.0
DOWN_LOSSES = 2
# A server that sheds load has no free slot. Without a pause its fast
# rejections would make it look idle and attract more requests.
MAX_SHED_PAUSE_SECONDS = 0.05
# Pause of a server that is not warm after a cancelled or timed-out request:
# the server works on it until it notices the closed connection.
CANCEL_PAUSE_SECONDS = 0.05
# After this many consecutive failures a server is used only when no other is
# free, because fast failures would make it the least loaded one.
SUSPECT_FAILURES = 3
# Factor on the estimated wait. At twice the peak load and a timeout of ten
# mean service times, 9% of the admitted requests missed their deadline with a
# factor of 1.0, less than 2% with 1.5.
WAIT_MARGIN = 1.5
ABANDONED_KINDS = frozenset(
    {states.OutcomeKind.CANCELLED, states.OutcomeKind.TIMED_OUT}
)


class Dispatcher:
    """Dispatches the requests of one service to its servers in one zone.

    Not thread-safe: call all methods in the thread of the event loop. Only
    `acquire` waits.

    Attributes:
        times: Recent service times.
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
            metrics: Receives counters.
            policy: Chooses among the servers with a free slot.
            queue_limit: Maximum number of queued requests.
            cold_limit: Maximum number of requests in flight on a server not
                known to be warm.
            cold_min_seconds: Minimum duration of the cold phase.
            slow_factor: A server counts as slow while its oldest request in
                flight takes longer than this multiple of the recent p90.
            limit_slots: Whether to enforce slots and cold limits and to queue
                requests. False sends each request at once, as a baseline for
                comparisons.
            allow_cold: Whether servers not known to be warm get work.
            initial_service_seconds: Service time assumed until the first one
                is measured.
            first_report_seconds: How long a new server gets no work while its
                first load report is awaited.
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
        self._timer_wakeup: wakeups.Wakeup | None = None
        self._timer_at = math.inf
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
            self._assign_waiters(self._clock.monotonic())

    def update_servers(self, servers: Sequence[states.Server]) -> None:
        """Replaces the list of servers.

        A new or returning server counts as cold. Requests in flight on a
        server that is no longer listed keep counting until they are released,
        because the server may return.
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
                # The server may have told only another gateway that it is
                # leaving.
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
                state.enter_cold_phase(now)
        self._assign_waiters(now)

    def configure(
        self, *, queue_limit: int, cold_limit: int, cold_min_seconds: float
    ) -> None:
        """Changes the limits."""
        self._queue_limit = queue_limit
        self._cold_limit = cold_limit
        self._cold_min_seconds = cold_min_seconds
        self._assign_waiters(self._clock.monotonic())

    def get_warm_boot_ids(self) -> dict[str, str]:
        """Returns the boot id of each warm server, for `restore_warm`."""
        return {
            address: state.boot
            for address, state in self._servers.items()
            if state.phase is states.Phase.WARM and state.boot is not None
        }

    def restore_warm(self, boots: Mapping[str, str]) -> None:
        """Marks servers as warm that an earlier dispatcher knew as warm.

        Affects only servers in the phase UNKNOWN.
        """
        for address, boot in boots.items():
            state = self._servers.get(address)
            if state is not None and state.phase is states.Phase.UNKNOWN:
                state.phase = states.Phase.WARM
                state.boot = boot
                # The server's cold phase ended before this dispatcher existed.
                state.cold_since = -math.inf
        self._assign_waiters(self._clock.monotonic())

    async def acquire(
        self,
        *,
        deadline: float,
        priority: int = LOWEST_PRIORITY,
        exclude: frozenset[str] = NO_ADDRESSES,
    ) -> states.Assignment:
        """Waits for a slot and assigns it.

        The caller must release the assignment even if the request fails.

        Args:
            deadline: Monotonic seconds at which the response is due.
            priority: Priority of the request; 0 is the highest.
            exclude: Addresses that must not be assigned.

        Raises:
            NoServerError: No server may receive the request.
            QueueFullError: The queue is full.
            DeadlineUnreachableError: The deadline cannot be met.
            DisplacedError: A request of higher priority took its place in
                the full queue.
        """
        now = self._clock.monotonic()
        if now >= deadline:
            raise self._count_error(
                errors.DeadlineUnreachableError("the deadline has passed")
            )
        if not self._queue:
            state = self._pick(exclude, now, queued=0)
            if state is not None:
                return self._assign(state, now)
        if self._timer_wakeup is None:
            self._timer_wakeup = wakeups.Wakeup()
            await curio.spawn(self._run_timer, daemon=True)
        waiter = self._enqueue(deadline, priority, exclude, now)
        self._assign_waiters(now)
        try:
            if waiter.assignment is None and waiter.error is None:
                remaining = max(deadline - now, 0.0)
                async with curio.timeout_after(remaining):
                    await waiter.wakeup.wait()
        except curio.TaskTimeout:
            self._remove_waiter(waiter)
            raise self._count_error(
                errors.DeadlineUnreachableError(
                    "no slot became free before the deadline"
                )
            ) from None
        except BaseException:
            self._remove_waiter(waiter)
            raise
        if waiter.assignment is None:
            raise waiter.error or errors.DispatchError(
                "woken without an assigned slot"
            )
        return waiter.assignment

    def try_acquire(
        self, *, exclude: frozenset[str] = NO_ADDRESSES
    ) -> states.Assignment | None:
        """Assigns a free slot, or returns None if none is free.

        Also returns None while requests are queued, and never assigns a
        suspect server unless most servers are suspect.
        """
        now = self._clock.monotonic()
        if self._queue:
            return None
        state = self._pick(exclude, now, queued=0, trial=False)
        return None if state is None else self._assign(state, now)

    def release(
        self, assignment: states.Assignment, outcome: states.Outcome
    ) -> None:
        """Frees a slot and records the outcome of its request.

        Releasing an assignment again has no effect.
        """
        state = assignment.state
        if state is None:
            return
        now = self._clock.monotonic()
        self._release_slot(assignment, state)
        self._record_outcome(state, assignment, outcome, now)
        self._assign_waiters(now)

    def record_load_report(
        self, address: str, report: states.LoadReport
    ) -> None:
        """Applies a server's load report to its state."""
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
        state.apply_report(
            report, now=now, cold_min_seconds=self._cold_min_seconds
        )
        if state.phase is not before:
            self._metrics.incr(f"dispatch_server_{state.phase.value}")
            self._assign_waiters(now)

    def record_connection_loss(self, address: str) -> None:
        """Records that a connection to a server was refused or reset."""
        state = self._servers.get(address)
        if state is not None:
            now = self._clock.monotonic()
            self._record_loss(state, now)
            self._assign_waiters(now)

    def mark_unverified(self, address: str) -> None:
        """Records that a server may have restarted since its last report.

        Call it when no connection to the server has stayed open since then.
        The server counts as cold until its next report. If that report says
        warm and has the same boot id, the server is warm again at once.
        """
        state = self._servers.get(address)
        if state is not None and state.phase is states.Phase.WARM:
            state.phase = states.Phase.UNKNOWN
            state.epoch += 1

    def mark_all_unverified(self) -> None:
        """Records that every server may have restarted."""
        for address in self._servers:
            self.mark_unverified(address)

    def is_current(self, assignment: states.Assignment) -> bool:
        """Whether an assigned request may still be sent.

        False if, since the assignment, the server became cold, started
        leaving or may have restarted.
        """
        state = assignment.state
        return (
            state is not None
            and assignment.epoch == state.epoch
            and state.phase is not states.Phase.LEAVING
        )

    def revalidate(self, assignment: states.Assignment) -> bool:
        """Makes an assignment current again if the slot limit allows it.

        Returns:
            Whether the assigned request may be sent.
        """
        if self.is_current(assignment):
            return True
        state = assignment.state
        if state is None or state.phase is states.Phase.LEAVING:
            return False
        if state.in_flight > self._get_slot_limit(
            state, self._clock.monotonic()
        ):
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
        """Returns the load of this home, to be sent to other gateways."""
        now = self._clock.monotonic()
        free = 0
        total = 0
        for state in self._servers.values():
            limit = self._get_slot_limit(state, now)
            total += limit
            if limit > state.in_flight and not self._is_suspect(state, now):
                free += limit - state.in_flight
        queued = len(self._queue)
        wait = 0.0
        if queued or not free:
            wait = self._estimate_queue_wait(queued + 1, total)
        return states.HomeLoad(
            free_slots=free, queued=queued, wait_estimate=wait
        )

    def list_states(self) -> tuple[states.ServerState, ...]:
        """Returns the state of each listed server."""
        return tuple(s for s in self._servers.values() if s.listed)

    def _estimate_queue_wait(self, position: int, slots: int) -> float:
        return self.times.mean * position / slots if slots else math.inf

    def _get_slot_limit(self, state: states.ServerState, now: float) -> int:
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
        queued: int,
        trial: bool = True,
    ) -> states.ServerState | None:
        """Chooses a server for one request.

        Args:
            exclude: Addresses that must not be chosen.
            now: Monotonic seconds.
            queued: Other requests that wait.
            trial: Whether a suspect server may be chosen for a trial request.
        """
        if not self._limit_slots:
            return self._pick_unlimited(exclude, now)
        free = []
        suspects = []
        eligible = 0
        suspect_count = 0
        for state in self._servers.values():
            limit = self._get_slot_limit(state, now)
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
            # If most servers seem slow, the cause lies elsewhere. Limiting
            # each to one trial at a time would only halve their capacity.
            return self._policy.choose(suspects, now) if suspects else None
        suspects = [state for state in suspects if state.trial is None]
        if not suspects or not trial:
            return None
        # Wait for a healthy server if that takes less time than a slow server
        # needs for a request.
        wait = self._estimate_queue_wait(
            queued + 1, self._count_healthy_slots(now)
        )
        if wait < self._slow_factor * self.times.p90:
            return None
        return self._policy.choose(suspects, now)

    def _count_healthy_slots(self, now: float) -> int:
        return sum(
            self._get_slot_limit(state, now)
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

    def _release_slot(
        self, assignment: states.Assignment, state: states.ServerState
    ) -> None:
        assignment.state = None
        del state.running[assignment]
        state.in_flight -= 1
        if state.trial is assignment:
            state.trial = None
        if not state.listed and not state.in_flight:
            self._servers.pop(state.address, None)

    def _record_outcome(
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
            state.record_service_time(
                seconds, mean=times.mean, p90=times.p90, now=now
            )
        elif kind is states.OutcomeKind.LOST:
            self._record_loss(state, now)
        elif kind is states.OutcomeKind.SHED:
            pause = min(times.p50, MAX_SHED_PAUSE_SECONDS)
            state.retry_at = max(state.retry_at, now + pause)
        else:
            state.record_if_slow(seconds, p90=times.p90, now=now)
            if kind is not states.OutcomeKind.CANCELLED:
                state.failures += 1
        if (
            kind in ABANDONED_KINDS
            and state.phase is not states.Phase.WARM
            and self._limit_slots
        ):
            state.retry_at = max(state.retry_at, now + CANCEL_PAUSE_SECONDS)

    def _record_loss(self, state: states.ServerState, now: float) -> None:
        # Connections lost during the pause after a loss count as one loss.
        if state.retry_at <= now:
            state.losses += 1
            pause = FIRST_LOSS_PAUSE_SECONDS * 2 ** min(state.losses - 1, 10)
            state.retry_at = now + min(pause, MAX_LOSS_PAUSE_SECONDS)
        if state.phase is states.Phase.LEAVING:
            return
        state.enter_cold_phase(now)
        if state.losses >= DOWN_LOSSES:
            state.phase = states.Phase.DOWN

    def _count_error(self, error: errors.DispatchError) -> errors.DispatchError:
        self._metrics.incr(f"dispatch_{error.code}")
        return error

    def _enqueue(
        self,
        deadline: float,
        priority: int,
        exclude: frozenset[str],
        now: float,
    ) -> queues.Waiter:
        """Adds a request to the queue, or raises why it is not admitted."""
        if not self._has_eligible_server(exclude, now):
            raise self._count_error(
                errors.NoServerError("no server accepts requests")
            )
        ahead = self._queue.count_ahead(priority=priority, deadline=deadline)
        slots = sum(
            self._get_slot_limit(state, now)
            for state in self._servers.values()
            if state.address not in exclude
        )
        wait = self._estimate_queue_wait(ahead + 1, slots)
        needed = wait * WAIT_MARGIN + self.times.p95
        if wait is not math.inf and now + needed > deadline:
            raise self._count_error(
                errors.DeadlineUnreachableError(
                    f"an estimated wait of {wait:.3f} s exceeds the deadline"
                )
            )
        if len(self._queue) >= self._queue_limit:
            self._displace_last(priority)
        waiter = queues.Waiter(
            priority=priority, deadline=deadline, exclude=exclude
        )
        self._queue.add(waiter)
        return waiter

    def _has_eligible_server(self, exclude: frozenset[str], now: float) -> bool:
        """Whether any server may take the request once it has a free slot."""
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

    def _displace_last(self, priority: int) -> None:
        """Rejects the last waiter if its priority is lower.

        Raises:
            QueueFullError: No waiter has a lower priority.
        """
        if not self._queue or self._queue.peek_last().priority <= priority:
            raise self._count_error(errors.QueueFullError("the queue is full"))
        last = self._queue.peek_last()
        self._reject(
            last,
            errors.DisplacedError("displaced by a request of higher priority"),
        )

    def _reject(
        self, waiter: queues.Waiter, error: errors.DispatchError
    ) -> None:
        self._queue.remove(waiter)
        waiter.error = self._count_error(error)
        waiter.wakeup.wake()

    def _remove_waiter(self, waiter: queues.Waiter) -> None:
        """Removes a waiter whose task was cancelled or timed out.

        If the waiter got a slot before its task ran again, frees the slot.
        """
        if self._queue.remove(waiter):
            return
        assignment = waiter.assignment
        if assignment is not None and assignment.state is not None:
            self._release_slot(assignment, assignment.state)
            self._assign_waiters(self._clock.monotonic())

    def _assign_waiters(self, now: float) -> None:
        """Assigns free slots to waiters in queue order."""
        if not self._queue:
            return
        for waiter in self._queue.list_in_order():
            if waiter.deadline - now < self.times.p50:
                self._reject(
                    waiter,
                    errors.DeadlineUnreachableError(
                        "too little time left before the deadline"
                    ),
                )
                continue
            state = self._pick(waiter.exclude, now, queued=len(self._queue) - 1)
            if state is not None:
                self._queue.remove(waiter)
                waiter.assignment = self._assign(state, now)
                waiter.wakeup.wake()
            elif not self._has_eligible_server(waiter.exclude, now):
                self._reject(
                    waiter,
                    errors.NoServerError("no server accepts requests any more"),
                )
            elif not waiter.exclude:
                break
        if self._queue and self._timer_wakeup is not None:
            when = self._find_next_change(now)
            if when < self._timer_at:
                self._timer_wakeup.wake()

    def _find_next_change(self, now: float) -> float:
        """Returns the next time at which a server's eligibility changes.

        That is when a pause or a slow period ends, or when a server's oldest
        request has run long enough to make the server suspect.
        """
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

    async def _run_timer(self) -> None:
        """Assigns slots whenever eligibility changes with time.

        Runs as one task per dispatcher.
        """
        while True:
            self._timer_wakeup = wakeups.Wakeup()
            now = self._clock.monotonic()
            self._timer_at = (
                self._find_next_change(now) if self._queue else math.inf
            )
            await self._wait_for_timer(now)
            self._assign_waiters(self._clock.monotonic())

    async def _wait_for_timer(self, now: float) -> None:
        # curio 1.6 raises an error when a timeout of None ends.
        if self._timer_at == math.inf:
            await self._timer_wakeup.wait()
            return
        try:
            async with curio.timeout_after(max(self._timer_at - now, 0.0)):
                await self._timer_wakeup.wait()
        except curio.TaskTimeout:
            pass
