"""Which gateway addresses a caller is given.

Load pattern: callers keep an answer and connect to one of its addresses at
random, so the answer decides where load enters. Gateways of the caller's own
zone come alone while there are enough of them, because bytes between zones
are dear; a caller whose zone has few live gateways also gets others, so that
the loss of one leaves it another.
"""

from collections.abc import Sequence
import random

from banyandale_direct import _members as members

# Fewest addresses in an answer, as long as there are as many gateways.
MIN_ADDRESSES = 2
# Most addresses in an answer; the platform's callers take as many.
MAX_ADDRESSES = 64
# How long callers keep an answer. Some keep it three times as long, which has
# to end before a gateway that stops closes its listener (5 s after SIGTERM).
VALID_SECONDS = 1.5


def choose_addresses(
    live: Sequence[members.Member],
    *,
    zone: str,
    port: int,
    random_source: random.Random,
) -> list[str]:
    """Returns the addresses for a caller in a zone.

    Args:
        live: Gateways that are alive.
        zone: Zone of the caller.
        port: Port on which all gateways take calls.
        random_source: Source of the choice among more than are needed.
    """
    ready = [member for member in live if member.ready]
    local = [f"{m.ip}:{port}" for m in ready if m.zone == zone]
    if len(local) < MIN_ADDRESSES:
        others = [f"{m.ip}:{port}" for m in ready if m.zone != zone]
        count = min(MIN_ADDRESSES - len(local), len(others))
        local += random_source.sample(others, count)
    if len(local) > MAX_ADDRESSES:
        local = random_source.sample(local, MAX_ADDRESSES)
    return local
