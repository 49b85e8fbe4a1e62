"""Serves callers' connections: reads calls and writes their answers."""

import time

import curio
import curio.io

import banyandale_core as core
from banyandale_direct import _admission as admission
from banyandale_direct import _configuration as configuration
from banyandale_direct import _context as context
from banyandale_direct import _forwarding as forwarding
from banyandale_direct import _protocols as protocols
from banyandale_direct import _shares as shares
from banyandale_direct import _stops as stops
import banyandale_http as http

BAD_REQUEST_STATUS = 400
NO_ROUTE_STATUS = 404
# Retry delay of callers while the gateway has no configuration yet; a start
# takes about as long.
UNCONFIGURED_RETRY_AFTER_SECONDS = 0.3
# Callers rejected by a stopping gateway can retry elsewhere immediately.
STOPPING_RETRY_AFTER_SECONDS = 0.0


class CallServer:
    """Serves the connections of callers.

    Attributes:
        configuration: The current configuration, or None before the first.
        stop: Plan of the shutdown in progress, or None.
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
        self.stop: stops.StopPlan | None = None
        self.open_calls = 0
        self.open_connections = 0

    def set_configuration(self, current: configuration.Configuration) -> None:
        """Applies a configuration to all later calls."""
        self.configuration = current
        self._rotations.keep_only(current)

    async def serve(self, sock: curio.io.Socket) -> None:
        """Serves one connection until it ends."""
        limits = self._limits()
        connection = http.ServerConnection(
            sock=sock, max_head_bytes=limits.head_bytes
        )
        self.open_connections += 1
        try:
            while await self._serve_one(connection):
                pass
        except http.CallerGoneError:
            self._shared.metrics.incr("caller_left")
        finally:
            self.open_connections -= 1
            await connection.close()

    def _limits(self) -> configuration.Limits:
        if self.configuration is None:
            return configuration.Limits()
        return self.configuration.limits

    async def _serve_one(self, connection: http.ServerConnection) -> bool:
        limits = self._limits()
        try:
            request = await connection.read_request(
                limit=limits.body_bytes,
                idle_deadline=time.monotonic() + limits.idle_seconds,
                head_seconds=limits.head_seconds,
            )
        except http.MalformedRequestError as error:
            await self._reject_malformed(connection, error)
            return False
        if request is None:
            return False
        self.open_calls += 1
        try:
            return await self._answer(connection, request)
        finally:
            self.open_calls -= 1

    async def _reject_malformed(
        self, connection: http.ServerConnection, error: http.HttpError
    ) -> None:
        self._shared.metrics.incr(f"refused:{error.code}")
        self._shared.events.write(
            "refused", request="", reason=error.code, detail=str(error)
        )
        connection.close_after_response()
        await connection.send_response(
            self._codec.write_refusal(
                call_id="",
                status=error.status,
                refusal=admission.Refusal.MALFORMED,
                retry_after_seconds=None,
            )
        )

    async def _answer(
        self, connection: http.ServerConnection, request: http.Request
    ) -> bool:
        started_at = time.monotonic()
        try:
            call = self._codec.read_call(request)
        except protocols.MalformedCallError as error:
            call = protocols.Call(
                id="", host="", path="", remaining_seconds=None, request=request
            )
            final = self._refuse_malformed(error)
            exchange = None
        else:
            final, exchange = await self._decide(connection, call, started_at)
        if final is None:
            return False
        self._log(call, final, exchange, started_at)
        if self.stop is not None:
            connection.close_after_response()
        response = final.response
        if response is None:
            response = self._codec.write_refusal(
                call_id=call.id,
                status=final.status,
                refusal=final.refusal or admission.Refusal.NO_ROOM,
                retry_after_seconds=final.retry_after_seconds,
            )
        await connection.send_response(response)
        return connection.is_reusable

    def _refuse_malformed(self, error: Exception) -> forwarding.FinalAnswer:
        self._shared.events.write(
            "malformed_call", request="", detail=str(error)
        )
        return forwarding.FinalAnswer(
            response=None,
            status=BAD_REQUEST_STATUS,
            refusal=admission.Refusal.MALFORMED,
        )

    async def _decide(
        self,
        connection: http.ServerConnection,
        call: protocols.Call,
        started_at: float,
    ) -> tuple[forwarding.FinalAnswer | None, forwarding.Exchange | None]:
        current = self.configuration
        if current is None or not self._shared.registry.loaded:
            return forwarding.refuse_not_run(
                admission.Refusal.NOT_CONFIGURED,
                UNCONFIGURED_RETRY_AFTER_SECONDS,
            ), None
        route = current.find_route(host=call.host, path=call.path)
        if route is None:
            return forwarding.FinalAnswer(
                response=None,
                status=NO_ROUTE_STATUS,
                refusal=admission.Refusal.NO_ROUTE,
            ), None
        service = current.services[self._rotations.choose(route)]
        if not self._accepts(route.name):
            return forwarding.refuse_not_run(
                admission.Refusal.STOPPING, STOPPING_RETRY_AFTER_SECONDS
            ), None
        age = 0.0
        if call.remaining_seconds is not None:
            age = self._shared.call_ages.find_age(
                route.name, call.remaining_seconds
            )
        exchange = forwarding.Exchange(
            shared=self._shared,
            call=call,
            route=route,
            service=service,
            started_at=started_at,
            age_seconds=age,
            version=current.version,
        )
        return await exchange.run(connection), exchange

    def _accepts(self, route: str) -> bool:
        if self.stop is None:
            return True
        return self.stop.accepts_call(
            now=time.monotonic(),
            estimate_seconds=self._shared.demands.find(route).work_seconds,
        )

    def _log(
        self,
        call: protocols.Call,
        final: forwarding.FinalAnswer,
        exchange: forwarding.Exchange | None,
        started_at: float,
    ) -> None:
        seconds = time.monotonic() - started_at
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
            attempts=exchange.attempts if exchange else [],
        )
