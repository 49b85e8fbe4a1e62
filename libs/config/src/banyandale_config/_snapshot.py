"""Frozen data classes of the configuration in force."""

from collections.abc import Iterable
import dataclasses
import functools

from banyandale_config import _models as models


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Zone:
    """An availability zone.

    Attributes:
        name: Name of the zone.
        state: "in" if the zone takes new work, otherwise "out".
    """

    name: str
    state: str

    @property
    def in_service(self) -> bool:
        """Whether the zone takes new work."""
        return self.state == "in"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """A backend server.

    The fields are those of `ServerModel`; `state` is "in" or "leaving".
    """

    address: str
    zone: str
    slots: int
    connections: int
    state: str

    @property
    def is_leaving(self) -> bool:
        """Whether the server takes no new work."""
        return self.state == "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service, its limits and its backend servers.

    The fields are those of `ServiceModel`.
    """

    name: str
    priority: int
    timeout_ms: int
    max_timeout_ms: int
    idempotent_methods: frozenset[str]
    queue_limit: int
    retry_ratio: float
    hedge_ratio: float
    cold_limit: int
    cold_min_ms: int
    max_request_bytes: int
    max_response_bytes: int
    rate_limit_per_s: float | None
    probe_budget_per_s: float
    servers: tuple[Server, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """One generation of the configuration.

    A `Follower` uses the same `Service` object in successive snapshots while
    the service does not change.
    """

    generation: int
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]

    @functools.cached_property
    def services_by_name(self) -> dict[str, Service]:
        """Maps the name of each service to the service."""
        return {service.name: service for service in self.services}

    @functools.cached_property
    def zones_by_name(self) -> dict[str, Zone]:
        """Maps the name of each zone to the zone."""
        return {zone.name: zone for zone in self.zones}

    @functools.cached_property
    def server_addresses(self) -> frozenset[str]:
        """The addresses of all backend servers."""
        return frozenset(
            server.address
            for service in self.services
            for server in service.servers
        )

    def find_service(self, name: str) -> Service | None:
        """Returns the service `name`, or None."""
        return self.services_by_name.get(name)

    def is_zone_in(self, name: str) -> bool:
        """Whether the zone `name` exists and takes new work."""
        zone = self.zones_by_name.get(name)
        return zone is not None and zone.in_service


def build_zones(zones: Iterable[models.ZoneModel]) -> tuple[Zone, ...]:
    """Converts validated zones to their data classes."""
    return tuple(Zone(name=zone.name, state=zone.state) for zone in zones)


def build_service(model: models.ServiceModel) -> Service:
    """Converts a validated service to its data class."""
    values = {
        name: getattr(model, name) for name in models.ServiceModel.model_fields
    }
    values["idempotent_methods"] = frozenset(model.idempotent_methods)
    values["servers"] = tuple(
        Server(
            address=server.address,
            zone=server.zone,
            slots=server.slots,
            connections=server.connections,
            state=server.state,
        )
        for server in model.servers
    )
    return Service(**values)


def build_snapshot(document: models.Document, *, generation: int) -> Snapshot:
    """Converts a validated document to a snapshot."""
    return Snapshot(
        generation=generation,
        zones=build_zones(document.zones),
        services=tuple(build_service(service) for service in document.services),
    )
