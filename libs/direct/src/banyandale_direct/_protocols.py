"""Interfaces that a platform's adapter implements."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from banyandale_direct import _admission as admission
from banyandale_direct import _configuration as configuration
from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _members as members
from banyandale_direct import _placement as placement
from banyandale_direct import _registry as registry
from banyandale_direct import _settings as settings
import banyandale_http as http
import banyandale_platform as platform


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A caller's request and the fields that the gateway reads from it.

    Attributes:
        id: Identity of the request; empty if the caller gave none.
        host: Host without port.
        path: Path without query.
        remaining_seconds: Time that the caller still waits, or None if not
            given.
        request: The request as received.
    """

    id: str
    host: str
    path: str
    remaining_seconds: float | None
    request: http.Request


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lookup:
    """A caller's request for gateway addresses."""

    host: str
    zone: str


class AnswerKind(enum.Enum):
    """Meaning of a server's response for the call."""

    SERVED = "served"
    FAILED = "failed"
    SHED = "shed"
    EXPIRED = "expired"
    MISDIRECTED = "misdirected"
    INVALID = "invalid"


class MalformedLimitError(ValueError):
    """The limit that a server names cannot be parsed."""


class MalformedCallError(ValueError):
    """A header of the request has an invalid value."""


class MalformedEntryError(ValueError):
    """A stored object cannot be parsed."""


class CallerCodec(Protocol):
    """Parses requests of callers and writes responses to them."""

    def read_call(self, request: http.Request) -> Call:
        """Reads a request.

        Raises:
            MalformedCallError: A header has an invalid value.
        """

    def write_refusal(
        self,
        *,
        call_id: str,
        status: int,
        refusal: admission.Refusal,
        retry_after_seconds: float | None,
    ) -> http.Response:
        """Writes the gateway's response to a call that was not served."""

    def read_lookup(self, request: http.Request) -> Lookup | None:
        """Reads a request for addresses; None for any other request."""

    def write_lookup(
        self, addresses: Sequence[str], *, valid_seconds: float
    ) -> http.Response:
        """Writes the response to a request for addresses."""

    def is_readiness_check(self, request: http.Request) -> bool:
        """Returns whether a request is the platform's readiness check."""


class ServerCodec(Protocol):
    """Writes requests to backend servers and parses their responses."""

    def write_call(
        self, call: Call, *, server_id: str, remaining_seconds: float
    ) -> http.Request:
        """Writes the request for a server."""

    def matches_call(self, call: Call, head: http.ResponseHead) -> bool:
        """Whether a response may belong to the call."""

    def read_answer(self, call: Call, response: http.Response) -> AnswerKind:
        """Classifies a complete response to a call."""

    def read_limit(self, response: http.Response) -> float | None:
        """Reads the calls per second that a server takes from all gateways.

        Returns:
            The limit, or None if the response names none.

        Raises:
            MalformedLimitError: The limit cannot be parsed.
        """

    def write_probe(self, service: configuration.Service) -> http.Request:
        """Writes the request for a load report."""

    def is_report(self, head: http.ResponseHead) -> bool:
        """Returns whether a response is a load report."""

    def read_report(self, response: http.Response) -> placement.LoadReport:
        """Reads a load report."""


class StoreCodec(Protocol):
    """Parses and writes the objects in the platform's store.

    Attributes:
        configuration_kind: Kind of the configuration.
        server_kind: Kind of the servers' entries.
        zones_out_kind: Kind whose objects name zones that are out of service.
        member_kind: Kind of the gateways' own entries.
        crash_kind: Kind of the records of contents that crash servers.
    """

    configuration_kind: str
    server_kind: str
    zones_out_kind: str
    member_kind: str
    crash_kind: str

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
            MalformedEntryError: The entry does not describe a usable server.
        """

    def write_member(self, member: members.Member) -> bytes:
        """Writes a gateway's entry."""

    def read_member(self, stored: platform.StoredObject) -> members.Member:
        """Reads a gateway's entry.

        Raises:
            MalformedEntryError: The entry cannot be read.
        """

    def write_crash_record(
        self, record: crash_records.CrashRecord, *, unix_offset: float
    ) -> bytes:
        """Writes what is known about a content.

        Args:
            record: The record.
            unix_offset: Difference between Unix time and the boot clock.
        """

    def read_crash_record(
        self, stored: platform.StoredObject, *, unix_offset: float
    ) -> crash_records.CrashRecord:
        """Reads what is known about a content.

        Raises:
            MalformedEntryError: The record cannot be read.
        """


class Platform(Protocol):
    """Everything that a gateway needs from a platform's adapter."""

    callers: CallerCodec
    servers: ServerCodec
    documents: StoreCodec

    def has_new_settings(self) -> bool:
        """Whether the settings may have changed since they were read."""

    def read_settings(self) -> settings.Settings:
        """Reads the current settings; called in a thread while calls run.

        Raises:
            ValueError: The settings are invalid.
        """

    def open_store(self, loaded: settings.Settings) -> platform.ObjectStore:
        """Returns a client of the platform's store."""
