"""Tests of callers that send further requests before the first is answered."""

import signal
import socket
import struct
import time

import curio
import deployments
import h11
import pytest

import banyandale_http as http

EXPECTS = b"expect: 100-continue\r\n"


class PipeliningCaller:
    """A caller that sends bytes as given and reads the responses in order."""

    def __init__(self, sock):
        self._sock = sock
        self._parser = h11.Connection(our_role=h11.CLIENT)

    @classmethod
    async def connect(cls, ip):
        sock = await http.open_socket(
            address=f"{ip}:{deployments.CALL_PORT}",
            source=None,
            deadline=time.monotonic() + 2,
        )
        return cls(sock)

    async def send(self, *requests):
        await self._sock.sendall(b"".join(requests))

    async def close(self):
        await self._sock.close()

    async def reset(self):
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        await self._sock.close()

    async def read_continue(self):
        """Reads an interim response behind the last final one."""
        expected = b"HTTP/1.1 100 \r\n\r\n"
        data, _ = self._parser.trailing_data
        self._parser = h11.Connection(our_role=h11.CLIENT)
        while len(data) < len(expected):
            async with curio.timeout_after(4):
                data += await self._sock.recv(len(expected) - len(data))
        return data == expected

    async def read(self):
        """Returns the id and status of the next response; None at the end."""
        parser = h11.Connection(our_role=h11.CLIENT)
        trailing, _ = self._parser.trailing_data
        parser.send(
            h11.Request(method="GET", target="/", headers=[("host", "h")])
        )
        parser.send(h11.EndOfMessage())
        if trailing:
            parser.receive_data(trailing)
        self._parser = parser
        response = await self._next_event()
        if isinstance(response, h11.ConnectionClosed):
            return None
        while not isinstance(await self._next_event(), h11.EndOfMessage):
            pass
        headers = dict(response.headers)
        closes = headers.get(b"connection") == b"close"
        return headers.get(b"x-request-id"), response.status_code, closes

    async def _next_event(self):
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            async with curio.timeout_after(4):
                data = await self._sock.recv(65536)
            if not data and not self._parser.trailing_data[0]:
                return h11.ConnectionClosed()
            self._parser.receive_data(data)
        return event


def encode(name, target="/read/x", *, method="GET", body=b"", extra=b""):
    return (
        f"{method} {target} HTTP/1.1\r\nhost: h.example\r\n"
        f"x-request-id: {name}\r\nx-deadline-ms: 2500\r\n"
        f"content-length: {len(body)}\r\n"
    ).encode() + (extra + b"\r\n" + body)


def executed(deployment):
    return [name for s in deployment.servers for name in s.executed_ids]


def test_repeatable_calls_run_concurrently_and_answers_keep_their_order(
    tmp_path,
):
    """Guards against a call that waits in a buffer behind a slow one."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.work_seconds = 0.4
        caller = await PipeliningCaller.connect(ip)
        started_at = time.monotonic()
        await caller.send(*(encode(f"n{n}") for n in range(3)))
        names = [(await caller.read())[0] for _ in range(3)]
        assert names == [b"n0", b"n1", b"n2"]
        assert time.monotonic() - started_at < 2 * 0.4
        await caller.close()

    deployments.run(tmp_path, scenario)


def test_a_call_that_must_not_be_repeated_runs_alone(tmp_path):
    """Guards against a write that overlaps with its caller's other calls."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.work_seconds = 0.3
        caller = await PipeliningCaller.connect(ip)
        await caller.send(
            encode("r0"),
            encode("w1", "/write/x", method="POST", body=b"b"),
            encode("r2"),
        )
        await curio.sleep(0.15)
        assert executed(deployment) == ["r0"]
        assert (await caller.read())[0] == b"r0"
        await curio.sleep(0.15)
        assert sorted(executed(deployment)) == ["r0", "w1"]
        assert (await caller.read())[0] == b"w1"
        assert (await caller.read())[0] == b"r2"
        assert sorted(executed(deployment)) == ["r0", "r2", "w1"]
        await caller.close()

    deployments.run(tmp_path, scenario)


