"""Messages about claims on control links, as JSON."""

from typing import Literal

import pydantic

import banyandale_claims as claims


class Message(pydantic.BaseModel):
    """Base of all messages: bytes are written as base64."""

    model_config = pydantic.ConfigDict(
        frozen=True, ser_json_bytes="base64", val_json_bytes="base64"
    )


class Response(Message):
    """A response to be remembered or replayed."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


class KeyMessage(Message):
    """What every request about a key has."""

    service: str
    key: str
    gateway_id: str
    boot: str
    request_id: str

    def identity(self) -> claims.Identity:
        """Returns who asks."""
        return claims.Identity(
            gateway_id=self.gateway_id,
            boot=self.boot,
            request_id=self.request_id,
        )


class BeginMessage(KeyMessage):
    """Asks for a claim."""

    body_hash: str


class SettleMessage(KeyMessage):
    """Reports the outcome; without a response the request has not run."""

    response: Response | None = None


class DecisionMessage(Message):
    """Answers a `BeginMessage`."""

    kind: Literal[
        "Granted", "Replay", "InProgress", "Unknown", "NotKept", "KeyReused"
    ]
    status: int = 0
    response: Response | None = None


_PLAIN_DECISIONS = {
    "Granted": claims.Granted(),
    "InProgress": claims.InProgress(),
    "Unknown": claims.Unknown(),
    "KeyReused": claims.KeyReused(),
}


def encode_response(response: claims.StoredResponse) -> Response:
    """Returns the message form of a response."""
    return Response(
        status=response.status, headers=response.headers, body=response.body
    )


def decode_response(message: Response) -> claims.StoredResponse:
    """Returns the response of its message form."""
    return claims.StoredResponse(
        status=message.status, headers=message.headers, body=message.body
    )


def encode_decision(decision: claims.Decision) -> bytes:
    """Returns a decision as JSON."""
    kind = type(decision).__name__
    if isinstance(decision, claims.Replay):
        response = encode_response(decision.response)
        message = DecisionMessage(kind=kind, response=response)
    elif isinstance(decision, claims.NotKept):
        message = DecisionMessage(kind=kind, status=decision.status)
    else:
        message = DecisionMessage(kind=kind)
    return message.model_dump_json().encode()


def decode_decision(payload: bytes) -> claims.Decision:
    """Reads a decision.

    Raises:
        pydantic.ValidationError: The payload is not a decision.
    """
    message = DecisionMessage.model_validate_json(payload)
    if message.response is not None:
        return claims.Replay(response=decode_response(message.response))
    if message.kind == "NotKept":
        return claims.NotKept(status=message.status)
    return _PLAIN_DECISIONS[message.kind]
