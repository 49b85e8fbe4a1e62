"""Tests of matching responses to requests, and of slow callers."""

import socket
import time

import curio
import pytest

import banyandale_http as http

MATCHING = b"HTTP/1.1 200 OK\r\nid: a\r\ncontent-length: 2\r\n\r\nok"
UNMATCHED = b"HTTP/1.1 200 OK\r\nid: z\r\ncontent-length: 5\r\n\r\nstray"
EXPECTING = (
    b"POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n"
    b"expect: 100-continue\r\n\r\n"
)
CONTINUE = b"HTTP/1.1 100 \r\n\r\n"


async def start_server(reply, *, read_bytes=1):
    """Sends a raw reply once it has read some bytes, then closes."""
    listener = http.open_listener("127.0.0.1:0")
    address = f"127.0.0.1:{listener.getsockname()[1]}"

    async def serve():
        sock, _ = await listener.accept()
        received = 0
        while received < read_bytes:
            received += len(await sock.recv(1024))
        await sock.sendall(reply)
        await curio.sleep(0.05)
        await sock.close()
        await listener.close()

    await curio.spawn(serve, daemon=True)
    return address


def exchange(reply, *, body=b"", **options):
    async def main():
        address = await start_server(reply, **options)
        deadline = time.monotonic() + 2
        connection = await http.ClientConnection.open(
            address=address, deadline=deadline
        )
        try:
            response = await connection.exchange_matching(
                http.Request(method=b"POST", target=b"/", body=body),
                matches=lambda head: head.header(b"id") == b"a",
                limit=1 << 20,
                deadline=deadline,
            )
            return response, connection.is_reusable
        finally:
            await connection.close()

    return curio.run(main)


def test_a_second_response_to_an_earlier_request_is_skipped():
    """Guards against accepting a response to another request."""
    response, _ = exchange(UNMATCHED + MATCHING)
    assert response.body == b"ok"


def test_bytes_behind_the_response_prevent_reuse():
    """Guards against taking leftover bytes for the next response."""
    response, reusable = exchange(MATCHING + UNMATCHED)
    assert (response.body, reusable) == (b"ok", False)


def test_only_unmatched_responses_are_an_error():
    """Guards against returning another caller's response as the last resort."""
    with pytest.raises(http.HttpError):
        exchange(UNMATCHED * 9)
    with pytest.raises(http.HttpError):
        exchange(UNMATCHED)


def test_a_response_without_length_ends_with_its_connection():
    """Guards against rejecting a response because it has no length."""
    reply = b"HTTP/1.1 200 OK\r\nid: a\r\n\r\n"
    response, reusable = exchange(reply + b"until the end")
    assert (response.body, reusable) == (b"until the end", False)


def test_a_truncated_response_is_an_error():
    """Guards against a partial response that looks complete."""
    with pytest.raises(http.TruncatedResponseError):
        exchange(MATCHING[:-1])
    with pytest.raises(http.HttpError):
        exchange(b"no answer at all\r\n\r\n")


def test_an_early_response_to_a_long_body_prevents_reuse():
    """Guards against a next request sent in place of the unsent body."""
    response, reusable = exchange(MATCHING, body=b"x" * (32 << 20))
    assert (response.body, reusable) == (b"ok", False)


def serve_caller(use):
    """Runs `use(connection, caller_socket)` with an accepted connection."""

    async def main():
        listener = http.open_listener("127.0.0.1:0")
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        caller = await http.open_socket(
            address=address, source=None, deadline=time.monotonic() + 2
        )
        sock, _ = await listener.accept()
        connection = http.ServerConnection(sock=sock, max_head_bytes=2048)
        try:
            await use(connection, caller)
        finally:
            await caller.close()
            await connection.close()
            await listener.close()

    curio.run(main)


def read(connection, **options):
    return connection.read_request(
        limit=100,
        idle_deadline=time.monotonic() + 2,
        head_seconds=options.get("head_seconds", 0.2),
    )


