"""HTTP requests and responses as data classes."""

from collections.abc import Iterable
import dataclasses

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that describe one connection and must not be forwarded (RFC 9110,
# section 7.6.1). `content-length` is set anew when a message is sent.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

# Responses with these statuses have no body and no length (RFC 9110).
BODILESS_STATUSES = frozenset({204, 304})


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of the header `name` (in lower case)."""
    for key, value in headers:
        if key == name:
            return value
    return None


def strip_connection_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the headers that may be forwarded to the next hop."""
    kept = []
    named = None
    for key, value in headers:
        if key not in CONNECTION_HEADERS:
            kept.append((key, value))
        elif key == b"connection":
            named = {token.strip().lower() for token in value.split(b",")}
    if named:
        kept = [pair for pair in kept if pair[0] not in named]
    return tuple(kept)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A complete request. Header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of the header `name`."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """Status and headers of a response. Header names are in lower case.

    Attributes:
        length: Body length in bytes, or None when it is not known yet.
    """

    status: int
    headers: Headers = ()
    length: int | None = None

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of the header `name`."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete response."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of the header `name`."""
        return find_header(self.headers, name)
