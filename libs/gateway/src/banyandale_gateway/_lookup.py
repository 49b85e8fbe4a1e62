"""Selects the gateway addresses that a lookup returns."""

from collections.abc import Iterable
import dataclasses
import hashlib

# Callers cache a lookup for this long. It limits how long a gateway that is
# shutting down, or whose zone is out of service, receives new connections.
LOOKUP_TTL_SECONDS = 2.0
MAX_ADDRESSES = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A gateway that a lookup may return.

    Attributes:
        gateway_id: Unique name of the gateway.
        zone: Availability zone of the gateway.
        address: `ip:port` for callers.
        home_zones: Zones for which it holds the home of the service.
    """

    gateway_id: str
    zone: str
    address: str
    home_zones: frozenset[str]


def order_addresses(
    candidates: Iterable[Candidate], *, zone: str, service: str
) -> tuple[str, ...]:
    """Returns the addresses for a caller in `zone`, in order of preference.

    The holder of the home for the zone comes first, then the other gateways
    in the zone, then holders of other homes, then all other gateways. If
    another zone has a gateway, at least one address is from another zone, so
    that callers can still reach a gateway when their zone fails.
    """

    def rank(candidate: Candidate) -> tuple[int, int]:
        if zone in candidate.home_zones:
            group = 0
        elif candidate.zone == zone:
            group = 1
        elif candidate.home_zones:
            group = 2
        else:
            group = 3
        # Spreads services over the gateways of equal rank.
        return group, _hash_to_int(f"{service}/{zone}/{candidate.gateway_id}")

    ordered = sorted(candidates, key=rank)
    chosen = ordered[:MAX_ADDRESSES]
    remote = [item for item in ordered if item.zone != zone]
    if remote and all(item.zone == zone for item in chosen):
        chosen[-1] = remote[0]
    return tuple(item.address for item in chosen)


def _hash_to_int(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
