"""The links of one gateway to all its peers."""

from collections.abc import Iterable
import dataclasses
import random
import time

from absl import logging
import curio
import curio.io

import banyandale_core as core
from banyandale_peer import _calls as calls
from banyandale_peer import _connections as connections
from banyandale_peer import _control as control
from banyandale_peer import _errors as errors
from banyandale_peer import _messages as messages
from banyandale_peer import _serving as serving

HANDSHAKE_SECONDS = 1.0
MAX_INBOUND_CONNECTIONS = 4096
REDIAL_MIN_SECONDS = 0.05
REDIAL_MAX_SECONDS = 1.0
# Pause after a failed accept, which means that file descriptors ran out.
ACCEPT_RETRY_SECONDS = 0.05
STOP_POLL_SECONDS = 0.01

CONTROL = "control"
CALL = "call"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerAddress:
    """Where a peer is reached: its advertised `ip:port`."""

    gateway_id: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerState:
    """What is known about a peer.

    Attributes:
        gateway_id: Its id.
        address: Its advertised peer address.
        heartbeat: Contents of its last heartbeat with later load reports;
            None before the first one.
        suspected: Whether its control link is down or silent.
        round_trip: Smoothed round trip time in seconds, or None.
    """

    gateway_id: str
    address: str
    heartbeat: messages.Heartbeat | None
    suspected: bool
    round_trip: float | None


