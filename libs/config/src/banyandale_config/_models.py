"""Pydantic models that validate the configuration document.

These models describe the document as operators write it. The programs work
with the frozen data classes of `_snapshot`.
"""

import ipaddress
from typing import Annotated
from typing import Literal

import pydantic

NAME_PATTERN = r"^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$"
METHOD_PATTERN = r"^[A-Z]{1,20}$"

MAX_ZONES = 256
# These limits keep the root and each part below the platform's limit of 1 MB
# per value: a service takes at most 140 bytes in the root, and a server at most
# 200 bytes in a part.
MAX_SERVICES = 4000
MAX_SERVERS = 4000

MAX_PORT = 65535
MAX_TIMEOUT_MS = 3_600_000
MAX_BODY_BYTES = 1 << 30
MAX_CONNECTIONS = 65535
MAX_QUEUE = 1_000_000


def check_address(text: str) -> str:
    """Returns `text` if it is an address in canonical `ip:port` form.

    The canonical form is required because addresses are compared as text.

    Raises:
        ValueError: The text is not a canonical address.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()):
        raise ValueError("must be of the form ip:port")
    if not 1 <= int(port) <= MAX_PORT or port != str(int(port)):
        raise ValueError(f"port must be a number from 1 to {MAX_PORT}")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    canonical = f"[{ip}]:{port}" if ip.version == 6 else f"{ip}:{port}"
    if text != canonical:
        raise ValueError(f"must be written as {canonical}")
    return text


Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Method = Annotated[str, pydantic.Field(pattern=METHOD_PATTERN)]
Address = Annotated[str, pydantic.AfterValidator(check_address)]


class StrictModel(pydantic.BaseModel):
    """Base class that rejects unknown keys and does not convert types."""

    model_config = pydantic.ConfigDict(
        strict=True, extra="forbid", frozen=True, allow_inf_nan=False
    )


class ZoneModel(StrictModel):
    """An availability zone."""

    name: Name = pydantic.Field(description="Name of the zone.")
    state: Literal["in", "out"] = pydantic.Field(
        default="in",
        description="Whether the zone takes new work (in) or not (out).",
    )


class ServerModel(StrictModel):
    """A backend server of a service."""

    address: Address = pydantic.Field(description="Address as ip:port.")
    zone: Name = pydantic.Field(description="Availability zone of its VM.")
    slots: int = pydantic.Field(
        default=2,
        ge=1,
        le=1024,
        description="Requests that the server handles at once.",
    )
    connections: int = pydantic.Field(
        default=200,
        ge=1,
        le=MAX_CONNECTIONS,
        description="Connections that the server accepts in total.",
    )
    state: Literal["in", "leaving"] = pydantic.Field(
        default="in",
        description="Whether the server takes new work (in) or not (leaving).",
    )


class ServiceModel(StrictModel):
    """A service, its limits and its backend servers."""

    name: Name = pydantic.Field(
        description="Name of the service, the first label of its host name."
    )
    priority: int = pydantic.Field(
        default=5,
        ge=0,
        le=9,
        description="Priority of its requests; 0 is the highest.",
    )
    timeout_ms: int = pydantic.Field(
        default=5000,
        ge=1,
        le=MAX_TIMEOUT_MS,
        description="Time for a request that states no deadline.",
    )
    max_timeout_ms: int = pydantic.Field(
        default=30_000,
        ge=1,
        le=MAX_TIMEOUT_MS,
        description="Longest time that a request may ask for.",
    )
    idempotent_methods: tuple[Method, ...] = pydantic.Field(
        default=("GET", "HEAD", "OPTIONS", "PUT", "DELETE"),
        max_length=20,
        strict=False,
        description="Methods that may run more than once without harm.",
    )
    queue_limit: int = pydantic.Field(
        default=100,
        ge=0,
        le=MAX_QUEUE,
        description="Requests that may wait in one zone.",
    )
    retry_ratio: float = pydantic.Field(
        default=0.1,
        ge=0,
        le=1,
        description="Retries allowed per first attempt.",
    )
    hedge_ratio: float = pydantic.Field(
        default=0.05,
        ge=0,
        le=1,
        description="Hedged attempts allowed per first attempt.",
    )
    cold_limit: int = pydantic.Field(
        default=1,
        ge=1,
        le=1024,
        description="Requests at once on a server in cold start.",
    )
    cold_min_ms: int = pydantic.Field(
        default=1000,
        ge=0,
        le=MAX_TIMEOUT_MS,
        description="Shortest time that a server counts as cold.",
    )
    max_request_bytes: int = pydantic.Field(
        default=1 << 20,
        ge=0,
        le=MAX_BODY_BYTES,
        description="Largest request body.",
    )
    max_response_bytes: int = pydantic.Field(
        default=64 << 20,
        ge=0,
        le=MAX_BODY_BYTES,
        description="Largest response body.",
    )
    rate_limit_per_s: float | None = pydantic.Field(
        default=None,
        gt=0,
        le=10_000_000,
        description="Requests per second over all gateways; null: no limit.",
    )
    probe_budget_per_s: float = pydantic.Field(
        default=10.0,
        ge=0,
        le=100_000,
        description="Load probes per second in each zone.",
    )
    servers: tuple[ServerModel, ...] = pydantic.Field(
        default=(),
        max_length=MAX_SERVERS,
        strict=False,
        description="Its backend servers.",
    )


class Document(StrictModel):
    """The configuration of all zones and services."""

    zones: tuple[ZoneModel, ...] = pydantic.Field(
        max_length=MAX_ZONES, strict=False, description="Availability zones."
    )
    services: tuple[ServiceModel, ...] = pydantic.Field(
        default=(),
        max_length=MAX_SERVICES,
        strict=False,
        description="Services with their backend servers.",
    )


class ConfigRoot(StrictModel):
    """Value of the root, the object `config/root`.

    `parts` maps the name of each service to the name of its part.
    """

    writer: str
    attempt: str
    generation: int = pydantic.Field(ge=1)
    zones: tuple[ZoneModel, ...] = pydantic.Field(strict=False)
    parts: dict[str, str]
    author: str
    message: str
    accepted_unix_ms: int = 0
