"""JSON over HTTP, through which tests control and inspect stand-ins."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import time
import urllib.parse

import curio
import pydantic

import banyandale_http as http

IDLE_TIMEOUT_SECONDS = 60.0
MAX_REQUEST_BYTES = 1 << 20
CALL_TIMEOUT_SECONDS = 5.0
MAX_RESPONSE_BYTES = 64 << 20

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[object]]


async def serve_admin(*, address: str, handler: Handler) -> None:
    """Serves an admin listener until cancelled.

    Args:
        address: `ip:port` to listen on.
        handler: Receives method, path, query and body; returns the value to
            send as JSON, or None for an unknown path (404).
    """
    listener = http.open_listener(address)
    async with listener:
        while True:
            sock, _ = await listener.accept()
            await curio.spawn(_serve_connection, sock, handler, daemon=True)


async def _serve_connection(sock: object, handler: Handler) -> None:
    connection = http.ServerConnection(sock=sock)
    try:
        while connection.is_reusable:
            request = await connection.read_request(
                limit=MAX_REQUEST_BYTES,
                idle_deadline=time.monotonic() + IDLE_TIMEOUT_SECONDS,
            )
            if request is None:
                break
            await connection.send_response(
                await _handle_request(request, handler)
            )
    except http.HttpError:
        pass
    finally:
        await connection.close()


async def _handle_request(
    request: http.Request, handler: Handler
) -> http.Response:
    url = urllib.parse.urlsplit(request.target.decode())
    query = dict(urllib.parse.parse_qsl(url.query))
    try:
        result = await handler(
            request.method.decode(), url.path, query, request.body
        )
    except pydantic.ValidationError as error:
        return _make_response(400, {"error": str(error)})
    if result is None:
        return _make_response(404, {"error": f"no resource {url.path}"})
    return _make_response(200, result)


def _make_response(status: int, value: object) -> http.Response:
    return http.Response(
        status=status,
        headers=((b"content-type", b"application/json"),),
        body=json.dumps(value).encode(),
    )


async def call(
    address: str, method: str, target: str, value: object = None
) -> object:
    """Sends one request to an admin listener (or any JSON endpoint).

    Raises:
        HttpError: No response arrived.
        ValueError: The status is neither 200 nor 204, or the body is not
            JSON.
    """
    deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
    connection = await http.ClientConnection.open(
        address=address, deadline=deadline
    )
    body = b"" if value is None else json.dumps(value).encode()
    try:
        response = await connection.exchange(
            http.Request(
                method=method.encode(), target=target.encode(), body=body
            ),
            limit=MAX_RESPONSE_BYTES,
            deadline=deadline,
        )
    finally:
        await connection.close()
    if response.status == 204:
        return None
    if response.status != 200:
        raise ValueError(
            f"{address}{target}: status {response.status}:"
            f" {response.body[:200]!r}"
        )
    return json.loads(response.body)
