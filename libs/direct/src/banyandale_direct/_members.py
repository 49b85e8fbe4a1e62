"""Which gateways are alive, by counters that spread from peer to peer.

Each gateway raises its own counter once per round and sends what it knows to
a few others. A gateway whose counter has not risen for a while is not listed
to callers. No call to the store is needed for this.
"""

from collections.abc import Iterable
import dataclasses
import hashlib
import random

# Time between two rounds of one gateway.
ROUND_SECONDS = 0.5
# The same while no other gateway is known to be alive.
ALONE_ROUND_SECONDS = 0.1
# Gateways of the own zone that are told per round, and of each other zone by
# the first gateway of a zone. Bytes between zones are dear.
LOCAL_TARGETS = 2
REMOTE_TARGETS = 1
# From this many live gateways on, one more of each is told, so that news
# reach 150 gateways in about four rounds.
LARGE_COUNT = 40
# The other gateways of a zone write to other zones with this probability, in
# case the first one is cut off.
REMOTE_PROBABILITY = 0.05
# Probability of writing to a silent gateway in a round, since a partition
# that ended shows only when somebody writes across it.
SILENT_PROBABILITY = 0.2
# A gateway whose counter stands still for this long is not listed. The
# users' bound for a gateway that ended is 6 s; news take up to 2 s.
SILENT_SECONDS = 3.0
# A gateway is forgotten after this long.
FORGET_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A gateway as it describes itself.

    All gateways of a deployment use the same ports.

    Attributes:
        ip: IP number, which also identifies it.
        zone: Availability zone.
        started_unix_ms: Start of its process.
        beat: Counter of its rounds.
        ready: Whether callers may be sent there.
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
    """Returns the place of a gateway in an order that all agree on."""
    return hashlib.blake2b(ip.encode(), digest_size=8).digest()


class MemberTable:
    """The gateways known to this one."""

    def __init__(self, *, own: Member, random_source: random.Random) -> None:
        self._own = own
        self._random = random_source
        self._known: dict[str, _KnownMember] = {}

    @property
    def own(self) -> Member:
        """This gateway."""
        return self._own

    def advance(self, *, ready: bool) -> None:
        """Starts a round of this gateway."""
        self._own = dataclasses.replace(
            self._own, beat=self._own.beat + 1, ready=ready
        )

    def set_ready(self, ready: bool) -> None:
        """Notes whether callers may be sent to this gateway."""
        self._own = dataclasses.replace(self._own, ready=ready)

    def merge(self, members: Iterable[Member], *, now: float) -> list[str]:
        """Takes over what another gateway knows.

        Returns:
            IP numbers of gateways that are new or started again.
        """
        new_ips = []
        for member in members:
            if member.ip == self._own.ip:
                continue
            known = self._known.get(member.ip)
            if known is not None:
                mine = (known.member.started_unix_ms, known.member.beat)
                if (member.started_unix_ms, member.beat) <= mine:
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
        """Adds gateways to write to that are not known to be alive."""
        for member in members:
            if member.ip == self._own.ip or member.ip in self._known:
                continue
            self._known[member.ip] = _KnownMember(
                member=member, advanced_at=now, alive=False
            )

    def forget_silent(self, *, now: float) -> None:
        """Drops gateways that have been silent for long."""
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
        """Whether no other gateway is known to be alive."""
        return len(self.live(now=now)) == 1

    def live_in_zone(self, *, now: float) -> list[Member]:
        """Returns the live gateways of the own zone, in the agreed order."""
        local = [m for m in self.live(now=now) if m.zone == self._own.zone]
        return sorted(local, key=lambda member: rank_key(member.ip))

    def rank(self, *, now: float) -> int:
        """Returns this gateway's place among the live ones of its zone."""
        ips = [member.ip for member in self.live_in_zone(now=now)]
        return ips.index(self._own.ip)

    def count_known(self) -> int:
        """Returns how many gateways may be running."""
        return len(self._known) + 1

    def draw_targets(self, *, now: float) -> list[str]:
        """Draws the IP numbers of the gateways to write to in a round."""
        live = self.live(now=now)[1:]
        local = [m.ip for m in live if m.zone == self._own.zone]
        more = int(len(live) >= LARGE_COUNT)
        targets = self._draw(local, LOCAL_TARGETS + more)
        is_first = self.rank(now=now) == 0
        if is_first or self._random.random() < REMOTE_PROBABILITY:
            targets += self.draw_remote(now=now, count=REMOTE_TARGETS + more)
        if self._random.random() < SILENT_PROBABILITY:
            alive = {member.ip for member in live}
            silent = [ip for ip in self._known if ip not in alive]
            targets += self._draw(silent, 1)
        return targets

    def draw_local(self, *, now: float, count: int) -> list[str]:
        """Draws other live gateways of the own zone."""
        others = [m.ip for m in self.live_in_zone(now=now)]
        others.remove(self._own.ip)
        return self._draw(others, count)

    def draw_remote(
        self, *, now: float, count: int = REMOTE_TARGETS
    ) -> list[str]:
        """Draws live gateways of each other zone."""
        zones: dict[str, list[str]] = {}
        for member in self.live(now=now)[1:]:
            if member.zone != self._own.zone:
                zones.setdefault(member.zone, []).append(member.ip)
        return [ip for ips in zones.values() for ip in self._draw(ips, count)]

    def _draw(self, ips: list[str], count: int) -> list[str]:
        return self._random.sample(ips, min(count, len(ips)))
