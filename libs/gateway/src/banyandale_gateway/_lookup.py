"""Answers callers that ask which gateways to use."""

from collections.abc import Iterable
import dataclasses
import hashlib

# Callers keep a lookup this long. It bounds how long a gateway that leaves,
# or that is in a zone out of service, still gets new connections.
LOOKUP_TTL_SECONDS = 2.0
MAX_ADDRESSES = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A gateway that callers may use.

    Attributes:
        gateway_id: Its name.
        zone: Its availability zone.
        address: `ip:port` for callers.
        home_zones: Zones of the service whose home it is.
    """

    gateway_id: str
    zone: str
    address: str
    home_zones: frozenset[str]


def order_addresses(
    candidates: Iterable[Candidate], *, zone: str, service: str
) -> tuple[str, ...]:
    """Returns the addresses for a caller in `zone`, the best first.

    The home in the zone comes first, then the zone's other gateways, then
    homes in other zones, then any other gateway. At least one address of
    another zone is kept, so that a caller survives the loss of its zone.
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
        # Equal gateways come in another order for each service.
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
