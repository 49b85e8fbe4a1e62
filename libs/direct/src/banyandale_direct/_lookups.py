"""Chooses the gateway addresses that a lookup returns to a caller.

Load pattern: callers cache an answer and connect to one of its addresses at
random, so the answer decides which gateways get load. While the caller's zone
has enough live gateways, only those are returned, because traffic between zones
is expensive. A caller whose zone has few also gets others, so that it has
another address if one is lost.

While the servers of a zone are out of service, its callers get the gateways of
the other zones of its region: a gateway of their own zone would have to send
each of their calls, and each answer, across zones once more.

Gateways that do not reach some servers hand calls over, so they are named only
if there are no others. As many gateways as half of the zone's then share its
callers, those of other zones included.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import random

from banyandale_direct import _members as members

# Minimum number of addresses in an answer, if there are as many gateways.
MIN_ADDRESSES = 2
# Maximum number of addresses in an answer, which is also the platform callers'
# maximum.
MAX_ADDRESSES = 64
# Some callers cache an answer for this multiple of its validity.
CACHE_FACTOR = 3


def find_valid_seconds(
    *, serving_seconds: float, longest_seconds: float
) -> float:
    """Returns how long callers may cache an answer.

    Args:
        serving_seconds: How long a stopping gateway still accepts calls, and
            so the longest time for which callers may use its address.
        longest_seconds: Longest validity that callers accept.
    """
    return min(serving_seconds / CACHE_FACTOR, longest_seconds)


def choose_addresses(
    live: Sequence[members.Member],
    *,
    zone: str,
    zones_out: Collection[str],
    regions: Mapping[str, str],
    port: int,
    random_source: random.Random,
) -> list[str]:
    """Returns the addresses for a caller in a zone.

    Args:
        live: Gateways that are alive.
        zone: Zone of the caller.
        zones_out: Zones whose servers get no calls.
        regions: Region of each zone.
        port: Port on which all gateways accept calls.
        random_source: Draws addresses when there are more than needed.
    """
    ready = [member for member in live if member.ready]
    reaching = [member for member in ready if not member.impaired]
    serving = [m for m in reaching or ready if m.zone not in zones_out]
    if zone in zones_out:
        region = regions.get(zone)
        preferred = [m for m in serving if regions.get(m.zone) == region]
    else:
        preferred = [m for m in serving if m.zone == zone]
    needed = MIN_ADDRESSES
    if len(reaching) < len(ready):
        in_zone = sum(member.zone == zone for member in ready)
        needed = max(needed, min(len(reaching), in_zone // 2))
    local = [f"{m.ip}:{port}" for m in preferred]
    for candidates in (reaching, ready):
        others = [f"{m.ip}:{port}" for m in candidates]
        others = [address for address in others if address not in local]
        count = min(max(needed - len(local), 0), len(others))
        local += random_source.sample(others, count)
    if len(local) > MAX_ADDRESSES:
        local = random_source.sample(local, MAX_ADDRESSES)
    return local
