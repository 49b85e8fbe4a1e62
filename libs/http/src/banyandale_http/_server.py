"""Server side of one HTTP/1.1 connection."""

import collections
import socket
import struct
import time

import curio
from curio import traps
import curio.io
import h11

import banyandale_core as core
from banyandale_http import _errors as errors
from banyandale_http import _messages as messages
from banyandale_http import _sockets as sockets
from banyandale_http import _turns as turns

RECEIVE_BYTES = 65536
MAX_HEAD_BYTES = 65536
# Bytes of framing per byte of content in chunks of one byte without extension.
MAX_FRAMING_PER_BYTE = len(b"1\r\n\r\n")
# Timeout of sending to a caller. A caller that does not read its response would
# otherwise hold a slot of a backend server.
SEND_TIMEOUT_SECONDS = 10.0
# Longest wait for more data of a request that has begun. `read_request` has
# deadlines besides.
RECEIVE_TIMEOUT_SECONDS = 5.0
# Interval of checks whether a caller with unread bytes has disconnected.
PIPELINE_POLL_SECONDS = 0.2
# After a response that ends the connection, what the caller still sends is
# read and dropped for this time, and on while parts of the response are not
# delivered, up to the timeout of sending. Closing a socket with unread bytes
# resets the connection, and the caller then loses the rest of the response.
LINGER_SECONDS = 1.0
# Pause between these reads, so that a caller that sends without end takes
# little time from the others.
LINGER_PAUSE_SECONDS = 0.01
# The connections of this side share their turns.
TURN_QUEUE = turns.TurnQueue()


