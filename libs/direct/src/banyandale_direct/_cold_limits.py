"""Limits the rate of calls to cold servers over all gateways.

Load pattern: a zone returns after an outage and all its servers are cold, or a
service is replaced server by server. A cold server fails when it gets many more
calls per second than its limit, counted over all gateways. A few gateways per
server, chosen by rendezvous hashing over the live ones, may send to it, each at
most once per interval. The limit therefore holds without coordination, and a
gateway with a wrong view of the live gateways adds at most one call per
interval.
"""

from collections.abc import Iterable
import math

from banyandale_direct import _rendezvous as rendezvous

# Number of gateways that may send to a cold server, and so of calls from all
# gateways in any second: this many per call of the server's limit, and
# `EXTRA_SENDERS` more. The users allow 1.5 times the limit plus 5 to 10 calls;
# the rest is for gateways that see different sets of live gateways.
SENDERS_PER_CALL = 1.5
EXTRA_SENDERS = 1
# Interval between the calls of one gateway to one cold server. Slightly above a
# second, so that no period of one second contains two.
INTERVAL_SECONDS = 1.1


def is_sender(
    *,
    gateway: str,
    gateways: Iterable[str],
    server_id: str,
    calls_per_second: float,
) -> bool:
    """Returns whether this gateway may send to a cold server.

    Args:
        gateway: Name of this gateway.
        gateways: Names of all live gateways, with or without this one.
        server_id: The cold server.
        calls_per_second: The server's limit over all gateways.
    """
    count = math.floor(calls_per_second * SENDERS_PER_CALL) + EXTRA_SENDERS
    own = rendezvous.weigh(gateway, server_id)
    ahead = sum(
        1
        for other in gateways
        if other != gateway and rendezvous.weigh(other, server_id) > own
    )
    return ahead < count
