"""Records of claims and their form in the object store."""

import base64
import dataclasses
import enum
import hashlib
from typing import Any

from banyandale_claims import _decisions as decisions

KEY_BYTES = 16
# A response over this size is remembered by its status only.
MAX_RESPONSE_BYTES = 16 * 1024


class State(enum.Enum):
    """What is known about a key."""

    PENDING = "pending"
    DONE = "done"
    ABANDONED = "abandoned"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """Latest news about one key.

    Attributes:
        state: What is known.
        body_hash: Hash of the request.
        identity: Who claimed the key.
        at_ms: Unix milliseconds of this record.
        until_ms: Unix milliseconds after which a pending request has no
            outcome any more.
        status: HTTP status of the response; 0 while there is none.
        response: The response, or None when it was too large.
    """

    state: State
    body_hash: str
    identity: decisions.Identity
    at_ms: int
    until_ms: int
    status: int = 0
    response: decisions.StoredResponse | None = None


def hash_key(key: str) -> str:
    """Returns the name under which a key is stored."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_BYTES).hexdigest()


def hash_request(*, method: bytes, target: bytes, body: bytes) -> str:
    """Returns the hash that tells whether a key is used again."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (method, target, body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


def keep_response(
    response: decisions.StoredResponse,
) -> decisions.StoredResponse | None:
    """Returns the response, or None when it is too large to be kept."""
    if measure_response(response) > MAX_RESPONSE_BYTES:
        return None
    return response


def measure_response(response: decisions.StoredResponse) -> int:
    """Returns the size of a response with its headers in bytes."""
    headers = sum(len(name) + len(value) for name, value in response.headers)
    return headers + len(response.body)


def encode_response(response: decisions.StoredResponse) -> dict[str, Any]:
    """Returns the JSON form of a response."""
    return {
        "status": response.status,
        "headers": [
            [name.decode("latin-1"), value.decode("latin-1")]
            for name, value in response.headers
        ],
        "body": base64.b64encode(response.body).decode(),
    }


def decode_response(fields: dict[str, Any]) -> decisions.StoredResponse:
    """Reads the JSON form of a response."""
    return decisions.StoredResponse(
        status=fields["status"],
        headers=tuple(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in fields["headers"]
        ),
        body=base64.b64decode(fields["body"]),
    )


def encode_record(record: Record) -> dict[str, Any]:
    """Returns the JSON form of a record."""
    identity = record.identity
    fields: dict[str, Any] = {
        "state": record.state.value,
        "hash": record.body_hash,
        "by": [identity.gateway_id, identity.boot, identity.request_id],
        "at": record.at_ms,
        "until": record.until_ms,
    }
    if record.state is State.DONE:
        fields["status"] = record.status
        if record.response is not None:
            fields["response"] = encode_response(record.response)
    return fields


def decode_record(fields: dict[str, Any]) -> Record:
    """Reads the JSON form of a record."""
    gateway_id, boot, request_id = fields["by"]
    response = fields.get("response")
    return Record(
        state=State(fields["state"]),
        body_hash=fields["hash"],
        identity=decisions.Identity(
            gateway_id=gateway_id, boot=boot, request_id=request_id
        ),
        at_ms=fields["at"],
        until_ms=fields["until"],
        status=fields.get("status", 0),
        response=None if response is None else decode_response(response),
    )
