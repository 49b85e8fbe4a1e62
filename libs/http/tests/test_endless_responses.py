"""Tests of servers that send bytes without end until the caller closes."""

import itertools
import socket
import threading
import time
import tracemalloc

import curio
import pytest

import banyandale_http as http

LIMIT_BYTES = 1 << 20
EXCHANGE_SECONDS = 0.5
# An exchange ends at its deadline; the rest is for a busy machine.
SLACK_SECONDS = 0.3
# Longest time for which other tasks may have to wait.
MAX_PAUSE_SECONDS = 0.1
HEAD = b"HTTP/1.1 200 OK\r\nid: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nid: z\r\ncontent-length: 1\r\n\r\nx"
# First bytes, and the bytes that are repeated without end.
STREAMS = {
    "status line": (b"", b"x" * 4096),
    "lines before the status line": (b"", b"\r\n" * 2048),
    "headers": (HEAD, b"a: b\r\n" * 1000),
    "header value": (HEAD + b"a: ", b"x" * 4096),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 200),
    "body without length": (HEAD + b"\r\n", b"x" * 65536),
    "body beyond any limit": (
        HEAD + b"content-length: 1000000000000\r\n\r\n",
        b"x" * 65536,
    ),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n" * 10_000),
    "chunk extension": (CHUNKED + b"1;", b"x" * 4096),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n" * 1000),
    "responses to others": (b"", OTHER * 1000),
}


class EndlessServer(threading.Thread):
    """Sends a stream on one connection until the other side closes."""

    def __init__(self, first, repeated, *, pause_seconds=0.0):
        super().__init__(daemon=True)
        self._stream = itertools.chain([first], itertools.repeat(repeated))
        self._pause_seconds = pause_seconds
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    def run(self):
        sock, _ = self._listener.accept()
        with sock, self._listener:
            sock.recv(4096)
            try:
                for data in self._stream:
                    sock.sendall(data)
                    time.sleep(self._pause_seconds)
            except OSError:
                return


def measure_exchange(server):
    """Returns the error, duration, longest pause and peak memory."""

    async def tick(pauses):
        last = time.monotonic()
        while True:
            await curio.sleep(0.005)
            now = time.monotonic()
            pauses.append(now - last)
            last = now

    async def main():
        server.start()
        pauses = [0.0]
        ticker = await curio.spawn(tick, pauses, daemon=True)
        started_at = time.monotonic()
        deadline = started_at + EXCHANGE_SECONDS
        connection = await http.ClientConnection.open(
            address=server.address, deadline=deadline
        )
        tracemalloc.start()
        try:
            with pytest.raises(http.HttpError) as caught:
                await connection.exchange_matching(
                    http.Request(method=b"GET", target=b"/"),
                    matches=lambda head: head.header(b"id") == b"a",
                    limit=LIMIT_BYTES,
                    deadline=deadline,
                )
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            await connection.close()
        seconds = time.monotonic() - started_at
        await curio.sleep(0.01)
        await ticker.cancel()
        assert not connection.is_reusable
        return caught.value, seconds, max(pauses), peak

    return curio.run(main)


@pytest.mark.parametrize("name", STREAMS)
def test_bytes_without_end_are_bounded(name):
    """Guards against a server that takes the memory or time of a process."""
    server = EndlessServer(*STREAMS[name])
    _, seconds, pause, peak = measure_exchange(server)
    assert seconds < EXCHANGE_SECONDS + SLACK_SECONDS
    assert pause < MAX_PAUSE_SECONDS
    assert peak < 4 * LIMIT_BYTES


@pytest.mark.parametrize(
    "first", [b"HTTP/1.1 200 OK\r\na: ", CHUNKED + b"9999\r\n"]
)
def test_a_byte_now_and_then_ends_at_the_deadline(first):
    """Guards against a deadline that each received byte extends."""
    server = EndlessServer(first, b"x", pause_seconds=0.02)
    error, seconds, _, _ = measure_exchange(server)
    assert isinstance(error, http.ResponseTimeoutError)
    assert seconds < EXCHANGE_SECONDS + SLACK_SECONDS