def test_a_caller_that_leaves_ends_all_its_calls(tmp_path):
    """Guards against servers that work for pipelined calls of nobody."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.work_seconds = 5.0
        caller = await PipeliningCaller.connect(ip)
        await caller.send(
            encode("r0"), encode("r1"), encode("w2", "/write/x", method="POST")
        )
        await deployments.wait_until(lambda: len(executed(deployment)) == 2)
        await caller.close()
        left_at = time.monotonic()
        await deployments.wait_until(
            lambda: sum(len(s.cancelled) for s in deployment.servers) == 2
        )
        assert time.monotonic() - left_at < 0.5
        await curio.sleep(0.3)
        assert sorted(executed(deployment)) == ["r0", "r1"]

    deployments.run(tmp_path, scenario)


def test_requests_behind_a_closing_response_are_not_forwarded(tmp_path):
    """Guards against running a request that its caller sends again."""

    async def scenario(deployment, ip):
        caller = await PipeliningCaller.connect(ip)
        await caller.send(
            encode("n0"),
            encode("n1", extra=b"connection: close\r\n"),
            encode("n2", "/write/x", method="POST"),
        )
        assert await caller.read() == (b"n0", 200, False)
        assert await caller.read() == (b"n1", 200, True)
        assert await caller.read() is None
        assert sorted(executed(deployment)) == ["n0", "n1"]
        await caller.close()

    deployments.run(tmp_path, scenario)


def test_a_stop_answers_all_pipelined_calls_that_it_forwards(tmp_path):
    """Guards against a planned stop that cuts a request behind another."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.work_seconds = 0.5
        caller = await PipeliningCaller.connect(ip)
        await caller.send(encode("n0"), encode("n1"))
        await deployments.wait_until(lambda: len(executed(deployment)) == 2)
        deployment.processes[ip].send_signal(signal.SIGTERM)
        await deployments.wait_until(lambda: deployment.read_events(ip, "stop"))
        await caller.send(encode("n2"), encode("n3"))
        answers = []
        while (answer := await caller.read()) is not None:
            answers.append(answer)
        names = [name.decode() for name, _, _ in answers]
        assert names == [f"n{n}" for n in range(len(names))]
        assert [closes for _, _, closes in answers] == (
            [False] * (len(answers) - 1) + [True]
        )
        assert sorted(set(executed(deployment))) == names
        assert len(names) >= 2
        await caller.close()

    deployments.run(tmp_path, scenario)


@pytest.mark.parametrize("step", [1, 7, 64])
def test_requests_arrive_in_any_pieces(tmp_path, step):
    """Guards against a request that is lost between two segments."""

    async def scenario(deployment, ip):
        caller = await PipeliningCaller.connect(ip)
        data = b"".join(
            [
                encode("n0"),
                encode("w1", "/write/x", method="POST", body=b"body"),
                encode("n2"),
            ]
        )
        for start in range(0, len(data), step):
            await caller.send(data[start : start + step])
            await curio.sleep(0)
        for name in (b"n0", b"w1", b"n2"):
            assert await caller.read() == (name, 200, False)
        await caller.close()

    deployments.run(tmp_path, scenario)


def test_a_malformed_request_is_answered_in_its_turn(tmp_path):
    """Guards against answers lost to a malformed request behind them."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.work_seconds = 0.2
        caller = await PipeliningCaller.connect(ip)
        await caller.send(
            encode("n0"), encode("n1"), b"no request\r\n\r\n", encode("n3")
        )
        assert await caller.read() == (b"n0", 200, False)
        assert await caller.read() == (b"n1", 200, False)
        _, status, closes = await caller.read()
        assert (status, closes) == (400, True)
        assert await caller.read() is None
        assert sorted(executed(deployment)) == ["n0", "n1"]
        await caller.close()

    deployments.run(tmp_path, scenario)


def test_a_caller_that_never_reads_uses_bounded_memory(tmp_path):
    """Guards against a caller that fills the memory with its requests."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.work_seconds = 1.0
        caller = await PipeliningCaller.connect(ip)
        flood = await curio.spawn(
            caller.send, *(encode(f"n{n}") for n in range(20_000))
        )
        await curio.sleep(0.8)
        assert len(set(executed(deployment))) <= 16
        await flood.cancel()
        await caller.close()
        assert (await deployment.send(ip, "/other/x")).status == 503

    deployments.run(tmp_path, scenario)


def test_a_caller_that_resets_instead_of_its_body_is_no_fault(tmp_path):
    """Guards against an internal fault logged for a caller that has left."""

    async def scenario(deployment, ip):
        head = encode("w", "/write/x", method="POST", extra=EXPECTS).replace(
            b"content-length: 0", b"content-length: 5"
        )
        for _ in range(20):
            caller = await PipeliningCaller.connect(ip)
            await caller.send(head)
            await caller.reset()
        await curio.sleep(0.2)
        assert (await deployment.send(ip, "/read/x")).status == 200
        assert deployment.read_events(ip, "fault") == []
        assert "w" not in executed(deployment)

    deployments.run(tmp_path, scenario)


def test_a_request_that_expects_to_continue_is_served_in_its_turn(tmp_path):
    """Guards against a request that waits behind answers already sent."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.work_seconds = 0.2
        caller = await PipeliningCaller.connect(ip)
        head = encode("n1", method="POST", extra=EXPECTS).replace(
            b"content-length: 0", b"content-length: 5"
        )
        await caller.send(encode("n0"), head)
        assert await caller.read() == (b"n0", 200, False)
        assert await caller.read_continue()
        await caller.send(b"small")
        assert await caller.read() == (b"n1", 200, False)
        await caller.close()

    deployments.run(tmp_path, scenario)
