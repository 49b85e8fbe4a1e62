"""Client side of one HTTP/1.1 connection."""

import collections
from collections.abc import Callable
import re
import time
from typing import Self

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
# Maximum number of responses to other requests that one exchange skips.
MAX_UNMATCHED_RESPONSES = 3
# Maximum number of informational responses before the final one.
MAX_INFORMATIONAL_RESPONSES = 16
# Start of a response. In a reason or in the value of a header, it shows that
# the head of a response broke off there and that another response follows.
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
# Number of the last keyed requests that a connection remembers.
RECENT_KEYS = 64
# The connections of this side share their turns.
TURN_QUEUE = turns.TurnQueue()


class ClientConnection:
    """One connection that carries one exchange at a time.

    An exchange consists of `send_request`, `read_head`, and `read_chunk` until
    that returns b"". The connection may carry another exchange only while
    `is_reusable` is true.

    Attributes:
        sent: Whether any byte of the current request was written to the
            socket.
        last_verified_at: Monotonic seconds when the connection was opened or
            last carried a complete response.
        has_answered: Whether it has carried a complete response.
    """

    def __init__(self, *, sock: curio.io.Socket, address: str) -> None:
        self._sock = sock
        self._address = address
        self._http = h11.Connection(
            our_role=h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._open = True
        self._method = b""
        self._head: h11.Request | None = None
        self._allow_unframed = False
        # Whether the body of the last response ends with the connection.
        self._ends_with_connection = False
        self._turns = turns.Turns(queue=TURN_QUEUE)
        self._recent_keys: collections.deque[str] = collections.deque(
            maxlen=RECENT_KEYS
        )
        self.sent = False
        self.last_verified_at = time.monotonic()
        self.has_answered = False

    @classmethod
    async def open(
        cls,
        *,
        address: str,
        source: str | None = None,
        deadline: float,
        keepalive: bool = False,
    ) -> Self:
        """Opens a connection to `address` (`ip:port`).

        Args:
            address: Destination.
            source: Local IP address, or None for the system's choice.
            deadline: Monotonic seconds.
            keepalive: Whether the kernel sends TCP keep-alive probes.

        Raises:
            ConnectError: The connection was refused, reset or not open at the
                deadline.
        """
        try:
            sock = await sockets.open_socket(
                address=address, source=source, deadline=deadline
            )
        except OSError as error:
            raise errors.ConnectError(f"{address}: {error}") from error
        except curio.TaskTimeout as error:
            raise errors.ConnectError(
                f"{address}: connecting timed out"
            ) from error
        if keepalive:
            sockets.set_keepalive(sock)
        return cls(sock=sock, address=address)

    @property
    def address(self) -> str:
        """The destination as `ip:port`."""
        return self._address

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent.

        False after an incomplete response, after unexpected bytes behind a
        response, and once the server has closed the connection.
        """
        return (
            self._open
            and self._http.our_state is h11.IDLE
            and self._http.their_state is h11.IDLE
            and not self._http.trailing_data[0]
            and sockets.peek(self._sock) is None
        )

    def has_carried(self, key: str) -> bool:
        """Whether an earlier exchange had this key, so far as remembered."""
        return key in self._recent_keys

    async def send_request(
        self, request: messages.Request, *, deadline: float
    ) -> None:
        """Sends one request.

        Raises:
            SendError: The connection failed. `run` is NOT_RUN only if no byte
                was written to the socket.
        """
        self.sent = False
        self._method = request.method
        headers = [
            *request.headers,
            (b"content-length", str(len(request.body)).encode()),
        ]
        if request.header(b"host") is None:
            headers.insert(0, (b"host", self._address.encode()))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        self._head = head
        data = self._http.send(head) or b""
        if request.body:
            data += self._http.send(h11.Data(data=request.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        try:
            await self._send_all(data, deadline)
        except (OSError, curio.TaskTimeout) as error:
            raise errors.SendError(
                f"{self._address}: sending the request failed: {error!r}",
                run=self._run_mark(),
            ) from error

    async def wait_readable(self, *, deadline: float) -> bool:
        """Waits for data or for the end of the connection.

        Returns:
            False if the deadline (monotonic seconds) passed first. The
            exchange can continue in either case.
        """
        if sockets.peek(self._sock) is not None:
            return True
        try:
            async with core.timeout_at(deadline):
                await traps._read_wait(self._sock._fileno)
        except curio.TaskTimeout:
            return False
        return True

    async def exchange_matching(
        self,
        request: messages.Request,
        *,
        matches: Callable[[messages.ResponseHead], bool],
        limit: int,
        deadline: float,
        reserve: Callable[[int], bool] = lambda size: True,
        key: str = "",
    ) -> messages.Response:
        """Sends a request and reads the whole response that matches it.

        Responses for which `matches` is false are skipped, since a server may
        send a second response to an earlier request. If the response arrives
        before the whole request is sent, the connection is not reused. The
        body of a response without a length ends with the connection, which
        must have taken the whole request.

        Args:
            request: The request.
            matches: Returns whether a response may belong to the request.
            limit: Largest body in bytes.
            deadline: Monotonic seconds for the whole exchange.
            reserve: Called with the size of each received part of a body;
                returns whether there is memory for it.
            key: What `matches` recognizes responses by, if it is not empty. A
                response to an earlier exchange with the same key would match.

        Raises:
            HttpError: As for `exchange`.
        """
        if key:
            self._recent_keys.append(key)
        self._allow_unframed = True
        sending = await curio.spawn(
            self.send_request(request, deadline=deadline)
        )
        try:
            # Lets the sending task run first, which completes if the request
            # fits into the send buffer.
            await curio.sleep(0)
            if sending.terminated:
                await sending.join()
            response = await self._read_matching(
                request, matches, limit, deadline, reserve
            )
            if self._ends_with_connection and not (
                sending.terminated and sending.exception is None
            ):
                # The sending task may have got the error of a reset, after
                # which the socket reads like one that was closed in order.
                raise errors.TruncatedResponseError(
                    f"{self._address}: connection ended before the whole"
                    " request was sent",
                    run=core.RunMark.UNKNOWN,
                )
            return response
        except curio.TaskError as error:
            self._open = False
            if isinstance(error.__cause__, errors.HttpError):
                raise error.__cause__ from None
            raise
        finally:
            if not sending.terminated:
                self._open = False
                await sending.cancel()
            elif sending.exception is not None:
                self._open = False

    async def _read_matching(
        self,
        request: messages.Request,
        matches: Callable[[messages.ResponseHead], bool],
        limit: int,
        deadline: float,
        reserve: Callable[[int], bool],
    ) -> messages.Response:
        for _ in range(MAX_UNMATCHED_RESPONSES + 1):
            head = await self.read_head(deadline=deadline)
            body = await self.read_body(
                limit=limit, deadline=deadline, reserve=reserve
            )
            if matches(head):
                return messages.Response(
                    status=head.status, headers=head.headers, body=body
                )
            self._prepare_for_next_response(request)
        raise errors.MalformedResponseError(
            f"{self._address}: received only responses to other requests",
            run=self._run_mark(),
        )

    def _prepare_for_next_response(self, request: messages.Request) -> None:
        """Prepares the parser to read another response to the same request."""
        trailing, ended = self._http.trailing_data
        if ended or self._head is None:
            self._open = False
            raise errors.TruncatedResponseError(
                f"{self._address}: connection ended after a response to another"
                " request",
                run=self._run_mark(),
            )
        self._http = h11.Connection(
            our_role=h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._http.send(self._head)
        if request.body:
            self._http.send(h11.Data(data=request.body))
        self._http.send(h11.EndOfMessage())
        if trailing:
            self._http.receive_data(trailing)
        self._open = True

    async def _send_all(self, data: bytes, deadline: float) -> None:
        count = sockets.send_nonblocking(self._sock, data)
        self.sent = count > 0
        if count == len(data):
            return
        view = memoryview(data)[count:]
        async with core.timeout_at(deadline):
            while view:
                count = await self._sock.send(view)
                self.sent = True
                view = view[count:]

    async def read_head(self, *, deadline: float) -> messages.ResponseHead:
        """Reads the status and headers; skips informational responses.

        Raises:
            ResponseTimeoutError: No complete head arrived before the deadline.
            TruncatedResponseError: The connection ended.
            MalformedResponseError: The response is not valid HTTP, its head
                is joined from two responses, or it has neither a length nor
                chunked encoding, so that a truncated body could not be
                detected.
        """
        event = await self._next_event(deadline)
        informational = 0
        while isinstance(event, h11.InformationalResponse):
            informational += 1
            if informational > MAX_INFORMATIONAL_RESPONSES:
                self._open = False
                raise errors.MalformedResponseError(
                    f"{self._address}: more than {MAX_INFORMATIONAL_RESPONSES}"
                    " informational responses",
                    run=self._run_mark(),
                )
            event = await self._next_event(deadline)
        if not isinstance(event, h11.Response):
            raise errors.TruncatedResponseError(
                f"{self._address}: connection ended before the response",
                run=self._run_mark(),
            )
        if _holds_second_head(event):
            self._open = False
            raise errors.MalformedResponseError(
                f"{self._address}: the head of the response broke off before"
                " another response",
                run=core.RunMark.UNKNOWN,
            )
        length = messages.find_header(event.headers, b"content-length")
        head = messages.ResponseHead(
            status=event.status_code,
            headers=messages.strip_connection_headers(event.headers),
            length=None if length is None else int(length),
        )
        self._ends_with_connection = self._is_unframed(event)
        if self._ends_with_connection and not self._allow_unframed:
            raise errors.MalformedResponseError(
                f"{self._address}: response has neither Content-Length nor"
                " Transfer-Encoding",
                run=core.RunMark.UNKNOWN,
            )
        return head

    def _is_unframed(self, response: h11.Response) -> bool:
        names = {name for name, _ in response.headers}
        if b"content-length" in names or b"transfer-encoding" in names:
            return False
        bodiless = response.status_code in messages.BODILESS_STATUSES
        return not bodiless and self._method != b"HEAD"

    async def read_chunk(self, *, deadline: float) -> bytes:
        """Returns the next chunk of the body; b"" once it is complete.

        Raises:
            ResponseTimeoutError: No data arrived before the deadline.
            TruncatedResponseError: The connection ended before the end of the
                body.
            MalformedResponseError: The body is not valid HTTP.
        """
        event = await self._next_event(deadline)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self._finish_response()
        return b""

    def _finish_response(self) -> None:
        if self._http.trailing_data[0]:
            self._open = False
            return
        if self._http.our_state is h11.DONE and (
            self._http.their_state is h11.DONE
        ):
            self._http.start_next_cycle()
            self.last_verified_at = time.monotonic()
            self.has_answered = True

    async def read_body(
        self,
        *,
        limit: int,
        deadline: float,
        reserve: Callable[[int], bool] = lambda size: True,
    ) -> bytes:
        """Reads the rest of the body and returns it.

        Raises:
            ResponseTooLargeError: The body is larger than `limit` bytes, or
                `reserve` did not allow more.
            HttpError: As for `read_chunk`.
        """
        body = bytearray()
        while chunk := await self.read_chunk(deadline=deadline):
            if len(body) + len(chunk) > limit or not reserve(len(chunk)):
                self._open = False
                raise errors.ResponseTooLargeError(
                    f"{self._address}: response body exceeds {limit} bytes or"
                    " the memory left",
                    run=core.RunMark.UNKNOWN,
                )
            body += chunk
        return bytes(body)

    async def exchange(
        self, request: messages.Request, *, limit: int, deadline: float
    ) -> messages.Response:
        """Sends a request and reads the whole response.

        Args:
            request: The request.
            limit: Largest body in bytes.
            deadline: Monotonic seconds for the whole exchange.
        """
        await self.send_request(request, deadline=deadline)
        head = await self.read_head(deadline=deadline)
        body = await self.read_body(limit=limit, deadline=deadline)
        return messages.Response(
            status=head.status, headers=head.headers, body=body
        )

    async def _next_event(self, deadline: float) -> h11.Event:
        if await self._turns.count() and time.monotonic() >= deadline:
            raise self._make_timeout_error()
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                if time.monotonic() >= deadline:
                    raise self._make_timeout_error()
                data = await sockets.receive(
                    self._sock, limit=RECEIVE_BYTES, deadline=deadline
                )
                self._http.receive_data(data)
            return event
        except curio.TaskTimeout as error:
            raise self._make_timeout_error() from error
        except OSError as error:
            self._open = False
            raise errors.TruncatedResponseError(
                f"{self._address}: {error}", run=self._run_mark()
            ) from error
        except h11.RemoteProtocolError as error:
            self._open = False
            raise self._make_protocol_error(error) from error

    def _make_timeout_error(self) -> errors.HttpError:
        self._open = False
        return errors.ResponseTimeoutError(
            f"{self._address}: no complete response before the deadline",
            run=self._run_mark(),
        )

    def _make_protocol_error(
        self, error: h11.RemoteProtocolError
    ) -> errors.HttpError:
        if self._http.trailing_data[1]:
            return errors.TruncatedResponseError(
                f"{self._address}: {error}", run=self._run_mark()
            )
        return errors.MalformedResponseError(
            f"{self._address}: {error}", run=core.RunMark.UNKNOWN
        )

    def _run_mark(self) -> core.RunMark:
        return core.RunMark.UNKNOWN if self.sent else core.RunMark.NOT_RUN

    async def close(self) -> None:
        """Closes the connection, which cancels a request in flight."""
        self._open = False
        await self._sock.close()


def _holds_second_head(response: h11.Response) -> bool:
    """Whether a head consists of parts of two responses."""
    return any(
        STATUS_LINE.search(text)
        for text in (response.reason, *(value for _, value in response.headers))
    )