def test_a_head_that_comes_too_slowly_is_a_timeout():
    """Guards against connections that a partial request keeps open."""

    async def use(connection, caller):
        await caller.sendall(b"GET / HTTP/1.1\r\nhost: h")
        with pytest.raises(http.RequestTimeoutError) as caught:
            await read(connection)
        assert caught.value.status == 408

    serve_caller(use)


def test_chunked_bodies_and_pipelined_requests_are_read():
    """Guards against losing a request that follows directly on another."""

    async def use(connection, caller):
        await caller.sendall(
            b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n"
        )
        first = await read(connection)
        assert (first.target, first.body) == (b"/a", b"abc")
        await connection.send_response(http.Response(status=200))
        second = await read(connection)
        assert second.target == b"/b"

    serve_caller(use)


def test_a_head_over_the_limit_is_431():
    """Guards against headers that use up the memory of the process."""

    async def use(connection, caller):
        await caller.sendall(b"GET / HTTP/1.1\r\nhost: h\r\na: " + b"x" * 9000)
        with pytest.raises(http.MalformedRequestError) as caught:
            await read(connection)
        assert caught.value.status == 431

    serve_caller(use)


def test_a_caller_that_disconnects_is_detected():
    """Guards against work for callers that have disconnected."""

    async def use(connection, caller):
        task = await curio.spawn(connection.wait_for_caller_disconnect)
        await curio.sleep(0.02)
        assert not task.terminated
        await caller.close()
        async with curio.timeout_after(2):
            await task.join()

    serve_caller(use)


def test_responses_go_to_the_oldest_unanswered_request():
    """Guards against the response of one request sent for another."""

    async def use(connection, caller):
        await caller.sendall(
            b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"
            b"GET /b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
            b"GET /c HTTP/1.1\r\nhost: h\r\n\r\n"
        )
        assert (await read(connection)).target == b"/a"
        assert (await read(connection)).target == b"/b"
        assert await read(connection) is None
        assert not connection.caller_left
        await connection.send_response(http.Response(status=200))
        await connection.send_response(http.Response(status=204))
        data = await caller.recv(4096)
        first, second = data.split(b"HTTP/1.1 ")[1:]
        assert first.startswith(b"200")
        assert b"close" not in first
        assert second.startswith(b"204")
        assert b"connection: close" in second.lower()

    serve_caller(use)


