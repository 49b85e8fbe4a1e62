"""Protocol between gateways and backend servers.

Only this module knows the names of the headers and endpoints, so that another
kind of backend server needs only another `BackendProtocol`.
"""

from http import HTTPStatus
from typing import Literal
from typing import Protocol
import uuid

import pydantic

import banyandale_dispatch as dispatch
import banyandale_http as http

DEADLINE = b"request-deadline"
ATTEMPT = b"request-attempt"
REQUEST_ID = b"request-id"
IDEMPOTENCY_KEY = b"idempotency-key"
_BOOT = b"server-boot"
_PHASE = b"server-phase"
_LOAD = b"server-load"
_SHED = b"server-shed"
_SHED_STATUS = 503

_GATEWAY_HEADERS = frozenset({DEADLINE, ATTEMPT, REQUEST_ID})
_SERVER_HEADERS = frozenset({_BOOT, _PHASE, _LOAD, _SHED, REQUEST_ID})
_PHASES = {
    b"cold": dispatch.Phase.COLD,
    b"warm": dispatch.Phase.WARM,
    b"leaving": dispatch.Phase.LEAVING,
}


class _LoadResponse(pydantic.BaseModel):
    """JSON body of the response to `GET /load`."""

    boot: str
    phase: Literal["cold", "warm", "leaving"]
    in_flight: int = 0
    slots: int = 0


class BackendProtocol(Protocol):
    """Operations that depend on the kind of backend server."""

    def build_request(
        self,
        request: http.Request,
        *,
        request_id: str,
        deadline_unix_ms: int,
        attempt: int,
    ) -> http.Request:
        """Returns the request in the form that the backend server expects."""

    def read_report(
        self, head: http.ResponseHead
    ) -> dispatch.LoadReport | None:
        """Returns the load report in a response to a call, if any."""

    def build_probe(self) -> http.Request:
        """Returns the request that asks for a load report."""

    def read_probe(self, response: http.Response) -> dispatch.LoadReport | None:
        """Returns the load report in the response to a probe, if any."""

    def is_shed(self, head: http.ResponseHead) -> bool:
        """Whether the backend server shed the request without running it."""

    def read_request_id(self, head: http.ResponseHead) -> str | None:
        """Returns the request id in the response, if any."""

    def echoes_request_id(
        self, head: http.ResponseHead, request_id: str
    ) -> bool:
        """Whether the response carries the id of this request."""

    def strip_headers(self, headers: http.Headers) -> http.Headers:
        """Returns the response headers that the caller receives."""


class HeaderProtocol:
    """Protocol of backend servers that report load in response headers."""

    def build_request(
        self,
        request: http.Request,
        *,
        request_id: str,
        deadline_unix_ms: int,
        attempt: int,
    ) -> http.Request:
        """Returns the request with id, deadline and attempt as headers."""
        headers = [
            pair for pair in request.headers if pair[0] not in _GATEWAY_HEADERS
        ]
        headers.append((REQUEST_ID, request_id.encode()))
        headers.append((DEADLINE, str(deadline_unix_ms).encode()))
        headers.append((ATTEMPT, str(attempt).encode()))
        return http.Request(
            method=request.method,
            target=request.target,
            headers=tuple(headers),
            body=request.body,
        )

    def read_report(
        self, head: http.ResponseHead
    ) -> dispatch.LoadReport | None:
        """Returns the load report in the response headers, if any.

        Without a boot id and a known phase there is no report. Invalid load
        figures count as 0.
        """
        found = {
            key: value for key, value in head.headers if key in _SERVER_HEADERS
        }
        boot = found.get(_BOOT)
        phase = _PHASES.get(found.get(_PHASE, b""))
        if boot is None or phase is None:
            return None
        in_flight, _, slots = found.get(_LOAD, b"").partition(b"/")
        return dispatch.LoadReport(
            boot=boot.decode("latin-1"),
            phase=phase,
            in_flight=int(in_flight) if in_flight.isdigit() else 0,
            slots=int(slots) if slots.isdigit() else 0,
        )

    def build_probe(self) -> http.Request:
        """Returns `GET /load` with a request id that no call uses."""
        request_id = uuid.uuid4().hex.encode()
        return http.Request(
            method=b"GET",
            target=b"/load",
            headers=((REQUEST_ID, request_id),),
        )

    def read_probe(self, response: http.Response) -> dispatch.LoadReport | None:
        """Returns the load report in the JSON body, or None if invalid."""
        if response.status != HTTPStatus.OK:
            return None
        try:
            load = _LoadResponse.model_validate_json(response.body)
        except pydantic.ValidationError:
            return None
        return dispatch.LoadReport(
            boot=load.boot,
            phase=_PHASES[load.phase.encode()],
            in_flight=load.in_flight,
            slots=load.slots,
        )

    def is_shed(self, head: http.ResponseHead) -> bool:
        """Whether this is a 503 with `Server-Shed: not-run`."""
        return head.status == _SHED_STATUS and (
            head.header(_SHED) == b"not-run"
        )

    def read_request_id(self, head: http.ResponseHead) -> str | None:
        """Returns the `Request-Id` header."""
        echoed = head.header(REQUEST_ID)
        return None if echoed is None else echoed.decode("latin-1")

    def echoes_request_id(
        self, head: http.ResponseHead, request_id: str
    ) -> bool:
        """Whether the `Request-Id` header echoes the id of this request."""
        return head.header(REQUEST_ID) == request_id.encode()

    def strip_headers(self, headers: http.Headers) -> http.Headers:
        """Removes the headers that are meant only for the gateway."""
        return tuple(pair for pair in headers if pair[0] not in _SERVER_HEADERS)
