"""Simulated platform: object API and VM list over HTTP.

Besides the platform's own API it has two endpoints for tests:

* `POST /faults` with `{"down": bool, "slow_ms": number,
  "lose_write_responses": int}`; absent keys keep their value. Returns 204.
* `GET /counts` returns the number of calls by operation and kind, such as
  `{"update.lease": 12}`.

The VM list is set by `PUT /v1/vms` with `{"vms": [...]}`.
"""

from collections.abc import Callable
import json
import time

import curio
import pydantic

import banyandale_core as core
import banyandale_http as http
import banyandale_platform as platform
from banyandale_platform import testing
from banyandale_platform import wire

FAULTS_PATH = "/faults"
COUNTS_PATH = "/counts"
IDLE_TIMEOUT_SECONDS = 60.0
SERVER_NAME = b"banyandale-standin"


class _FaultSettings(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    down: bool | None = None
    slow_ms: float | None = pydantic.Field(default=None, ge=0)
    lose_write_responses: int | None = pydantic.Field(default=None, ge=0)


class _Platform:
    """Handles the requests of all connections."""

    def __init__(
        self, *, store: testing.MemoryStore, vm_list: testing.MemoryVmList
    ) -> None:
        self._store = store
        self._vm_list = vm_list

    async def serve(self, sock: curio.io.Socket, _: object) -> None:
        """Serves one connection until either side closes it."""
        connection = http.ServerConnection(sock=sock)
        try:
            while connection.is_reusable:
                request = await connection.read_request(
                    limit=wire.MAX_BODY_BYTES,
                    idle_deadline=time.monotonic() + IDLE_TIMEOUT_SECONDS,
                )
                if request is None:
                    return
                response = await self._handle_request(request)
                if response is None:
                    return
                await connection.send_response(response)
        except http.HttpError:
            return
        finally:
            await connection.close()

    async def _handle_request(
        self, request: http.Request
    ) -> http.Response | None:
        """Returns the response; None closes the connection without one."""
        try:
            return await self._route(request)
        except platform.ConflictError as error:
            return _respond(412, wire.encode_conflict(error.current))
        except platform.WatchExpiredError as error:
            return _respond_error(410, error)
        except platform.StoreUnavailableError as error:
            return _respond_error(503, error)
        except platform.OutcomeUnknownError:
            return None
        except (
            platform.StoreRejectedError,
            wire.MalformedMessageError,
        ) as error:
            return _respond_error(400, error)

    async def _route(self, request: http.Request) -> http.Response:
        path = request.target.decode().partition("?")[0]
        if path == wire.WATCH_PATH:
            return await self._watch(request)
        if path == wire.VMS_PATH:
            return await self._handle_vms(request)
        if path == FAULTS_PATH:
            return await self._set_faults(request)
        if path == COUNTS_PATH:
            return _respond(200, json.dumps(self._store.counts).encode())
        if path.startswith(wire.OBJECTS_PATH):
            return await self._handle_object(request)
        return _respond(404, b"{}")

    async def _watch(self, request: http.Request) -> http.Response:
        call = wire.parse_watch_call(request)
        wait = call.wait_ms / core.MILLISECONDS_PER_SECOND
        changes = await self._store.watch(
            kinds=call.kinds,
            since=call.since,
            deadline=time.monotonic() + wait,
        )
        return _respond(200, wire.encode_changes(changes))

    async def _handle_vms(self, request: http.Request) -> http.Response:
        if request.method == b"PUT":
            self._vm_list.vms = wire.parse_vms(request.body)
            return _respond(204, b"")
        return _respond(200, wire.encode_vms(await self._vm_list.fetch()))

    async def _set_faults(self, request: http.Request) -> http.Response:
        try:
            settings = _FaultSettings.model_validate_json(request.body)
        except pydantic.ValidationError as error:
            raise wire.MalformedMessageError(str(error)) from error
        faults = self._store.faults
        if settings.slow_ms is not None:
            faults.slow_seconds = (
                settings.slow_ms / core.MILLISECONDS_PER_SECOND
            )
        if settings.lose_write_responses is not None:
            faults.lose_write_responses = settings.lose_write_responses
        if settings.down is not None:
            await self._store.set_down(settings.down)
        return _respond(204, b"")

    async def _handle_object(self, request: http.Request) -> http.Response:
        call = wire.parse_object_call(request)
        if call.name is None:
            if request.method != b"GET":
                return _respond(405, b"{}")
            listing = await self._store.list(kind=call.kind)
            return _respond(200, wire.encode_listing(listing))
        if request.method == b"GET":
            stored = await self._store.get(kind=call.kind, name=call.name)
            if stored is None:
                return _respond(404, b"{}")
            return _respond(200, wire.encode_object(stored))
        return await self._write(request, call, call.name)

    async def _write(
        self, request: http.Request, call: wire.ObjectCall, name: str
    ) -> http.Response:
        if request.method == b"DELETE" and call.version is not None:
            await self._store.delete(
                kind=call.kind, name=name, version=call.version
            )
            return _respond(204, b"")
        if request.method != b"PUT":
            return _respond(405, b"{}")
        value = wire.parse_value(request.body)
        if len(value) > wire.MAX_VALUE_BYTES:
            return _respond(413, b"{}")
        if call.is_create:
            stored = await self._store.create(
                kind=call.kind, name=name, value=value
            )
        elif call.version is not None:
            stored = await self._store.update(
                kind=call.kind, name=name, value=value, version=call.version
            )
        else:
            # An unconditional write would overwrite concurrent changes.
            return _respond(428, b"{}")
        return _respond(200, wire.encode_object(stored))


def _respond(status: int, body: bytes) -> http.Response:
    return http.Response(status=status, headers=wire.JSON_HEADERS, body=body)


def _respond_error(status: int, error: platform.PlatformError) -> http.Response:
    body = json.dumps({"code": error.code, "message": str(error)}).encode()
    return _respond(status, body)


async def serve_platform(
    *,
    address: str,
    store: testing.MemoryStore | None = None,
    vm_list: testing.MemoryVmList | None = None,
    on_ready: Callable[[str], None] | None = None,
) -> None:
    """Serves the platform's API until cancelled.

    Args:
        address: `ip:port` to listen on; port 0 selects a free one.
        store: Object store, or None for an empty one.
        vm_list: VM list, or None for an empty one that has the faults of the
            store.
        on_ready: Called with the address in use once connections are
            accepted.
    """
    store = store or testing.MemoryStore()
    vm_list = vm_list or testing.MemoryVmList(faults=store.faults)
    server = _Platform(store=store, vm_list=vm_list)
    listener = http.open_listener(address)
    host, port = listener.getsockname()[:2]
    if on_ready is not None:
        on_ready(f"{host}:{port}")
    async with listener, curio.TaskGroup(wait=None) as group:
        while True:
            sock, peer = await listener.accept()
            await group.spawn(server.serve, sock, peer)
