"""Membership of gateways, by heartbeat counters spread by gossip.

Each gateway increments its own counter once per round and sends its membership
table to a few others. A gateway whose counter has not risen for a while is not
listed to callers. Membership needs no call to the store.
"""

from collections.abc import Iterable
import dataclasses
import functools
import hashlib
import random
import socket
import struct
from typing import NamedTuple
from typing import Self

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
# Gateways with a known address and sort key that are kept in memory.
CACHED_GATEWAYS = 16384
# IP address, index of the zone, whether it is ready, heartbeat counter, and
# start time of the process in Unix milliseconds.
_ROW = struct.Struct("!IB?IQ")
PACKED_FIELDS = 5


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
        impaired: Groups of services whose servers it does not reach.
    """

    ip: str
    zone: str
    started_unix_ms: int
    beat: int
    ready: bool
    impaired: int = 0


@functools.lru_cache(maxsize=CACHED_GATEWAYS)
def pack_ip(ip: str) -> int:
    """Returns an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(ip))


@functools.lru_cache(maxsize=CACHED_GATEWAYS)
def unpack_ip(number: int) -> str:
    """Returns the IPv4 address of a number."""
    return socket.inet_ntoa(number.to_bytes(4))


class MemberRow(NamedTuple):
    """The fields of a member in the order of the packed form.

    Attributes:
        ip: IP address as a number.
        zone: Index of the zone in the sorted names of all zones.
        ready: Whether it may be listed to callers.
        beat: Heartbeat counter.
        started_unix_ms: Start time of its process.
        impaired: Groups of services whose servers it does not reach.
    """

    ip: int
    zone: int
    ready: bool
    beat: int
    started_unix_ms: int
    impaired: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberBlock:
    """Descriptions of gateways as they are sent.

    A table of 300 gateways arrives several times a second, and most of its rows
    are known already, so a `Member` is made only of those that are not.

    Attributes:
        zones: Sorted names of all zones.
        rows: One row per gateway.
    """

    zones: tuple[str, ...]
    rows: tuple[MemberRow, ...]

    @classmethod
    def from_members(
        cls, members: Iterable[Member], *, zones: tuple[str, ...]
    ) -> Self:
        """Returns the block of the given members."""
        indexes = {zone: index for index, zone in enumerate(zones)}
        rows = tuple(
            MemberRow(
                pack_ip(member.ip),
                indexes[member.zone],
                member.ready,
                member.beat,
                member.started_unix_ms,
                member.impaired,
            )
            for member in members
        )
        return cls(zones=zones, rows=rows)

    @classmethod
    def from_bytes(
        cls, data: bytes, *, zones: tuple[str, ...], impaired: bytes = b""
    ) -> Self:
        """Parses the packed form.

        Args:
            data: The rows.
            zones: Sorted names of all zones.
            impaired: One byte per row; empty if no gateway is impaired.

        Raises:
            ValueError: The data is not a number of whole rows of known zones.
        """
        count, rest = divmod(len(data), _ROW.size)
        if rest:
            raise ValueError(f"{len(data)} bytes are not whole rows of members")
        packed = bytearray(len(data))
        for column in range(_ROW.size):
            start = column * count
            packed[column :: _ROW.size] = data[start : start + count]
        if impaired and len(impaired) != count:
            raise ValueError(f"{len(impaired)} bytes for {count} members")
        rows = tuple(
            MemberRow._make((*row, groups))
            for row, groups in zip(
                _ROW.iter_unpack(packed), impaired or bytes(count), strict=True
            )
        )
        for row in rows:
            if row.zone >= len(zones):
                raise ValueError(f"there is no zone with index {row.zone}")
        return cls(zones=zones, rows=rows)

    def to_bytes(self) -> bytes:
        """Returns the packed form: the first byte of each row, and so on.

        Sorted rows differ little in most bytes, so that this order compresses
        to a third of the size of whole rows.
        """
        packed = b"".join(
            _ROW.pack(*row[:PACKED_FIELDS]) for row in sorted(self.rows)
        )
        return b"".join(
            packed[column :: _ROW.size] for column in range(_ROW.size)
        )

    def pack_impaired(self) -> bytes:
        """Returns a byte per row in the packed order; empty if all are 0."""
        if not any(row.impaired for row in self.rows):
            return b""
        return bytes(row.impaired for row in sorted(self.rows))

    def read(self, row: MemberRow) -> Member:
        """Returns the member that a row describes."""
        return Member(
            ip=unpack_ip(row.ip),
            zone=self.zones[row.zone],
            started_unix_ms=row.started_unix_ms,
            beat=row.beat,
            ready=row.ready,
            impaired=row.impaired,
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class _KnownMember:
    member: Member
    advanced_at: float
    alive: bool


@functools.lru_cache(maxsize=CACHED_GATEWAYS)
def rank_key(ip: str) -> bytes:
    """Returns a sort key that gives the same order on every gateway."""
    return hashlib.blake2b(ip.encode(), digest_size=8).digest()


def _is_newer(row: MemberRow, member: Member) -> bool:
    return row.started_unix_ms > member.started_unix_ms or (
        row.started_unix_ms == member.started_unix_ms and row.beat > member.beat
    )


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

    def set_impaired(self, groups: int) -> None:
        """Sets the groups of services that this gateway does not reach."""
        # The others take a changed description only with a newer counter.
        self._own = dataclasses.replace(
            self._own, beat=self._own.beat + 1, impaired=groups
        )

    def merge(self, block: MemberBlock, *, now: float) -> list[str]:
        """Merges the members that another gateway reports.

        Returns:
            IP addresses of gateways that are newly alive or have restarted.
        """
        new_ips = []
        for row in block.rows:
            ip = unpack_ip(row.ip)
            if ip == self._own.ip:
                self._refute(row)
                continue
            known = self._known.get(ip)
            if known is not None and not _is_newer(row, known.member):
                continue
            if (
                known is None
                or not known.alive
                or row.started_unix_ms != known.member.started_unix_ms
            ):
                new_ips.append(ip)
            self._known[ip] = _KnownMember(
                member=block.read(row), advanced_at=now, alive=True
            )
        return new_ips

    def _refute(self, row: MemberRow) -> None:
        """Overrides a description of this gateway that it did not send.

        The others ignore this gateway's own counter while they hold one that is
        ahead of it, for example from a process that ended before the clock was
        set back.
        """
        if _is_newer(row, self._own):
            self._own = dataclasses.replace(
                self._own, started_unix_ms=row.started_unix_ms + 1, beat=0
            )

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
        since = now - SILENT_SECONDS
        others = [
            known.member
            for known in self._known.values()
            if known.alive and known.advanced_at >= since
        ]
        return [self._own, *others]

    def known(self) -> list[Member]:
        """Returns this gateway and all others, alive or not."""
        return [self._own, *(known.member for known in self._known.values())]

    def is_live_in_zone(self, ip: str, *, now: float) -> bool:
        """Returns whether a gateway of the own zone is alive."""
        if ip == self._own.ip:
            return True
        known = self._known.get(ip)
        return (
            known is not None
            and known.alive
            and known.advanced_at >= now - SILENT_SECONDS
            and known.member.zone == self._own.zone
        )

    def is_alone(self, *, now: float) -> bool:
        """Returns whether no other gateway is known to be alive."""
        since = now - SILENT_SECONDS
        return not any(
            known.alive and known.advanced_at >= since
            for known in self._known.values()
        )

    def live_in_zone(self, *, now: float) -> list[Member]:
        """Returns the live gateways of the own zone, sorted by `rank_key`."""
        local = [m for m in self.live(now=now) if m.zone == self._own.zone]
        return sorted(local, key=lambda member: rank_key(member.ip))

    def rank(self, *, now: float) -> int:
        """Returns this gateway's index among the live ones of its zone."""
        since = now - SILENT_SECONDS
        own = self._own
        own_key = rank_key(own.ip)
        return sum(
            1
            for ip, known in self._known.items()
            if known.advanced_at >= since
            and known.alive
            and known.member.zone == own.zone
            and rank_key(ip) < own_key
        )

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
        zone = self._own.zone
        others = [m.ip for m in self.live(now=now)[1:] if m.zone == zone]
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
