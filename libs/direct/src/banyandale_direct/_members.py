"""Membership of gateways, by heartbeat counters spread by gossip.

Each gateway increments its own counter once per round and sends its membership
table to a few others. A gateway whose counter has not risen for a while is not
listed to callers. Membership needs no call to the store.
"""

from collections.abc import Iterable
import dataclasses
import hashlib
import random

# Interval between the gossip rounds of one gateway.
ROUND_SECONDS = 0.5
# Interval between rounds while no other gateway is known to be alive.
ALONE_ROUND_SECONDS = 0.1
# Targets per round: gateways of the own zone, and gateways of each other zone.
# Usually only the first gateway of a zone sends to other zones, because traffic
# between zones is expensive.
LOCAL_TARGETS = 2
REMOTE_TARGETS = 1
# From this many live gateways on, each round has one more target of each kind,
# so that an update reaches 150 gateways in about four rounds.
LARGE_DEPLOYMENT_GATEWAYS = 40
# Probability that another gateway than the first of its zone sends to other
# zones in a round, in case the first one is cut off.
REMOTE_PROBABILITY = 0.05
# Probability of sending to a silent gateway in a round: the end of a partition
# is noticed only when a gateway sends across it.
SILENT_PROBABILITY = 0.2
# A gateway whose counter has not risen for this long is not listed. The
# required bound for a gateway that ended is 6 s; updates take up to 2 s to
# spread.
SILENT_SECONDS = 3.0
# A gateway that has been silent for this long is removed from the table.
FORGET_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A gateway's description of itself.

    All gateways of a deployment use the same ports.

    Attributes:
        ip: IP address, which also identifies the gateway.
        zone: Availability zone.
        started_unix_ms: Start time of its process.
        beat: Heartbeat counter, incremented in each of its rounds.
        ready: Whether it may be listed to callers.
    """

    ip: str
    zone: str
    started_unix_ms: int
    beat: int
    ready: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class _KnownMember:
    member: Member
    advanced_at: float
    alive: bool


def rank_key(ip: str) -> bytes:
    """Returns a sort key that gives the same order on every gateway."""
    return hashlib.blake2b(ip.encode(), digest_size=8).digest()


class MemberTable:
    """The gateways that this gateway knows, and whether they are alive."""

    def __init__(self, *, own: Member, random_source: random.Random) -> None:
        self._own = own
        self._random = random_source
        self._known: dict[str, _KnownMember] = {}

    @property
    def own(self) -> Member:
        """This gateway's own description."""
        return self._own

    def advance(self, *, ready: bool) -> None:
        """Starts a round: increments this gateway's counter."""
        self._own = dataclasses.replace(
            self._own, beat=self._own.beat + 1, ready=ready
        )

    def set_ready(self, ready: bool) -> None:
        """Sets whether this gateway may be listed to callers."""
        self._own = dataclasses.replace(self._own, ready=ready)

    def merge(self, members: Iterable[Member], *, now: float) -> list[str]:
        """Merges the members that another gateway reports.

        Returns:
            IP addresses of gateways that are newly alive or have restarted.
        """
        new_ips = []
        for member in members:
            if member.ip == self._own.ip:
                continue
            known = self._known.get(member.ip)
            if known is not None:
                known_key = (known.member.started_unix_ms, known.member.beat)
                if (member.started_unix_ms, member.beat) <= known_key:
                    continue
            if (
                known is None
                or not known.alive
                or member.started_unix_ms != known.member.started_unix_ms
            ):
                new_ips.append(member.ip)
            self._known[member.ip] = _KnownMember(
                member=member, advanced_at=now, alive=True
            )
        return new_ips

    def add_unconfirmed(self, members: Iterable[Member], *, now: float) -> None:
        """Adds gateways as gossip targets without counting them as alive."""
        for member in members:
            if member.ip == self._own.ip or member.ip in self._known:
                continue
            self._known[member.ip] = _KnownMember(
                member=member, advanced_at=now, alive=False
            )

    def forget_silent(self, *, now: float) -> None:
        """Removes gateways that have been silent for `FORGET_SECONDS`."""
        for ip, known in list(self._known.items()):
            if now - known.advanced_at > FORGET_SECONDS:
                del self._known[ip]

    def live(self, *, now: float) -> list[Member]:
        """Returns this gateway and all others that are alive."""
        others = [
            known.member
            for known in self._known.values()
            if known.alive and now - known.advanced_at <= SILENT_SECONDS
        ]
        return [self._own, *others]

    def is_alone(self, *, now: float) -> bool:
        """Returns whether no other gateway is known to be alive."""
        return len(self.live(now=now)) == 1

    def live_in_zone(self, *, now: float) -> list[Member]:
        """Returns the live gateways of the own zone, sorted by `rank_key`."""
        local = [m for m in self.live(now=now) if m.zone == self._own.zone]
        return sorted(local, key=lambda member: rank_key(member.ip))

    def rank(self, *, now: float) -> int:
        """Returns this gateway's index among the live ones of its zone."""
        ips = [member.ip for member in self.live_in_zone(now=now)]
        return ips.index(self._own.ip)

    def count_known(self) -> int:
        """Returns the number of gateways known, alive or not, with this one."""
        return len(self._known) + 1

    def draw_targets(self, *, now: float) -> list[str]:
        """Draws the IP addresses of the gateways to send to in a round."""
        live = self.live(now=now)[1:]
        local = [m.ip for m in live if m.zone == self._own.zone]
        extra = int(len(live) >= LARGE_DEPLOYMENT_GATEWAYS)
        targets = self._draw(local, LOCAL_TARGETS + extra)
        is_first = self.rank(now=now) == 0
        if is_first or self._random.random() < REMOTE_PROBABILITY:
            targets += self.draw_remote(now=now, count=REMOTE_TARGETS + extra)
        if self._random.random() < SILENT_PROBABILITY:
            alive = {member.ip for member in live}
            silent = [ip for ip in self._known if ip not in alive]
            targets += self._draw(silent, 1)
        return targets

    def draw_local(self, *, now: float, count: int) -> list[str]:
        """Draws the IP addresses of other live gateways of the own zone."""
        others = [m.ip for m in self.live_in_zone(now=now)]
        others.remove(self._own.ip)
        return self._draw(others, count)

    def draw_remote(
        self, *, now: float, count: int = REMOTE_TARGETS
    ) -> list[str]:
        """Draws the IP addresses of live gateways of each other zone."""
        zones: dict[str, list[str]] = {}
        for member in self.live(now=now)[1:]:
            if member.zone != self._own.zone:
                zones.setdefault(member.zone, []).append(member.ip)
        return [ip for ips in zones.values() for ip in self._draw(ips, count)]

    def _draw(self, ips: list[str], count: int) -> list[str]:
        return self._random.sample(ips, min(count, len(ips)))
