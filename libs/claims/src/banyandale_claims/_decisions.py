"""Results of claiming a key."""

import dataclasses
from typing import ClassVar

import banyandale_core as core

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """Who asks for a claim.

    Attributes:
        gateway_id: Gateway that will send the request.
        boot: Boot id of its lease. A gateway with another boot id has lost
            the outcome of the request.
        request_id: Unique for each call of `begin`, also for a repetition.
    """

    gateway_id: str
    boot: str
    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredResponse:
    """The response that is replayed."""

    status: int
    headers: Headers = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The claim is stored; the request may be sent, once."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """The request has run; this is its response."""

    response: StoredResponse


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The request must not be sent.

    Attributes:
        code: Value of the `Banyandale-Reason` header.
        http_status: HTTP status for the caller.
        run: Whether a request with this key has run. The mark is about the
            key, since to the caller a repetition is the same request.
    """

    code: ClassVar[str] = "claim_refused"
    http_status: ClassVar[int] = 409
    run: ClassVar[core.RunMark] = core.RunMark.UNKNOWN


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InProgress(Refused):
    """A request with this key is being handled."""

    code: ClassVar[str] = "request_in_progress"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown(Refused):
    """A request with this key was granted and its outcome is lost."""

    code: ClassVar[str] = "outcome_unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotKept(Refused):
    """The request has run; its response was too large to be kept.

    Attributes:
        status: HTTP status of that response.
    """

    code: ClassVar[str] = "outcome_not_kept"
    status: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyReused(Refused):
    """The key was used for a different request; this one has not run."""

    code: ClassVar[str] = "idempotency_key_reused"
    http_status: ClassVar[int] = 422
    run: ClassVar[core.RunMark] = core.RunMark.NOT_RUN


Decision = Granted | Replay | InProgress | Unknown | NotKept | KeyReused
