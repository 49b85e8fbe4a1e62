"""Sends and receives the digests of `_members` as datagrams."""

from collections.abc import Callable
import socket
import time

import curio
import curio.io
import curio.socket

import banyandale_core as core
from banyandale_direct import _members as members
import banyandale_http as http

MAX_DATAGRAM_BYTES = 65535


class Gossip:
    """Exchanges digests with other gateways."""

    def __init__(
        self,
        *,
        table: members.MemberTable,
        seeds: tuple[str, ...],
        is_ready: Callable[[], bool],
        events: core.EventLog,
        metrics: core.Metrics,
    ) -> None:
        """Creates the exchange.

        Args:
            table: What is known of the gateways.
            seeds: Peer addresses that are written to while no other gateway
                is known to be alive.
            is_ready: Whether callers may be sent to this gateway.
            events: Log of the process.
            metrics: Counters of the process.
        """
        self._table = table
        self._seeds = seeds
        self._is_ready = is_ready
        self._events = events
        self._metrics = metrics
        self._live: frozenset[str] = frozenset()
        host, port = http.parse_address(table.own.peer_address)
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((host, port))
        self._sock: curio.io.Socket = sock

    async def receive(self) -> None:
        """Takes over digests for ever."""
        while True:
            data, sender = await self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                heard = members.decode_digest(data)
            except members.MalformedDigestError as error:
                self._metrics.incr("digest_malformed")
                self._events.write(
                    "digest_malformed", sender=sender[0], error=str(error)
                )
                continue
            self._metrics.incr("digests_received")
            news = self._table.merge(heard, now=time.monotonic())
            if news:
                await self.send_round()

    async def send(self) -> None:
        """Sends a digest to a few gateways per round, for ever."""
        while True:
            await self.send_round()
            self._report_changes()
            await curio.sleep(members.ROUND_SECONDS)

    async def send_round(self) -> None:
        """Sends one digest to a few gateways."""
        now = time.monotonic()
        self._table.advance(ready=self._is_ready())
        data = self._table.digest(now=now)
        addresses = {m.peer_address for m in self._table.draw_targets(now=now)}
        if len(self._table.live(now=now)) == 1:
            addresses.update(self._seeds)
        addresses.discard(self._table.own.peer_address)
        for address in addresses:
            try:
                await self._sock.sendto(data, http.parse_address(address))
            except OSError as error:
                self._metrics.incr("digest_unsent")
                self._events.write(
                    "digest_unsent", address=address, error=str(error)
                )

    def _report_changes(self) -> None:
        now = time.monotonic()
        self._table.forget_silent(now=now)
        live = frozenset(m.name for m in self._table.live(now=now))
        if live != self._live:
            self._events.write_state(
                "gateways_changed",
                joined=sorted(live - self._live),
                lost=sorted(self._live - live),
                live=len(live),
            )
            self._live = live
            self._metrics.gauge("live_gateways", len(live))