class ServerConnection:
    """One connection from a caller: reads requests and sends responses.

    Further requests may be read before the earlier ones are answered. Responses
    are sent in the order of the requests.

    Attributes:
        used_at: Monotonic seconds when the connection was opened, or last
            received the head of a request or sent data.
        arrived_at: Monotonic seconds when the last request that was read had
            arrived.
        caller_left: Whether reading has found the connection closed.
    """

    def __init__(
        self, *, sock: curio.io.Socket, max_head_bytes: int = MAX_HEAD_BYTES
    ) -> None:
        """Wraps an accepted socket.

        Args:
            sock: The socket, which the connection closes.
            max_head_bytes: Largest request line with headers, in bytes.
        """
        sockets.set_options(sock)
        self._sock = sock
        self._max_head_bytes = max_head_bytes
        # Parses the next request. Each request has an h11 connection of its
        # own, since h11 parses none before the previous one is answered.
        self._http = self._make_parser()
        # Requests that were read and not answered, oldest first.
        self._unanswered: collections.deque[h11.Connection] = (
            collections.deque()
        )
        # Those of them whose method is HEAD.
        self._head_requests: set[h11.Connection] = set()
        self._turns = turns.Turns(queue=TURN_QUEUE)
        self._received_at = time.monotonic()
        self._received_bytes = 0
        # Whether the last request that is read ends the connection, whether no
        # request may follow the last one that was read, and whether the
        # response that ends the connection was sent.
        self._closing = False
        self._is_final = False
        self._ended = False
        # Whether bytes of a response are being sent, and whether nothing can
        # be sent any more.
        self._writing = False
        self._broken = False
        # Set when an interim response that waits for its turn may be due.
        self._progress: curio.Event | None = None
        self.used_at = self._received_at
        self.arrived_at = self._received_at
        self.caller_left = False

    def _make_parser(self) -> h11.Connection:
        return h11.Connection(
            our_role=h11.SERVER, max_incomplete_event_size=self._max_head_bytes
        )

    async def read_request(
        self,
        *,
        limit: int,
        idle_deadline: float,
        head_seconds: float | None = None,
    ) -> messages.Request | None:
        """Reads the next request.

        Args:
            limit: Largest body in bytes.
            idle_deadline: Monotonic seconds by which the whole request must
                have arrived; with `head_seconds` only its first byte.
            head_seconds: Timeout of the head from its first byte. The body
                then has no deadline, only a limit on pauses.

        Returns:
            The request, or None when the caller closed the connection or
            sent nothing in time, or when no further request is read because a
            response has ended the connection.

        Raises:
            MalformedRequestError: The request is not valid HTTP.
            RequestTooLargeError: The body is larger than `limit`, or its
                chunk extensions are.
            RequestTimeoutError: The head or the body took too long.
            CallerGoneError: An interim response could not be sent.
        """
        if not self._prepare_for_next_request():
            return None
        try:
            if head_seconds is None:
                request = await self._read_until(limit, idle_deadline)
            else:
                request = await self._read_with_head_timeout(
                    limit, idle_deadline, head_seconds
                )
        except errors.MalformedRequestError:
            self._unanswered.append(self._http)
            self._closing = self._is_final = True
            raise
        if request is None or self._ended:
            return None
        self._unanswered.append(self._http)
        self.arrived_at = self._received_at
        if self._http.their_state is not h11.DONE:
            # The caller asked to close the connection or to change the
            # protocol, or speaks HTTP/1.0.
            self._closing = self._is_final = True
        return request

    def _prepare_for_next_request(self) -> bool:
        """Returns whether another request may be read."""
        if self._ended or self._is_final:
            return False
        if self._closing and self._unanswered:
            return False
        if self._http.their_state is h11.DONE:
            trailing, at_end = self._http.trailing_data
            self._http = self._make_parser()
            if trailing:
                self._http.receive_data(trailing)
            if at_end:
                self._receive_data(b"")
        return True

    def _receive_data(self, data: bytes) -> None:
        self._received_at = time.monotonic()
        self._received_bytes += len(data)
        if not data:
            self.caller_left = True
        self._http.receive_data(data)

    async def _read_until(
        self, limit: int, deadline: float
    ) -> messages.Request | None:
        try:
            async with core.timeout_at(deadline):
                return await self._read_request(limit)
        except curio.TaskTimeout:
            return None
        except OSError:
            self.caller_left = True
            return None
        except h11.RemoteProtocolError as error:
            raise errors.MalformedRequestError(
                str(error), status=error.error_status_hint
            ) from error

    async def _read_with_head_timeout(
        self, limit: int, idle_deadline: float, head_seconds: float
    ) -> messages.Request | None:
        try:
            if not self._http.trailing_data[0]:
                async with core.timeout_at(idle_deadline):
                    data = await self._sock.recv(RECEIVE_BYTES)
                self._receive_data(data)
        except curio.TaskTimeout:
            return None
        except OSError:
            self.caller_left = True
            return None
        head_deadline = time.monotonic() + head_seconds
        try:
            async with core.timeout_at(head_deadline):
                head = await self._next_event()
            return await self._read_rest(head, limit)
        except (TimeoutError, curio.TaskTimeout) as error:
            raise errors.RequestTimeoutError(
                "the request did not arrive in time"
            ) from error
        except OSError:
            self.caller_left = True
            return None
        except h11.RemoteProtocolError as error:
            if self._http.trailing_data[1]:
                # The caller disconnected before its request was complete.
                return None
            raise errors.MalformedRequestError(
                str(error), status=error.error_status_hint
            ) from error

    async def _read_request(self, limit: int) -> messages.Request | None:
        return await self._read_rest(await self._next_event(), limit)

    async def _read_rest(
        self, head: h11.Event, limit: int
    ) -> messages.Request | None:
        self.used_at = time.monotonic()
        if not isinstance(head, h11.Request):
            return None
        if head.method == b"HEAD":
            self._head_requests.add(self._http)
        body = bytearray()
        # Received bytes that are neither content nor its plain framing: chunk
        # extensions, and up to a full buffer of the requests behind.
        excess_limit = limit + RECEIVE_BYTES + self._max_head_bytes
        start = self._received_bytes
        if self._http.they_are_waiting_for_100_continue:
            await self._wait_for_earlier_responses()
            if self._ended or self._broken:
                return None
            event = h11.InformationalResponse(status_code=100, headers=[])
            await self._send_bytes(self._http.send(event) or b"")
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
            if len(body) > limit:
                raise errors.RequestTooLargeError(
                    f"request body exceeds {limit} bytes"
                )
            plain = len(body) * (1 + MAX_FRAMING_PER_BYTE)
            if self._received_bytes - start - plain > excess_limit:
                raise errors.RequestTooLargeError(
                    f"chunk extensions exceed {limit} bytes"
                )
        return messages.Request(
            method=head.method,
            target=head.target,
            headers=messages.strip_connection_headers(head.headers),
            body=bytes(body),
        )

    async def _wait_for_earlier_responses(self) -> None:
        """Returns once all are written whole or the connection has ended."""
        while (self._unanswered or self._writing) and not (
            self._ended or self._broken
        ):
            self._progress = curio.Event()
            await self._progress.wait()
        self._progress = None

    async def _note_progress(self) -> None:
        if self._progress is not None:
            await self._progress.set()

    async def _next_event(self) -> h11.Event:
        await self._turns.count()
        while (event := self._http.next_event()) is h11.NEED_DATA:
            self._receive_data(await self._receive())
            await self._turns.count()
        return event

    async def _receive(self) -> bytes:
        in_head = bool(self._http.trailing_data[0])
        if not in_head and self._http.their_state is not h11.SEND_BODY:
            return await self._sock.recv(RECEIVE_BYTES)
        try:
            return await sockets.receive(
                self._sock,
                limit=RECEIVE_BYTES,
                deadline=time.monotonic() + RECEIVE_TIMEOUT_SECONDS,
            )
        except curio.TaskTimeout as error:
            # Another type, since curio raises UncaughtTimeoutError where a
            # TaskTimeout passes an outer timeout.
            raise TimeoutError(
                f"no data from the caller for {RECEIVE_TIMEOUT_SECONDS} s"
            ) from error

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow on this connection."""
        return not (self._closing or self._ended or self._is_sending)

    @property
    def _is_sending(self) -> bool:
        """Whether a response is incomplete."""
        return bool(self._unanswered) and (
            self._unanswered[0].our_state is h11.SEND_BODY
        )

    @property
    def _answers_head(self) -> bool:
        """Whether the oldest unanswered request has the method HEAD."""
        return bool(self._unanswered) and (
            self._unanswered[0] in self._head_requests
        )

    def close_after_response(self) -> None:
        """Ends the connection with the next response.

        If requests are unanswered, no more are read, and the response to the
        last of them has `Connection: close`.
        """
        self._closing = True

    async def wait_for_caller_disconnect(self) -> None:
        """Returns once the caller has closed its connection.

        Does not return while bytes of the caller are unread.
        """
        while True:
            byte = sockets.peek(self._sock)
            if byte == b"":
                return
            if byte is None:
                await traps._read_wait(self._sock._fileno)
            else:
                # A pipelined request is unread, so the socket stays readable
                # whether or not the caller disconnects.
                await curio.sleep(PIPELINE_POLL_SECONDS)

    def has_caller_disconnected(self) -> bool:
        """Whether the caller has closed its connection. Does not wait."""
        return sockets.peek(self._sock) == b""

    async def send_response(self, response: messages.Response) -> None:
        """Sends a complete response to the oldest unanswered request.

        The response must have neither connection headers nor `content-length`.
        Its body is left out if the request was HEAD.

        Raises:
            CallerGoneError: The connection failed.
        """
        headers = list(response.headers)
        if response.status not in messages.BODILESS_STATUSES:
            length = str(len(response.body)).encode()
            headers.append((b"content-length", length))
        data = self._encode_head(response.status, headers)
        if response.body and not self._answers_head:
            data += self._encode(h11.Data(data=response.body))
        data += self._encode_end()
        await self._send_bytes(data)
        await self._finish_response()

    async def start_response(self, head: messages.ResponseHead) -> None:
        """Sends the head of a streamed response.

        The response must have neither connection headers nor `content-length`.

        A known length is sent as `content-length`, since an HTTP/1.0 caller
        has no other way to detect a truncated body.
        """
        framing = (b"transfer-encoding", b"chunked")
        if head.length is not None:
            framing = (b"content-length", str(head.length).encode())
        headers = [*head.headers, framing]
        await self._send_bytes(self._encode_head(head.status, headers))

    async def send_chunk(self, data: bytes) -> None:
        """Sends a chunk of a streamed response."""
        await self._send_bytes(self._encode(h11.Data(data=data)))

    async def end_response(self) -> None:
        """Ends a streamed response."""
        await self._send_bytes(self._encode_end())
        await self._finish_response()

    def _encode_head(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> bytes:
        is_last = len(self._unanswered) <= 1
        if self._closing and is_last:
            headers = [*headers, (b"connection", b"close")]
        event = h11.Response(status_code=status, headers=headers)
        return self._encode(event)

    def _encode(self, event: h11.Event) -> bytes:
        if not self._unanswered:
            # A response to a caller that has sent nothing.
            self._unanswered.append(self._http)
        return self._unanswered[0].send(event) or b""

    def _encode_end(self) -> bytes:
        data = self._encode(h11.EndOfMessage())
        answered = self._unanswered.popleft()
        self._head_requests.discard(answered)
        if answered.our_state is not h11.DONE:
            self._ended = True
        return data

    async def _finish_response(self) -> None:
        if self._ended:
            # The reader may wait for another request until the idle deadline.
            await self.end()

    async def _send_bytes(self, data: bytes) -> None:
        self._writing = True
        try:
            count = sockets.send_nonblocking(self._sock, data)
            if count < len(data):
                async with core.timeout_at(
                    time.monotonic() + SEND_TIMEOUT_SECONDS
                ):
                    await self._sock.sendall(memoryview(data)[count:])
            self.used_at = time.monotonic()
        except (OSError, curio.TaskTimeout) as error:
            self._broken = True
            raise errors.CallerGoneError(
                str(error), run=core.RunMark.UNKNOWN
            ) from error
        finally:
            self._writing = False
            await self._note_progress()

    async def shut_down(self) -> None:
        """Ends both directions; a task that reads finds the caller gone."""
        self._broken = True
        await self._note_progress()
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The caller has reset the connection.
            self.caller_left = True

    async def abort(self) -> None:
        """Resets the connection, so that the caller sees an error.

        To an HTTP/1.0 caller, closing without a reset would look like the end
        of the body.
        """
        linger = struct.pack("ii", 1, 0)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await self._sock.close()

    async def end(self) -> None:
        """Ends the connection while no request is unanswered.

        A request that crosses the end is read and dropped.
        """
        self._ended = True
        await self._note_progress()
        try:
            await self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller has reset the connection.
            self.caller_left = True

    async def close(self, *, linger: bool = True) -> None:
        """Closes the connection; resets it if a response is incomplete.

        Args:
            linger: Whether to wait until the caller closes its side, if a
                response has ended the connection.
        """
        if self._is_sending:
            await self.abort()
            return
        if linger and self._ended and not self.caller_left:
            await self._linger()
        await self._sock.close()

    def has_undelivered(self) -> bool:
        """Whether the caller has not acknowledged all that was sent."""
        return not self.caller_left and sockets.has_undelivered(self._sock)

    async def _linger(self) -> None:
        """Drops what the caller still sends until it closes its side."""
        await self.end()
        deadline = time.monotonic() + LINGER_SECONDS
        last_deadline = time.monotonic() + SEND_TIMEOUT_SECONDS
        try:
            while not await self._drop_until(deadline):
                now = time.monotonic()
                if now >= last_deadline or not self.has_undelivered():
                    return
                deadline = min(now + LINGER_SECONDS, last_deadline)
        except OSError:
            # The caller is gone; the socket is closed next.
            return

    async def _drop_until(self, deadline: float) -> bool:
        """Drops what the caller sends; returns whether it closed its side."""
        try:
            async with core.timeout_at(deadline):
                while await self._sock.recv(RECEIVE_BYTES):
                    await curio.sleep(LINGER_PAUSE_SECONDS)
        except curio.TaskTimeout:
            return False
        return True
