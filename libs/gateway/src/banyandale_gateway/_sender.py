"""Sends attempts of calls to backend servers."""

from collections.abc import Callable
import time

import banyandale_core as core
import banyandale_dispatch as dispatch
from banyandale_gateway import _backends as backends
from banyandale_gateway import _calls as calls
from banyandale_gateway import _errors as errors
import banyandale_http as http

# A response up to this size is read whole before the caller gets its first
# byte, so that a truncated one can still be retried.
BUFFERED_BODY_BYTES = 64 * 1024
# A connection opens in about 1 ms; a server that takes longer than this is
# treated as unreachable, and the request goes elsewhere.
CONNECT_TIMEOUT_SECONDS = 0.25
# The body of a long response must make progress this often.
STREAM_READ_TIMEOUT_SECONDS = 5.0
# Idle connections kept per server. In-flight requests never exceed a few
# slots, so more would only age.
MAX_IDLE_CONNECTIONS = 8


class Attempt:
    """One attempt of a call at one backend server.

    The assignment is released exactly once, whatever happens.
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
        """The backend server."""
        return self._assignment.address

    async def start(self, may_send: Callable[[], bool]) -> None:
        """Opens or reuses a connection and sends the request.

        Args:
            may_send: Asked immediately before the send, with no await in
                between.

        Raises:
            CallError: The request was not sent, or not completely.
        """
        try:
            await self._start(may_send)
        except http.ConnectError as error:
            self._dispatcher.mark_lost(self.address)
            await self._release(dispatch.OutcomeKind.LOST)
            raise errors.ServerLostError(str(error)) from error
        except http.SendError as error:
            self._dispatcher.mark_lost(self.address)
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
            deadline=deadline, proved=not self._call.idempotent
        )
        if self._pool.take_lost():
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
                f"{self.address} turned cold or started leaving"
            )
        if not may_send():
            raise errors.LeaseExpiredError(
                f"lease expired before the send to {self.address}"
            )
        await self._connection.send_request(
            request, deadline=self._call.deadline
        )

    async def wait_readable(self, *, deadline: float) -> bool:
        """Waits for the first part of the response, as the connection does."""
        try:
            return await self._connection.wait_readable(deadline=deadline)
        except BaseException:
            await self._release(dispatch.OutcomeKind.CANCELLED)
            raise

    async def finish(self) -> calls.CallResponse:
        """Reads the response, whole when it is short.

        Raises:
            CallError: There is no complete response.
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
                self._dispatcher.mark_lost(self.address)
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
            self._dispatcher.observe(self.address, report)
        if head.length is not None and self._call.request.method != b"HEAD":
            self._check_size(head.length)
        body, complete = await self._read_buffered_part()
        if self._protocol.is_shed(head):
            await self._release(dispatch.OutcomeKind.SHED)
            # Without the id it may be the response to another request.
            is_own = self._protocol.echoes_request_id(head, self._call.id)
            raise errors.ShedError(
                f"{self.address} shed the request",
                run=core.RunMark.NOT_RUN if is_own else core.RunMark.UNKNOWN,
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
        """Refuses the response to another request.

        A server that has named a request id must always do so: without one,
        the response may be the one to a probe.
        """
        request_id = self._protocol.read_request_id(head)
        if request_id is not None:
            self._id_echoing_servers.add(self.address)
        elif self.address not in self._id_echoing_servers:
            return
        if request_id != self._call.id:
            raise errors.MixedResponseError(
                f"{self.address} sent the response to another request",
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
                f"{self.address} sent a body over {limit} bytes"
            )

    async def read(self) -> bytes:
        """Reads more of a long body; see `calls.BodyStream`."""
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
        """Ends the attempt; returns the error of a broken exchange."""
        await self._release(dispatch.OutcomeKind.LOST)
        return errors.ExchangeFailedError(
            str(error), cause=error.code, run=error.run
        )

    async def close(self) -> None:
        """Gives up; closing the connection cancels the work."""
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
        # Neither call waits for the network.
        if outcome in (dispatch.OutcomeKind.OK, dispatch.OutcomeKind.SHED):
            await self._pool.release(self._connection)
        else:
            await self._pool.discard(self._connection)


class Sender:
    """Makes attempts and keeps the connections to backend servers."""

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
        """Returns an attempt that is not started."""
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
        """Closes the connections to servers that are no longer configured."""
        self._id_echoing_servers &= addresses
        for address in self._pools.keys() - addresses:
            await self._pools.pop(address).retire()

    async def close(self) -> None:
        """Closes all idle connections."""
        await self.close_pools_except(frozenset())
