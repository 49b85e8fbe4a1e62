"""Links of a gateway to all its peers."""

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
SEED_CHECK_SECONDS = 0.25
# Pause after a failed accept, usually for lack of file descriptors.
ACCEPT_RETRY_SECONDS = 0.05
STOP_POLL_SECONDS = 0.01

CONTROL = "control"
CALL = "call"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerAddress:
    """Id of a peer and its advertised `ip:port`."""

    gateway_id: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerState:
    """Snapshot of the state of a peer.

    Attributes:
        gateway_id: Id of the peer.
        address: Advertised peer address of the peer.
        heartbeat: Contents of its last heartbeat, with later load reports
            applied; None before the first heartbeat.
        suspected: Whether the peer may be unreachable: its control link is
            down or receives no heartbeats.
        round_trip: Smoothed round trip time in seconds, or None.
    """

    gateway_id: str
    address: str
    heartbeat: messages.Heartbeat | None
    suspected: bool
    round_trip: float | None


class PeerNode:
    """Accepts peers, maintains a control link to each and sends calls.

    Args:
        gateway_id: Id of this gateway. Of two gateways, the one with the
            smaller id dials the control link.
        secret: Secret that all gateways share.
        listen_address: `ip:port` to listen on; may differ from the advertised
            address.
        source: Local IP address of dialled connections, or None for any.
        address: Advertised `ip:port` of this gateway; the address of the
            listening socket when empty.
        seeds: Advertised addresses of peers whose ids are not known. The node
            maintains a link to each, so that a gateway can start while the
            platform is down.
        state: Provides the heartbeat contents.
        metrics: Receives the counters.
        clock: Clock of deadlines and heartbeats.
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
        address: str = "",
        seeds: Iterable[str] = (),
    ) -> None:
        self._gateway_id = gateway_id
        self._secret = secret
        self._listen_address = listen_address
        self._source = source
        self._address = address
        self._seeds = tuple(seeds)
        self._state = state
        self._metrics = metrics
        self._clock = clock
        self._call_handler: serving.CallHandler | None = None
        self._request_handlers: dict[str, control.RequestHandler] = {}
        self._records: dict[str, control.PeerRecord] = {}
        self._pools: dict[str, calls.CallPool] = {}
        self._dialers: dict[str, curio.Task] = {}
        self._seed_dialers: list[curio.Task] = []
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
        The peer receives the code of its errors, and their run mark where
        they have the attribute `run`.
        """
        self._call_handler = handler

    def on_request(self, kind: str, handler: control.RequestHandler) -> None:
        """Sets the handler of requests of one kind."""
        self._request_handlers[kind] = handler

    def listen(self) -> str:
        """Opens the listening socket if needed and returns its `ip:port`."""
        if self._listener is None:
            self._listener = connections.open_listener(self._listen_address)
        host, port = self._listener.getsockname()[:2]
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    async def run(self) -> None:
        """Accepts connections and maintains links until `stop` is called."""
        self.listen()
        self._running = True
        try:
            self._acceptor = await curio.spawn(self._accept_all, daemon=True)
            for record in tuple(self._records.values()):
                await self._start_dialer(record)
            for address in self._seeds:
                self._seed_dialers.append(
                    await curio.spawn(
                        self._maintain_seed_link, address, daemon=True
                    )
                )
            await self._stopping.wait()
        finally:
            await self._close_all()
            self._running = False
            await self._stopped.set()

    async def stop(self, *, deadline: float = 0.0) -> None:
        """Stops listening and closes all links.

        Args:
            deadline: Monotonic seconds until which calls of peers in progress
                may finish.
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
        tasks = [
            *self._dialers.values(),
            *self._seed_dialers,
            *self._inbound,
        ]
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
        """Replaces the set of peers that the platform lists.

        The id of this gateway is ignored. Peers known only from a link stay
        until the link ends, unless the platform lists their id with another
        address.
        """
        wanted = {
            peer.gateway_id: peer.address
            for peer in peers
            if peer.gateway_id != self._gateway_id
        }
        for record in tuple(self._records.values()):
            listed_address = wanted.get(record.gateway_id)
            if listed_address is None and not record.listed:
                continue
            if listed_address != record.address:
                await self._remove_peer(record)
        for gateway_id, address in wanted.items():
            record = self._records.get(gateway_id)
            if record is None:
                record = self._add_record(gateway_id, address, listed=True)
            elif record.listed:
                continue
            record.listed = True
            if self._running:
                await self._start_dialer(record)

    def _add_record(
        self, gateway_id: str, address: str, *, listed: bool
    ) -> control.PeerRecord:
        record = control.PeerRecord(
            gateway_id=gateway_id, address=address, listed=listed
        )
        self._records[gateway_id] = record

        async def dial(deadline: float) -> connections.Connection:
            return await self._dial(record, CALL, deadline)

        self._pools[gateway_id] = calls.CallPool(
            dial=dial, clock=self._clock, metrics=self._metrics
        )
        return record

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
        if record.listed and self._gateway_id < record.gateway_id:
            self._dialers[record.gateway_id] = await curio.spawn(
                self._maintain_link, record, daemon=True
            )

    def peers(self) -> tuple[PeerState, ...]:
        """Returns the state of each peer.

        Peers known only from a link are included only while the platform
        lists no peer, since such a peer may have lost its lease.
        """
        now = self._clock.monotonic()
        any_listed = any(record.listed for record in self._records.values())
        return tuple(
            PeerState(
                gateway_id=record.gateway_id,
                address=record.address,
                heartbeat=record.heartbeat,
                suspected=record.is_suspected(now),
                round_trip=record.round_trip,
            )
            for record in self._records.values()
            if record.listed or not any_listed
        )

    async def announce_loads(self) -> None:
        """Sends changed loads to the peers with homes of the same services.

        To be called when a load may have changed. Small changes are not sent,
        and each peer gets at most one report per 50 ms.
        """
        homes = self._state.describe().homes
        if not homes:
            return
        for record in tuple(self._records.values()):
            if record.link is not None:
                await record.link.announce_loads(homes)

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
            raise errors.UnknownPeerError(
                f"gateway {peer_id!r} is not a known peer"
            )
        try:
            return await calls.send_call(pool, request)
        except errors.PeerError as error:
            self._metrics.incr(error.code)
            raise

    async def request(
        self, peer_id: str, kind: str, payload: bytes, *, deadline: float
    ) -> bytes:
        """Sends a request on the control link and returns its reply.

        Raises:
            UnknownPeerError: No peer has this id.
            PeerUnreachableError: The control link is down.
            PeerError: The request failed; `run` says whether it may have run.
        """
        record = self._records.get(peer_id)
        if record is None:
            raise errors.UnknownPeerError(
                f"gateway {peer_id!r} is not a known peer"
            )
        if record.link is None:
            self._metrics.incr(errors.PeerUnreachableError.code)
            raise errors.PeerUnreachableError(
                f"no control link to {peer_id!r} is up"
            )
        try:
            return await record.link.request(kind, payload, deadline=deadline)
        except errors.PeerError as error:
            self._metrics.incr(error.code)
            raise

    async def _dial(
        self, record: control.PeerRecord, link_kind: str, deadline: float
    ) -> connections.Connection:
        connection, _ = await connections.dial(
            self._describe_dialer(),
            address=record.address,
            target_id=record.gateway_id,
            link_kind=link_kind,
            deadline=deadline,
        )
        return connection

    def _describe_dialer(self) -> connections.Dialer:
        return connections.Dialer(
            gateway_id=self._gateway_id,
            address=self._address or self.listen(),
            secret=self._secret,
            source=self._source,
        )

    async def _maintain_link(self, record: control.PeerRecord) -> None:
        delay = REDIAL_MIN_SECONDS
        while True:
            try:
                deadline = time.monotonic() + HANDSHAKE_SECONDS
                connection = await self._dial(record, CONTROL, deadline)
            except errors.PeerError as error:
                self._metrics.incr(error.code)
            else:
                if await self._run_link(record, connection):
                    delay = REDIAL_MIN_SECONDS
            await curio.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(delay * 2, REDIAL_MAX_SECONDS)

    async def _maintain_seed_link(self, address: str) -> None:
        """Maintains a link to the gateway at an address, whatever its id."""
        delay = REDIAL_MIN_SECONDS
        while True:
            if any(
                record.address == address and record.link is not None
                for record in self._records.values()
            ):
                delay = REDIAL_MIN_SECONDS
                await curio.sleep(SEED_CHECK_SECONDS)
                continue
            try:
                await self._run_seed_link(address)
            except errors.PeerError as error:
                self._metrics.incr(error.code)
            await curio.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(delay * 2, REDIAL_MAX_SECONDS)

    async def _run_seed_link(self, address: str) -> None:
        connection, gateway_id = await connections.dial(
            self._describe_dialer(),
            address=address,
            target_id="",
            link_kind=CONTROL,
            deadline=time.monotonic() + HANDSHAKE_SECONDS,
        )
        try:
            record = self._get_or_add_record(gateway_id, address)
        except errors.PeerError:
            await connection.close()
            raise
        if record.link is not None:
            await connection.close()
            return
        await self._run_link(record, connection)
        await self._remove_if_unlisted(record)

    def _get_or_add_record(
        self, gateway_id: str, address: str
    ) -> control.PeerRecord:
        """Returns or adds the record of an authenticated peer.

        Raises:
            WrongPeerError: The platform lists the id with another address.
        """
        record = self._records.get(gateway_id)
        if record is None:
            return self._add_record(gateway_id, address, listed=False)
        if record.address != address:
            raise errors.WrongPeerError(
                f"gateway {gateway_id!r} is known at {record.address},"
                f" not at {address}"
            )
        return record

    async def _remove_if_unlisted(self, record: control.PeerRecord) -> None:
        if (
            not record.listed
            and record.link is None
            and self._records.get(record.gateway_id) is record
        ):
            await self._remove_peer(record)

    async def _run_link(
        self,
        record: control.PeerRecord,
        connection: connections.Connection,
    ) -> bool:
        """Runs a link to its end; returns whether a heartbeat was received."""
        link = control.ControlLink(
            connection=connection,
            peer=record,
            state=self._state,
            handlers=self._request_handlers,
            clock=self._clock,
            metrics=self._metrics,
        )
        error = await link.run()
        if error is not None:
            self._metrics.incr(error.code)
        if link.heartbeat_received:
            level = logging.INFO if error is None else logging.WARNING
            logging.log(
                level,
                "control link to %s is down: %s",
                record.gateway_id,
                error or "closed by this gateway",
            )
        else:
            # The listener does not know this gateway yet, or has stopped.
            self._metrics.incr("peer_link_refused")
        return link.heartbeat_received

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
            identify = await connections.authenticate_as_listener(
                connection,
                gateway_id=self._gateway_id,
                secret=self._secret,
                deadline=time.monotonic() + HANDSHAKE_SECONDS,
            )
            if identify.link_kind == CONTROL:
                await self._serve_control(identify, connection)
            else:
                await self._serve_calls(connection)
        except errors.LinkClosedError:
            # Call connections usually end so; `_run_link` counts the errors
            # of control links.
            pass
        except errors.PeerError as error:
            self._metrics.incr(error.code)
        finally:
            self._inbound.discard(await curio.current_task())
            await connection.close()

    async def _serve_control(
        self, identify: messages.Identify, connection: connections.Connection
    ) -> None:
        record = self._get_or_add_record(identify.gateway_id, identify.address)
        if record.link is not None:
            if record.listed and self._gateway_id < record.gateway_id:
                # This gateway is the dialer of the two, and its link is up.
                raise errors.PeerBusyError(
                    f"a control link to {record.gateway_id!r} is already up"
                )
            # The dialer has lost the old link, or it would not dial again.
            await record.link.close()
        await self._run_link(record, connection)
        await self._remove_if_unlisted(record)

    async def _serve_calls(self, connection: connections.Connection) -> None:
        if self._call_handler is None:
            raise errors.PeerBusyError("this gateway has no call handler")
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
