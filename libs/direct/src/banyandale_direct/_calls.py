"""Serves callers' connections: reads calls and writes their answers."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

import curio
import curio.io

import banyandale_core as core
from banyandale_direct import _admission as admission
from banyandale_direct import _configuration as configuration
from banyandale_direct import _context as context
from banyandale_direct import _forwarding as forwarding
from banyandale_direct import _handovers as handovers
from banyandale_direct import _pipelines as pipelines
from banyandale_direct import _protocols as protocols
from banyandale_direct import _shares as shares
from banyandale_direct import _stops as stops
import banyandale_http as http

BAD_REQUEST_STATUS = 400
NO_ROUTE_STATUS = 404
# Refusals with these statuses are given before anything is sent to a server.
NOT_RUN_STATUSES = frozenset(
    {BAD_REQUEST_STATUS, NO_ROUTE_STATUS, forwarding.NOT_RUN_STATUS}
)
# Retry delay of callers while the gateway has no configuration yet; a start
# takes about as long.
UNCONFIGURED_RETRY_AFTER_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ReadCall:
    """A call as read, before anything was decided about it.

    Attributes:
        call: The call.
        arrived_at: Monotonic seconds when it had arrived.
        current: Configuration in force at that time, or None.
        route: Its route, or None.
        error: Why its headers cannot be read, or None.
        terms: How it was handed over; None for a call of a caller.
    """

    call: protocols.Call
    arrived_at: float
    current: configuration.Configuration | None = None
    route: configuration.Route | None = None
    error: ValueError | None = None
    terms: handovers.Terms | None = None

    @property
    def may_overlap(self) -> bool:
        """Whether it may run while other calls of its caller run."""
        return self.route is None or self.route.repeatable


class CallServer:
    """Serves the connections of callers.

    Attributes:
        configuration: The current configuration, or None before the first.
        open_calls: Number of calls being served.
        open_connections: Number of callers' connections.
    """

    def __init__(
        self,
        *,
        shared: context.Shared,
        codec: protocols.CallerCodec,
    ) -> None:
        self._shared = shared
        self._codec = codec
        self._rotations = shares.ShareRotations(random_source=shared.random)
        self.configuration: configuration.Configuration | None = None
        self._closed = False
        self._conversations: set[_Conversation] = set()
        self.open_calls = 0
        self.open_connections = 0

    def set_configuration(self, current: configuration.Configuration) -> None:
        """Applies a configuration to all later calls."""
        self.configuration = current
        self._rotations.keep_only(current)

    def limits(self) -> configuration.Limits:
        """Returns the current limits of callers' requests."""
        if self.configuration is None:
            return configuration.Limits()
        return self.configuration.limits

    async def serve(self, sock: curio.io.Socket) -> None:
        """Serves one connection of a caller until it ends."""
        await self._converse(sock, handed_over=False)

    async def serve_handed_over(self, sock: curio.io.Socket) -> None:
        """Serves one connection of another gateway until it ends."""
        await self._converse(sock, handed_over=True)

    async def _converse(
        self, sock: curio.io.Socket, *, handed_over: bool
    ) -> None:
        conversation = _Conversation(
            server=self,
            shared=self._shared,
            handed_over=handed_over,
            connection=http.ServerConnection(
                sock=sock, max_head_bytes=self.limits().head_bytes
            ),
        )
        self.open_connections += 1
        self._conversations.add(conversation)
        try:
            await conversation.run()
        finally:
            self._conversations.discard(conversation)
            self.open_connections -= 1

    async def stop_reading(self) -> None:
        """Reads no further calls where earlier ones of the caller are open.

        Their answers would have to wait for the earlier ones, which may last
        until the process ends.
        """
        for conversation in tuple(self._conversations):
            await conversation.stop_reading()

    async def reject_waiting(self) -> None:
        """Rejects the calls that are at no server, because the process ends."""
        for conversation in tuple(self._conversations):
            await conversation.reject_waiting()

    async def close(self, *, deadline: float) -> None:
        """Rejects all calls from now on and ends the connections.

        Returns once the callers have closed their side. Waits for callers that
        do not read their answers, at most until the deadline: bytes that are
        unread when a socket is closed would reset the connection.
        """
        self._closed = True
        for conversation in tuple(self._conversations):
            await conversation.end()
        idle_deadline = time.monotonic() + stops.CLOSE_SECONDS
        while self._conversations and time.monotonic() < deadline:
            if time.monotonic() >= idle_deadline and not any(
                conversation.has_undelivered()
                for conversation in self._conversations
            ):
                return
            await curio.sleep(stops.CHECK_SECONDS)

    def read_call(
        self, request: http.Request, arrived_at: float, *, handed_over: bool
    ) -> _ReadCall:
        """Reads a request and finds its route.

        Args:
            request: The request.
            arrived_at: Monotonic seconds when it had arrived.
            handed_over: Whether another gateway sent it.
        """
        terms = None
        try:
            if handed_over:
                terms, request = handovers.take_terms(request)
            call = self._codec.read_call(request)
            if terms is not None:
                call = dataclasses.replace(
                    call, remaining_seconds=terms.remaining_seconds
                )
        except (
            protocols.MalformedCallError,
            handovers.MalformedTermsError,
        ) as error:
            call = protocols.Call(
                id="", host="", path="", remaining_seconds=None, request=request
            )
            return _ReadCall(call=call, arrived_at=arrived_at, error=error)
        current = self.configuration
        if (
            current is None
            or not self._shared.registry.loaded
            or not self._shared.quarantine.loaded
        ):
            return _ReadCall(call=call, arrived_at=arrived_at, terms=terms)
        return _ReadCall(
            call=call,
            arrived_at=arrived_at,
            current=current,
            route=current.find_route(host=call.host, path=call.path),
            terms=terms,
        )

    def decide(
        self, read: _ReadCall
    ) -> forwarding.FinalAnswer | forwarding.Exchange:
        """Returns the answer to a call that is rejected, else its exchange."""
        call, route, current = read.call, read.route, read.current
        if read.error is not None:
            return self._refuse_malformed(read.error)
        if current is None:
            return forwarding.refuse_not_run(
                admission.Refusal.NOT_CONFIGURED,
                UNCONFIGURED_RETRY_AFTER_SECONDS,
            )
        if route is None:
            return forwarding.FinalAnswer(
                response=None,
                status=NO_ROUTE_STATUS,
                refusal=admission.Refusal.NO_ROUTE,
            )
        if not self._accepts(read, route):
            return forwarding.refuse_stopping()
        age = 0.0
        if read.terms is not None:
            age = read.terms.age_seconds
        elif call.remaining_seconds is not None:
            age = self._shared.call_ages.find_age(
                route.name, call.remaining_seconds
            )
        return forwarding.Exchange(
            shared=self._shared,
            call=call,
            route=route,
            service=current.services[self._rotations.choose(route)],
            started_at=read.arrived_at,
            age_seconds=age,
            version=current.version,
            terms=read.terms,
        )

    def _refuse_malformed(self, error: Exception) -> forwarding.FinalAnswer:
        self._shared.events.write(
            "malformed_call", request="", detail=str(error)
        )
        return forwarding.FinalAnswer(
            response=None,
            status=BAD_REQUEST_STATUS,
            refusal=admission.Refusal.MALFORMED,
        )

    def _accepts(self, read: _ReadCall, route: configuration.Route) -> bool:
        stop = self._shared.stop
        if stop is None:
            return True
        now = time.monotonic()
        deadline = route.find_deadline(
            arrived_at=read.arrived_at,
            remaining_seconds=read.call.remaining_seconds,
        )
        estimate = self._shared.demands.find(route).work_seconds
        accepted = not self._closed and stop.accepts_call(
            now=now,
            deadline=deadline,
            estimate_seconds=estimate,
            repeatable=route.repeatable,
        )
        self._shared.events.write(
            "accepted_in_stop" if accepted else "rejected_in_stop",
            request=read.call.id,
            route=route.name,
            stopping_seconds=round(now - stop.signalled_at, 3),
            exit_seconds=round(stop.exit_at - now, 3),
            estimate_seconds=round(estimate, 3),
            remaining=round(deadline - now, 3),
        )
        return accepted

    def write_answer(
        self,
        call_id: str,
        final: forwarding.FinalAnswer,
        *,
        handed_over: bool = False,
    ) -> http.Response:
        """Returns the response for a final answer."""
        if final.response is not None:
            if handed_over:
                return handovers.strip_marks(final.response)
            return final.response
        refusal = final.refusal or admission.Refusal.NO_ROOM
        response = self._codec.write_refusal(
            call_id=call_id,
            status=final.status,
            refusal=refusal,
            retry_after_seconds=final.retry_after_seconds,
        )
        if not handed_over:
            return response
        return handovers.mark_answer(
            response, refusal=refusal, not_run=final.status in NOT_RUN_STATUSES
        )

    def log_cut(
        self, read: _ReadCall, exchange: forwarding.Exchange | None
    ) -> None:
        """Logs and counts a call that ends without an answer to its caller."""
        self._shared.metrics.incr("calls_cut")
        self._shared.events.write_state(
            "cut",
            request=read.call.id,
            host=read.call.host,
            path=read.call.path,
            seconds=round(time.monotonic() - read.arrived_at, 4),
            handed_over=read.terms is not None,
            attempts=exchange.attempts if exchange else [],
        )

    def log_answer(
        self,
        read: _ReadCall,
        final: forwarding.FinalAnswer,
        attempts: list[dict[str, object]],
    ) -> None:
        """Logs and counts the final answer of a call."""
        call = read.call
        seconds = time.monotonic() - read.arrived_at
        outcome = final.refusal.value if final.refusal else "answered"
        metrics: core.Metrics = self._shared.metrics
        if final.refusal:
            metrics.incr(f"refused:{outcome}")
        else:
            metrics.incr(f"answered:{final.status}")
        metrics.timing(
            f"call:{outcome}", seconds * core.MILLISECONDS_PER_SECOND
        )
        current = self.configuration
        self._shared.events.write(
            "refused" if final.refusal else "answered",
            request=call.id,
            host=call.host,
            path=call.path,
            reason=outcome,
            status=final.status,
            seconds=round(seconds, 4),
            return_seconds=final.retry_after_seconds,
            config_version=current.version if current else None,
            handed_over=read.terms is not None,
            attempts=attempts,
        )


