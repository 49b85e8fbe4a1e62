"""Finds the way of each call to a backend server: home, peer, retry, hedge."""

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

# A call moves on to another home at most this often when a home refuses it
# without running it.
MAX_REROUTES = 4
# Homes are asked again every 50 ms, three at a time in three zones, and others
# learn of a moved home within about a second.
MAX_STALE_REROUTES = 80
# How often a call looks again for a home of its service, while there is none.
HOME_POLL_SECONDS = 0.05
# A home in another zone must promise to be faster by this much, since its
# report is older than the local count.
OVERFLOW_MARGIN_SECONDS = 0.001


# Stands for this gateway where gateways are named.
LOCAL = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RemoteHome:
    """A home that a peer holds.

    Attributes:
        peer_id: The gateway that holds it.
        zone: Availability zone of its backend servers.
        cost: Estimated seconds until a slot is free there, with the way to
            it and back.
    """

    peer_id: str
    zone: str
    cost: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _RoutingState:
    """What a call has tried so far.

    Attributes:
        failed_servers: Servers at which an attempt failed.
        refused_homes: Peer and zone of homes that refused the call.
        reroutes: How often it moved on from a busy home.
        stale_reroutes: How often it moved on because a home had moved.
        unknown_outcome: Error of the last attempt that may have run, if any.
    """

    failed_servers: set[str] = dataclasses.field(default_factory=set)
    refused_homes: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    reroutes: int = 0
    stale_reroutes: int = 0
    unknown_outcome: errors.CallError | None = None

    def allow_reroute(self, error: errors.HomeUnavailableError) -> bool:
        """Counts a move to another home; returns whether it is allowed.

        Refusals by busy homes are load, so few are allowed. While a home
        moves, gateways refuse because the sender's knowledge is old; that
        passes within about a second.
        """
        if isinstance(error, errors.HomeBusyError | errors.NoServerHereError):
            self.reroutes += 1
            return self.reroutes <= MAX_REROUTES
        self.stale_reroutes += 1
        return self.stale_reroutes <= MAX_STALE_REROUTES

    def record(self, error: errors.CallError) -> None:
        """Remembers an error whose attempt may have run."""
        if error.run is core.RunMark.UNKNOWN:
            self.unknown_outcome = error

    def choose_error(self, error: errors.CallError) -> errors.CallError:
        """Returns the error that the caller gets after the last attempt.

        A later attempt that was refused without being run does not undo an
        earlier one.
        """
        self.record(error)
        return self.unknown_outcome or error


class Peers(Protocol):
    """The other gateways, as the router uses them."""

    def homes_of(self, service: str) -> tuple[RemoteHome, ...]:
        """Returns the homes that reachable peers hold, cheapest first."""

    async def forward(
        self, call: calls.Call, home: RemoteHome
    ) -> calls.CallResponse:
        """Passes a call on.

        Raises:
            CallError: The peer refused it, or the link failed.
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
        """Runs a call, with retries as far as they are safe and paid for.

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
        """Runs a call that a peer passed on. It goes no further.

        Raises:
            CallError: This gateway is not the home, its queue is longer than
                the peer expected, or the attempt failed.
        """
        home = self._homes.find(call.service.name, call.zone)
        if home is None:
            raise errors.NotHomeError(
                f"home of {call.service.name!r} in {call.zone!r} is not here"
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
        """Uses the home with the shortest wait.

        Waits while there is none, since a home that was lost is taken over
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
                raise errors.NoHomeError(f"no home of {name!r} is reachable")
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
        dispatcher.allow_cold = self._homes.has_lease(home)
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
        """Finishes an attempt; sends a second one when it takes long."""
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
        """Returns the first complete response and cancels the other."""
        winner: list[tuple[sender.Attempt, calls.CallResponse]] = []
        failure: list[errors.CallError] = []
        done = curio.Event()

        async def finish(attempt: sender.Attempt) -> None:
            try:
                response = await attempt.finish()
            except errors.CallError as error:
                failure.append(error)
                if len(failure) == 2:
                    await done.set()
                return
            winner.append((attempt, response))
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
        if not winner:
            raise _choose_failure(failure)
        # Both may have finished before the cancellation.
        for _, response in winner[1:]:
            if response.rest is not None:
                await response.rest.close()
        if winner[0][0] is hedge:
            self._metrics.incr("hedge.won")
        return winner[0][1]


def _choose_failure(failures: list[errors.CallError]) -> errors.CallError:
    """Returns a failure that may have run, else the first one."""
    for error in failures:
        if error.run is core.RunMark.UNKNOWN:
            return error
    return failures[0]


def _estimate_local_wait(home: homes.Home) -> float:
    return home.dispatcher.estimate_wait()


def _find_retry_denial(call: calls.Call, error: errors.CallError) -> str | None:
    """Returns why a call must not be tried again, or None."""
    if not isinstance(error, errors.AttemptError):
        return "refused"
    if error.run is core.RunMark.UNKNOWN and not call.idempotent:
        return "not_idempotent"
    if call.attempt > 1:
        return "not_first_attempt"
    return None
