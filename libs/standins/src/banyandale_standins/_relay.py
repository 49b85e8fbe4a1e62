"""TCP relay that simulates delay and faults of the links between zones.

It connects to the target from the IP address of the side that opened the
connection, so that the target can derive the zone of its peer.
"""

import collections
import random
import time
from typing import Literal

import curio
import curio.io

import banyandale_http as http
from banyandale_standins import _admin as admin
from banyandale_standins import _networks as networks

RECEIVE_BYTES = 65536
# Chunks being delayed in one direction; above this the relay stops reading.
MAX_QUEUED_CHUNKS = 256
CONNECT_TIMEOUT_SECONDS = 5.0
SILENCE_POLL_SECONDS = 0.01


class RouteSettings(networks.Model):
    """One relayed address.

    Attributes:
        listen: `ip:port` on which the relay listens.
        target: `ip:port` to which it connects.
        zone: Zone of the target.
    """

    listen: str
    target: str
    zone: str


class RelaySettings(networks.Model):
    """Settings of one relay process."""

    admin: str
    seed: int = 1
    network: networks.Network = networks.Network()
    routes: tuple[RouteSettings, ...]


class LinkChange(networks.Model):
    """A change of all links between two zones, or of one zone to all others.

    Attributes:
        zone: One side.
        other: The other side; None for every other zone.
        state: `up` forwards data; `cut` closes open connections and new
            ones; `silent` forwards nothing but keeps connections open;
            `silent_open` does so only on connections that are open now.
    """

    zone: str
    other: str | None = None
    state: Literal["up", "cut", "silent", "silent_open"]


class _Connection:
    """One relayed connection."""

    def __init__(
        self, *, caller: curio.io.Socket, zones: frozenset[str | None]
    ) -> None:
        self.caller = caller
        self.zones = zones
        self.is_silent = False
        self.task: curio.Task | None = None


class Relay:
    """Forwards the connections of all routes.

    Attributes:
        counters: Connections, forwarded bytes and failures since the start.
    """

    def __init__(self, *, config: RelaySettings) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self._config = config
        self._rng = random.Random(config.seed)
        self._connections: set[_Connection] = set()
        self._link_states: dict[frozenset[str | None], str] = {}

    async def listen(self, route: RouteSettings) -> None:
        """Accepts connections on one route until cancelled."""
        async with http.open_listener(route.listen) as listener:
            while True:
                sock, address = await listener.accept()
                zone = self._config.network.find_zone(address[0])
                connection = _Connection(
                    caller=sock, zones=frozenset({zone, route.zone})
                )
                connection.task = await curio.spawn(
                    self._serve, connection, route, address[0], daemon=True
                )

    async def _serve(
        self, connection: _Connection, route: RouteSettings, source: str
    ) -> None:
        self._connections.add(connection)
        self.counters["connections"] += 1
        target = None
        try:
            async with connection.caller:
                if self._link_states.get(connection.zones) == "cut":
                    return
                # The TCP handshake crosses the link once in each direction.
                await curio.sleep(2 * self._draw_delay(connection))
                target = await http.open_socket(
                    address=route.target,
                    source=source,
                    deadline=time.monotonic() + CONNECT_TIMEOUT_SECONDS,
                )
                http.set_options(connection.caller)
                async with target, curio.TaskGroup(wait=any) as group:
                    await group.spawn(
                        self._forward, connection, connection.caller, target
                    )
                    await group.spawn(
                        self._forward, connection, target, connection.caller
                    )
        except (OSError, curio.TaskTimeout):
            self.counters["failed"] += 1
        finally:
            self._connections.discard(connection)

    def _draw_delay(self, connection: _Connection) -> float:
        source, *others = connection.zones
        return self._config.network.draw_delay(
            source=source,
            target=others[0] if others else source,
            rng=self._rng,
        )

    async def _forward(
        self,
        connection: _Connection,
        source: curio.io.Socket,
        target: curio.io.Socket,
    ) -> None:
        """Forwards one direction in order until its sender closes it."""
        if len(connection.zones) == 1:
            # There is no delay within a zone.
            await self._copy(connection, source, target)
        else:
            await self._copy_with_delay(connection, source, target)

    async def _copy(
        self,
        connection: _Connection,
        source: curio.io.Socket,
        target: curio.io.Socket,
    ) -> None:
        try:
            while data := await source.recv(RECEIVE_BYTES):
                await self._wait_while_silent(connection)
                await target.sendall(data)
                self.counters["bytes"] += len(data)
        except OSError:
            self.counters["failed"] += 1

    async def _copy_with_delay(
        self,
        connection: _Connection,
        source: curio.io.Socket,
        target: curio.io.Socket,
    ) -> None:
        chunks: curio.Queue = curio.Queue(maxsize=MAX_QUEUED_CHUNKS)
        sender = await curio.spawn(
            self._send_chunks, connection, chunks, target
        )
        try:
            due = 0.0
            while data := await source.recv(RECEIVE_BYTES):
                due = max(due, time.monotonic() + self._draw_delay(connection))
                await chunks.put((due, data))
            await chunks.put((due, b""))
            await sender.join()
        except (OSError, curio.TaskError):
            self.counters["failed"] += 1
        finally:
            await sender.cancel()

    async def _send_chunks(
        self,
        connection: _Connection,
        chunks: curio.Queue,
        target: curio.io.Socket,
    ) -> None:
        while True:
            due, data = await chunks.get()
            if (delay := due - time.monotonic()) > 0:
                await curio.sleep(delay)
            await self._wait_while_silent(connection)
            if not data:
                return
            await target.sendall(data)
            self.counters["bytes"] += len(data)

    async def _wait_while_silent(self, connection: _Connection) -> None:
        while self._is_silent(connection):
            await curio.sleep(SILENCE_POLL_SECONDS)

    def _is_silent(self, connection: _Connection) -> bool:
        return (
            connection.is_silent
            or self._link_states.get(connection.zones) == "silent"
        )

    async def change(self, change: LinkChange) -> int:
        """Sets the state of links; returns how many connections they have."""
        for zones in self._find_links(change):
            state = "up" if change.state == "silent_open" else change.state
            self._link_states[zones] = state
        affected = [
            connection
            for connection in self._connections
            if connection.zones in self._find_links(change)
        ]
        for connection in affected:
            if change.state == "cut":
                await connection.task.cancel(blocking=False)
            elif change.state == "silent_open":
                connection.is_silent = True
        return len(affected)

    def _find_links(self, change: LinkChange) -> set[frozenset[str | None]]:
        others = (
            {change.other}
            if change.other is not None
            else set(self._config.network.zones) - {change.zone}
        )
        return {frozenset({change.zone, other}) for other in others}

    async def handle_admin_request(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> object:
        """Returns the response to one request of the admin listener."""
        if (method, path) == ("GET", "/counters"):
            return {
                "open_connections": len(self._connections),
                "counters": dict(self.counters),
            }
        if (method, path) == ("PUT", "/links"):
            change = LinkChange.model_validate_json(body)
            return {"connections": await self.change(change)}
        return None


async def serve_relay(*, config: RelaySettings) -> None:
    """Forwards all routes and serves the admin listener until cancelled.

    The admin listener has `GET /counters` and `PUT /links` with a
    `LinkChange`.
    """
    relay = Relay(config=config)
    async with curio.TaskGroup(wait=any) as group:
        for route in config.routes:
            await group.spawn(relay.listen, route)
        await group.spawn(_serve_admin, config.admin, relay)


async def _serve_admin(address: str, relay: Relay) -> None:
    await admin.serve_admin(address=address, handler=relay.handle_admin_request)