def test_unread_requests_do_not_reset_the_last_response():
    """Guards against a caller that loses its response to a reset."""

    async def use(connection, caller):
        await caller.sendall(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
        assert (await read(connection)).target == b"/a"
        await caller.sendall(b"GET /b HTTP/1.1\r\nhost: h\r\n\r\n")
        connection.close_after_response()
        await connection.send_response(
            http.Response(status=200, body=b"x" * 500_000)
        )
        closing = await curio.spawn(connection.close)
        size = 0
        while data := await caller.recv(65536):
            size += len(data)
            await curio.sleep(0.01)
        assert size > 500_000
        await caller.close()
        await closing.join()

    serve_caller(use)


def test_a_drained_connection_still_answers_its_next_request():
    """Guards against a request cut off on a connection just accepted."""

    async def use(connection, caller):
        connection.close_after_response()
        await caller.sendall(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
        assert (await read(connection)).target == b"/a"
        await connection.send_response(http.Response(status=200))
        assert b"connection: close" in (await caller.recv(4096)).lower()

    serve_caller(use)


def test_a_response_to_a_head_request_has_no_body():
    """Guards against a connection that ends instead of a refusal."""

    async def use(connection, caller):
        await caller.sendall(
            b"HEAD /a HTTP/1.1\r\nhost: h\r\n\r\n"
            b"GET /b HTTP/1.1\r\nhost: h\r\n\r\n"
        )
        for target in (b"/a", b"/b"):
            assert (await read(connection)).target == target
        for _ in range(2):
            await connection.send_response(
                http.Response(status=503, body=b"busy")
            )
        data = await caller.recv(4096)
        first, second = data.split(b"HTTP/1.1 ")[1:]
        for part in (first, second):
            assert part.startswith(b"503")
            assert b"content-length: 4" in part
        assert first.endswith(b"\r\n\r\n")
        assert second.endswith(b"\r\n\r\nbusy")
        assert connection.is_reusable

    serve_caller(use)


def test_an_interim_response_waits_for_the_bytes_of_earlier_responses():
    """Guards against a `100` in the middle of an earlier response's body."""

    async def use(connection, caller):
        connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)
        await caller.sendall(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n" + EXPECTING)
        assert (await read(connection)).target == b"/a"
        reading = await curio.spawn(read, connection)
        body = bytes(range(256)) * 49152
        sending = await curio.spawn(
            connection.send_response, http.Response(status=200, body=body)
        )
        received = bytearray()
        while not received.endswith(CONTINUE) or len(received) < len(body):
            async with curio.timeout_after(2):
                data = await caller.recv(65536)
            assert data
            received += data
            await curio.sleep(0.001)
        head, _, rest = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert rest.find(CONTINUE) == len(body)
        assert rest == body + CONTINUE
        await caller.sendall(b"small")
        assert (await reading.join()).body == b"small"
        await sending.join()

    serve_caller(use)


@pytest.mark.parametrize("ended_by", ["end", "shut_down"])
def test_no_interim_response_follows_the_end_of_the_connection(ended_by):
    """Guards against a reader that writes to an ended connection or waits."""

    async def use(connection, caller):
        await caller.sendall(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n" + EXPECTING)
        assert (await read(connection)).target == b"/a"
        reading = await curio.spawn(read, connection)
        await curio.sleep(0.02)
        await getattr(connection, ended_by)()
        async with curio.timeout_after(1):
            assert await reading.join() is None
        assert await caller.recv(4096) == b""

    serve_caller(use)


def test_a_head_that_crosses_the_end_gets_no_interim_response():
    """Guards against an error for a caller that did nothing wrong."""

    async def use(connection, caller):
        reading = await curio.spawn(read, connection)
        await curio.sleep(0.02)
        await connection.end()
        await caller.sendall(EXPECTING)
        async with curio.timeout_after(1):
            assert await reading.join() is None
        assert await caller.recv(4096) == b""

    serve_caller(use)


CHUNKED = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"


def encode_chunks(count, extension=b""):
    return (b"1%b\r\nx\r\n" % extension) * count + b"0\r\n\r\n"


def test_a_body_in_tiny_chunks_does_not_stop_other_tasks():
    """Guards against a process that stands still while it reads a body."""

    async def use(connection, caller):
        passes = 0

        async def count_passes():
            nonlocal passes
            while True:
                await curio.sleep(0)
                passes += 1

        chunks = 5000
        await caller.sendall(CHUNKED + encode_chunks(chunks))
        reading = await curio.spawn(
            connection.read_request(
                limit=chunks,
                idle_deadline=time.monotonic() + 5,
                head_seconds=5,
            )
        )
        counting = await curio.spawn(count_passes)
        request = await reading.join()
        await counting.cancel()
        assert request.body == b"x" * chunks
        assert passes > chunks / 100

    serve_caller(use)


def test_a_body_that_is_nearly_all_chunk_extensions_is_too_large():
    """Guards against a caller that keeps a process busy with a small body."""

    async def use(connection, caller):
        data = CHUNKED + encode_chunks(90, b";" + b"e" * 2000)
        sending = await curio.spawn(caller.sendall, data)
        with pytest.raises(http.RequestTooLargeError):
            await read(connection)
        await sending.cancel()

    serve_caller(use)


def test_a_body_within_the_limit_may_have_more_framing_than_content():
    """Guards against refusing the small chunks of a proper caller."""

    async def use(connection, caller):
        await caller.sendall(
            CHUNKED + encode_chunks(90, b";" + b"e" * 20) + EXPECTING
        )
        assert (await read(connection)).body == b"x" * 90

    serve_caller(use)


def test_trailers_over_the_limit_of_a_head_are_431():
    """Guards against trailers that use up the memory of the process."""

    async def use(connection, caller):
        await caller.sendall(CHUNKED + b"1\r\nx\r\n0\r\na: " + b"x" * 9000)
        with pytest.raises(http.MalformedRequestError) as caught:
            await read(connection)
        assert caught.value.status == 431

    serve_caller(use)
