"""Control link between two gateways: heartbeats, loads, small requests."""

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
# A link without a heartbeat for this long is closed and dialled again.
SILENCE_SECONDS = 2.5
# Load reports are sent at most this often, and only for a change of the
# estimated wait by more than this ratio.
LOAD_REPORT_SECONDS = 0.05
LOAD_CHANGE_RATIO = 0.25
# Changes of the estimated wait below this do not matter to any decision.
LOAD_CHANGE_FLOOR_SECONDS = 0.001
# Peers without a home of the same service get loads this often only: in full
# heartbeats every 0.5 s, 15 gateways would spend more than 3 KB/s each.
LOADS_SECONDS = 2.0
MAX_QUEUED_FRAMES = 1024
MAX_HANDLED_REQUESTS = 256
# Weight of a new round trip sample, as for TCP (RFC 6298).
ROUND_TRIP_GAIN = 0.125

# A frame that only wakes the sender.
_WAKE = b""


class NodeState(Protocol):
    """Source of what the heartbeats of this gateway say."""

    def describe(self) -> messages.Heartbeat:
        """Returns the current contents of a heartbeat."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ControlRequest:
    """A request that arrived on a control link.

    Attributes:
        peer_id: Gateway that sent it.
        kind: Which handler it is for.
        payload: Contents.
        deadline: Monotonic seconds.
    """

    peer_id: str
    kind: str
    payload: bytes
    deadline: float


RequestHandler = Callable[[ControlRequest], Awaitable[bytes]]


class _Waiter:
    """A request that waits for its reply."""

    def __init__(self) -> None:
        self.event = curio.Event()
        self.reply: messages.Reply | None = None


class PeerRecord:
    """What is known about one peer; outlives its control links.

    Attributes:
        gateway_id: Its id.
        address: Its advertised peer address.
        heartbeat: Last heartbeat, with later load reports applied.
        heard_at: Monotonic seconds of the last heartbeat.
        round_trip: Smoothed round trip time in seconds.
        link: The control link while there is one.
        listed: Whether the platform lists it, rather than only a link.
    """

    def __init__(
        self, *, gateway_id: str, address: str, listed: bool = True
    ) -> None:
        self.gateway_id = gateway_id
        self.address = address
        self.listed = listed
        self.heartbeat: messages.Heartbeat | None = None
        self.heard_at = 0.0
        self.round_trip: float | None = None
        self.link: ControlLink | None = None

    def is_suspected(self, now: float) -> bool:
        """Whether the peer may be unreachable.

        A lost link counts at once, since a killed process resets it long
        before its heartbeats are missed.
        """
        return (
            self.link is None
            or not self.link.heard
            or now - self.heard_at > SILENCE_SECONDS
        )

    def add_round_trip(self, sample: float) -> None:
        """Adds a sample in seconds to the smoothed round trip time."""
        if self.round_trip is None:
            self.round_trip = sample
        else:
            self.round_trip += ROUND_TRIP_GAIN * (sample - self.round_trip)

    def apply_loads(self, homes: tuple[messages.HomeReport, ...]) -> None:
        """Replaces the loads of the homes that a load report names."""
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


def has_changed(old: messages.HomeReport, new: messages.HomeReport) -> bool:
    """Whether a load differs enough from the last sent one to be sent."""
    if (old.free_slots == 0) != (new.free_slots == 0):
        return True
    change = abs(new.wait - old.wait)
    threshold = max(old.wait * LOAD_CHANGE_RATIO, LOAD_CHANGE_FLOOR_SECONDS)
    return change > threshold


class ControlLink:
    """One control connection.

    Attributes:
        heard: Whether a heartbeat arrived on this link.
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
        self._handling: set[curio.Task] = set()
        self._closing = curio.Event()
        self._announced = False
        self._reported: dict[tuple[str, str], messages.HomeReport] = {}
        self._reported_at = 0.0
        # Contents that the peer has, unless a load report changed them.
        self._last_sent: messages.Heartbeat | None = None
        self._loads_due_at = 0.0
        self._echo_us = 0
        self._error: errors.PeerError | None = None
        self.heard = False

    async def run(self) -> errors.PeerError | None:
        """Runs the link until it is closed, fails or falls silent.

        Returns:
            Why the link ended; None after `close`. It is a value, since
            curio logs every task that ends with an exception as crashed.
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
            for task in tuple(self._handling):
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
        """Sends a load report soon if loads have changed enough.

        Waking the sender costs more than this check, and few peers have
        homes of the same services.
        """
        if self._announced or self._outgoing.full():
            return
        if self._find_changes(homes):
            self._announced = True
            await self._outgoing.put(_WAKE)

    def _find_changes(
        self, homes: tuple[messages.HomeReport, ...]
    ) -> tuple[messages.HomeReport, ...]:
        """Returns the loads that the peer needs to know now.

        The peer takes loads only of homes that it knows. One that was gained
        since the last full heartbeat is told by the next.
        """
        if self._peer.heartbeat is None:
            return ()
        interested = {home.service for home in self._peer.heartbeat.homes}
        changed = []
        for home in homes:
            old = self._reported.get((home.service, home.zone))
            if (
                old is not None
                and home.service in interested
                and has_changed(old, home)
            ):
                changed.append(home)
        return tuple(changed)

    async def request(
        self, kind: str, payload: bytes, *, deadline: float
    ) -> bytes:
        """Sends a request and returns the payload of its reply.

        Raises:
            PeerTimeoutError: No reply before the deadline.
            LinkClosedError: The link ended first.
            RemoteError: The handler failed.
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
            raise errors.FrameTooLargeError(f"request of {len(frame)} bytes")
        if self._outgoing.full():
            raise errors.PeerBusyError("too many messages wait for this peer")
        waiter = self._waiters[request_id] = _Waiter()
        try:
            async with core.timeout_at(deadline):
                await self._outgoing.put(frame)
                await waiter.event.wait()
        except curio.TaskTimeout as error:
            raise errors.PeerTimeoutError(
                f"no reply to {kind!r} in time", run=core.RunMark.UNKNOWN
            ) from error
        finally:
            del self._waiters[request_id]
        reply = waiter.reply
        if reply is None:
            raise errors.LinkClosedError(
                f"link ended before the reply to {kind!r}",
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
            report_at = self._reported_at + LOAD_REPORT_SECONDS
            if self._announced and now >= report_at:
                self._announced = False
                self._reported_at = now
                await self._send_load_change()
            wake_at = heartbeat_at
            if self._announced:
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
            async with core.timeout_at(time.monotonic() + SILENCE_SECONDS):
                await self._connection.send(frame)
        except curio.TaskTimeout as error:
            raise errors.LinkSilentError(
                "the peer takes no data", run=core.RunMark.UNKNOWN
            ) from error

    def _make_heartbeat(self) -> bytes:
        heartbeat: messages.Heartbeat | None = self._state.describe()
        if self._needs_full_heartbeat(heartbeat):
            self._last_sent = heartbeat
            self._loads_due_at = time.monotonic() + LOADS_SECONDS
            self._reported = {
                (home.service, home.zone): home for home in heartbeat.homes
            }
        else:
            heartbeat = None
        now_us = self._now_us()
        delay_us = 0
        if self._echo_us:
            delay_us = now_us - int(
                self._peer.heard_at * messages.MICROSECONDS_PER_SECOND
            )
        timed = messages.TimedHeartbeat(
            heartbeat=heartbeat,
            sent_us=now_us,
            echo_us=self._echo_us,
            echo_delay_us=max(delay_us, 0),
        )
        return messages.encode_heartbeat(timed)

    def _needs_full_heartbeat(self, heartbeat: messages.Heartbeat) -> bool:
        """Whether more than the times has to be sent."""
        last = self._last_sent
        if last is None or _without_loads(heartbeat) != _without_loads(last):
            return True
        return heartbeat != last and time.monotonic() >= self._loads_due_at

    def _now_us(self) -> int:
        now = self._clock.monotonic()
        return int(now * messages.MICROSECONDS_PER_SECOND)

    async def _send_load_change(self) -> None:
        changed = self._find_changes(self._state.describe().homes)
        if not changed:
            return
        for home in changed:
            self._reported[home.service, home.zone] = home
        if self._last_sent is not None:
            self._last_sent = dataclasses.replace(
                self._last_sent, homes=tuple(self._reported.values())
            )
        change = messages.LoadChange(homes=changed)
        await self._send(messages.encode_load_change(change))

    async def _receive_all(self) -> None:
        silent_at = time.monotonic() + SILENCE_SECONDS
        while True:
            try:
                async with core.timeout_at(silent_at):
                    frame = await self._connection.receive()
            except curio.TaskTimeout as error:
                raise errors.LinkSilentError(
                    f"no heartbeat of {self._peer.gateway_id}",
                    run=core.RunMark.UNKNOWN,
                ) from error
            message = messages.decode_packed(frame)
            if isinstance(message, messages.TimedHeartbeat):
                silent_at = time.monotonic() + SILENCE_SECONDS
                self._take_heartbeat(message)
            elif isinstance(message, messages.LoadChange):
                self._peer.apply_loads(message.homes)
            elif isinstance(message, messages.Request):
                await self._start_handler(message)
            elif isinstance(message, messages.Reply):
                await self._take_reply(message)
            else:
                raise errors.FrameError(f"unexpected {type(message).__name__}")

    def _take_heartbeat(self, timed: messages.TimedHeartbeat) -> None:
        heartbeat = timed.heartbeat
        if heartbeat is not None:
            self._check_sender(heartbeat)
            self._peer.heartbeat = heartbeat
            if not self.heard:
                self.heard = True
                self._metrics.incr("peer_link_up")
                logging.info("control link to %s is up", self._peer.gateway_id)
        elif not self.heard:
            raise errors.FrameError("the first heartbeat has no contents")
        self._peer.heard_at = self._clock.monotonic()
        self._echo_us = timed.sent_us
        if timed.echo_us:
            trip_us = self._now_us() - timed.echo_us - timed.echo_delay_us
            self._peer.add_round_trip(
                max(trip_us, 0) / messages.MICROSECONDS_PER_SECOND
            )

    def _check_sender(self, heartbeat: messages.Heartbeat) -> None:
        if heartbeat.gateway_id != self._peer.gateway_id:
            raise errors.WrongPeerError(
                f"heartbeat of {heartbeat.gateway_id} on the link of"
                f" {self._peer.gateway_id}"
            )

    async def _take_reply(self, reply: messages.Reply) -> None:
        waiter = self._waiters.get(reply.id)
        if waiter is None:
            self._metrics.incr("peer_reply_late")
            return
        waiter.reply = reply
        await waiter.event.set()

    async def _start_handler(self, request: messages.Request) -> None:
        if len(self._handling) >= MAX_HANDLED_REQUESTS:
            await self._reply(
                request.id,
                error_code=errors.PeerBusyError.code,
                run=core.RunMark.NOT_RUN,
            )
            return
        task = await curio.spawn(self._handle, request, daemon=True)
        if not task.terminated:
            self._handling.add(task)

    async def _handle(self, request: messages.Request) -> None:
        try:
            await self._handle_request(request)
        finally:
            self._handling.discard(await curio.current_task())

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
            # The requester has given up too and needs no reply.
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
