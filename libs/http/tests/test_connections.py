"""Tests of complete exchanges and of the safe reuse of connections."""

import time

import curio
import curio.socket
import pytest

import banyandale_core as core
import banyandale_http as http


async def start_raw_server(replies):
    """Answers each received block of data with the next raw reply.

    A reply of None closes the connection at once.
    """
    listener = http.open_listener("127.0.0.1:0")
    address = f"127.0.0.1:{listener.getsockname()[1]}"

    async def serve():
        sock, _ = await listener.accept()
        for reply in replies:
            if reply is None or not await sock.recv(65536):
                break
            await sock.sendall(reply)
        await sock.close()
        await listener.close()

    await curio.spawn(serve, daemon=True)
    return address


def run_exchanges(replies, count=1):
    """Sends `count` GET requests on one connection; returns the bodies."""

    async def main():
        address = await start_raw_server(replies)
        deadline = time.monotonic() + 2
        connection = await http.ClientConnection.open(
            address=address, deadline=deadline
        )
        request = http.Request(method=b"GET", target=b"/")
        bodies = []
        for _ in range(count):
            response = await connection.exchange(
                request, limit=1000, deadline=deadline
            )
            bodies.append(response.body)
        await curio.sleep(0.02)
        reusable = connection.is_reusable
        await connection.close()
        return bodies, reusable

    return curio.run(main)


WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


def test_connection_is_reused_after_whole_response():
    """Guards against opening a connection for each request."""
    bodies, _ = run_exchanges([WHOLE, WHOLE], count=2)
    assert bodies == [b"hello", b"hello"]


def test_unexpected_bytes_prevent_reuse():
    """Guards against taking a duplicate response for the next one."""
    _, reusable = run_exchanges([WHOLE + WHOLE])
    assert not reusable


@pytest.mark.parametrize(
    ("reply", "error"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", "truncated"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello",
            "truncated",
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nhello", "malformed"),
        (b"no http\r\n\r\n", "malformed"),
        (b"", "truncated"),
    ],
)
def test_incomplete_response_is_an_error(reply, error):
    """Guards against forwarding a truncated response as a complete one."""
    with pytest.raises(http.HttpError) as caught:
        run_exchanges([reply, None])
    assert caught.value.code == f"{error}_response"
    assert caught.value.run is core.RunMark.UNKNOWN


def test_refused_connection_is_marked_not_run():
    """Guards against an UNKNOWN run mark when nothing was sent."""

    async def main():
        await http.ClientConnection.open(
            address="127.0.0.1:1", deadline=time.monotonic() + 1
        )

    with pytest.raises(http.ConnectError) as caught:
        curio.run(main)
    assert caught.value.run is core.RunMark.NOT_RUN


@pytest.mark.parametrize("whole", [False, True])
def test_response_without_length_is_complete_only_with_its_end(whole):
    """Guards against a close that makes a partial body look complete.

    To an HTTP/1.0 caller, the end of the connection is the end of the body.
    """

    async def main():
        listener = http.open_listener("127.0.0.1:0")
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        deadline = time.monotonic() + 2
        sock = await http.open_socket(
            address=address, source=None, deadline=deadline
        )
        await sock.sendall(b"GET / HTTP/1.0\r\n\r\n")
        accepted, _ = await listener.accept()
        connection = http.ServerConnection(sock=accepted)
        await connection.read_request(limit=0, idle_deadline=deadline)
        await connection.start_response(http.ResponseHead(status=200))
        await connection.send_chunk(b"part")
        if whole:
            await connection.end_response()
        assert (await sock.recv(1000)).endswith(b"part")
        await connection.close()
        async with sock, listener:
            return await sock.recv(1000)

    if whole:
        assert curio.run(main) == b""
    else:
        with pytest.raises(ConnectionResetError):
            curio.run(main)


def test_a_key_is_not_repeated_on_a_connection():
    """Guards against a copy of an earlier response to the same request."""

    async def main():
        accepted = []

        async def serve(sock):
            while await sock.recv(4096):
                await sock.sendall(WHOLE)

        async def accept():
            while True:
                sock, _ = await listener.accept()
                accepted.append(sock)
                await curio.spawn(serve, sock, daemon=True)

        listener = http.open_listener("127.0.0.1:0")
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        await curio.spawn(accept, daemon=True)
        pool = http.Pool(address=address, limit=3)
        deadline = time.monotonic() + 2
        used = []
        for key in ("a", "a", "b", "a", "b", "b"):
            connection = await pool.acquire(deadline=deadline, key=key)
            assert not connection.has_carried(key)
            await connection.exchange_matching(
                http.Request(method=b"GET", target=b"/"),
                matches=lambda head: True,
                limit=1000,
                deadline=deadline,
                key=key,
            )
            await pool.release(connection)
            used.append(connection)
        # Connections stay in the pool for other keys.
        assert [used.index(connection) for connection in used] == [
            0,
            1,
            1,
            3,
            3,
            0,
        ]
        assert len(accepted) == 3
        await pool.clear()
        await listener.close()

    curio.run(main)
