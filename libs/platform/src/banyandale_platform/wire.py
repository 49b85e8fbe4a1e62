"""Paths, headers and JSON of the platform's HTTP API.

Only this module knows the wire format. The client encodes requests and parses
responses; the stand-in for the platform does the reverse.

| call | request | response |
|---|---|---|
| get | `GET /v1/objects/K/N` | 200 object, 404 |
| list | `GET /v1/objects/K` | 200 `{"version","objects"}` |
| create | `PUT /v1/objects/K/N`, `If-None-Match: *`, `{"value"}` | 200, 412 |
| update | `PUT /v1/objects/K/N`, `If-Match: "V"`, `{"value"}` | 200, 412 |
| delete | `DELETE /v1/objects/K/N`, `If-Match: "V"` | 204, 412 |
| watch | `GET /v1/watch?kinds=a,b&since=V&wait_ms=M` | 200, 410 |
| VM list | `GET /v1/vms` | 200 `{"vms"}` |

An object is `{"kind","name","version","value"}` with the value in base64. A
412 response is `{"object"}`, null when the object does not exist. A watch
response is `{"version","changes":[{"type":"put|delete","object"}]}`.
"""

import base64
import binascii
from collections.abc import Sequence
import dataclasses
import json
from typing import Literal
from typing import TypeVar
from urllib import parse

import pydantic

import banyandale_http as http
from banyandale_platform import _errors as errors
from banyandale_platform import _objects as objects

MAX_VALUE_BYTES = 1_000_000
# Fits a value of the maximum size in base64, with the other fields.
MAX_BODY_BYTES = 2_000_000
MAX_LISTING_BYTES = 64_000_000
OBJECTS_PATH = "/v1/objects/"
WATCH_PATH = "/v1/watch"
VMS_PATH = "/v1/vms"
JSON_HEADERS: http.Headers = ((b"content-type", b"application/json"),)


_ModelT = TypeVar("_ModelT", bound="_Model")


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class _Object(_Model):
    kind: str
    name: str
    version: int
    value: str

    def decode(self) -> objects.StoredObject:
        return objects.StoredObject(
            kind=self.kind,
            name=self.name,
            version=self.version,
            value=_decode_base64(self.value),
        )


class _Listing(_Model):
    version: int
    objects: tuple[_Object, ...]


class _Change(_Model):
    type: Literal["put", "delete"]
    object: _Object


class _Changes(_Model):
    version: int
    changes: tuple[_Change, ...]


class _Conflict(_Model):
    object: _Object | None = None


class _WriteBody(_Model):
    value: str


class _Vm(_Model):
    address: str
    zone: str
    leaving: bool = False


class _Vms(_Model):
    vms: tuple[_Vm, ...]


class MalformedMessageError(errors.PlatformError):
    """A request or response violates the API's wire format."""

    code = "platform_message_malformed"


