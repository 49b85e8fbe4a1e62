"""A call that passes through the gateway, and its response."""

import dataclasses
from typing import Protocol

import banyandale_config as config
import banyandale_http as http


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """A request and the parameters of its routing.

    Attributes:
        id: Request id that the backend server echoes.
        service: Configuration of the requested service.
        request: The complete request.
        deadline: Monotonic seconds.
        idempotent: Whether it may be sent again after an unknown outcome.
        attempt: Number of the caller's attempt, starting at 1.
        hop: Number of gateways that forwarded it before this one.
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
    """The part of a response body that has not been read yet."""

    async def read(self) -> bytes:
        """Returns the next chunk, or b"" at the end of the body.

        Raises:
            CallError: The body is incomplete.
        """

    async def close(self) -> None:
        """Discards the unread part; does nothing after the end of the body."""


@dataclasses.dataclass(kw_only=True, slots=True)
class CallResponse:
    """A response, either complete or with a stream of the remaining body.

    Attributes:
        head: Status and headers for the caller.
        body: The whole body, or its first part when `rest` is set.
        rest: Stream of the remaining body, if any.
    """

    head: http.ResponseHead
    body: bytes
    rest: BodyStream | None = None


class CallRouter(Protocol):
    """Routes calls to backend servers."""

    async def route(self, call: Call) -> CallResponse:
        """Routes a call; see `Router.route`."""


class SnapshotSource(Protocol):
    """Provides the current configuration."""

    def current(self) -> config.Snapshot | None:
        """Returns the configuration, or None if none has been loaded yet."""