class _ReadingStoppedError(curio.CancelledError):
    """Reading was cancelled, but not the calls that were read."""


class _Conversation:
    """One connection: a task reads the calls, and one serves each of them."""

    def __init__(
        self,
        *,
        server: CallServer,
        shared: context.Shared,
        handed_over: bool,
        connection: http.ServerConnection,
    ) -> None:
        self._server = server
        self._handed_over = handed_over
        self._shared = shared
        self._connection = connection
        self._pipeline = pipelines.Pipeline()
        self._exchanges: set[forwarding.Exchange] = set()
        self._tasks: set[curio.Task] = set()
        # Whether no answer can be sent any more.
        self._broken = False
        # The task that reads, while it does.
        self._reader: curio.Task | None = None

    async def run(self) -> None:
        """Serves the connection until it ends."""
        completed = False
        try:
            left = not await self._read_calls()
            if left or self._connection.caller_left:
                await self._abandon()
            elif self._pipeline.newest is not None:
                await self._finish_calls(self._pipeline.newest)
            completed = True
        finally:
            for task in tuple(self._tasks):
                await task.cancel()
            # The end of the process, which cancels one task after the other,
            # must not wait for callers.
            await self._connection.close(linger=completed)

    async def _read_calls(self) -> bool:
        """Reads and starts calls; returns False if the caller has left."""
        try:
            while await self._read_next():
                pass
        except http.CallerGoneError:
            self._shared.metrics.incr("caller_left")
            return False
        except _ReadingStoppedError:
            return True
        # One that came after the last read must not cancel anything else.
        await curio.check_cancellation(_ReadingStoppedError)
        return True

    async def stop_reading(self) -> None:
        """Ends the connection with the answer to the last call, if any."""
        if len(self._pipeline) == 0:
            return
        self._connection.close_after_response()
        if self._reader is not None:
            await self._reader.cancel(exc=_ReadingStoppedError, blocking=False)

    async def end(self) -> None:
        """Ends the connection, after the answers to calls that were read."""
        if len(self._pipeline) == 0:
            await self._connection.end()
        else:
            self._connection.close_after_response()

    async def reject_waiting(self) -> None:
        """Rejects the calls that are at no server."""
        for exchange in tuple(self._exchanges):
            await exchange.stop_waiting()

    def has_undelivered(self) -> bool:
        """Whether the caller has not received all answers."""
        return self._connection.has_undelivered()

    async def _read_next(self) -> bool:
        """Reads and starts one call; returns whether another may follow."""
        while not self._pipeline.has_room():
            # A caller that leaves in the meantime is noticed afterwards.
            await self._pipeline.oldest.answered.wait()
        if self._broken:
            return False
        limits = self._server.limits()
        self._reader = await curio.current_task()
        try:
            request = await self._connection.read_request(
                limit=limits.body_bytes,
                idle_deadline=time.monotonic() + limits.idle_seconds,
                head_seconds=limits.head_seconds,
            )
        except http.MalformedRequestError as error:
            slot = self._pipeline.add(repeatable=True)
            await self._spawn(self._reject_malformed, slot, error)
            return False
        finally:
            self._reader = None
        if request is None:
            return self._is_in_use(limits.idle_seconds)
        read = self._server.read_call(
            request,
            self._connection.arrived_at,
            handed_over=self._handed_over,
        )
        slot = self._pipeline.add(
            repeatable=read.may_overlap, size=len(request.body)
        )
        self._server.open_calls += 1
        await self._spawn(self._serve_call, slot, read)
        if self._shared.stop is not None:
            self._connection.close_after_response()
        return self._connection.is_reusable

    def _is_in_use(self, idle_seconds: float) -> bool:
        """Returns whether to go on reading after nothing was read."""
        connection = self._connection
        if self._broken or connection.caller_left:
            return False
        if not connection.is_reusable:
            return False
        return len(self._pipeline) > 0 or (
            time.monotonic() < connection.used_at + idle_seconds
        )

    async def _spawn(
        self,
        run: Callable[..., Awaitable[None]],
        slot: pipelines.Slot,
        *args: object,
    ) -> None:
        task = await curio.spawn(self._run_call, run, slot, args, daemon=True)
        self._tasks.add(task)

    async def _run_call(
        self,
        run: Callable[..., Awaitable[None]],
        slot: pipelines.Slot,
        args: tuple[object, ...],
    ) -> None:
        """Runs the task of a call; a failure ends the connection.

        Otherwise, the answer to the next call would be taken for the answer to
        this one.
        """
        try:
            await run(slot, *args)
        except http.CallerGoneError:
            self._shared.metrics.incr("caller_left")
            await self._break_off()
        except Exception as error:
            self._shared.metrics.incr("internal_error")
            self._shared.events.write_state("fault", error=repr(error))
            await self._break_off()
        finally:
            await self._pipeline.finish(slot)
            self._tasks.discard(await curio.current_task())

    async def _break_off(self) -> None:
        self._broken = True
        await self._connection.shut_down()

    async def _serve_call(self, slot: pipelines.Slot, read: _ReadCall) -> None:
        exchange = None
        try:
            decided = self._server.decide(read)
            attempts: list[dict[str, object]] = []
            if isinstance(decided, forwarding.Exchange):
                exchange = decided
                final = await self._run_exchange(slot, exchange)
                attempts = exchange.attempts
            else:
                final = decided
            await slot.settled.set()
            if final is None:
                return
            self._server.log_answer(read, final, attempts)
            response = self._server.write_answer(
                read.call.id, final, handed_over=self._handed_over
            )
            await self._send(slot, response)
        except curio.CancelledError:
            if not self._connection.caller_left:
                self._server.log_cut(read, exchange)
            raise
        finally:
            self._server.open_calls -= 1
            if exchange is not None:
                exchange.release_memory()

    async def _run_exchange(
        self, slot: pipelines.Slot, exchange: forwarding.Exchange
    ) -> forwarding.FinalAnswer | None:
        self._exchanges.add(exchange)
        try:
            for earlier in self._pipeline.blocking(slot):
                try:
                    async with core.timeout_at(exchange.answer_by):
                        await earlier.settled.wait()
                except curio.TaskTimeout:
                    return forwarding.refuse_not_run(
                        admission.Refusal.TIMED_OUT, None
                    )
            return await exchange.run()
        finally:
            self._exchanges.discard(exchange)

    async def _reject_malformed(
        self, slot: pipelines.Slot, error: http.HttpError
    ) -> None:
        self._shared.metrics.incr(f"refused:{error.code}")
        self._shared.events.write(
            "refused", request="", reason=error.code, detail=str(error)
        )
        final = forwarding.FinalAnswer(
            response=None,
            status=error.status,
            refusal=admission.Refusal.MALFORMED,
        )
        await self._send(slot, self._server.write_answer("", final))

    async def _send(
        self, slot: pipelines.Slot, response: http.Response
    ) -> None:
        await slot.wait_for_turn()
        if self._broken:
            return
        if self._shared.stop is not None:
            self._connection.close_after_response()
        await self._connection.send_response(response)

    async def _finish_calls(self, newest: pipelines.Slot) -> None:
        """Waits for the open calls after the last one was read."""
        watch = await curio.spawn(self._watch_caller, daemon=True)
        try:
            await newest.answered.wait()
        finally:
            await watch.cancel()

    async def _watch_caller(self) -> None:
        await self._connection.wait_for_caller_disconnect()
        await self._abandon()

    async def _abandon(self) -> None:
        """Ends the open calls of a caller that has left."""
        self._broken = True
        for exchange in tuple(self._exchanges):
            await exchange.abandon()
        newest = self._pipeline.newest
        if newest is not None:
            await newest.answered.wait()
