"""Sends and receives the UDP datagrams between gateways."""

from collections.abc import Awaitable
from collections.abc import Callable
import math
import socket
import time

import curio
import curio.io
import curio.socket

import banyandale_core as core
from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _digests as digests
from banyandale_direct import _members as members
from banyandale_direct import _named_limits as named_limits
from banyandale_direct import _replicas as replicas
from banyandale_direct import _senders as senders
from banyandale_direct import _stops as stops
from banyandale_direct import _versions as versions
import banyandale_http as http

MAX_DATAGRAM_BYTES = 65535
# Larger deltas are not sent by datagram; the other gateways fetch them over
# TCP.
MAX_DELTA_BYTES = 16 * 1024
# Number of gateways that each holder of a large change notifies. If it notified
# all, they would fetch the change from it at once, and the link of its VM (5 to
# 10 Mbit/s) would be the bottleneck.
FAN_OUT = 4
# Number of gateways of each other zone that are notified, in case a datagram is
# lost.
REMOTE_TARGETS = 2


class Gossip:
    """Exchanges digests with other gateways.

    Attributes:
        reading: Whether this gateway reads the store and gets answers.
        records_loaded: Whether this gateway has the crash records of earlier
            processes.
        heard_at: When a digest last arrived, in seconds of the boot clock.
    """

    def __init__(
        self,
        *,
        table: members.MemberTable,
        address: str,
        zones: tuple[str, ...],
        seeds: tuple[str, ...],
        is_ready: Callable[[], bool],
        held: Callable[[], dict[str, versions.Version]],
        configuration_version: Callable[[], int],
        on_digest: Callable[[digests.Digest], Awaitable[None]],
        election: senders.SenderElection,
        limits: named_limits.NamedLimits,
        crashes: crash_records.CrashTable,
        events: core.EventLog,
        metrics: core.Metrics,
    ) -> None:
        """Creates the exchange and binds its UDP socket.

        Args:
            table: Membership of the gateways.
            address: Own address for datagrams; all gateways use the same port.
            zones: Sorted names of all zones.
            seeds: IP addresses to send to while no other gateway is known to be
                alive.
            is_ready: Returns whether this gateway may be listed to callers.
            held: Returns the store version up to which each kind is held.
            configuration_version: Returns the version that operators gave the
                configuration in force.
            on_digest: Called with each digest after its members were merged.
            election: Gets the live gateways once per round.
            limits: Limits that servers have named.
            crashes: Contents under which servers have ended.
            events: Log of the process.
            metrics: Counters of the process.
        """
        self._table = table
        self._zones = zones
        self._seeds = seeds
        self._is_ready = is_ready
        self._held = held
        self._configuration_version = configuration_version
        self._on_digest = on_digest
        self._election = election
        self._limits = limits
        self._crashes = crashes
        self.life_signs = stops.LifeSigns(boot_now=core.boot_seconds())
        self._events = events
        self._metrics = metrics
        self._live: frozenset[str] = frozenset()
        self.reading = False
        self.records_loaded = False
        self.heard_at = -math.inf
        host, self._port = http.parse_address(address)
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((host, self._port))
        self._sock: curio.io.Socket = sock

    async def receive(self) -> None:
        """Receives digests in an endless loop."""
        while True:
            data, sender = await self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                digest = digests.decode_digest(data, zones=self._zones)
            except digests.MalformedDigestError as error:
                self._metrics.incr("digest_malformed")
                self._events.write(
                    "digest_malformed", sender=sender[0], error=str(error)
                )
                continue
            new_ips = self._table.merge(digest.members, now=time.monotonic())
            self._merge_limits(digest)
            if self._merge_crashes(digest) and not self._table.is_live_in_zone(
                digest.sender, now=time.monotonic()
            ):
                # Only a few gateways of another zone are told.
                await self.notify_zone()
            await self._on_digest(digest)
            if digest.sender in new_ips:
                # A gateway that has just started gets the full membership
                # without waiting for a round.
                await self._send(self._encode(full=True), [digest.sender])

    def _merge_limits(self, digest: digests.Digest) -> None:
        boot_now = core.boot_seconds()
        for notice in digest.limits:
            if self._limits.merge(notice, boot_now=boot_now):
                self._metrics.incr("limits_named")
                self._events.write_state(
                    "limit_named",
                    server=notice.server_id,
                    calls_per_second=notice.calls_per_second,
                    source=digest.sender,
                )

    def merge_records(self, data: bytes) -> None:
        """Merges the crash records of a digest that came over TCP.

        Raises:
            MalformedDigestError: The data is not a digest.
        """
        self._merge_crashes(digests.decode_digest(data, zones=self._zones))

    def encode_records(self) -> bytes:
        """Returns a digest with the crash records known here."""
        return self._encode(full=False)

    def _merge_crashes(self, digest: digests.Digest) -> bool:
        """Merges crash records; returns whether a count has changed."""
        now = core.boot_seconds()
        self.heard_at = now
        changed = False
        for record in digest.crashes:
            if not self._crashes.merge(record, now=now):
                continue
            changed = True
            merged = self._crashes.find(record.fingerprint)
            if merged is not None:
                self._events.write_state(
                    "crashes_told",
                    content=record.fingerprint.hex(),
                    suspicion=merged.suspicion.value,
                    source=digest.sender,
                    **merged.describe(),
                )
        if digest.records_loaded and digest.records_complete:
            self.records_loaded = True
        return changed

    async def send(self) -> None:
        """Runs the gossip rounds in an endless loop."""
        while True:
            await self.send_round()
            self._report_changes()
            alone = len(self._live) == 1
            await curio.sleep(
                members.ALONE_ROUND_SECONDS if alone else members.ROUND_SECONDS
            )

    async def send_round(self) -> None:
        """Sends one digest to a few gateways."""
        now = time.monotonic()
        self.life_signs.record(core.boot_seconds())
        self._table.advance(ready=self._is_ready())
        targets = self._table.draw_targets(now=now)
        if self._table.is_alone(now=now):
            targets += self._seeds
        await self._send(self._encode(full=True), targets)

    async def notify_zone(
        self, deltas: tuple[replicas.Delta, ...] = (), *, remote: bool = False
    ) -> None:
        """Sends all gateways of the own zone the store versions held here.

        Args:
            deltas: Changes to include, if they are small enough.
            remote: Whether to notify a gateway of each other zone as well.
        """
        now = time.monotonic()
        targets = [m.ip for m in self._table.live_in_zone(now=now)]
        data = self._encode(full=False, deltas=deltas)
        if len(data) > MAX_DELTA_BYTES:
            await self.notify_peers(remote=remote)
            return
        if remote:
            targets += self._table.draw_remote(now=now, count=REMOTE_TARGETS)
        await self._send(data, targets)

    async def notify_peers(self, *, remote: bool = False) -> None:
        """Sends a few gateways of the own zone the store versions held here."""
        now = time.monotonic()
        targets = self._table.draw_local(now=now, count=FAN_OUT)
        if remote:
            targets += self._table.draw_remote(now=now)
        await self._send(self._encode(full=False), targets)

    def _encode(
        self, *, full: bool, deltas: tuple[replicas.Delta, ...] = ()
    ) -> bytes:
        now = time.monotonic()
        known = self._table.live(now=now) if full else [self._table.own]
        return digests.encode_digest(
            digests.Digest(
                sender=self._table.own.ip,
                reading=self.reading,
                members=members.MemberBlock.from_members(
                    known, zones=self._zones
                ),
                held=self._held(),
                configuration=self._configuration_version(),
                deltas=deltas,
                limits=self._limits.spread(boot_now=core.boot_seconds())
                if full
                else (),
                crashes=self._crashes.spread(),
                records_loaded=self.records_loaded,
                records_complete=self._crashes.spreads_all(),
            )
        )

    async def _send(self, data: bytes, ips: list[str]) -> None:
        for ip in ips:
            if ip == self._table.own.ip:
                continue
            try:
                await self._sock.sendto(data, (ip, self._port))
            except OSError as error:
                self._metrics.incr("digest_unsent")
                self._events.write("digest_unsent", ip=ip, error=str(error))

    def _report_changes(self) -> None:
        now = time.monotonic()
        self._table.forget_silent(now=now)
        alive = self._table.live(now=now)
        self._election.update(
            live=alive, known=self._table.known(), now=core.boot_seconds()
        )
        live = frozenset(member.ip for member in alive)
        if live != self._live:
            self._events.write_state(
                "gateways_changed",
                joined=sorted(live - self._live),
                lost=sorted(self._live - live),
                live=len(live),
            )
            self._live = live
            self._metrics.gauge("live_gateways", len(live))
