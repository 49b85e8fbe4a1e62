"""Serves the console over HTTP."""

import time

import curio
import curio.io

from banyandale_console import _console as console
import banyandale_http as http

IDLE_SECONDS = 30.0
# A form with 4000 backend servers takes about 1 MB.
MAX_FORM_BYTES = 4 << 20
# Bounds the memory that connections use.
MAX_CONNECTIONS = 64


async def serve(handler: console.Console, sock: curio.io.Socket) -> None:
    """Serves the console on a listening socket until cancelled.

    Args:
        handler: The console that answers the requests.
        sock: The listening socket; it is closed at the end.
    """
    slots = curio.Semaphore(MAX_CONNECTIONS)
    async with sock, curio.TaskGroup() as tasks:
        while True:
            await slots.acquire()
            client, _ = await sock.accept()
            # The group discards daemon tasks when they end, and cancels those
            # that still run when the server stops.
            await tasks.spawn(
                _serve_connection, handler, client, slots, daemon=True
            )


async def _serve_connection(
    handler: console.Console, sock: curio.io.Socket, slots: curio.Semaphore
) -> None:
    connection = http.ServerConnection(sock=sock)
    try:
        while connection.is_reusable:
            request = await connection.read_request(
                limit=MAX_FORM_BYTES,
                idle_deadline=time.monotonic() + IDLE_SECONDS,
            )
            if request is None:
                return
            await connection.send_response(await handler.handle(request))
    except http.MalformedRequestError as error:
        await _send_error(connection, error)
    except http.CallerGoneError:
        pass
    finally:
        await connection.close()
        await slots.release()


async def _send_error(
    connection: http.ServerConnection, error: http.MalformedRequestError
) -> None:
    connection.close_after_response()
    try:
        await connection.send_response(
            http.Response(status=error.status, body=str(error).encode())
        )
    except http.CallerGoneError:
        pass
