"""Values of the stored objects of the kinds `lease` and `home`."""

import dataclasses
import enum

import pydantic

import banyandale_platform as platform

LEASE_KIND = "lease"
HOME_KIND = "home"

# (service, zone)
HomeKey = tuple[str, str]


class LeaseState(enum.Enum):
    """State of a gateway's lease."""

    LIVE = "live"
    LEAVING = "leaving"
    REVOKED = "revoked"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRecord:
    """Value of a `lease` object without the fields `writer` and `attempt`.

    Attributes:
        boot: Boot id; each registration of a gateway has a new one.
        zone: Availability zone of the gateway.
        http: Address for callers as `ip:port`.
        peer: Address for other gateways as `ip:port`.
        state: State of the lease.
        weight: Share of homes relative to other gateways.
    """

    boot: str
    zone: str
    http: str
    peer: str
    state: LeaseState
    weight: float = 1.0

    def to_fields(self) -> dict[str, object]:
        """Returns the record as JSON fields."""
        return {
            "boot": self.boot,
            "zone": self.zone,
            "http": self.http,
            "peer": self.peer,
            "state": self.state.value,
            "weight": self.weight,
        }


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HomeRecord:
    """Value of a `home` object without the fields `writer` and `attempt`.

    Attributes:
        gateway: Gateway id of the holder.
        boot: Boot id of the holder; the home ends with it.
        epoch: Number of changes of the holder.
    """

    gateway: str
    boot: str
    epoch: int

    def to_fields(self) -> dict[str, object]:
        """Returns the record as JSON fields."""
        return {
            "gateway": self.gateway,
            "boot": self.boot,
            "epoch": self.epoch,
        }


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewayInfo:
    """A gateway with a lease.

    Attributes:
        gateway: Gateway id.
        boot: Boot id of its registration.
        zone: Availability zone.
        http: Address for callers as `ip:port`.
        peer: Address for other gateways as `ip:port`.
        leaving: Whether it is shutting down.
        weight: Share of homes relative to other gateways.
    """

    gateway: str
    boot: str
    zone: str
    http: str
    peer: str
    leaving: bool
    weight: float


_LEASE = pydantic.TypeAdapter(LeaseRecord)
_HOME = pydantic.TypeAdapter(HomeRecord)


def parse_lease(stored: platform.StoredObject) -> LeaseRecord | None:
    """Parses a lease; returns None if the value is invalid."""
    try:
        return _LEASE.validate_json(stored.value)
    except pydantic.ValidationError:
        return None


def parse_home(stored: platform.StoredObject) -> HomeRecord | None:
    """Parses a home; returns None if the value is invalid."""
    try:
        return _HOME.validate_json(stored.value)
    except pydantic.ValidationError:
        return None


def home_name(key: HomeKey) -> str:
    """Returns the object name of a home."""
    return f"{key[0]}.{key[1]}"


def parse_home_name(name: str) -> HomeKey:
    """Splits the object name of a home; service names contain no dot."""
    service, _, zone = name.partition(".")
    return service, zone
