"""Records of claims and their JSON encoding in the object store."""

import base64
import dataclasses
import enum
import hashlib
from typing import Any

from banyandale_claims import _decisions as decisions

KEY_BYTES = 16
# Of a larger response only the status is stored.
MAX_RESPONSE_BYTES = 16 * 1024


class State(enum.Enum):
    """State of the request that claimed a key."""

    PENDING = "pending"
    DONE = "done"
    ABANDONED = "abandoned"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """The latest record of one key.

    Attributes:
        state: State of the request.
        body_hash: Hash of the request, see `hash_request`.
        identity: Identity of the claim that was granted the key.
        recorded_ms: Unix time in milliseconds when the record was made.
        pending_until_ms: Unix time in milliseconds after which a pending
            request no longer reports an outcome.
        status: HTTP status of the response; 0 while there is none.
        response: The response, or None when it is too large to be stored.
    """

    state: State
    body_hash: str
    identity: decisions.Identity
    recorded_ms: int
    pending_until_ms: int
    status: int = 0
    response: decisions.StoredResponse | None = None


def hash_key(key: str) -> str:
    """Returns the hash under which a key is stored."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_BYTES).hexdigest()


def hash_request(*, method: bytes, target: bytes, body: bytes) -> str:
    """Returns a hash that detects the use of a key for another request."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (method, target, body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


def discard_if_too_large(
    response: decisions.StoredResponse,
) -> decisions.StoredResponse | None:
    """Returns the response, or None when it is too large to be stored."""
    if measure_response(response) > MAX_RESPONSE_BYTES:
        return None
    return response


def measure_response(response: decisions.StoredResponse) -> int:
    """Returns the size of the headers and body of a response in bytes."""
    headers = sum(len(name) + len(value) for name, value in response.headers)
    return headers + len(response.body)


def encode_response(response: decisions.StoredResponse) -> dict[str, Any]:
    """Encodes a response as JSON fields."""
    return {
        "status": response.status,
        "headers": [
            [name.decode("latin-1"), value.decode("latin-1")]
            for name, value in response.headers
        ],
        "body": base64.b64encode(response.body).decode(),
    }


def decode_response(fields: dict[str, Any]) -> decisions.StoredResponse:
    """Decodes a response from JSON fields."""
    return decisions.StoredResponse(
        status=fields["status"],
        headers=tuple(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in fields["headers"]
        ),
        body=base64.b64decode(fields["body"]),
    )


def encode_record(record: Record) -> dict[str, Any]:
    """Encodes a record as JSON fields."""
    identity = record.identity
    fields: dict[str, Any] = {
        "state": record.state.value,
        "hash": record.body_hash,
        "by": [identity.gateway_id, identity.boot, identity.request_id],
        "at": record.recorded_ms,
        "until": record.pending_until_ms,
    }
    if record.state is State.DONE:
        fields["status"] = record.status
        if record.response is not None:
            fields["response"] = encode_response(record.response)
    return fields


def decode_record(fields: dict[str, Any]) -> Record:
    """Decodes a record from JSON fields."""
    gateway_id, boot, request_id = fields["by"]
    response = fields.get("response")
    return Record(
        state=State(fields["state"]),
        body_hash=fields["hash"],
        identity=decisions.Identity(
            gateway_id=gateway_id, boot=boot, request_id=request_id
        ),
        recorded_ms=fields["at"],
        pending_until_ms=fields["until"],
        status=fields.get("status", 0),
        response=None if response is None else decode_response(response),
    )
