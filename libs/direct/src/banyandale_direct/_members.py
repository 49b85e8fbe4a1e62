"""Which gateways are alive, by counters that spread from peer to peer.

Each gateway raises its own counter once per round and sends what it knows to
a few others. A gateway whose counter has not risen for a while is not listed
to callers. No call to the store is needed for this.
"""

from collections.abc import Iterable
import dataclasses
import importlib.resources
import random

import capnp

capnp.remove_import_hook()

_SCHEMA = capnp.load(
    str(importlib.resources.files("banyandale_direct") / "members.capnp")
)

# Time between two rounds of one gateway.
ROUND_SECONDS = 0.5
# Gateways told per round: some of the own zone and one of any zone. With
# these, news reach 150 gateways in about six rounds.
LOCAL_TARGETS = 2
REMOTE_TARGETS = 1
# A gateway whose counter stands still for this long is not listed. The
# users' bound for a gateway that ended is 6 s; news take up to 3 s.
SILENT_SECONDS = 2.5
# A gateway is forgotten after this long.
FORGET_SECONDS = 60.0
# Members per datagram, so that it stays below 16 KiB.
MAX_DIGEST_MEMBERS = 200
# Traversal limit for reading a datagram, in words of 8 bytes.
MAX_DIGEST_WORDS = 8192


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A gateway as it describes itself.

    Attributes:
        name: Name of its node.
        zone: Availability zone.
        call_address: Where callers connect.
        peer_address: Where it receives digests.
        started_unix_ms: Start of its process.
        beat: Counter of its rounds.
        ready: Whether callers may be sent there.
    """

    name: str
    zone: str
    call_address: str
    peer_address: str
    started_unix_ms: int
    beat: int
    ready: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class _Known:
    member: Member
    risen_at: float
    heard: bool


class MemberTable:
    """The gateways known to this one."""

    def __init__(self, *, own: Member, random_source: random.Random) -> None:
        self._own = own
        self._random = random_source
        self._known: dict[str, _Known] = {}

    @property
    def own(self) -> Member:
        """This gateway."""
        return self._own

    def advance(self, *, ready: bool) -> None:
        """Starts a round of this gateway."""
        self._own = dataclasses.replace(
            self._own, beat=self._own.beat + 1, ready=ready
        )

    def merge(self, members: Iterable[Member], *, now: float) -> list[str]:
        """Takes over what another gateway knows.

        Returns:
            Names of gateways that are new or started again.
        """
        news = []
        for member in members:
            if member.name == self._own.name:
                continue
            known = self._known.get(member.name)
            if known is None:
                self._known[member.name] = _Known(
                    member=member, risen_at=now, heard=True
                )
                news.append(member.name)
                continue
            mine = (known.member.started_unix_ms, known.member.beat)
            theirs = (member.started_unix_ms, member.beat)
            if theirs > mine:
                if member.started_unix_ms != known.member.started_unix_ms:
                    news.append(member.name)
                known.member = member
                known.risen_at = now
                known.heard = True
        return news

    def introduce(self, members: Iterable[Member], *, now: float) -> None:
        """Adds gateways to write to that are not known to be alive."""
        for member in members:
            if member.name == self._own.name or member.name in self._known:
                continue
            self._known[member.name] = _Known(
                member=member, risen_at=now - SILENT_SECONDS, heard=False
            )

    def forget_silent(self, *, now: float) -> list[str]:
        """Drops gateways that are silent for long; returns their names."""
        gone = [
            name
            for name, known in self._known.items()
            if now - known.risen_at > FORGET_SECONDS
        ]
        for name in gone:
            del self._known[name]
        return gone

    def live(self, *, now: float) -> list[Member]:
        """Returns this gateway and all others that are alive."""
        others = [
            known.member
            for known in self._known.values()
            if known.heard and now - known.risen_at <= SILENT_SECONDS
        ]
        return [self._own, *others]

    def count_known(self) -> int:
        """Returns how many gateways may be running."""
        return len(self._known) + 1

    def draw_targets(self, *, now: float) -> list[Member]:
        """Draws the gateways to write to in this round.

        Silent ones are drawn too, at times, because a partition that ended
        shows only when somebody writes across it.
        """
        live = self.live(now=now)[1:]
        local = [m for m in live if m.zone == self._own.zone]
        remote = [m for m in live if m.zone != self._own.zone]
        targets = self._draw(local, LOCAL_TARGETS)
        targets += self._draw(remote, REMOTE_TARGETS)
        names = {member.name for member in live}
        silent = [
            known.member
            for name, known in self._known.items()
            if name not in names
        ]
        return targets + self._draw(silent, 1)

    def _draw(self, members: list[Member], count: int) -> list[Member]:
        return self._random.sample(members, min(count, len(members)))

    def digest(self, *, now: float) -> bytes:
        """Encodes what this gateway knows of the live ones."""
        members = self.live(now=now)
        if len(members) > MAX_DIGEST_MEMBERS:
            rest = self._draw(members[1:], MAX_DIGEST_MEMBERS - 1)
            members = [members[0], *rest]
        return encode_digest(members)


def encode_digest(members: list[Member]) -> bytes:
    """Returns the datagram for these members."""
    message = _SCHEMA.Digest.new_message()
    entries = message.init("members", len(members))
    for entry, member in zip(entries, members, strict=True):
        entry.name = member.name
        entry.zone = member.zone
        entry.callAddress = member.call_address
        entry.peerAddress = member.peer_address
        entry.startedUnixMs = member.started_unix_ms
        entry.beat = member.beat
        entry.ready = member.ready
    return message.to_bytes_packed()


class MalformedDigestError(ValueError):
    """The datagram is not a digest."""


def decode_digest(data: bytes) -> list[Member]:
    """Reads a datagram.

    Raises:
        MalformedDigestError: The datagram is not a digest.
    """
    try:
        message = _SCHEMA.Digest.from_bytes_packed(
            data, traversal_limit_in_words=MAX_DIGEST_WORDS
        )
        return [
            Member(
                name=entry.name,
                zone=entry.zone,
                call_address=entry.callAddress,
                peer_address=entry.peerAddress,
                started_unix_ms=entry.startedUnixMs,
                beat=entry.beat,
                ready=entry.ready,
            )
            for entry in message.members
        ]
    except (capnp.KjException, ValueError) as error:
        raise MalformedDigestError(str(error)) from error
