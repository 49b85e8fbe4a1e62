"""Messages between gateways as data classes, and their encoding."""

from collections.abc import Callable
import dataclasses
import importlib.resources
import itertools
from typing import Any
from typing import Protocol

import capnp

import banyandale_core as core
from banyandale_peer import _errors as errors

# With the hook, every import in the process would search for schema files.
capnp.remove_import_hook()

_SCHEMA = capnp.load(
    str(importlib.resources.files("banyandale_peer") / "messages.capnp")
)
_MESSAGE = _SCHEMA.Message

Headers = tuple[tuple[bytes, bytes], ...]

MICROSECONDS_PER_SECOND = 1_000_000
MAX_WAIT_US = 2**32 - 1
UNKNOWN_LENGTH = -1

_RUN_MARKS = {
    "unknown": core.RunMark.UNKNOWN,
    "notRun": core.RunMark.NOT_RUN,
}
_RUN_MARK_NAMES = {mark: name for name, mark in _RUN_MARKS.items()}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Challenge:
    """First message of the handshake, sent by the listener."""

    nonce: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Identify:
    """Identity and MAC of the dialer.

    Attributes:
        gateway_id: Id of the dialer.
        target_id: Id of the listener; empty when the dialer does not know it.
        link_kind: "control" or "call".
        address: Advertised peer address of the dialer.
        nonce: Random bytes chosen by the dialer.
        mac: HMAC of the handshake with the shared secret.
    """

    gateway_id: str
    target_id: str
    link_kind: str
    address: str
    nonce: bytes
    mac: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Welcome:
    """Identity and MAC of the listener."""

    gateway_id: str
    mac: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HomeReport:
    """Load of one home that a gateway holds.

    Attributes:
        service: Service name.
        zone: Availability zone.
        free_slots: Free slots of its backend servers.
        queued: Number of requests in its queue.
        wait: Estimated waiting time of a new request in seconds.
    """

    service: str
    zone: str
    free_slots: int = 0
    queued: int = 0
    wait: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """State of a gateway as sent to its peers.

    Attributes:
        gateway_id: Id of the sender.
        boot: Boot id of the sender's lease.
        generation: Configuration generation that the sender has in force.
        http_address: `ip:port` at which callers reach the sender.
        leaving: Whether the sender is shutting down.
        homes: Homes that the sender holds, with their loads.
    """

    gateway_id: str
    boot: str
    generation: int
    http_address: str
    leaving: bool = False
    homes: tuple[HomeReport, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimedHeartbeat:
    """A heartbeat with timestamps that give the round trip time.

    Attributes:
        heartbeat: Contents; None when they are as last sent on the link.
        sent_us: Sender's monotonic clock in microseconds.
        echo_us: `sent_us` of the last heartbeat that the sender received, or
            0 before the first.
        echo_delay_us: Microseconds since that heartbeat arrived.
    """

    heartbeat: Heartbeat | None
    sent_us: int
    echo_us: int
    echo_delay_us: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Loads that changed since they were last sent."""

    homes: tuple[HomeReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request on a control link."""

    id: int
    kind: str
    payload: bytes
    deadline_unix_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Answer to a `Request`; `error_code` is empty on success."""

    id: int
    payload: bytes
    error_code: str
    run: core.RunMark


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallRequest:
    """A request that one gateway forwards to another.

    Attributes:
        service: Service name.
        zone: Availability zone of the addressed home; empty for any.
        method: HTTP method.
        target: HTTP target.
        headers: Header names in lower case, with values.
        body: The whole body.
        deadline: Monotonic seconds.
        attempt: 1 for the first attempt of a request.
        hop: Number of times that the request was forwarded, this one included.
    """

    service: str
    method: bytes
    target: bytes
    deadline: float
    zone: str = ""
    headers: Headers = ()
    body: bytes = b""
    attempt: int = 1
    hop: int = 1


class ChunkReader(Protocol):
    """Source of a body that is forwarded in chunks."""

    async def read(self) -> bytes:
        """Returns the next chunk; b"" once the body is complete."""

    async def close(self) -> None:
        """Releases the source; cancels the call if the body is incomplete."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallAnswer:
    """Answer to a `CallRequest`, on both sides of the link.

    Attributes:
        status: HTTP status.
        headers: Header names in lower case, with values.
        length: Body length in bytes; None when it is not known yet.
        body: The whole body, or None when it is read from `chunks`.
        chunks: Reader of the body; None when `body` is given.
    """

    status: int
    headers: Headers = ()
    length: int | None = None
    body: bytes | None = b""
    chunks: ChunkReader | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallHead:
    """Start of a call: the request with the first chunk of its body."""

    id: int
    request: CallRequest
    deadline_unix_ms: int
    last: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BodyChunk:
    """A further chunk of a body."""

    data: bytes
    last: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Start of an answer with the first chunk of its body."""

    id: int
    status: int
    headers: Headers
    length: int | None
    body: bytes
    last: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerEnd:
    """End of an answer with the length of its whole body."""

    id: int
    body_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallError:
    """Error with which the peer answers a call."""

    id: int
    code: str
    run: core.RunMark


def _encode_empty(name: str) -> bytes:
    message = _MESSAGE.new_message()
    setattr(message, name, None)
    return message.to_bytes()


# These messages have no contents, so received frames are compared as bytes.
ACCEPTED = _encode_empty("accepted")
PING = _encode_empty("ping")
PONG = _encode_empty("pong")


def encode_challenge(challenge: Challenge) -> bytes:
    """Encodes a `Challenge`."""
    message = _MESSAGE.new_message()
    message.init("challenge").nonce = challenge.nonce
    return message.to_bytes()


def encode_identify(identify: Identify) -> bytes:
    """Encodes an `Identify`."""
    message = _MESSAGE.new_message()
    part = message.init("identify")
    part.gatewayId = identify.gateway_id
    part.targetId = identify.target_id
    part.linkKind = identify.link_kind
    part.nonce = identify.nonce
    part.mac = identify.mac
    part.address = identify.address
    return message.to_bytes()


def encode_welcome(welcome: Welcome) -> bytes:
    """Encodes a `Welcome`."""
    message = _MESSAGE.new_message()
    part = message.init("welcome")
    part.mac = welcome.mac
    part.gatewayId = welcome.gateway_id
    return message.to_bytes()


def _fill_homes(parts: Any, homes: tuple[HomeReport, ...]) -> None:
    for part, home in zip(parts, homes, strict=True):
        part.service = home.service
        part.zone = home.zone
        part.freeSlots = home.free_slots
        part.queued = home.queued
        wait_us = home.wait * MICROSECONDS_PER_SECOND
        part.waitUs = int(min(max(wait_us, 0), MAX_WAIT_US))


def encode_heartbeat(timed: TimedHeartbeat) -> bytes:
    """Encodes a `TimedHeartbeat`."""
    message = _MESSAGE.new_message()
    part = message.init("heartbeat")
    part.sentUs = timed.sent_us
    part.echoUs = timed.echo_us
    part.echoDelayUs = timed.echo_delay_us
    heartbeat = timed.heartbeat
    if heartbeat is None:
        part.unchanged = True
        return message.to_bytes_packed()
    part.gatewayId = heartbeat.gateway_id
    part.boot = heartbeat.boot
    part.generation = heartbeat.generation
    part.httpAddress = heartbeat.http_address
    part.leaving = heartbeat.leaving
    _fill_homes(part.init("homes", len(heartbeat.homes)), heartbeat.homes)
    return message.to_bytes_packed()


def encode_load_report(report: LoadReport) -> bytes:
    """Encodes a `LoadReport`."""
    message = _MESSAGE.new_message()
    _fill_homes(message.init("loadReport", len(report.homes)), report.homes)
    return message.to_bytes_packed()


def encode_request(request: Request) -> bytes:
    """Encodes a `Request`."""
    message = _MESSAGE.new_message()
    part = message.init("request")
    part.id = request.id
    part.kind = request.kind
    part.payload = request.payload
    part.deadlineUnixMs = request.deadline_unix_ms
    return message.to_bytes_packed()


def encode_reply(reply: Reply) -> bytes:
    """Encodes a `Reply`."""
    message = _MESSAGE.new_message()
    part = message.init("reply")
    part.id = reply.id
    part.payload = reply.payload
    part.errorCode = reply.error_code
    part.mark = _RUN_MARK_NAMES[reply.run]
    return message.to_bytes_packed()


def encode_call_head(head: CallHead) -> bytes:
    """Encodes a `CallHead`."""
    message = _MESSAGE.new_message()
    part = message.init("callHead")
    request = head.request
    part.id = head.id
    part.service = request.service
    part.zone = request.zone
    part.method = request.method
    part.target = request.target
    part.headers = list(itertools.chain.from_iterable(request.headers))
    part.deadlineUnixMs = head.deadline_unix_ms
    part.attempt = request.attempt
    part.hop = request.hop
    part.body = request.body
    part.last = head.last
    return message.to_bytes()


def encode_body_chunk(data: bytes, *, last: bool = False) -> bytes:
    """Encodes a `BodyChunk`."""
    message = _MESSAGE.new_message()
    part = message.init("bodyChunk")
    part.data = data
    part.last = last
    return message.to_bytes()


def encode_answer_head(head: AnswerHead) -> bytes:
    """Encodes an `AnswerHead`."""
    message = _MESSAGE.new_message()
    part = message.init("answerHead")
    part.id = head.id
    part.status = head.status
    part.headers = list(itertools.chain.from_iterable(head.headers))
    part.length = UNKNOWN_LENGTH if head.length is None else head.length
    part.body = head.body
    part.last = head.last
    return message.to_bytes()


def encode_answer_end(end: AnswerEnd) -> bytes:
    """Encodes an `AnswerEnd`."""
    message = _MESSAGE.new_message()
    part = message.init("answerEnd")
    part.id = end.id
    part.bodyBytes = end.body_bytes
    return message.to_bytes()


def encode_call_error(error: CallError) -> bytes:
    """Encodes a `CallError`."""
    message = _MESSAGE.new_message()
    part = message.init("callError")
    part.id = error.id
    part.code = error.code
    part.mark = _RUN_MARK_NAMES[error.run]
    return message.to_bytes()


def _pair_headers(flat: Any) -> Headers:
    items = iter(flat)
    return tuple(zip(items, items, strict=True))


def _decode_homes(parts: Any) -> tuple[HomeReport, ...]:
    return tuple(
        HomeReport(
            service=part.service,
            zone=part.zone,
            free_slots=part.freeSlots,
            queued=part.queued,
            wait=part.waitUs / MICROSECONDS_PER_SECOND,
        )
        for part in parts
    )


def _decode_identify(part: Any) -> Identify:
    return Identify(
        gateway_id=part.gatewayId,
        target_id=part.targetId,
        link_kind=str(part.linkKind),
        nonce=part.nonce,
        mac=part.mac,
        address=part.address,
    )


def _decode_heartbeat(part: Any) -> TimedHeartbeat:
    heartbeat = None
    if not part.unchanged:
        heartbeat = Heartbeat(
            gateway_id=part.gatewayId,
            boot=part.boot,
            generation=part.generation,
            http_address=part.httpAddress,
            leaving=part.leaving,
            homes=_decode_homes(part.homes),
        )
    return TimedHeartbeat(
        heartbeat=heartbeat,
        sent_us=part.sentUs,
        echo_us=part.echoUs,
        echo_delay_us=part.echoDelayUs,
    )


def _decode_request(part: Any) -> Request:
    return Request(
        id=part.id,
        kind=part.kind,
        payload=part.payload,
        deadline_unix_ms=part.deadlineUnixMs,
    )


def _decode_reply(part: Any) -> Reply:
    return Reply(
        id=part.id,
        payload=part.payload,
        error_code=part.errorCode,
        run=_RUN_MARKS[str(part.mark)],
    )


def _decode_call_head(part: Any) -> CallHead:
    # The receiver replaces the deadline by `deadline_unix_ms`, converted with
    # its own clock.
    request = CallRequest(
        service=part.service,
        zone=part.zone,
        method=part.method,
        target=part.target,
        headers=_pair_headers(part.headers),
        body=part.body,
        deadline=0.0,
        attempt=part.attempt,
        hop=part.hop,
    )
    return CallHead(
        id=part.id,
        request=request,
        deadline_unix_ms=part.deadlineUnixMs,
        last=part.last,
    )


def _decode_answer_head(part: Any) -> AnswerHead:
    length = part.length
    return AnswerHead(
        id=part.id,
        status=part.status,
        headers=_pair_headers(part.headers),
        length=None if length == UNKNOWN_LENGTH else length,
        body=part.body,
        last=part.last,
    )


_DECODERS: dict[str, Callable[[Any], Any]] = {
    "challenge": lambda part: Challenge(nonce=part.nonce),
    "identify": _decode_identify,
    "welcome": lambda part: Welcome(gateway_id=part.gatewayId, mac=part.mac),
    "heartbeat": _decode_heartbeat,
    "loadReport": lambda part: LoadReport(homes=_decode_homes(part)),
    "request": _decode_request,
    "reply": _decode_reply,
    "callHead": _decode_call_head,
    "bodyChunk": lambda part: BodyChunk(data=part.data, last=part.last),
    "answerHead": _decode_answer_head,
    "answerEnd": lambda part: AnswerEnd(id=part.id, body_bytes=part.bodyBytes),
    "callError": lambda part: CallError(
        id=part.id, code=part.code, run=_RUN_MARKS[str(part.mark)]
    ),
}


def decode(frame: bytes) -> Any:
    """Decodes an unpacked message, as sent in handshakes and on call links.

    Raises:
        FrameError: The frame is not a valid message, or is one that has no
            contents (`ACCEPTED`, `PING`, `PONG`).
    """
    try:
        with _MESSAGE.from_bytes(frame) as message:
            return _decode_union(message)
    except _DECODE_ERRORS as error:
        raise _make_frame_error(error) from error


def decode_packed(frame: bytes) -> Any:
    """Decodes a packed message, as sent on control links after the handshake.

    Raises:
        FrameError: The frame is not a valid message, or is one that has no
            contents (`ACCEPTED`, `PING`, `PONG`).
    """
    try:
        return _decode_union(_MESSAGE.from_bytes_packed(frame))
    except _DECODE_ERRORS as error:
        raise _make_frame_error(error) from error


_DECODE_ERRORS = (capnp.KjException, ValueError, KeyError)


def _decode_union(message: Any) -> Any:
    name = message.which()
    return _DECODERS[name](getattr(message, name))


def _make_frame_error(error: Exception) -> errors.FrameError:
    # The first line only, since a C++ stack trace follows it.
    reason = str(error).partition("\n")[0]
    return errors.FrameError(f"the message cannot be decoded: {reason}")
