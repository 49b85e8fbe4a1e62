"""Serves the connections of callers, with one task per connection."""

import dataclasses
import json
import time
from typing import Protocol
import urllib.parse

from absl import logging
import curio
import curio.io

import banyandale_core as core
from banyandale_gateway import _calls as calls
from banyandale_gateway import _errors as errors
import banyandale_http as http

# Idle timeout of a caller's connection.
IDLE_TIMEOUT_SECONDS = 60.0
# Interval of the check for callers that disconnected during a call. A check
# costs one system call per connection with an active call.
DISCONNECT_CHECK_SECONDS = 0.05
# While draining, a connection without a request for this long counts as idle.
DRAIN_IDLE_SECONDS = 1.0
RUN_HEADER = b"banyandale-run"
REASON_HEADER = b"banyandale-reason"
JSON_TYPE = (b"content-type", b"application/json")
# Upper limit for request bodies; a service may set a lower one.
MAX_REQUEST_BYTES = 16 * 1024 * 1024


class CallHandler(Protocol):
    """Handles requests for configured services."""

    def names_service(self, request: http.Request) -> bool:
        """Whether the request names a configured service."""

    async def handle_call(self, request: http.Request) -> calls.CallResponse:
        """Runs the call and returns its response.

        Raises:
            CallError: The call ended without a response.
        """


