"""One call on its way through the gateway, and its response."""

import dataclasses
from typing import Protocol

import banyandale_config as config
import banyandale_http as http


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """A request with what was decided for it.

    Attributes:
        id: Identity that the backend server echoes.
        service: The configured service.
        request: The complete request.
        deadline: Monotonic seconds.
        idempotent: Whether it may be sent again after an unknown outcome.
        attempt: Which attempt of the caller this is; the first is 1.
        hop: How many gateways passed it on before this one.
        zone: Zone of the home that a peer addressed; empty for any.
    """

    id: str
    service: config.Service
    request: http.Request
    deadline: float
    idempotent: bool
    attempt: int = 1
    hop: int = 0
    zone: str = ""


class BodyStream(Protocol):
    """The rest of a response body that is not read yet."""

    async def read(self) -> bytes:
        """Returns the next piece; b"" once the body is complete.

        Raises:
            CallError: The body is incomplete.
        """

    async def close(self) -> None:
        """Gives up the rest of the body. Does nothing after its end."""


@dataclasses.dataclass(kw_only=True, slots=True)
class CallResponse:
    """A response: whole, or a first part and a stream of the rest.

    Attributes:
        head: Status and headers for the caller.
        body: The whole body, or its first part when `rest` is set.
        rest: Source of the rest of the body.
    """

    head: http.ResponseHead
    body: bytes
    rest: BodyStream | None = None


class CallRouter(Protocol):
    """Runs calls."""

    async def route(self, call: Call) -> CallResponse:
        """Runs a call; see `Router.route`."""


class SnapshotSource(Protocol):
    """Gives the configuration in force."""

    def current(self) -> config.Snapshot | None:
        """Returns the configuration, or None before the first one."""