class PeerNode:
    """Listens for peers, keeps a control link to each and sends calls.

    Args:
        gateway_id: Id of this gateway. Of a pair, the smaller id dials the
            control link.
        secret: Secret that all gateways share.
        listen_address: `ip:port` to listen on; may differ from the address
            that the peers are told.
        source: Local IP number of dialled connections, or None.
        state: Source of the heartbeat contents.
        metrics: Receiver of counters.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        gateway_id: str,
        secret: bytes,
        listen_address: str,
        state: control.NodeState,
        metrics: core.Metrics,
        clock: core.Clock,
        source: str | None = None,
    ) -> None:
        self._gateway_id = gateway_id
        self._secret = secret
        self._listen_address = listen_address
        self._source = source
        self._state = state
        self._metrics = metrics
        self._clock = clock
        self._call_handler: serving.CallHandler | None = None
        self._request_handlers: dict[str, control.RequestHandler] = {}
        self._records: dict[str, control.PeerRecord] = {}
        self._pools: dict[str, calls.CallPool] = {}
        self._dialers: dict[str, curio.Task] = {}
        self._inbound: set[curio.Task] = set()
        self._servers: set[serving.CallServer] = set()
        self._listener: curio.io.Socket | None = None
        self._acceptor: curio.Task | None = None
        self._running = False
        self._stopping = curio.Event()
        self._stopped = curio.Event()

    def on_call(self, handler: serving.CallHandler) -> None:
        """Sets the handler that answers calls of peers.

        The handler is cancelled when the calling peer closes the connection.
        Its errors reach the peer with their code and, where they have the
        attribute `run`, their run mark.
        """
        self._call_handler = handler

    def on_request(self, kind: str, handler: control.RequestHandler) -> None:
        """Sets the handler of the requests of one kind."""
        self._request_handlers[kind] = handler

    def listen(self) -> str:
        """Opens the listening socket, once, and returns its `ip:port`."""
        if self._listener is None:
            self._listener = connections.open_listener(self._listen_address)
        host, port = self._listener.getsockname()[:2]
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    async def run(self) -> None:
        """Serves and keeps links until `stop` is called."""
        self.listen()
        self._running = True
        try:
            self._acceptor = await curio.spawn(self._accept_all, daemon=True)
            for record in tuple(self._records.values()):
                await self._start_dialer(record)
            await self._stopping.wait()
        finally:
            await self._close_all()
            self._running = False
            await self._stopped.set()

    async def stop(self, *, deadline: float = 0.0) -> None:
        """Stops listening and closes all links.

        Args:
            deadline: Monotonic seconds until which calls of peers that are
                in progress may finish.
        """
        if not self._running:
            return
        await self._acceptor.cancel()
        while time.monotonic() < deadline and any(
            server.is_busy() for server in self._servers
        ):
            await curio.sleep(STOP_POLL_SECONDS)
        await self._stopping.set()
        await self._stopped.wait()

    async def _close_all(self) -> None:
        tasks = [*self._dialers.values(), *self._inbound]
        if self._acceptor is not None:
            tasks.append(self._acceptor)
        for task in tasks:
            await task.cancel()
        self._dialers.clear()
        for pool in self._pools.values():
            await pool.close()
        if self._listener is not None:
            await self._listener.close()
            self._listener = None

    async def update_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Replaces the set of peers. The own id is ignored."""
        wanted = {
            peer.gateway_id: peer.address
            for peer in peers
            if peer.gateway_id != self._gateway_id
        }
        for record in tuple(self._records.values()):
            if wanted.get(record.gateway_id) != record.address:
                await self._remove_peer(record)
        for gateway_id, address in wanted.items():
            if gateway_id not in self._records:
                await self._add_peer(gateway_id, address)

    async def _add_peer(self, gateway_id: str, address: str) -> None:
        record = control.PeerRecord(gateway_id=gateway_id, address=address)
        self._records[gateway_id] = record

        async def dial(deadline: float) -> connections.Connection:
            return await self._dial(record, CALL, deadline)

        self._pools[gateway_id] = calls.CallPool(
            dial=dial, clock=self._clock, metrics=self._metrics
        )
        if self._running:
            await self._start_dialer(record)

    async def _remove_peer(self, record: control.PeerRecord) -> None:
        del self._records[record.gateway_id]
        pool = self._pools.pop(record.gateway_id)
        dialer = self._dialers.pop(record.gateway_id, None)
        if dialer is not None:
            await dialer.cancel()
        if record.link is not None:
            await record.link.close()
        await pool.close()

    async def _start_dialer(self, record: control.PeerRecord) -> None:
        if self._gateway_id < record.gateway_id:
            self._dialers[record.gateway_id] = await curio.spawn(
                self._keep_link, record, daemon=True
            )

    def peers(self) -> tuple[PeerState, ...]:
        """Returns what is known about each peer."""
        now = self._clock.monotonic()
        return tuple(
            PeerState(
                gateway_id=record.gateway_id,
                address=record.address,
                heartbeat=record.heartbeat,
                suspected=record.is_suspected(now),
                round_trip=record.round_trip,
            )
            for record in self._records.values()
        )

    async def announce(self) -> None:
        """Sends changed loads to the peers with homes of the same services.

        Call it when a load may have changed; small changes are not sent and
        each peer gets at most one report per 50 ms.
        """
        for record in tuple(self._records.values()):
            if record.link is not None:
                await record.link.announce()

    async def call(
        self, peer_id: str, request: messages.CallRequest
    ) -> messages.CallAnswer:
        """Sends a call to a peer.

        An answer with `chunks` holds its connection until it is read
        completely or closed. Cancelling this coroutine, or closing the
        reader, cancels the call at the peer.

        Raises:
            PeerError: The call failed; `run` says whether it may have run.
        """
        pool = self._pools.get(peer_id)
        if pool is None:
            raise errors.UnknownPeerError(f"no peer {peer_id!r}")
        try:
            return await calls.send_call(pool, request)
        except errors.PeerError as error:
            self._metrics.incr(error.code)
            raise

    async def request(
        self, peer_id: str, kind: str, payload: bytes, *, deadline: float
    ) -> bytes:
        """Sends a small request on the control link; returns its reply.

        Raises:
            UnknownPeerError: No such peer.
            PeerUnreachableError: The control link is down.
            PeerError: The request failed; `run` says whether it may have run.
        """
        record = self._records.get(peer_id)
        if record is None:
            raise errors.UnknownPeerError(f"no peer {peer_id!r}")
        if record.link is None:
            self._metrics.incr(errors.PeerUnreachableError.code)
            raise errors.PeerUnreachableError(f"no link to {peer_id!r}")
        try:
            return await record.link.request(kind, payload, deadline=deadline)
        except errors.PeerError as error:
            self._metrics.incr(error.code)
            raise

    async def _dial(
        self, record: control.PeerRecord, link_kind: str, deadline: float
    ) -> connections.Connection:
        return await connections.dial(
            address=record.address,
            source=self._source,
            gateway_id=self._gateway_id,
            target_id=record.gateway_id,
            link_kind=link_kind,
            secret=self._secret,
            deadline=deadline,
        )

    async def _keep_link(self, record: control.PeerRecord) -> None:
        delay = REDIAL_MIN_SECONDS
        while True:
            try:
                deadline = time.monotonic() + HANDSHAKE_SECONDS
                connection = await self._dial(record, CONTROL, deadline)
                delay = REDIAL_MIN_SECONDS
                await self._run_link(record, connection)
            except errors.PeerError as error:
                self._metrics.incr(error.code)
            await curio.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(delay * 2, REDIAL_MAX_SECONDS)

    async def _run_link(
        self,
        record: control.PeerRecord,
        connection: connections.Connection,
    ) -> None:
        link = control.ControlLink(
            connection=connection,
            peer=record,
            state=self._state,
            handlers=self._request_handlers,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._metrics.incr("peer_link_up")
        logging.info("control link to %s is up", record.gateway_id)
        try:
            await link.run()
        except errors.PeerError as error:
            logging.warning(
                "control link to %s is down: %s", record.gateway_id, error
            )
            raise

    async def _accept_all(self) -> None:
        while True:
            try:
                sock, _ = await self._listener.accept()
            except OSError:
                self._metrics.incr("peer_accept_failed")
                await curio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            if len(self._inbound) >= MAX_INBOUND_CONNECTIONS:
                self._metrics.incr("peer_connections_exhausted")
                await sock.close()
                continue
            task = await curio.spawn(self._serve, sock, daemon=True)
            if not task.terminated:
                self._inbound.add(task)

    async def _serve(self, sock: curio.io.Socket) -> None:
        connection = connections.Connection(sock=sock)
        try:
            identify = await connections.prove_as_listener(
                connection,
                gateway_id=self._gateway_id,
                secret=self._secret,
                deadline=time.monotonic() + HANDSHAKE_SECONDS,
            )
            if identify.link_kind == CONTROL:
                await self._serve_control(identify.gateway_id, connection)
            else:
                await self._serve_calls(connection)
        except errors.LinkClosedError:
            # The usual end of a call link; control links count their own.
            pass
        except errors.PeerError as error:
            self._metrics.incr(error.code)
        finally:
            self._inbound.discard(await curio.current_task())
            await connection.close()

    async def _serve_control(
        self, peer_id: str, connection: connections.Connection
    ) -> None:
        record = self._records.get(peer_id)
        if record is None or peer_id >= self._gateway_id:
            raise errors.UnknownPeerError(f"control link of {peer_id!r}")
        if record.link is not None:
            # The dialer has lost that one, or it would not dial again.
            await record.link.close()
        await self._run_link(record, connection)

    async def _serve_calls(self, connection: connections.Connection) -> None:
        if self._call_handler is None:
            raise errors.PeerBusyError("no handler of calls is set")
        server = serving.CallServer(
            connection=connection,
            handler=self._call_handler,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._servers.add(server)
        try:
            await server.run()
        finally:
            self._servers.discard(server)
