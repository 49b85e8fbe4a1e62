"""Listener side of call connections."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from absl import logging
import curio

import banyandale_core as core
from banyandale_peer import _calls as calls
from banyandale_peer import _connections as connections
from banyandale_peer import _errors as errors
from banyandale_peer import _messages as messages

# Largest body of a forwarded request. The dialer applies a lower limit.
MAX_BODY_BYTES = 64 * 1024 * 1024
# Timeout of sending an error, for which the call's deadline does not apply
# since it may have passed.
ERROR_SEND_TIMEOUT_SECONDS = 0.5

CallHandler = Callable[[messages.CallRequest], Awaitable[messages.CallAnswer]]


def describe_error(error: Exception) -> tuple[str, core.RunMark]:
    """Returns the error code and run mark of an error of a handler.

    A remote error keeps its code. An error without a run mark is UNKNOWN, as
    it may have happened after the request ran.
    """
    if isinstance(error, errors.RemoteError):
        return error.remote_code, error.run
    if isinstance(error, core.CodedError):
        return error.code, getattr(error, "run", core.RunMark.UNKNOWN)
    logging.exception("the handler of a peer's call or request failed")
    return core.CodedError.code, core.RunMark.UNKNOWN


class CallServer:
    """Serves the calls of one connection, one at a time."""

    def __init__(
        self,
        *,
        connection: connections.Connection,
        handler: CallHandler,
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._connection = connection
        self._handler = handler
        self._clock = clock
        self._metrics = metrics
        self._call_task: curio.Task | None = None

    def is_busy(self) -> bool:
        """Whether a call is in progress."""
        task = self._call_task
        return task is not None and not task.terminated

    async def run(self) -> None:
        """Serves until the dialer closes the connection.

        Closing the connection cancels the call in progress.

        Raises:
            PeerError: The connection ended or carried an unexpected message.
        """
        try:
            while True:
                frame = await self._connection.receive()
                if frame == messages.PING:
                    await self._connection.send(messages.PONG)
                else:
                    await self._start_call(messages.decode(frame))
        finally:
            if self._call_task is not None:
                await self._call_task.cancel()

    async def _start_call(self, head: object) -> None:
        if not isinstance(head, messages.CallHead):
            raise errors.FrameError(
                f"expected a CallHead, received {type(head).__name__}"
            )
        if self._call_task is not None:
            await self._call_task.wait()
        await self._connection.send(messages.ACCEPTED)
        body = head.request.body
        if not head.last:
            body = await self._read_body(body)
        request = dataclasses.replace(
            head.request,
            body=body,
            deadline=core.deadline_from_unix_ms(
                head.deadline_unix_ms, self._clock
            ),
        )
        self._call_task = await curio.spawn(
            self._handle_call, head.id, request, daemon=True
        )

    async def _read_body(self, first: bytes) -> bytes:
        body = bytearray(first)
        last = False
        while not last:
            chunk = messages.decode(await self._connection.receive())
            if not isinstance(chunk, messages.BodyChunk):
                raise errors.FrameError(
                    f"expected a BodyChunk, received {type(chunk).__name__}"
                )
            body += chunk.data
            last = chunk.last
            if len(body) > MAX_BODY_BYTES:
                raise errors.FrameTooLargeError(
                    f"request body exceeds {MAX_BODY_BYTES} bytes"
                )
        return bytes(body)

    async def _handle_call(
        self, call_id: int, request: messages.CallRequest
    ) -> None:
        try:
            async with core.timeout_at(request.deadline):
                answer = await self._handler(request)
                await self._send_answer(call_id, answer)
        except curio.TaskTimeout:
            await self._send_error(
                call_id, calls.DEADLINE_EXCEEDED, core.RunMark.UNKNOWN
            )
        except errors.LinkClosedError:
            # Either this connection failed, which `run` also notices, or one
            # from which the handler reads an answer.
            await self._send_error(
                call_id, errors.LinkClosedError.code, core.RunMark.UNKNOWN
            )
        except Exception as error:
            await self._send_error(call_id, *describe_error(error))

    async def _send_error(
        self, call_id: int, code: str, run: core.RunMark
    ) -> None:
        self._metrics.incr(f"peer_call_{code}")
        if not self._connection.is_open:
            # A frame was sent only in part. Shutting the connection down keeps
            # the dialer from waiting for the rest.
            self._connection.abort()
            return
        error = messages.CallError(id=call_id, code=code, run=run)
        try:
            async with core.timeout_at(
                self._clock.monotonic() + ERROR_SEND_TIMEOUT_SECONDS
            ):
                await self._connection.send(messages.encode_call_error(error))
        except (errors.LinkClosedError, curio.TaskTimeout):
            self._metrics.incr("peer_call_error_not_sent")

    async def _send_answer(
        self, call_id: int, answer: messages.CallAnswer
    ) -> None:
        body = answer.body or b""
        first = body[: calls.CHUNK_BYTES]
        whole = answer.chunks is None and len(first) == len(body)
        head = messages.AnswerHead(
            id=call_id,
            status=answer.status,
            headers=answer.headers,
            length=answer.length if answer.chunks else len(body),
            body=first,
            last=whole,
        )
        try:
            await self._connection.send(messages.encode_answer_head(head))
            if not whole:
                await self._send_body_and_end(call_id, answer, body, len(first))
        finally:
            if answer.chunks is not None:
                await answer.chunks.close()

    async def _send_body_and_end(
        self,
        call_id: int,
        answer: messages.CallAnswer,
        body: bytes,
        size: int,
    ) -> None:
        while size < len(body):
            data = body[size : size + calls.CHUNK_BYTES]
            await self._send_chunks(data)
            size += len(data)
        if answer.chunks is not None:
            while data := await answer.chunks.read():
                await self._send_chunks(data)
                size += len(data)
        end = messages.AnswerEnd(id=call_id, body_bytes=size)
        await self._connection.send(messages.encode_answer_end(end))

    async def _send_chunks(self, data: bytes) -> None:
        for start in range(0, len(data), calls.CHUNK_BYTES):
            chunk = data[start : start + calls.CHUNK_BYTES]
            await self._connection.send(messages.encode_body_chunk(chunk))