class LocalHandler(Protocol):
    """Handles requests for the gateway's own endpoints."""

    def handle_local(self, request: http.Request, path: str) -> http.Response:
        """Returns the response to a request for a path below `/v1/`."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _ActiveCall:
    connection: http.ServerConnection
    task: curio.Task
    started_at: float
    target: str


class CallerServer:
    """Accepts connections from callers and serves their requests."""

    def __init__(
        self,
        *,
        address: str,
        calls_handler: CallHandler,
        local_handler: LocalHandler,
        metrics: core.Metrics,
    ) -> None:
        self._address = address
        self._calls_handler = calls_handler
        self._local_handler = local_handler
        self._metrics = metrics
        self._connections: set[http.ServerConnection] = set()
        self._active: dict[int, _ActiveCall] = {}
        self._draining = False
        self._listener: curio.io.Socket | None = None

    @property
    def active_calls(self) -> int:
        """Number of requests in progress."""
        return len(self._active)

    @property
    def is_drained(self) -> bool:
        """Whether there are no active calls and all connections are idle.

        An idle connection is not expected to receive further requests: its
        caller has looked up other gateways in the meantime.
        """
        idle_since = time.monotonic() - DRAIN_IDLE_SECONDS
        return not self._active and all(
            connection.used_at < idle_since for connection in self._connections
        )

    def listen(self) -> None:
        """Opens the listening socket.

        Raises:
            OSError: The address is in use or does not belong to this VM.
        """
        self._listener = http.open_listener(self._address)

    async def run(self) -> None:
        """Accepts connections until cancelled; call `listen` first."""
        listener = self._listener
        checker = await curio.spawn(
            self._cancel_disconnected_calls, daemon=True
        )
        try:
            while True:
                sock, _ = await listener.accept()
                await curio.spawn(self._serve_connection, sock, daemon=True)
        finally:
            await checker.cancel(blocking=False)
            await listener.close()

    def drain(self) -> None:
        """Makes every connection close after its next response."""
        self._draining = True
        for connection in self._connections:
            connection.close_after_response()

    def log_cut_calls(self) -> None:
        """Logs and counts the calls that the end of the process will cut."""
        now = time.monotonic()
        for active in self._active.values():
            self._metrics.incr("calls_cut")
            logging.warning(
                "call %s is cut after %.3f s as the gateway exits",
                active.target,
                now - active.started_at,
            )

    async def _cancel_disconnected_calls(self) -> None:
        while True:
            await curio.sleep(DISCONNECT_CHECK_SECONDS)
            oldest = time.monotonic() - DISCONNECT_CHECK_SECONDS
            for active in tuple(self._active.values()):
                if active.started_at < oldest and (
                    active.connection.has_caller_disconnected()
                ):
                    self._metrics.incr("caller.gone")
                    await active.task.cancel(blocking=False)

    async def _serve_connection(self, sock: curio.io.Socket) -> None:
        connection = http.ServerConnection(sock=sock)
        self._connections.add(connection)
        task = await curio.current_task()
        if self._draining:
            connection.close_after_response()
        try:
            while await self._serve_request(connection, task):
                pass
        except http.CallerGoneError:
            self._metrics.incr("caller.gone")
        except curio.CancelledError:
            raise
        except Exception:
            self._metrics.incr("caller.internal_error")
            logging.exception("unexpected error on a caller's connection")
        finally:
            self._connections.discard(connection)
            self._active.pop(id(connection), None)
            await connection.close()

    async def _serve_request(
        self, connection: http.ServerConnection, task: curio.Task
    ) -> bool:
        """Serves one request; returns whether another may follow."""
        try:
            request = await connection.read_request(
                limit=MAX_REQUEST_BYTES,
                idle_deadline=time.monotonic() + IDLE_TIMEOUT_SECONDS,
            )
        except http.MalformedRequestError as error:
            self._metrics.incr(f"refused.{error.code}")
            await connection.send_response(
                build_error_response(
                    error.status, error.code, error.run, str(error)
                )
            )
            return False
        if request is None:
            return False
        self._active[id(connection)] = _ActiveCall(
            connection=connection,
            task=task,
            started_at=time.monotonic(),
            target=request.target.decode("latin-1"),
        )
        try:
            await self._respond(connection, request)
        finally:
            self._active.pop(id(connection), None)
        return connection.is_reusable

    async def _respond(
        self, connection: http.ServerConnection, request: http.Request
    ) -> None:
        path = urllib.parse.urlsplit(request.target.decode("latin-1")).path
        try:
            if path.startswith("/v1/") and (
                not self._calls_handler.names_service(request)
            ):
                local_response = self._local_handler.handle_local(request, path)
                await connection.send_response(local_response)
                return
            response = await self._calls_handler.handle_call(request)
        except errors.CallError as error:
            self._metrics.incr(f"refused.{error.code}")
            await connection.send_response(
                build_error_response(
                    error.status, error.code, error.run, str(error)
                )
            )
            return
        except (http.CallerGoneError, curio.CancelledError):
            raise
        except Exception:
            code = core.CodedError.code
            self._metrics.incr(f"refused.{code}")
            logging.exception("unexpected error while handling a call")
            await connection.send_response(
                build_error_response(
                    500,
                    code,
                    core.RunMark.UNKNOWN,
                    "internal error, see the gateway log",
                )
            )
            return
        if response.rest is None:
            await connection.send_response(
                http.Response(
                    status=response.head.status,
                    headers=response.head.headers,
                    body=response.body,
                )
            )
        else:
            await self._stream(connection, response)

    async def _stream(
        self, connection: http.ServerConnection, response: calls.CallResponse
    ) -> None:
        rest = response.rest
        try:
            await connection.start_response(response.head)
            await connection.send_chunk(response.body)
            while chunk := await rest.read():
                await connection.send_chunk(chunk)
            await connection.end_response()
        except errors.CallError as error:
            self._metrics.incr(f"stream_aborted.{error.code}")
            await connection.abort()
        finally:
            await rest.close()


def build_error_response(
    status: int, code: str, run: core.RunMark, message: str
) -> http.Response:
    """Returns a response with the error code, run mark and message."""
    body = json.dumps({"code": code, "run": run.value, "message": message})
    return http.Response(
        status=status,
        headers=(
            JSON_TYPE,
            (RUN_HEADER, run.value.encode()),
            (REASON_HEADER, code.encode()),
        ),
        body=body.encode(),
    )
