"""Tests of responses that break off at every possible byte."""

import socket
import struct
import threading
import time

import curio
import pytest

import banyandale_core as core
import banyandale_http as http

BODY = b"0123456789"
LENGTH = b"HTTP/1.1 200 OK\r\nid: a\r\ncontent-length: 10\r\n\r\n" + BODY
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n"
    b"4\r\n0123\r\n6;x=y\r\n456789\r\n0\r\nt: v\r\n\r\n"
)
UNFRAMED = b"HTTP/1.1 200 OK\r\nid: a\r\n\r\n" + BODY
HEAD_BYTES = UNFRAMED.index(BODY)
EXCHANGE_SECONDS = 0.1


class BreakingServer:
    """Sends the next prefix of a response on each connection, then ends it."""

    def __init__(self, response, end):
        self._response = response
        self._end = end
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=100)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        silent = []
        with self._listener:
            for size in range(len(self._response) + 1):
                sock, _ = self._listener.accept()
                sock.recv(4096)
                sock.sendall(self._response[:size])
                if self._end == "silence":
                    silent.append(sock)
                    continue
                if self._end == "reset":
                    # Lets the client read the bytes before the reset.
                    time.sleep(0.005)
                    linger = struct.pack("ii", 1, 0)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.close()
        # Keeps silent connections open beyond the deadline of the last one.
        time.sleep(3 * EXCHANGE_SECONDS)


async def exchange(address):
    """Returns the body, or None if the exchange failed."""
    deadline = time.monotonic() + EXCHANGE_SECONDS
    connection = await http.ClientConnection.open(
        address=address, deadline=deadline
    )
    try:
        response = await connection.exchange_matching(
            http.Request(method=b"GET", target=b"/"),
            matches=lambda head: head.header(b"id") == b"a",
            limit=1000,
            deadline=deadline,
        )
        return response.body
    except http.HttpError:
        return None
    finally:
        await connection.close()


@pytest.mark.parametrize("end", ["close", "reset", "silence"])
@pytest.mark.parametrize("response", [LENGTH, CHUNKED])
def test_a_part_of_a_response_is_never_a_success(response, end):
    """Guards against a caller that gets half an answer as a whole one."""

    async def main():
        server = BreakingServer(response, end)
        bodies = [await exchange(server.address) for _ in response]
        assert bodies == [None] * len(response)
        assert await exchange(server.address) == BODY

    curio.run(main)


@pytest.mark.parametrize("end", ["reset", "silence"])
def test_a_response_without_length_needs_an_orderly_end(end):
    """Guards against a reset that is taken for the end of a body."""

    async def main():
        server = BreakingServer(UNFRAMED, end)
        for _ in range(len(UNFRAMED) + 1):
            assert await exchange(server.address) is None

    curio.run(main)


class UnreadingServer(threading.Thread):
    """Resets the connection while it is still being sent a request."""

    def __init__(self, count):
        super().__init__(daemon=True)
        self._count = count
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    def run(self):
        with self._listener:
            for _ in range(self._count):
                sock, _ = self._listener.accept()
                with sock:
                    sock.recv(4096)
                    sock.sendall(UNFRAMED[:-5])
                    time.sleep(0.003)
                    # The client goes on sending just before the reset.
                    size = 0
                    while size < 200_000:
                        size += len(sock.recv(1 << 20))
                    linger = struct.pack("ii", 1, 0)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def test_a_reset_that_the_sender_sees_does_not_end_a_body():
    """Guards against half a body as a whole one for a long request."""

    async def main():
        count = 30
        server = UnreadingServer(count)
        server.start()
        request = http.Request(
            method=b"POST", target=b"/", body=b"x" * (16 << 20)
        )
        for _ in range(count):
            deadline = time.monotonic() + 2
            connection = await http.ClientConnection.open(
                address=server.address, deadline=deadline
            )
            with pytest.raises(http.HttpError) as caught:
                await connection.exchange_matching(
                    request,
                    matches=lambda head: head.header(b"id") == b"a",
                    limit=1000,
                    deadline=deadline,
                )
            assert caught.value.run is core.RunMark.UNKNOWN
            await connection.close()

    curio.run(main)
