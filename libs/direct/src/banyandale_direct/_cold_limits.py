"""Limits the calls to servers in cold start over all gateways.

Load pattern: a zone returns after a loss and all its servers are cold, or a
service is replaced server by server. A cold server fails when it gets many
more calls per second than its limit, counted over all gateways. A few
gateways per server, chosen by rendezvous hashing over the live ones, may send
to it, each at most once per interval; so the limit holds without a word
between gateways, and a gateway that misjudges who is live adds one call.
"""

from collections.abc import Iterable
import math

from banyandale_direct import _rendezvous as rendezvous

# Sum of calls of all gateways in any second, relative to the server's limit.
# The users allow 1.5 times the limit plus 5 to 8 calls; the margin is for
# gateways that see different sets of live gateways.
SENDERS_PER_CALL = 2.0
# Interval of one gateway's calls to one cold server. A little more than a
# second, so that no span of one second holds two.
INTERVAL_SECONDS = 1.1


def is_sender(
    *,
    gateway: str,
    gateways: Iterable[str],
    server_id: str,
    calls_per_second: float,
) -> bool:
    """Whether this gateway may send to a cold server.

    Args:
        gateway: Name of this gateway.
        gateways: Names of all live gateways, this one included or not.
        server_id: The cold server.
        calls_per_second: Its limit over all gateways.
    """
    count = max(math.floor(calls_per_second * SENDERS_PER_CALL), 1)
    own = rendezvous.weigh(gateway, server_id)
    ahead = sum(
        1
        for other in gateways
        if other != gateway and rendezvous.weigh(other, server_id) > own
    )
    return ahead < count


class ColdLimiter:
    """Spaces this gateway's calls to cold servers."""

    def __init__(self) -> None:
        self._sent_at: dict[str, float] = {}

    def next_at(self, server_id: str) -> float:
        """Returns when the next call may go to a server."""
        sent_at = self._sent_at.get(server_id)
        return 0.0 if sent_at is None else sent_at + INTERVAL_SECONDS

    def try_send(self, server_id: str, *, now: float) -> bool:
        """Takes the interval's call, if it is left."""
        if now < self.next_at(server_id):
            return False
        self._sent_at[server_id] = now
        return True

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Forgets servers that are gone."""
        for server_id in self._sent_at.keys() - server_ids:
            del self._sent_at[server_id]
