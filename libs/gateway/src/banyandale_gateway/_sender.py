"""Sends calls to backend servers and reads the responses."""

from collections.abc import Callable
import time

import banyandale_core as core
import banyandale_dispatch as dispatch
from banyandale_gateway import _backends as backends
from banyandale_gateway import _calls as calls
from banyandale_gateway import _errors as errors
import banyandale_http as http

# Responses smaller than this are buffered before the caller gets the first
# byte, so that the call can still be retried if the response is truncated.
BUFFERED_BODY_BYTES = 64 * 1024
# Opening a connection takes about 1 ms. A server that takes longer than this
# is treated as unreachable, and the request goes to another server.
CONNECT_TIMEOUT_SECONDS = 0.25
# Timeout for each read of a streamed response body.
STREAM_READ_TIMEOUT_SECONDS = 5.0
# Limit per server. A server never has more requests in flight than its few
# slots, so further idle connections would stay unused.
MAX_IDLE_CONNECTIONS = 8


class Attempt:
    """One attempt to run a call on one backend server.

    The assignment is released exactly once, also after errors and
    cancellation.
    """

    def __init__(
        self,
        *,
        call: calls.Call,
        assignment: dispatch.Assignment,
        dispatcher: dispatch.Dispatcher,
        pool: http.Pool,
        protocol: backends.BackendProtocol,
        id_echoing_servers: set[str],
        clock: core.Clock,
    ) -> None:
        self._call = call
        self._assignment = assignment
        self._dispatcher = dispatcher
        self._pool = pool
        self._protocol = protocol
        self._id_echoing_servers = id_echoing_servers
        self._clock = clock
        self._connection: http.ClientConnection | None = None
        self._released = False
        self._body_bytes = 0

    @property
    def address(self) -> str:
        """Address of the backend server."""
        return self._assignment.address

    async def start(self, may_send: Callable[[], bool]) -> None:
        """Opens or reuses a connection and sends the request.

        Args:
            may_send: Called immediately before the send, with no await in
                between; returns whether the request may be sent.

        Raises:
            CallError: The request was not sent completely.
        """
        try:
            await self._start(may_send)
        except http.ConnectError as error:
            self._dispatcher.record_connection_loss(self.address)
            await self._release(dispatch.OutcomeKind.LOST)
            raise errors.ServerLostError(str(error)) from error
        except http.SendError as error:
            self._dispatcher.record_connection_loss(self.address)
            raise await self._end_as_lost(error) from error
        except BaseException:
            await self._release(dispatch.OutcomeKind.CANCELLED)
            raise

    async def _start(self, may_send: Callable[[], bool]) -> None:
        deadline = min(
            self._call.deadline, time.monotonic() + CONNECT_TIMEOUT_SECONDS
        )
        if not self._pool.is_connected:
            self._dispatcher.mark_unverified(self.address)
        self._connection = await self._pool.acquire(
            deadline=deadline, verified=not self._call.idempotent
        )
        if self._pool.pop_connection_lost():
            self._dispatcher.mark_unverified(self.address)
        request = self._protocol.build_request(
            self._call.request,
            request_id=self._call.id,
            deadline_unix_ms=core.deadline_to_unix_ms(
                self._call.deadline, self._clock
            ),
            attempt=self._call.attempt,
        )
        if not self._dispatcher.revalidate(self._assignment):
            raise errors.StaleAssignmentError(
                f"server {self.address} became cold or started leaving"
            )
        if not may_send():
            raise errors.LeaseExpiredError(
                f"lease expired before sending to server {self.address}"
            )
        await self._connection.send_request(
            request, deadline=self._call.deadline
        )

    async def wait_readable(self, *, deadline: float) -> bool:
        """Waits until a part of the response arrives or the deadline passes.

        Returns:
            False if the deadline (monotonic seconds) passed first.
        """
        try:
            return await self._connection.wait_readable(deadline=deadline)
        except BaseException:
            await self._release(dispatch.OutcomeKind.CANCELLED)
            raise

    async def finish(self) -> calls.CallResponse:
        """Reads the response; a long body is returned as a stream.

        Raises:
            CallError: The response is incomplete or invalid, or the server
                shed the request.
        """
        try:
            return await self._finish()
        except http.ResponseTimeoutError as error:
            await self._pool.clear()
            await self._release(dispatch.OutcomeKind.TIMED_OUT)
            raise errors.ExchangeTimeoutError(
                str(error), cause=error.code, run=error.run
            ) from error
        except http.HttpError as error:
            if isinstance(error, http.TruncatedResponseError):
                self._dispatcher.record_connection_loss(self.address)
            raise await self._end_as_lost(error) from error
        except errors.CallError:
            await self._release(dispatch.OutcomeKind.FAILED)
            raise
        except BaseException:
            await self._release(dispatch.OutcomeKind.CANCELLED)
            raise

    async def _finish(self) -> calls.CallResponse:
        head = await self._connection.read_head(deadline=self._call.deadline)
        self._check_request_id(head)
        report = self._protocol.read_report(head)
        if report is not None:
            self._dispatcher.record_load_report(self.address, report)
        if head.length is not None and self._call.request.method != b"HEAD":
            self._check_size(head.length)
        body, complete = await self._read_buffered_part()
        if self._protocol.is_shed(head):
            await self._release(dispatch.OutcomeKind.SHED)
            # Without the request id, the response may belong to another
            # request.
            is_echoed = self._protocol.echoes_request_id(head, self._call.id)
            raise errors.ShedError(
                f"server {self.address} shed the request",
                run=core.RunMark.NOT_RUN if is_echoed else core.RunMark.UNKNOWN,
            )
        head = http.ResponseHead(
            status=head.status,
            headers=self._protocol.strip_headers(head.headers),
            length=head.length,
        )
        if complete:
            await self._release(dispatch.OutcomeKind.OK)
            return calls.CallResponse(head=head, body=body)
        return calls.CallResponse(head=head, body=body, rest=self)

    def _check_request_id(self, head: http.ResponseHead) -> None:
        """Raises an error if the response belongs to another request.

        A server that has sent a request id once must always send it: a
        response without one may belong to a probe.
        """
        request_id = self._protocol.read_request_id(head)
        if request_id is not None:
            self._id_echoing_servers.add(self.address)
        elif self.address not in self._id_echoing_servers:
            return
        if request_id != self._call.id:
            raise errors.MixedResponseError(
                f"server {self.address} sent the response to another request",
                cause="request_id_differs",
                run=core.RunMark.UNKNOWN,
            )

    async def _read_buffered_part(self) -> tuple[bytes, bool]:
        chunks = []
        while self._body_bytes < BUFFERED_BODY_BYTES:
            chunk = await self._read_chunk(deadline=self._call.deadline)
            if not chunk:
                return b"".join(chunks), True
            chunks.append(chunk)
        return b"".join(chunks), False

    async def _read_chunk(self, *, deadline: float) -> bytes:
        chunk = await self._connection.read_chunk(deadline=deadline)
        self._body_bytes += len(chunk)
        self._check_size(self._body_bytes)
        return chunk

    def _check_size(self, size: int) -> None:
        limit = self._call.service.max_response_bytes
        if size > limit:
            raise errors.ResponseTooLargeError(
                f"response body from server {self.address} exceeds"
                f" {limit} bytes"
            )

    async def read(self) -> bytes:
        """Reads the next chunk of the body; see `calls.BodyStream`."""
        deadline = time.monotonic() + STREAM_READ_TIMEOUT_SECONDS
        try:
            chunk = await self._read_chunk(deadline=deadline)
        except http.HttpError as error:
            raise await self._end_as_lost(error) from error
        except errors.CallError:
            await self._release(dispatch.OutcomeKind.FAILED)
            raise
        if not chunk:
            await self._release(dispatch.OutcomeKind.OK)
        return chunk

    async def _end_as_lost(
        self, error: http.HttpError
    ) -> errors.ExchangeFailedError:
        """Releases the attempt as lost; returns the error to raise."""
        await self._release(dispatch.OutcomeKind.LOST)
        return errors.ExchangeFailedError(
            str(error), cause=error.code, run=error.run
        )

    async def close(self) -> None:
        """Cancels the attempt by closing its connection."""
        await self._release(dispatch.OutcomeKind.CANCELLED)

    async def _release(self, outcome: dispatch.OutcomeKind) -> None:
        if self._released:
            return
        self._released = True
        self._dispatcher.release(
            self._assignment, dispatch.Outcome(kind=outcome)
        )
        if self._connection is None:
            return
        # Neither call below waits for the network.
        if outcome in (dispatch.OutcomeKind.OK, dispatch.OutcomeKind.SHED):
            await self._pool.release(self._connection)
        else:
            await self._pool.discard(self._connection)


