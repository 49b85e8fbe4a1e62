"""Control link between two gateways: heartbeats, loads and requests."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time
from typing import Protocol

from absl import logging
import curio

import banyandale_core as core
from banyandale_peer import _connections as connections
from banyandale_peer import _errors as errors
from banyandale_peer import _messages as messages
from banyandale_peer import _serving as serving

HEARTBEAT_SECONDS = 1.0
# A link that receives no heartbeat for this long is closed and redialled.
HEARTBEAT_TIMEOUT_SECONDS = 2.5
# Least interval between load reports, and least relative change of the
# estimated wait that is reported.
LOAD_REPORT_SECONDS = 0.05
LOAD_CHANGE_RATIO = 0.25
# Smaller changes of the estimated wait affect no decision.
MIN_LOAD_CHANGE_SECONDS = 0.001
# Least interval at which heartbeats carry changed loads, which is how peers
# without a home of the same service get them. With full heartbeats every 0.5 s,
# 15 gateways would spend more than 3 KB/s each.
LOAD_REFRESH_SECONDS = 2.0
MAX_QUEUED_FRAMES = 1024
MAX_HANDLED_REQUESTS = 256
# Weight of a new sample in the smoothed round trip time, as in RFC 6298.
ROUND_TRIP_GAIN = 0.125

# Queue entry that wakes the sender and is not sent.
_WAKE = b""


class NodeState(Protocol):
    """Provides the heartbeat contents of this gateway."""

    def describe(self) -> messages.Heartbeat:
        """Returns the current contents of a heartbeat."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ControlRequest:
    """A request that arrived on a control link.

    Attributes:
        peer_id: Gateway that sent it.
        kind: Kind of request, which selects the handler.
        payload: Contents of the request.
        deadline: Monotonic seconds.
    """

    peer_id: str
    kind: str
    payload: bytes
    deadline: float


RequestHandler = Callable[[ControlRequest], Awaitable[bytes]]


class _Waiter:
    """A request without a reply yet, and its reply."""

    def __init__(self) -> None:
        self.event = curio.Event()
        self.reply: messages.Reply | None = None


class PeerRecord:
    """State of one peer; outlives its control links.

    Attributes:
        gateway_id: Id of the peer.
        address: Advertised peer address of the peer.
        heartbeat: Last heartbeat with contents, with later load reports
            applied.
        last_heartbeat_at: Monotonic seconds of the last heartbeat.
        round_trip: Smoothed round trip time in seconds.
        link: The current control link, or None.
        listed: Whether the platform lists the peer; otherwise it is known
            only from a link.
    """

    def __init__(
        self, *, gateway_id: str, address: str, listed: bool = True
    ) -> None:
        self.gateway_id = gateway_id
        self.address = address
        self.listed = listed
        self.heartbeat: messages.Heartbeat | None = None
        self.last_heartbeat_at = 0.0
        self.round_trip: float | None = None
        self.link: ControlLink | None = None

    def is_suspected(self, now: float) -> bool:
        """Whether the peer may be unreachable.

        A peer without a link is suspected at once, since the link to a
        killed process is reset long before its heartbeats time out.
        """
        return (
            self.link is None
            or not self.link.heartbeat_received
            or now - self.last_heartbeat_at > HEARTBEAT_TIMEOUT_SECONDS
        )

    def add_round_trip(self, sample: float) -> None:
        """Adds a sample in seconds to the smoothed round trip time."""
        if self.round_trip is None:
            self.round_trip = sample
        else:
            self.round_trip += ROUND_TRIP_GAIN * (sample - self.round_trip)

    def apply_loads(self, homes: tuple[messages.HomeReport, ...]) -> None:
        """Applies a load report to the homes of the last heartbeat."""
        if self.heartbeat is None:
            return
        merged = {(home.service, home.zone): home for home in homes}
        self.heartbeat = dataclasses.replace(
            self.heartbeat,
            homes=tuple(
                merged.get((home.service, home.zone), home)
                for home in self.heartbeat.homes
            ),
        )


def differs_significantly(
    old: messages.HomeReport, new: messages.HomeReport
) -> bool:
    """Whether a load differs enough from the last sent one to be sent again."""
    if (old.free_slots == 0) != (new.free_slots == 0):
        return True
    change = abs(new.wait - old.wait)
    threshold = max(old.wait * LOAD_CHANGE_RATIO, MIN_LOAD_CHANGE_SECONDS)
    return change > threshold


