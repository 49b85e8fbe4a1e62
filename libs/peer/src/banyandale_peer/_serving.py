"""Listener's side of call links."""

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

# Largest body of a forwarded request; the dialer's limit is lower.
MAX_BODY_BYTES = 64 * 1024 * 1024
# Time to send what tells the dialer that its deadline has passed.
LATE_REPLY_SECONDS = 0.5

CallHandler = Callable[[messages.CallRequest], Awaitable[messages.CallAnswer]]


def describe_error(error: Exception) -> tuple[str, core.RunMark]:
    """Returns code and run mark of an error of a handler.

    A remote error keeps its code. An error without a run mark may have
    happened after the work was done.
    """
    if isinstance(error, errors.RemoteError):
        return error.remote_code, error.run
    if isinstance(error, core.CodedError):
        return error.code, getattr(error, "run", core.RunMark.UNKNOWN)
    logging.exception("handler of a peer failed")
    return core.CodedError.code, core.RunMark.UNKNOWN


class CallServer:
    """Serves the calls of one connection, one after the other."""

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
        self._answering: curio.Task | None = None

    def is_busy(self) -> bool:
        """Whether a call is in progress."""
        task = self._answering
        return task is not None and not task.terminated

    async def run(self) -> None:
        """Serves until the dialer closes the connection.

        The end of the connection cancels the call in progress.

        Raises:
            PeerError: The connection ended or carried a wrong message.
        """
        try:
            while True:
                frame = await self._connection.receive()
                if frame == messages.PING:
                    await self._connection.send(messages.PONG)
                else:
                    await self._start_call(messages.decode(frame))
        finally:
            if self._answering is not None:
                await self._answering.cancel()

    async def _start_call(self, head: object) -> None:
        if not isinstance(head, messages.CallHead):
            raise errors.FrameError(f"unexpected {type(head).__name__}")
        if self._answering is not None:
            await self._answering.wait()
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
        self._answering = await curio.spawn(
            self._answer, head.id, request, daemon=True
        )

    async def _read_body(self, first: bytes) -> bytes:
        body = bytearray(first)
        last = False
        while not last:
            chunk = messages.decode(await self._connection.receive())
            if not isinstance(chunk, messages.BodyChunk):
                raise errors.FrameError(f"unexpected {type(chunk).__name__}")
            body += chunk.data
            last = chunk.last
            if len(body) > MAX_BODY_BYTES:
                raise errors.FrameTooLargeError("request body is too large")
        return bytes(body)

    async def _answer(
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
            # Either this link, which `run` notices too, or one that the
            # handler reads an answer from.
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
            # Half a frame was sent; the dialer must not wait for the rest.
            self._connection.abort()
            return
        error = messages.CallError(id=call_id, code=code, run=run)
        try:
            async with core.timeout_at(
                self._clock.monotonic() + LATE_REPLY_SECONDS
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
                await self._send_rest(call_id, answer, body, len(first))
        finally:
            if answer.chunks is not None:
                await answer.chunks.close()

    async def _send_rest(
        self,
        call_id: int,
        answer: messages.CallAnswer,
        body: bytes,
        size: int,
    ) -> None:
        while size < len(body):
            piece = body[size : size + calls.CHUNK_BYTES]
            await self._send_piece(piece)
            size += len(piece)
        if answer.chunks is not None:
            while piece := await answer.chunks.read():
                await self._send_piece(piece)
                size += len(piece)
        end = messages.AnswerEnd(id=call_id, body_bytes=size)
        await self._connection.send(messages.encode_answer_end(end))

    async def _send_piece(self, piece: bytes) -> None:
        for start in range(0, len(piece), calls.CHUNK_BYTES):
            part = piece[start : start + calls.CHUNK_BYTES]
            await self._connection.send(messages.encode_body_chunk(part))
