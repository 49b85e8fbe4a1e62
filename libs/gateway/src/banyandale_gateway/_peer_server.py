"""Serves the calls that peers forward to this gateway."""

from typing import Protocol

import banyandale_config as config
from banyandale_gateway import _backends as backends
from banyandale_gateway import _calls as calls
from banyandale_gateway import _errors as errors
import banyandale_http as http
import banyandale_peer as peer


class PeerCallRouter(Protocol):
    """Routes calls that peers forwarded."""

    async def serve_peer(self, call: calls.Call) -> calls.CallResponse:
        """Routes a call; see `Router.serve_peer`."""


class PeerCallServer:
    """Converts calls from peers and passes them to the router."""

    def __init__(
        self,
        *,
        configuration: calls.SnapshotSource,
        call_router: PeerCallRouter,
    ) -> None:
        self._configuration = configuration
        self._router = call_router

    async def serve(self, request: peer.CallRequest) -> peer.CallAnswer:
        """Routes one call.

        Raises:
            CallError: The call was refused or failed.
        """
        snapshot = self._configuration.current()
        service = snapshot and snapshot.find_service(request.service)
        if service is None:
            raise errors.NotHomeError(
                f"service {request.service!r} is not configured here"
            )
        response = await self._router.serve_peer(_build_call(request, service))
        return peer.CallAnswer(
            status=response.head.status,
            headers=response.head.headers,
            length=response.head.length,
            body=response.body if response.rest is None else None,
            chunks=None if response.rest is None else _BodyReader(response),
        )


class _BodyReader:
    """Reads the buffered part of a response body, then the rest."""

    def __init__(self, response: calls.CallResponse) -> None:
        self._first = response.body
        self._rest = response.rest

    async def read(self) -> bytes:
        if self._first:
            first, self._first = self._first, b""
            return first
        return await self._rest.read()

    async def close(self) -> None:
        await self._rest.close()


def _build_call(
    request: peer.CallRequest, service: config.Service
) -> calls.Call:
    message = http.Request(
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
    )
    return calls.Call(
        id=(message.header(backends.REQUEST_ID) or b"").decode("latin-1"),
        service=service,
        request=message,
        deadline=request.deadline,
        idempotent=request.method.decode() in service.idempotent_methods,
        attempt=request.attempt,
        hop=request.hop,
        zone=request.zone,
    )
