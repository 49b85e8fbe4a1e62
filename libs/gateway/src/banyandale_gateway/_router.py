"""Routes calls to local or remote homes, with retries and hedges."""

from collections.abc import Callable
import dataclasses
import math
import time
from typing import Protocol

import curio

import banyandale_core as core
import banyandale_dispatch as dispatch
from banyandale_gateway import _budgets as budgets
from banyandale_gateway import _calls as calls
from banyandale_gateway import _errors as errors
from banyandale_gateway import _homes as homes
from banyandale_gateway import _sender as sender
import banyandale_retry as retry

# Limit of reroutes of one call after a home refused it because of load.
MAX_REROUTES = 4
# Limit of reroutes of one call while a home moves. Gateways learn of a move
# within about a second; until then a call tries each home (one per zone, three
# zones) again every 50 ms.
MAX_STALE_REROUTES = 80
# Interval at which a call looks for a home while none is available.
HOME_POLL_SECONDS = 0.05
# A remote home is preferred only if its estimated wait is shorter by more than
# this, because its report is older than the local figures.
OVERFLOW_MARGIN_SECONDS = 0.001

# Peer id that refers to this gateway itself.
LOCAL = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RemoteHome:
    """A home that a peer holds.

    Attributes:
        peer_id: Id of the gateway that holds it.
        zone: Availability zone of its backend servers.
        cost: Estimated seconds until a slot is free there, plus the network
            round trip.
    """

    peer_id: str
    zone: str
    cost: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _RoutingState:
    """Failures and refusals of one call so far.

    Attributes:
        failed_servers: Addresses of servers at which an attempt failed.
        refused_homes: Peer id and zone of each home that refused the call.
        reroutes: Number of reroutes after a refusal because of load.
        stale_reroutes: Number of reroutes because a home had moved.
        unknown_outcome: Error of the last attempt that may have run, if any.
    """

    failed_servers: set[str] = dataclasses.field(default_factory=set)
    refused_homes: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    reroutes: int = 0
    stale_reroutes: int = 0
    unknown_outcome: errors.CallError | None = None

    def allow_reroute(self, error: errors.HomeUnavailableError) -> bool:
        """Counts a reroute; returns false if the limit is exceeded.

        Only a few reroutes are allowed after refusals by busy homes, which
        indicate load. While a home moves, gateways refuse calls that were sent
        with outdated information, which lasts for about a second.
        """
        if isinstance(error, errors.HomeBusyError | errors.NoServerHereError):
            self.reroutes += 1
            return self.reroutes <= MAX_REROUTES
        self.stale_reroutes += 1
        return self.stale_reroutes <= MAX_STALE_REROUTES

    def record(self, error: errors.CallError) -> None:
        """Records the error if the attempt may have run."""
        if error.run is core.RunMark.UNKNOWN:
            self.unknown_outcome = error

    def choose_error(self, error: errors.CallError) -> errors.CallError:
        """Returns the error for the caller after the last attempt.

        An earlier attempt that may have run takes precedence over a later one
        that was refused without being run.
        """
        self.record(error)
        return self.unknown_outcome or error


class Peers(Protocol):
    """Finds homes at other gateways and forwards calls to them."""

    def homes_of(self, service: str) -> tuple[RemoteHome, ...]:
        """Returns the homes that reachable peers hold, cheapest first."""

    async def forward(
        self, call: calls.Call, home: RemoteHome
    ) -> calls.CallResponse:
        """Forwards a call to a home.

        Raises:
            CallError: The home refused the call, or the link failed.
        """