def _decode_base64(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise MalformedMessageError(f"value is not base64: {error}") from error


def _validate(model: type[_ModelT], body: bytes) -> _ModelT:
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise MalformedMessageError(str(error)) from error


def _to_json_object(stored: objects.StoredObject) -> dict[str, object]:
    return {
        "kind": stored.kind,
        "name": stored.name,
        "version": stored.version,
        "value": base64.b64encode(stored.value).decode(),
    }


def _encode(fields: dict[str, object]) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


# Client: encoding of requests.


def object_target(*, kind: str, name: str) -> bytes:
    """Returns the request target of an object."""
    return f"{OBJECTS_PATH}{_quote(kind)}/{_quote(name)}".encode()


def _quote(text: str) -> str:
    return parse.quote(text, safe="")


def get_request(*, kind: str, name: str) -> http.Request:
    """Returns the request that reads one object."""
    return http.Request(
        method=b"GET", target=object_target(kind=kind, name=name)
    )


def list_request(*, kind: str) -> http.Request:
    """Returns the request that lists the objects of a kind."""
    return http.Request(
        method=b"GET", target=f"{OBJECTS_PATH}{_quote(kind)}".encode()
    )


def create_request(*, kind: str, name: str, value: bytes) -> http.Request:
    """Returns the request that creates an object."""
    return _put_request(kind, name, value, (b"if-none-match", b"*"))


def update_request(
    *, kind: str, name: str, value: bytes, version: int
) -> http.Request:
    """Returns the request that replaces an object."""
    return _put_request(kind, name, value, _if_match(version))


def delete_request(*, kind: str, name: str, version: int) -> http.Request:
    """Returns the request that deletes an object."""
    return http.Request(
        method=b"DELETE",
        target=object_target(kind=kind, name=name),
        headers=(_if_match(version),),
    )


def _if_match(version: int) -> tuple[bytes, bytes]:
    return (b"if-match", f'"{version}"'.encode())


def _put_request(
    kind: str, name: str, value: bytes, condition: tuple[bytes, bytes]
) -> http.Request:
    return http.Request(
        method=b"PUT",
        target=object_target(kind=kind, name=name),
        headers=(*JSON_HEADERS, condition),
        body=_encode({"value": base64.b64encode(value).decode()}),
    )


def watch_request(
    *, kinds: Sequence[str], since: int, wait_ms: int
) -> http.Request:
    """Returns the request that waits for changes."""
    query = parse.urlencode(
        {"kinds": ",".join(kinds), "since": since, "wait_ms": wait_ms},
        safe=",",
    )
    return http.Request(method=b"GET", target=f"{WATCH_PATH}?{query}".encode())


def vms_request() -> http.Request:
    """Returns the request that reads the VM list."""
    return http.Request(method=b"GET", target=VMS_PATH.encode())


# Client: parsing of responses.


def parse_object(body: bytes) -> objects.StoredObject:
    """Parses an object."""
    return _validate(_Object, body).decode()


def parse_listing(body: bytes) -> objects.Listing:
    """Parses a list of the objects of a kind."""
    listing = _validate(_Listing, body)
    return objects.Listing(
        version=listing.version,
        objects=tuple(item.decode() for item in listing.objects),
    )


def parse_changes(body: bytes) -> objects.Changes:
    """Parses the result of a watch."""
    result = _validate(_Changes, body)
    return objects.Changes(
        version=result.version,
        changes=tuple(
            objects.Change(
                type=objects.ChangeType(change.type),
                object=change.object.decode(),
            )
            for change in result.changes
        ),
    )


def parse_conflict(body: bytes) -> objects.StoredObject | None:
    """Parses the stored object in a 412 response; None if there is none."""
    current = _validate(_Conflict, body).object
    return None if current is None else current.decode()


def parse_vms(body: bytes) -> tuple[objects.Vm, ...]:
    """Parses a VM list."""
    return tuple(
        objects.Vm(address=vm.address, zone=vm.zone, leaving=vm.leaving)
        for vm in _validate(_Vms, body).vms
    )


# Stand-in: parsing of requests.


@dataclasses.dataclass(frozen=True, kw_only=True)
class ObjectCall:
    """A request for `/v1/objects/`.

    Attributes:
        kind: Kind in the path.
        name: Name in the path, or None if the request is for all objects of
            the kind.
        version: Version in `If-Match`, or None without that header.
        is_create: Whether the request has `If-None-Match: *`.
    """

    kind: str
    name: str | None
    version: int | None
    is_create: bool


def parse_object_call(request: http.Request) -> ObjectCall:
    """Parses path and conditions of a request for `/v1/objects/`."""
    path = request.target.decode().partition("?")[0]
    kind, _, name = path.removeprefix(OBJECTS_PATH).partition("/")
    if not kind:
        raise MalformedMessageError(f"path {path!r} contains no kind")
    if_match = request.header(b"if-match")
    version = None
    if if_match is not None:
        text = if_match.decode().strip('"')
        if not text.isdigit():
            raise MalformedMessageError(f"If-Match {text!r} is not a version")
        version = int(text)
    return ObjectCall(
        kind=parse.unquote(kind),
        name=parse.unquote(name) or None,
        version=version,
        is_create=request.header(b"if-none-match") == b"*",
    )


def parse_value(body: bytes) -> bytes:
    """Parses the value in the body of a create or update."""
    return _decode_base64(_validate(_WriteBody, body).value)


@dataclasses.dataclass(frozen=True, kw_only=True)
class WatchCall:
    """Parameters of a watch request."""

    kinds: tuple[str, ...]
    since: int
    wait_ms: int


def parse_watch_call(request: http.Request) -> WatchCall:
    """Parses the query of a watch request."""
    query = dict(parse.parse_qsl(request.target.decode().partition("?")[2]))
    try:
        return WatchCall(
            kinds=tuple(query["kinds"].split(",")),
            since=int(query["since"]),
            wait_ms=int(query["wait_ms"]),
        )
    except (KeyError, ValueError) as error:
        raise MalformedMessageError(
            f"invalid or missing watch parameter: {error}"
        ) from error


# Stand-in: encoding of responses.


def encode_object(stored: objects.StoredObject) -> bytes:
    """Encodes an object."""
    return _encode(_to_json_object(stored))


def encode_listing(listing: objects.Listing) -> bytes:
    """Encodes a list of the objects of a kind."""
    return _encode(
        {
            "version": listing.version,
            "objects": [_to_json_object(item) for item in listing.objects],
        }
    )


def encode_changes(changes: objects.Changes) -> bytes:
    """Encodes the result of a watch."""
    return _encode(
        {
            "version": changes.version,
            "changes": [
                {
                    "type": change.type.value,
                    "object": _to_json_object(change.object),
                }
                for change in changes.changes
            ],
        }
    )


def encode_conflict(current: objects.StoredObject | None) -> bytes:
    """Encodes the body of a 412 response."""
    return _encode(
        {"object": None if current is None else _to_json_object(current)}
    )


def encode_vms(vms: Sequence[objects.Vm]) -> bytes:
    """Encodes a VM list."""
    return _encode({"vms": [dataclasses.asdict(vm) for vm in vms]})
