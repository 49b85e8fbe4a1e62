"""HTTP endpoints for readiness checks, address lookups and metrics."""

from collections.abc import Callable
import time

import curio
import curio.io

import banyandale_core as core
import banyandale_http as http

MAX_REQUEST_BYTES = 65536
IDLE_SECONDS = 15.0
# Pause after a failed accept, for example when out of file descriptors.
ACCEPT_PAUSE_SECONDS = 0.05

Handler = Callable[[http.Request], http.Response]


async def accept_connections(
    address: str,
    serve: Callable,
    *,
    events: core.EventLog,
    metrics: core.Metrics,
) -> None:
    """Accepts connections in an endless loop; a task serves each one.

    Raises:
        OSError: The address cannot be bound.
    """
    listener = http.open_listener(address)
    async with listener:
        while True:
            try:
                sock, _ = await listener.accept()
            except OSError as error:
                metrics.incr("accept_failed")
                events.write("accept_failed", address=address, error=str(error))
                await curio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            await curio.spawn(
                _serve_safely, serve, sock, events, metrics, daemon=True
            )


async def _serve_safely(
    serve: Callable,
    sock: curio.io.Socket,
    events: core.EventLog,
    metrics: core.Metrics,
) -> None:
    try:
        await serve(sock)
    except OSError as error:
        metrics.incr("connection_failed")
        events.write("connection_failed", error=str(error))
    except Exception as error:  # One connection must not end the process.
        metrics.incr("internal_error")
        events.write_state("fault", error=repr(error))
    finally:
        await sock.close()


class Endpoint:
    """Answers each request with the response of a handler function."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    async def serve(self, sock: curio.io.Socket) -> None:
        """Serves one connection until it ends."""
        connection = http.ServerConnection(sock=sock)
        try:
            while True:
                try:
                    request = await connection.read_request(
                        limit=MAX_REQUEST_BYTES,
                        idle_deadline=time.monotonic() + IDLE_SECONDS,
                    )
                except http.MalformedRequestError as error:
                    connection.close_after_response()
                    await connection.send_response(
                        http.Response(status=error.status)
                    )
                    return
                if request is None:
                    return
                await connection.send_response(self._handler(request))
                if not connection.is_reusable:
                    return
        except http.CallerGoneError:
            # The client left; nothing depends on the response.
            return
        finally:
            await connection.close()
