"""Dialer side of call connections, which carry one call at a time."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import itertools
import time
from typing import Any

import curio

import banyandale_core as core
from banyandale_peer import _connections as connections
from banyandale_peer import _errors as errors
from banyandale_peer import _messages as messages

CHUNK_BYTES = 65536
# The listener sends `accepted` before it starts the call, so a missing
# `accepted` means an unresponsive connection and not a slow call.
ACCEPT_SECONDS = 0.5
CONNECT_SECONDS = 1.0
# A connection on which nothing was received for longer is pinged before use.
PING_AFTER_IDLE_SECONDS = 1.0
PING_SECONDS = 0.25
MAX_IDLE_SECONDS = 30.0
MAX_IDLE_CONNECTIONS = 64
MAX_CONNECTIONS = 512
# Error code that the listener sends when a call exceeds its deadline.
DEADLINE_EXCEEDED = "deadline_exceeded"

UNKNOWN = core.RunMark.UNKNOWN
NOT_RUN = core.RunMark.NOT_RUN

_call_ids = itertools.count(1)


class CallConnection:
    """One connection to a peer that carries one call at a time.

    Attributes:
        last_received_at: Monotonic seconds when the connection was opened,
            or last received a pong or a complete answer.
    """

    def __init__(
        self, *, connection: connections.Connection, clock: core.Clock
    ) -> None:
        self._connection = connection
        self._clock = clock
        self._call_id = 0
        self._request_sent = False
        self.last_received_at = time.monotonic()

    def is_reusable(self) -> bool:
        """Whether the connection is open and has no unread data."""
        return self._connection.is_idle()

    async def ping(self, *, deadline: float) -> bool:
        """Returns whether the peer answers before the deadline."""
        try:
            async with core.timeout_at(deadline):
                await self._connection.send(messages.PING)
                answered = await self._connection.receive() == messages.PONG
        except (errors.PeerError, curio.TaskTimeout):
            return False
        self.last_received_at = time.monotonic()
        return answered

    async def send_call(
        self, request: messages.CallRequest
    ) -> messages.AnswerHead:
        """Sends a call and returns the head of its answer.

        Raises:
            LinkSilentError: The peer did not accept the call in time.
            PeerTimeoutError: No answer arrived before the deadline.
            LinkClosedError: The connection failed.
            RemoteError: The peer answered with an error.
        """
        self._call_id = next(_call_ids)
        self._request_sent = False
        try:
            async with core.timeout_at(request.deadline):
                await self._send_request(request)
                await self._read_accepted(request.deadline)
                head = await self.read_message()
        except curio.TaskTimeout as error:
            raise errors.PeerTimeoutError(
                "no answer before the deadline", run=self._run_mark()
            ) from error
        except errors.LinkClosedError as error:
            raise errors.LinkClosedError(
                str(error), run=self._run_mark()
            ) from error
        if not isinstance(head, messages.AnswerHead):
            raise errors.FrameError(
                f"expected an AnswerHead, received {type(head).__name__}",
                run=UNKNOWN,
            )
        self._check_id(head.id)
        return head

    def _run_mark(self) -> core.RunMark:
        # The peer starts a call only after the last chunk of its body.
        return UNKNOWN if self._request_sent else NOT_RUN

    def _check_id(self, call_id: int) -> None:
        if call_id != self._call_id:
            raise errors.FrameError(
                f"received the answer to call {call_id} instead of call"
                f" {self._call_id}",
                run=UNKNOWN,
            )

    async def _send_request(self, request: messages.CallRequest) -> None:
        body = request.body
        first = body[:CHUNK_BYTES]
        whole = len(first) == len(body)
        if not whole:
            request = dataclasses.replace(request, body=first)
        head = messages.CallHead(
            id=self._call_id,
            request=request,
            deadline_unix_ms=core.deadline_to_unix_ms(
                request.deadline, self._clock
            ),
            last=whole,
        )
        self._request_sent = whole
        await self._connection.send(messages.encode_call_head(head))
        for start in range(len(first), len(body), CHUNK_BYTES):
            end = start + CHUNK_BYTES
            self._request_sent = end >= len(body)
            await self._connection.send(
                messages.encode_body_chunk(
                    body[start:end], last=self._request_sent
                )
            )

    async def _read_accepted(self, deadline: float) -> None:
        wait = time.monotonic() + ACCEPT_SECONDS
        try:
            async with core.timeout_at(min(wait, deadline)):
                frame = await self._connection.receive()
        except curio.TaskTimeout as error:
            raise errors.LinkSilentError(
                "the peer did not accept the call in time", run=self._run_mark()
            ) from error
        if frame != messages.ACCEPTED:
            self._raise_if_call_error(messages.decode(frame))
            raise errors.FrameError(
                "expected ACCEPTED, received another message",
                run=UNKNOWN,
            )

    async def read_message(self) -> Any:
        """Returns the next message of the answer.

        Raises:
            PeerTimeoutError: The deadline of the call passed at the peer.
            RemoteError: The peer answered with another error.
            FrameError: The message cannot be decoded.
            LinkClosedError: The connection failed.
        """
        frame = await self._connection.receive()
        try:
            message = messages.decode(frame)
        except errors.FrameError as error:
            raise errors.FrameError(str(error), run=UNKNOWN) from error
        self._raise_if_call_error(message)
        return message

    def _raise_if_call_error(self, message: Any) -> None:
        if isinstance(message, messages.CallError):
            self._check_id(message.id)
            if message.code == DEADLINE_EXCEEDED:
                raise errors.PeerTimeoutError(
                    "the deadline of the call passed at the peer",
                    run=message.run,
                )
            raise errors.RemoteError(message.code, run=message.run)

    def check_end(self, end: messages.AnswerEnd, size: int) -> None:
        """Checks that the answer end has this call's id and body length."""
        self._check_id(end.id)
        if end.body_bytes != size:
            raise errors.FrameError(
                f"received {size} body bytes instead of {end.body_bytes}",
                run=UNKNOWN,
            )

    async def close(self) -> None:
        """Closes the connection, which cancels a call in progress."""
        await self._connection.close()


