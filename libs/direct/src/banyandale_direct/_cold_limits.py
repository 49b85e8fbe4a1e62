"""Limits the rate of calls to cold servers over all gateways.

Load pattern: a zone returns after an outage and all its servers are cold, or a
service is replaced server by server. A cold server fails when it gets many more
calls per second than its limit, counted over all gateways. A few gateways
(`_senders`) may send to it, each at most once per interval. The limit therefore
holds without coordination, and a gateway with a wrong view of the live gateways
adds at most one call per interval.
"""

import math

from banyandale_direct import _registry as registry
from banyandale_direct import _senders as senders

# Number of gateways that may send to a cold server, and so of calls from all
# gateways in any second: this many per call of the server's limit, and
# `EXTRA_SENDERS` more. The users allow 1.5 times the limit plus 5 to 10 calls;
# the rest is for gateways that see different sets of live gateways.
SENDERS_PER_CALL = 1.5
EXTRA_SENDERS = 1
# Interval between the calls of one gateway to one cold server. Slightly above a
# second, so that no period of one second contains two.
INTERVAL_SECONDS = 1.1


def next_send_at(
    server: registry.Server,
    *,
    calls_per_second: float,
    election: senders.SenderElection,
    times: senders.SendTimes,
    boot_now: float,
) -> float:
    """Returns the monotonic time from which a cold server may get a call.

    Infinite if this gateway is not a sender for it.

    Args:
        server: The cold server.
        calls_per_second: Its limit over all gateways.
        election: Decides for which servers this gateway is a sender.
        times: Sends of this gateway.
        boot_now: Seconds of the boot clock.
    """
    count = math.floor(calls_per_second * SENDERS_PER_CALL) + EXTRA_SENDERS
    if not election.is_sender(
        server, count=count, stable_seconds=INTERVAL_SECONDS, now=boot_now
    ):
        return math.inf
    return times.next_send_at(server.id, interval=INTERVAL_SECONDS)
