"""Rate limits that servers name in their answers.

Load pattern: a server in trouble states how many calls per second it takes from
all gateways together, for as long as it says so in its answers. A few gateways
share the limit (`_senders`), and the others do not send to the server. They
learn from digests when the limit changes or ends.
"""

import dataclasses
import math

from banyandale_direct import _registry as registry
from banyandale_direct import _senders as senders

# Senders beyond one per call of the limit, so that the limit is used although
# the calls of a single gateway are few and irregular.
EXTRA_SENDERS = 2
# Keeps any period as long as the interval from containing two calls.
INTERVAL_MARGIN = 1.05
# Lower limits count as this one: a server that gets no calls cannot say that
# its limit has ended.
MIN_CALLS_PER_SECOND = 0.1
# Older notices are not spread. A server that names a limit gets calls, so that
# newer ones exist.
MAX_SPREAD_SECONDS = 10.0
# A notice from another gateway must be this much newer than one that it
# contradicts: its age lacks the time in transit.
TRANSIT_SECONDS = 0.1
# Largest number of notices in a digest.
MAX_SPREAD_NOTICES = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """How the gateways divide a limit.

    Attributes:
        senders: Number of gateways that send to the server.
        interval_seconds: Shortest time between two calls of one of them.
    """

    senders: int
    interval_seconds: float


def divide(calls_per_second: float, *, gateways: int) -> Share:
    """Divides a limit among the gateways that may be senders.

    Args:
        calls_per_second: The limit over all gateways.
        gateways: Number of gateways that may be senders.
    """
    limit = max(calls_per_second, MIN_CALLS_PER_SECOND)
    count = max(min(math.floor(limit) + EXTRA_SENDERS, gateways), 1)
    return Share(
        senders=count, interval_seconds=count / limit * INTERVAL_MARGIN
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Turn:
    """A planned send to a server that names a limit.

    Attributes:
        server_id: The server.
        at: Monotonic seconds of the send.
        interval_seconds: Interval that the turn takes.
    """

    server_id: str
    at: float
    interval_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Notice:
    """What a server last said about its limit.

    Attributes:
        server_id: The server.
        started_unix_ms: Start of the process that said it.
        calls_per_second: Calls that it takes from all gateways together; None
            if it names no limit any more.
        said_at: Time of the answer, in seconds of the boot clock.
    """

    server_id: str
    started_unix_ms: int
    calls_per_second: float | None
    said_at: float


class NamedLimits:
    """The newest notice of each server that has named a limit."""

    def __init__(
        self, *, election: senders.SenderElection, times: senders.SendTimes
    ) -> None:
        """Creates an empty table.

        Args:
            election: Decides for which servers this gateway is a sender.
            times: Sends of this gateway.
        """
        self._election = election
        self._times = times
        self._notices: dict[str, Notice] = {}

    def record(self, notice: Notice) -> bool:
        """Records a notice; returns whether the server's limit changed."""
        known = self._notices.get(notice.server_id)
        if known is None:
            if notice.calls_per_second is None:
                return False
            self._notices[notice.server_id] = notice
            return True
        if notice.said_at < known.said_at:
            return False
        self._notices[notice.server_id] = notice
        return (
            notice.calls_per_second != known.calls_per_second
            or notice.started_unix_ms != known.started_unix_ms
        )

    def find(self, server: registry.Server) -> float | None:
        """Returns the limit of a server, or None without one."""
        notice = self._notices.get(server.id)
        if notice is None or notice.started_unix_ms != server.started_unix_ms:
            return None
        return notice.calls_per_second

    def _divide(self, limit: float) -> Share:
        return divide(limit, gateways=self._election.count_candidates())

    def next_send_at(
        self, server: registry.Server, *, boot_now: float
    ) -> float:
        """Returns the monotonic time from which a server may get a call.

        Infinite if this gateway is not a sender for it, 0 without a limit.
        """
        limit = self.find(server)
        if limit is None:
            return 0.0
        share = self._divide(limit)
        if not self._election.is_sender(
            server,
            count=share.senders,
            stable_seconds=share.interval_seconds,
            now=boot_now,
        ):
            return math.inf
        return self._times.next_send_at(
            server.id, interval=share.interval_seconds
        )

    def plan_turn(
        self, servers: list[registry.Server], *, now: float, boot_now: float
    ) -> Turn | None:
        """Plans the earliest possible send to one of some limited servers.

        Turns are given in the order in which they are asked for. None if this
        gateway is a sender for none of the servers.

        Args:
            servers: Servers that name a limit.
            now: Monotonic seconds.
            boot_now: Seconds of the boot clock.
        """
        times = {
            server.id: self.next_send_at(server, boot_now=boot_now)
            for server in servers
        }
        server = min(servers, key=lambda server: times[server.id], default=None)
        if server is None or times[server.id] == math.inf:
            return None
        share = self._divide(self.find(server) or 0.0)
        return Turn(
            server_id=server.id,
            at=max(times[server.id], now),
            interval_seconds=share.interval_seconds,
        )

    def mean_wait_seconds(self, servers: list[registry.Server]) -> float:
        """Returns the mean time until some gateway has a turn.

        Args:
            servers: Servers that name a limit.
        """
        total = sum(
            max(self.find(server) or 0.0, MIN_CALLS_PER_SECOND)
            for server in servers
        )
        return 1.0 / total

    def take_turn(self, turn: Turn) -> None:
        """Reserves a planned turn."""
        self._times.record(turn.server_id, at=turn.at)

    def return_turn(self, turn: Turn) -> None:
        """Returns a turn that was not used, unless later ones are taken."""
        self._times.cancel(
            turn.server_id, at=turn.at, interval=turn.interval_seconds
        )

    def spread(self, *, boot_now: float) -> tuple[Notice, ...]:
        """Returns the newest notices, for other gateways."""
        since = boot_now - MAX_SPREAD_SECONDS
        fresh = [n for n in self._notices.values() if n.said_at >= since]
        fresh.sort(key=lambda notice: notice.said_at, reverse=True)
        return tuple(fresh[:MAX_SPREAD_NOTICES])

    def merge(self, notice: Notice, *, boot_now: float) -> bool:
        """Merges another gateway's notice; returns whether a limit changed."""
        if notice.said_at < boot_now - MAX_SPREAD_SECONDS:
            return False
        known = self._notices.get(notice.server_id)
        if known is None:
            # Also kept if it lifts a limit: an older notice may still arrive.
            self._notices[notice.server_id] = notice
            return notice.calls_per_second is not None
        same = (known.calls_per_second, known.started_unix_ms) == (
            notice.calls_per_second,
            notice.started_unix_ms,
        )
        if not same and notice.said_at < known.said_at + TRANSIT_SECONDS:
            return False
        return self.record(notice)

    def count(self) -> int:
        """Returns the number of servers that name a limit."""
        return sum(
            notice.calls_per_second is not None
            for notice in self._notices.values()
        )

    def forget_gone(
        self, server_ids: frozenset[str], *, boot_now: float
    ) -> None:
        """Removes servers that have been gone for a while.

        Args:
            server_ids: Servers that are known now.
            boot_now: Seconds of the boot clock.
        """
        since = boot_now - senders.REMEMBER_GONE_SECONDS
        for server_id in self._notices.keys() - server_ids:
            if self._notices[server_id].said_at < since:
                del self._notices[server_id]