class CallPool:
    """Pool of call connections to one peer; reuses the newest first."""

    def __init__(
        self,
        *,
        dial: Callable[[float], Awaitable[connections.Connection]],
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._dial = dial
        self._clock = clock
        self._metrics = metrics
        self._idle: collections.deque[CallConnection] = collections.deque()
        self._open_count = 0
        self._closed = False

    async def acquire(self, *, deadline: float) -> CallConnection:
        """Returns an idle connection that works, or opens a new one.

        Raises:
            PeerBusyError: Too many connections are in use.
            PeerUnreachableError: No connection could be opened.
            AuthenticationError: The listener does not have the shared secret.
        """
        while self._idle:
            connection = self._idle.pop()
            usable = False
            try:
                usable = await self._is_usable(connection, deadline)
            finally:
                if not usable:
                    await self.discard(connection)
            if usable:
                return connection
        if self._open_count >= MAX_CONNECTIONS:
            raise errors.PeerBusyError(
                f"all {MAX_CONNECTIONS} call connections to the peer are in use"
            )
        self._open_count += 1
        try:
            limit = time.monotonic() + CONNECT_SECONDS
            connection = await self._dial(min(limit, deadline))
        except BaseException:
            self._open_count -= 1
            raise
        return CallConnection(connection=connection, clock=self._clock)

    async def _is_usable(
        self, connection: CallConnection, deadline: float
    ) -> bool:
        if not connection.is_reusable():
            return False
        now = time.monotonic()
        if connection.last_received_at >= now - PING_AFTER_IDLE_SECONDS:
            return True
        if connection.last_received_at < now - MAX_IDLE_SECONDS:
            return False
        if await connection.ping(deadline=min(now + PING_SECONDS, deadline)):
            return True
        # The other idle connections are older and use the same network path,
        # so they are probably unresponsive too.
        self._metrics.incr("peer_idle_connection_silent")
        await self.clear()
        return False

    async def release(self, connection: CallConnection) -> None:
        """Returns a connection to the pool after a complete answer."""
        connection.last_received_at = time.monotonic()
        full = len(self._idle) >= MAX_IDLE_CONNECTIONS
        if self._closed or full or not connection.is_reusable():
            await self.discard(connection)
            return
        self._idle.append(connection)
        oldest = self._idle[0]
        if oldest.last_received_at < time.monotonic() - MAX_IDLE_SECONDS:
            self._idle.popleft()
            await self.discard(oldest)

    async def discard(self, connection: CallConnection) -> None:
        """Closes a connection that cannot carry another call."""
        self._open_count -= 1
        await connection.close()

    async def clear(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            await self.discard(self._idle.pop())

    async def close(self) -> None:
        """Closes idle connections now, and those in use after their call."""
        self._closed = True
        await self.clear()


class AnswerReader:
    """Reads the body of an answer; implements `ChunkReader`."""

    def __init__(
        self,
        *,
        connection: CallConnection,
        pool: CallPool,
        first: bytes,
        deadline: float,
    ) -> None:
        self._connection: CallConnection | None = connection
        self._pool = pool
        self._first = first
        self._size = len(first)
        self._deadline = deadline
        self._complete = False

    async def read(self) -> bytes:
        """Returns the next chunk; b"" once the body is complete.

        Raises:
            PeerTimeoutError: The deadline of the call passed.
            LinkClosedError: The connection ended before the body was complete.
            RemoteError: The peer could not send the whole body.
        """
        if self._first:
            first, self._first = self._first, b""
            return first
        if self._complete:
            return b""
        if self._connection is None:
            raise errors.LinkClosedError(
                "the answer was closed before its body was complete",
                run=UNKNOWN,
            )
        try:
            async with core.timeout_at(self._deadline):
                message = await self._connection.read_message()
            return await self._process_message(message)
        except curio.TaskTimeout as error:
            await self.close()
            raise errors.PeerTimeoutError(
                "the body of the answer was not complete before the deadline",
                run=UNKNOWN,
            ) from error
        except errors.RemoteError as error:
            # The call has run, whatever error interrupted its body.
            await self.close()
            raise errors.RemoteError(error.remote_code, run=UNKNOWN) from error
        except BaseException:
            await self.close()
            raise

    async def _process_message(self, message: Any) -> bytes:
        if isinstance(message, messages.BodyChunk):
            self._size += len(message.data)
            return message.data
        if not isinstance(message, messages.AnswerEnd):
            raise errors.FrameError(
                "expected a BodyChunk or an AnswerEnd, received"
                f" {type(message).__name__}",
                run=UNKNOWN,
            )
        self._connection.check_end(message, self._size)
        connection, self._connection = self._connection, None
        self._complete = True
        await self._pool.release(connection)
        return b""

    async def close(self) -> None:
        """Cancels the call unless the whole body was read."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await self._pool.discard(connection)


async def send_call(
    pool: CallPool, request: messages.CallRequest
) -> messages.CallAnswer:
    """Sends a call on a connection of the pool.

    Raises:
        PeerError: The call failed; `run` says whether it may have run.
    """
    connection = await pool.acquire(deadline=request.deadline)
    try:
        head = await connection.send_call(request)
    except errors.LinkSilentError:
        await pool.discard(connection)
        await pool.clear()
        raise
    except errors.RemoteError:
        await pool.release(connection)
        raise
    except BaseException:
        await pool.discard(connection)
        raise
    if head.last:
        await pool.release(connection)
        return messages.CallAnswer(
            status=head.status,
            headers=head.headers,
            length=len(head.body),
            body=head.body,
        )
    reader = AnswerReader(
        connection=connection,
        pool=pool,
        first=head.body,
        deadline=request.deadline,
    )
    return messages.CallAnswer(
        status=head.status,
        headers=head.headers,
        length=head.length,
        body=None,
        chunks=reader,
    )
