"""Elects the gateways that share the rate limit of a server.

Load pattern: a server takes few calls per second from all gateways together,
while gateways start, stop, freeze and see different sets of live gateways. A
few gateways, chosen by rendezvous hashing, share its limit, so that no message
is needed per call. Those of the server's zone come first and keep their ranks
while they are silent, so that the parts of a fleet that is cut between zones
elect no more senders than the whole. A gateway counts as a sender only after
all its views of the live gateways agreed on it for some time: by then the
gateway that it replaces has noticed, and that one's calls are no longer recent.
"""

from collections.abc import Iterable
import dataclasses
import math

from banyandale_direct import _members as members
from banyandale_direct import _registry as registry
from banyandale_direct import _rendezvous as rendezvous

# A gateway whose view is older than this is not a sender: it was suspended, or
# has too little processor time. Views are updated once per gossip round.
STALE_SECONDS = 2.0
# Calls and limits of a server are remembered for this long, as its entry may
# lapse while the store is down or the server is cut off, and be back soon.
REMEMBER_GONE_SECONDS = 60.0
# Longest time for which earlier views are kept.
MAX_STABLE_SECONDS = 15.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _View:
    """The gateways of each zone, as known from `since` until the next view.

    Attributes:
        since: Time of the view, in seconds of the boot clock.
        live: IP addresses of the live gateways of each zone.
        known: Number of gateways of each zone, silent ones included.
        ranks: Own rank for the servers asked for so far, by id.
    """

    since: float
    live: dict[str, frozenset[str]]
    known: dict[str, int]
    ranks: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def count(self) -> int:
        """Number of gateways, silent ones included."""
        return sum(self.known.values())


class SenderElection:
    """Decides for which servers this gateway is a sender."""

    def __init__(self, *, own_ip: str) -> None:
        self._own_ip = own_ip
        self._views: list[_View] = []
        self._updated_at = -math.inf

    def update(
        self,
        *,
        live: Iterable[members.Member],
        known: Iterable[members.Member],
        now: float,
    ) -> None:
        """Records the current view.

        Args:
            live: All live gateways, with this one.
            known: All known gateways, with this one.
            now: Seconds of the boot clock.
        """
        if self._is_stale(now):
            self._views.clear()
        self._updated_at = now
        by_zone: dict[str, set[str]] = {}
        for member in live:
            by_zone.setdefault(member.zone, set()).add(member.ip)
        counts: dict[str, int] = {}
        for member in known:
            counts[member.zone] = counts.get(member.zone, 0) + 1
        view = _View(
            since=now,
            live={zone: frozenset(ips) for zone, ips in by_zone.items()},
            known=counts,
        )
        last = self._views[-1] if self._views else None
        if last is None or (last.live, last.known) != (view.live, view.known):
            self._views.append(view)
        while (
            len(self._views) > 1
            and self._views[1].since <= now - MAX_STABLE_SECONDS
        ):
            del self._views[0]

    def _is_stale(self, now: float) -> bool:
        return now - self._updated_at > STALE_SECONDS

    def count_candidates(self) -> int:
        """Returns the largest number of gateways known in recent views."""
        return max((view.count for view in self._views), default=0)

    def count_gateways(self, *, stable_seconds: float, now: float) -> float:
        """Returns the largest number of gateways known in recent views.

        Infinite while the views do not cover the time: a gateway that has just
        started or was suspended may know few of the others.

        Args:
            stable_seconds: Time that the views must cover.
            now: Seconds of the boot clock.
        """
        since = now - min(stable_seconds, MAX_STABLE_SECONDS)
        if self._is_stale(now) or self._views[0].since > since:
            return math.inf
        return self.count_candidates()

    def is_sender(
        self,
        server: registry.Server,
        *,
        count: int,
        stable_seconds: float,
        now: float,
    ) -> bool:
        """Returns whether this gateway is a sender for a server.

        Args:
            server: The server.
            count: Number of senders.
            stable_seconds: Time for which all views must have agreed.
            now: Seconds of the boot clock.
        """
        since = now - min(stable_seconds, MAX_STABLE_SECONDS)
        if self._is_stale(now) or self._views[0].since > since:
            return False
        for view in reversed(self._views):
            if self._rank(view, server) >= count:
                return False
            if view.since <= since:
                break
        return True

    def _rank(self, view: _View, server: registry.Server) -> int:
        rank = view.ranks.get(server.id)
        if rank is None:
            local = view.live.get(server.zone, frozenset())
            own = rendezvous.weigh(self._own_ip, server.id)
            if self._own_ip in local:
                candidates, rank = local, 0
            else:
                # Silent gateways of the server's zone may still be sending.
                candidates = frozenset().union(*view.live.values()) - local
                rank = view.known.get(server.zone, 0)
            rank += sum(
                rendezvous.weigh(ip, server.id) > own for ip in candidates
            )
            view.ranks[server.id] = rank
        return rank


class SendTimes:
    """When this gateway last sent to each server."""

    def __init__(self) -> None:
        self._sent_at: dict[str, float] = {}

    def next_send_at(self, server_id: str, *, interval: float) -> float:
        """Returns the monotonic time from which a server may get a call."""
        sent_at = self._sent_at.get(server_id)
        return 0.0 if sent_at is None else sent_at + interval

    def record(self, server_id: str, *, at: float) -> None:
        """Records a send, or one that is planned."""
        self._sent_at[server_id] = max(at, self._sent_at.get(server_id, at))

    def cancel(self, server_id: str, *, at: float, interval: float) -> None:
        """Removes the planned send at `at` if no later one is planned."""
        if self._sent_at.get(server_id) == at:
            self._sent_at[server_id] = at - interval

    def forget_gone(self, server_ids: frozenset[str], *, now: float) -> None:
        """Removes servers that have been gone for a while.

        Args:
            server_ids: Servers that are known now.
            now: Monotonic seconds.
        """
        since = now - REMEMBER_GONE_SECONDS
        for server_id in self._sent_at.keys() - server_ids:
            if self._sent_at[server_id] < since:
                del self._sent_at[server_id]