class Sender:
    """Creates attempts and keeps connection pools for backend servers."""

    def __init__(
        self,
        *,
        protocol: backends.BackendProtocol,
        source: str | None,
        clock: core.Clock,
    ) -> None:
        self._protocol = protocol
        self._source = source
        self._clock = clock
        self._pools: dict[str, http.Pool] = {}
        self._id_echoing_servers: set[str] = set()

    def prepare(
        self,
        call: calls.Call,
        *,
        assignment: dispatch.Assignment,
        dispatcher: dispatch.Dispatcher,
    ) -> Attempt:
        """Returns a new attempt that has not been started."""
        return Attempt(
            call=call,
            assignment=assignment,
            dispatcher=dispatcher,
            pool=self._get_pool(assignment.address),
            protocol=self._protocol,
            id_echoing_servers=self._id_echoing_servers,
            clock=self._clock,
        )

    def _get_pool(self, address: str) -> http.Pool:
        pool = self._pools.get(address)
        if pool is None:
            pool = http.Pool(
                address=address, limit=MAX_IDLE_CONNECTIONS, source=self._source
            )
            self._pools[address] = pool
        return pool

    async def close_pools_except(self, addresses: frozenset[str]) -> None:
        """Closes the connections to all servers that are not in `addresses`.

        Connections in use are closed when they become free.
        """
        self._id_echoing_servers &= addresses
        for address in self._pools.keys() - addresses:
            await self._pools.pop(address).retire()

    async def close(self) -> None:
        """Closes all idle connections."""
        await self.close_pools_except(frozenset())