class ControlLink:
    """One control connection to a peer.

    Attributes:
        heartbeat_received: Whether a heartbeat with contents arrived on this
            link.
    """

    def __init__(
        self,
        *,
        connection: connections.Connection,
        peer: PeerRecord,
        state: NodeState,
        handlers: dict[str, RequestHandler],
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._connection = connection
        self._peer = peer
        self._state = state
        self._handlers = handlers
        self._clock = clock
        self._metrics = metrics
        self._outgoing = curio.Queue(maxsize=MAX_QUEUED_FRAMES)
        self._waiters: dict[int, _Waiter] = {}
        self._next_id = 0
        self._handler_tasks: set[curio.Task] = set()
        self._closing = curio.Event()
        self._load_report_pending = False
        self._sent_loads: dict[tuple[str, str], messages.HomeReport] = {}
        self._load_report_sent_at = 0.0
        # Last heartbeat contents sent, with later load reports applied.
        self._last_sent: messages.Heartbeat | None = None
        self._next_load_refresh_at = 0.0
        self._echo_us = 0
        self._error: errors.PeerError | None = None
        self.heartbeat_received = False

    async def run(self) -> errors.PeerError | None:
        """Runs the link until it is closed, fails or times out.

        Returns:
            The error that ended the link; None after `close`. It is returned
            and not raised, since curio logs each task that ends with an
            exception as crashed.
        """
        self._peer.link = self
        group = curio.TaskGroup(wait=any)
        try:
            async with group:
                await group.spawn(self._run_until_error, self._receive_all)
                await group.spawn(self._run_until_error, self._send_all)
                await group.spawn(self._closing.wait)
        finally:
            if self._peer.link is self:
                self._peer.link = None
            await self._connection.close()
            for waiter in self._waiters.values():
                await waiter.event.set()
            for task in tuple(self._handler_tasks):
                await task.cancel()
        return self._error

    async def _run_until_error(
        self, loop: Callable[[], Awaitable[None]]
    ) -> None:
        try:
            await loop()
        except errors.PeerError as error:
            self._error = error

    async def close(self) -> None:
        """Ends the link."""
        await self._closing.set()

    async def announce_loads(
        self, homes: tuple[messages.HomeReport, ...]
    ) -> None:
        """Schedules a load report if loads have changed enough.

        The check comes before waking the sender, which costs more, as few
        peers have homes of the same services.
        """
        if self._load_report_pending or self._outgoing.full():
            return
        if self._find_changed_loads(homes):
            self._load_report_pending = True
            await self._outgoing.put(_WAKE)

    def _find_changed_loads(
        self, homes: tuple[messages.HomeReport, ...]
    ) -> tuple[messages.HomeReport, ...]:
        """Returns the changed loads that the peer should receive now.

        The peer applies loads only to homes that it knows. A home gained
        since the last heartbeat with contents is left to the next one.
        """
        if self._peer.heartbeat is None:
            return ()
        interested = {home.service for home in self._peer.heartbeat.homes}
        changed = []
        for home in homes:
            old = self._sent_loads.get((home.service, home.zone))
            if (
                old is not None
                and home.service in interested
                and differs_significantly(old, home)
            ):
                changed.append(home)
        return tuple(changed)

    async def request(
        self, kind: str, payload: bytes, *, deadline: float
    ) -> bytes:
        """Sends a request and returns the payload of its reply.

        Raises:
            PeerTimeoutError: No reply arrived before the deadline.
            LinkClosedError: The link ended before the reply.
            RemoteError: The peer replied with an error.
            FrameTooLargeError: The request is too large.
            PeerBusyError: The queue of outgoing messages is full.
        """
        self._next_id += 1
        request_id = self._next_id
        request = messages.Request(
            id=request_id,
            kind=kind,
            payload=payload,
            deadline_unix_ms=core.deadline_to_unix_ms(deadline, self._clock),
        )
        frame = messages.encode_request(request)
        if len(frame) >= connections.MAX_CONTROL_FRAME_BYTES:
            raise errors.FrameTooLargeError(
                f"the request has {len(frame)} bytes; it must have fewer than"
                f" {connections.MAX_CONTROL_FRAME_BYTES}"
            )
        if self._outgoing.full():
            raise errors.PeerBusyError(
                "the queue of outgoing messages to"
                f" {self._peer.gateway_id} is full"
            )
        waiter = self._waiters[request_id] = _Waiter()
        try:
            async with core.timeout_at(deadline):
                await self._outgoing.put(frame)
                await waiter.event.wait()
        except curio.TaskTimeout as error:
            raise errors.PeerTimeoutError(
                f"no reply to the {kind!r} request before the deadline",
                run=core.RunMark.UNKNOWN,
            ) from error
        finally:
            del self._waiters[request_id]
        reply = waiter.reply
        if reply is None:
            raise errors.LinkClosedError(
                f"control link ended before the reply to the {kind!r} request",
                run=core.RunMark.UNKNOWN,
            )
        if reply.error_code:
            raise errors.RemoteError(reply.error_code, run=reply.run)
        return reply.payload

    async def _send_all(self) -> None:
        heartbeat_at = time.monotonic()
        while True:
            now = time.monotonic()
            if now >= heartbeat_at:
                heartbeat_at = now + HEARTBEAT_SECONDS
                await self._send(self._make_heartbeat())
            report_at = self._load_report_sent_at + LOAD_REPORT_SECONDS
            if self._load_report_pending and now >= report_at:
                self._load_report_pending = False
                self._load_report_sent_at = now
                await self._send_load_report()
            wake_at = heartbeat_at
            if self._load_report_pending:
                wake_at = min(heartbeat_at, report_at)
            try:
                async with core.timeout_at(wake_at):
                    frame = await self._outgoing.get()
            except curio.TaskTimeout:
                continue
            if frame is not _WAKE:
                await self._send(frame)

    async def _send(self, frame: bytes) -> None:
        try:
            async with core.timeout_at(
                time.monotonic() + HEARTBEAT_TIMEOUT_SECONDS
            ):
                await self._connection.send(frame)
        except curio.TaskTimeout as error:
            raise errors.LinkSilentError(
                f"a message could not be sent to {self._peer.gateway_id}"
                f" within {HEARTBEAT_TIMEOUT_SECONDS} s",
                run=core.RunMark.UNKNOWN,
            ) from error

    def _make_heartbeat(self) -> bytes:
        heartbeat: messages.Heartbeat | None = self._state.describe()
        if self._needs_full_heartbeat(heartbeat):
            self._last_sent = heartbeat
            self._next_load_refresh_at = time.monotonic() + LOAD_REFRESH_SECONDS
            self._sent_loads = {
                (home.service, home.zone): home for home in heartbeat.homes
            }
        else:
            heartbeat = None
        now_us = self._now_us()
        delay_us = 0
        if self._echo_us:
            delay_us = now_us - int(
                self._peer.last_heartbeat_at * messages.MICROSECONDS_PER_SECOND
            )
        timed = messages.TimedHeartbeat(
            heartbeat=heartbeat,
            sent_us=now_us,
            echo_us=self._echo_us,
            echo_delay_us=max(delay_us, 0),
        )
        return messages.encode_heartbeat(timed)

    def _needs_full_heartbeat(self, heartbeat: messages.Heartbeat) -> bool:
        """Whether the heartbeat needs contents besides the timestamps."""
        last = self._last_sent
        if last is None or _without_loads(heartbeat) != _without_loads(last):
            return True
        return (
            heartbeat != last and time.monotonic() >= self._next_load_refresh_at
        )

    def _now_us(self) -> int:
        now = self._clock.monotonic()
        return int(now * messages.MICROSECONDS_PER_SECOND)

    async def _send_load_report(self) -> None:
        changed = self._find_changed_loads(self._state.describe().homes)
        if not changed:
            return
        for home in changed:
            self._sent_loads[home.service, home.zone] = home
        if self._last_sent is not None:
            self._last_sent = dataclasses.replace(
                self._last_sent, homes=tuple(self._sent_loads.values())
            )
        report = messages.LoadReport(homes=changed)
        await self._send(messages.encode_load_report(report))

    async def _receive_all(self) -> None:
        heartbeat_deadline = time.monotonic() + HEARTBEAT_TIMEOUT_SECONDS
        while True:
            try:
                async with core.timeout_at(heartbeat_deadline):
                    frame = await self._connection.receive()
            except curio.TaskTimeout as error:
                raise errors.LinkSilentError(
                    f"no heartbeat from {self._peer.gateway_id} within"
                    f" {HEARTBEAT_TIMEOUT_SECONDS} s",
                    run=core.RunMark.UNKNOWN,
                ) from error
            message = messages.decode_packed(frame)
            if isinstance(message, messages.TimedHeartbeat):
                heartbeat_deadline = (
                    time.monotonic() + HEARTBEAT_TIMEOUT_SECONDS
                )
                self._handle_heartbeat(message)
            elif isinstance(message, messages.LoadReport):
                self._peer.apply_loads(message.homes)
            elif isinstance(message, messages.Request):
                await self._start_request_handler(message)
            elif isinstance(message, messages.Reply):
                await self._handle_reply(message)
            else:
                raise errors.FrameError(
                    f"unexpected {type(message).__name__} on a control link"
                )

    def _handle_heartbeat(self, timed: messages.TimedHeartbeat) -> None:
        heartbeat = timed.heartbeat
        if heartbeat is not None:
            self._check_sender(heartbeat)
            self._peer.heartbeat = heartbeat
            if not self.heartbeat_received:
                self.heartbeat_received = True
                self._metrics.incr("peer_link_up")
                logging.info("control link to %s is up", self._peer.gateway_id)
        elif not self.heartbeat_received:
            raise errors.FrameError("the first heartbeat has no contents")
        self._peer.last_heartbeat_at = self._clock.monotonic()
        self._echo_us = timed.sent_us
        if timed.echo_us:
            trip_us = self._now_us() - timed.echo_us - timed.echo_delay_us
            self._peer.add_round_trip(
                max(trip_us, 0) / messages.MICROSECONDS_PER_SECOND
            )

    def _check_sender(self, heartbeat: messages.Heartbeat) -> None:
        if heartbeat.gateway_id != self._peer.gateway_id:
            raise errors.WrongPeerError(
                f"received a heartbeat from {heartbeat.gateway_id} on the link"
                f" to {self._peer.gateway_id}"
            )

    async def _handle_reply(self, reply: messages.Reply) -> None:
        waiter = self._waiters.get(reply.id)
        if waiter is None:
            self._metrics.incr("peer_reply_late")
            return
        waiter.reply = reply
        await waiter.event.set()

    async def _start_request_handler(self, request: messages.Request) -> None:
        if len(self._handler_tasks) >= MAX_HANDLED_REQUESTS:
            await self._reply(
                request.id,
                error_code=errors.PeerBusyError.code,
                run=core.RunMark.NOT_RUN,
            )
            return
        task = await curio.spawn(self._handle, request, daemon=True)
        if not task.terminated:
            self._handler_tasks.add(task)

    async def _handle(self, request: messages.Request) -> None:
        try:
            await self._handle_request(request)
        finally:
            self._handler_tasks.discard(await curio.current_task())

    async def _handle_request(self, request: messages.Request) -> None:
        handler = self._handlers.get(request.kind)
        if handler is None:
            await self._reply(
                request.id,
                error_code="peer_request_unknown",
                run=core.RunMark.NOT_RUN,
            )
            return
        deadline = core.deadline_from_unix_ms(
            request.deadline_unix_ms, self._clock
        )
        arrived = ControlRequest(
            peer_id=self._peer.gateway_id,
            kind=request.kind,
            payload=request.payload,
            deadline=deadline,
        )
        try:
            async with core.timeout_at(deadline):
                payload = await handler(arrived)
        except curio.TaskTimeout:
            # The sender's deadline has passed too, so it needs no reply.
            self._metrics.incr("peer_request_deadline_exceeded")
        except Exception as error:
            code, run = serving.describe_error(error)
            await self._reply(request.id, error_code=code, run=run)
        else:
            await self._reply(request.id, payload=payload)

    async def _reply(
        self,
        request_id: int,
        *,
        payload: bytes = b"",
        error_code: str = "",
        run: core.RunMark = core.RunMark.UNKNOWN,
    ) -> None:
        reply = messages.Reply(
            id=request_id, payload=payload, error_code=error_code, run=run
        )
        frame = messages.encode_reply(reply)
        if len(frame) >= connections.MAX_CONTROL_FRAME_BYTES:
            frame = messages.encode_reply(
                messages.Reply(
                    id=request_id,
                    payload=b"",
                    error_code=errors.FrameTooLargeError.code,
                    run=core.RunMark.UNKNOWN,
                )
            )
        await self._outgoing.put(frame)


def _without_loads(heartbeat: messages.Heartbeat) -> messages.Heartbeat:
    homes = tuple(
        messages.HomeReport(service=home.service, zone=home.zone)
        for home in heartbeat.homes
    )
    return dataclasses.replace(heartbeat, homes=homes)
