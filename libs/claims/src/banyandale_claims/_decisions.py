"""Results of claiming an idempotency key."""

import dataclasses
from typing import ClassVar

import banyandale_core as core

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """Identifies the gateway and the call that claim a key.

    Attributes:
        gateway_id: Gateway that will send the request.
        boot: Boot id in the lease of the gateway. After a restart the gateway
            has another boot id and no longer knows the outcome of the request.
        request_id: Unique for each call of `begin`, including repeated
            requests.
    """

    gateway_id: str
    boot: str
    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredResponse:
    """A response that is stored and replayed to repeated requests."""

    status: int
    headers: Headers = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The claim is stored; the request may be sent once."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """The request has run; its stored response is returned."""

    response: StoredResponse


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The request must not be sent.

    Attributes:
        code: Value of the `Banyandale-Reason` header.
        http_status: HTTP status for the caller.
        run: Whether any request with this key has run. It describes the key
            and not this attempt, because to the caller a repeated request is
            the same request.
    """

    code: ClassVar[str] = "claim_refused"
    http_status: ClassVar[int] = 409
    run: ClassVar[core.RunMark] = core.RunMark.UNKNOWN


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InProgress(Refused):
    """Another request with this key is still running."""

    code: ClassVar[str] = "request_in_progress"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown(Refused):
    """A request with this key was granted, but its outcome is lost."""

    code: ClassVar[str] = "outcome_unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotKept(Refused):
    """The request has run, but its response was too large to be stored.

    Attributes:
        status: HTTP status of the response.
    """

    code: ClassVar[str] = "outcome_not_kept"
    status: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyReused(Refused):
    """The key belongs to a different request; this one has not run."""

    code: ClassVar[str] = "idempotency_key_reused"
    http_status: ClassVar[int] = 422
    run: ClassVar[core.RunMark] = core.RunMark.NOT_RUN


Decision = Granted | Replay | InProgress | Unknown | NotKept | KeyReused