class Router:
    """Routes calls to backend servers."""

    def __init__(
        self,
        *,
        home_table: homes.HomeTable,
        peers: Peers,
        request_sender: sender.Sender,
        service_budgets: budgets.ServiceBudgets,
        metrics: core.Metrics,
    ) -> None:
        self._homes = home_table
        self._peers = peers
        self._sender = request_sender
        self._budgets = service_budgets
        self._metrics = metrics

    async def route(self, call: calls.Call) -> calls.CallResponse:
        """Routes a call; retries it if that is safe and within the budget.

        Raises:
            CallError: The call ended without a response.
        """
        budget = self._budgets.find(call.service)
        budget.deposit()
        self._budgets.find_hedges(call.service).deposit()
        state = _RoutingState()
        while True:
            try:
                return await self._try_best_home(call, state)
            except errors.CallError as error:
                state.record(error)
                if not self._should_retry(call, error, state, budget):
                    raise state.choose_error(error) from None

    async def serve_peer(self, call: calls.Call) -> calls.CallResponse:
        """Runs a call that a peer forwarded, without forwarding it again.

        Raises:
            CallError: This gateway does not hold the home, the dispatcher
                refused the call, or the attempt failed.
        """
        home = self._homes.find(call.service.name, call.zone)
        if home is None:
            raise errors.NotHomeError(
                f"this gateway does not hold the home of {call.service.name!r}"
                f" in zone {call.zone!r}"
            )
        state = _RoutingState()
        try:
            return await self._try_local(call, home, state)
        except errors.CallError as error:
            raise state.choose_error(error) from None

    def _should_retry(
        self,
        call: calls.Call,
        error: errors.CallError,
        state: _RoutingState,
        budget: retry.RetryBudget,
    ) -> bool:
        if time.monotonic() >= call.deadline:
            return False
        if isinstance(error, errors.HomeUnavailableError):
            if not state.allow_reroute(error):
                return False
            self._metrics.incr(f"reroute.{error.code}")
            return True
        denial = _find_retry_denial(call, error)
        if denial is None and not budget.try_spend():
            denial = "budget"
        if denial is not None:
            self._metrics.incr(f"retry_denied.{denial}")
            return False
        self._metrics.incr(f"retry.{error.code}")
        return True

    async def _try_best_home(
        self, call: calls.Call, state: _RoutingState
    ) -> calls.CallResponse:
        """Tries the home with the shortest estimated wait.

        Waits if no home is available, because a lost home is taken over
        within seconds.
        """
        name = call.service.name
        while True:
            local = self._find_local(name, state)
            wait = math.inf if local is None else _estimate_local_wait(local)
            if wait <= OVERFLOW_MARGIN_SECONDS:
                return await self._try_local(call, local, state)
            remote = self._find_remote(name, state)
            if remote is not None and (
                local is None or wait > remote.cost + OVERFLOW_MARGIN_SECONDS
            ):
                if local is not None:
                    self._metrics.incr("overflow")
                return await self._forward(call, remote, state)
            if local is not None:
                return await self._try_local(call, local, state)
            if time.monotonic() + HOME_POLL_SECONDS >= call.deadline:
                raise errors.NoHomeError(
                    f"no home of service {name!r} is reachable"
                )
            state.refused_homes.clear()
            await curio.sleep(HOME_POLL_SECONDS)

    def _find_local(
        self, service: str, state: _RoutingState
    ) -> homes.Home | None:
        usable = [
            home
            for home in self._homes.homes_of(service)
            if (LOCAL, home.zone) not in state.refused_homes
        ]
        return min(usable, key=_estimate_local_wait, default=None)

    def _find_remote(
        self, service: str, state: _RoutingState
    ) -> RemoteHome | None:
        for home in self._peers.homes_of(service):
            if (home.peer_id, home.zone) not in state.refused_homes:
                return home
        return None

    async def _forward(
        self, call: calls.Call, home: RemoteHome, state: _RoutingState
    ) -> calls.CallResponse:
        self._metrics.incr("forwarded")
        try:
            return await self._peers.forward(call, home)
        except errors.HomeUnavailableError:
            state.refused_homes.add((home.peer_id, home.zone))
            raise

    async def _try_local(
        self, call: calls.Call, home: homes.Home, state: _RoutingState
    ) -> calls.CallResponse:
        dispatcher = home.dispatcher
        dispatcher.allow_cold = self._homes.allows_cold(home)
        try:
            assignment = await dispatcher.acquire(
                deadline=call.deadline,
                priority=call.service.priority,
                exclude=frozenset(state.failed_servers),
            )
        except dispatch.NoServerError as error:
            state.refused_homes.add((LOCAL, home.zone))
            raise errors.NoServerHereError(str(error)) from error
        except dispatch.DispatchError as error:
            raise errors.QueueRefusedError(error) from error
        attempt = self._sender.prepare(
            call, assignment=assignment, dispatcher=dispatcher
        )
        try:
            await attempt.start(self._build_send_check(home, attempt))
            if call.idempotent and call.attempt == 1:
                return await self._finish_with_hedge(call, home, attempt, state)
            return await attempt.finish()
        except errors.AttemptError:
            state.failed_servers.add(assignment.address)
            raise

    def _build_send_check(
        self, home: homes.Home, attempt: sender.Attempt
    ) -> Callable[[], bool]:
        def may_send() -> bool:
            return self._homes.has_lease(home) or (
                home.dispatcher.is_warm(attempt.address)
            )

        return may_send

    async def _finish_with_hedge(
        self,
        call: calls.Call,
        home: homes.Home,
        attempt: sender.Attempt,
        state: _RoutingState,
    ) -> calls.CallResponse:
        """Finishes an attempt; sends a hedge if the response is slow."""
        hedge_at = time.monotonic() + retry.hedge_delay(
            home.dispatcher.times.p95
        )
        if hedge_at >= call.deadline:
            return await attempt.finish()
        if await attempt.wait_readable(deadline=hedge_at):
            return await attempt.finish()
        hedge = await self._start_hedge(call, home, attempt, state)
        if hedge is None:
            return await attempt.finish()
        return await self._await_first_response(attempt, hedge)

    async def _start_hedge(
        self,
        call: calls.Call,
        home: homes.Home,
        first: sender.Attempt,
        state: _RoutingState,
    ) -> sender.Attempt | None:
        assignment = home.dispatcher.try_acquire(
            exclude=frozenset({first.address})
        )
        if assignment is None:
            return None
        hedge = self._sender.prepare(
            call, assignment=assignment, dispatcher=home.dispatcher
        )
        if not self._may_hedge(call):
            await hedge.close()
            return None
        try:
            await hedge.start(self._build_send_check(home, hedge))
        except errors.CallError as error:
            state.record(error)
            return None
        except BaseException:
            await first.close()
            raise
        self._metrics.incr("hedge.sent")
        return hedge

    def _may_hedge(self, call: calls.Call) -> bool:
        hedges = self._budgets.find_hedges(call.service)
        if not hedges.try_spend():
            self._metrics.incr("hedge.denied")
            return False
        return self._budgets.find(call.service).try_spend()

    async def _await_first_response(
        self, first: sender.Attempt, hedge: sender.Attempt
    ) -> calls.CallResponse:
        """Returns the first response and cancels the other attempt."""
        finished: list[tuple[sender.Attempt, calls.CallResponse]] = []
        failures: list[errors.CallError] = []
        done = curio.Event()

        async def finish(attempt: sender.Attempt) -> None:
            try:
                response = await attempt.finish()
            except errors.CallError as error:
                failures.append(error)
                if len(failures) == 2:
                    await done.set()
                return
            finished.append((attempt, response))
            await done.set()

        tasks = [
            await curio.spawn(finish, attempt, daemon=True)
            for attempt in (first, hedge)
        ]
        try:
            await done.wait()
        finally:
            for task in tasks:
                await task.cancel()
        if not finished:
            raise _choose_failure(failures)
        # Both attempts may have finished before the cancellation.
        for _, response in finished[1:]:
            if response.rest is not None:
                await response.rest.close()
        if finished[0][0] is hedge:
            self._metrics.incr("hedge.won")
        return finished[0][1]


def _choose_failure(failures: list[errors.CallError]) -> errors.CallError:
    """Returns an error whose attempt may have run, else the first error."""
    for error in failures:
        if error.run is core.RunMark.UNKNOWN:
            return error
    return failures[0]


def _estimate_local_wait(home: homes.Home) -> float:
    return home.dispatcher.estimate_wait()


def _find_retry_denial(call: calls.Call, error: errors.CallError) -> str | None:
    """Returns why a call must not be retried, or None if it may be."""
    if not isinstance(error, errors.AttemptError):
        return "refused"
    if error.run is core.RunMark.UNKNOWN and not call.idempotent:
        return "not_idempotent"
    if call.attempt > 1:
        return "not_first_attempt"
    return None
