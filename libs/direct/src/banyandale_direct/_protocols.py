"""What a platform's adapter provides."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from banyandale_direct import _admission as admission
from banyandale_direct import _configuration as configuration
from banyandale_direct import _members as members
from banyandale_direct import _placement as placement
from banyandale_direct import _registry as registry
from banyandale_direct import _settings as settings
import banyandale_http as http
import banyandale_platform as platform


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A caller's request with what the gateway has to know of it.

    Attributes:
        id: Identity of the request; empty if the caller gave none.
        host: Host without port.
        path: Path without query.
        remaining_seconds: How long the caller waits, or None if not told.
        request: The request as it came.
    """

    id: str
    host: str
    path: str
    remaining_seconds: float | None
    request: http.Request


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lookup:
    """A caller's question which addresses to use."""

    host: str
    zone: str


class AnswerKind(enum.Enum):
    """What a server's response says about the call."""

    SERVED = "served"
    FAILED = "failed"
    SHED = "shed"
    EXPIRED = "expired"
    MISDIRECTED = "misdirected"
    INVALID = "invalid"


class MalformedCallError(ValueError):
    """A header of the request has no valid value."""


class MalformedEntryError(ValueError):
    """An object of the store cannot be read."""


class CallerDialect(Protocol):
    """How callers speak."""

    def read_call(self, request: http.Request) -> Call:
        """Reads a request.

        Raises:
            MalformedCallError: A header has no valid value.
        """

    def write_refusal(
        self,
        *,
        call_id: str,
        status: int,
        refusal: admission.Refusal,
        retry_after_seconds: float | None,
    ) -> http.Response:
        """Writes a response of the gateway's own."""

    def read_lookup(self, request: http.Request) -> Lookup | None:
        """Reads a question for addresses; None for any other request."""

    def write_lookup(
        self, addresses: Sequence[str], *, valid_seconds: float
    ) -> http.Response:
        """Writes the answer to a question for addresses."""

    def is_readiness_check(self, request: http.Request) -> bool:
        """Whether the platform asks if this node is ready."""


class ServerDialect(Protocol):
    """How servers speak."""

    def write_call(
        self, call: Call, *, server_id: str, remaining_seconds: float
    ) -> http.Request:
        """Writes the request for a server."""

    def is_own_answer(self, call: Call, head: http.ResponseHead) -> bool:
        """Whether a response belongs to the call."""

    def read_answer(self, response: http.Response) -> AnswerKind:
        """Says what a complete response means."""

    def write_probe(self, service: configuration.Service) -> http.Request:
        """Writes the request for a load report."""

    def is_report(self, head: http.ResponseHead) -> bool:
        """Whether a response is a load report."""

    def read_report(self, response: http.Response) -> placement.LoadReport:
        """Reads a load report."""


class StoreDialect(Protocol):
    """Kinds and values in the platform's store.

    Attributes:
        configuration_kind: Kind of the configuration.
        server_kind: Kind of the servers' entries.
        zone_out_kind: Kind whose objects name zones that are out of service.
        member_kind: Kind of the gateways' own entries.
    """

    configuration_kind: str
    server_kind: str
    zone_out_kind: str
    member_kind: str

    def read_configuration(
        self, stored: platform.StoredObject
    ) -> configuration.Configuration | None:
        """Reads a configuration; None if the object holds none.

        Raises:
            MalformedEntryError: The value cannot be read.
        """

    def read_server(
        self, stored: platform.StoredObject, *, zones: Mapping[str, str]
    ) -> registry.Server:
        """Reads a server's entry.

        Raises:
            MalformedEntryError: The entry names no server to use.
        """

    def write_member(self, member: members.Member) -> bytes:
        """Writes a gateway's entry."""

    def read_member(self, stored: platform.StoredObject) -> members.Member:
        """Reads a gateway's entry.

        Raises:
            MalformedEntryError: The entry cannot be read.
        """


class Platform(Protocol):
    """All that a gateway needs from a platform's adapter."""

    callers: CallerDialect
    servers: ServerDialect
    documents: StoreDialect

    def read_settings(self) -> settings.Settings:
        """Reads the settings anew.

        Raises:
            ValueError: The settings cannot be used.
        """

    def open_store(self, loaded: settings.Settings) -> platform.ObjectStore:
        """Returns a client of the platform's store."""
