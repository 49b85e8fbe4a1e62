"""A caller that records when its calls were sent and how they ended."""

import collections
import dataclasses
import time

import curio
import deployments
import h11

import banyandale_http as http

# A connection may end without an answer up to this long after the last byte of
# a call that no server got, since the two may have crossed.
CROSSING_SECONDS = 0.2
# Longest wait for an answer, beyond every deadline of a call.
ANSWER_SECONDS = 8.0
WRITER_POLL_SECONDS = 0.001
NOT_RUN_STATUS = 503


@dataclasses.dataclass(kw_only=True)
class Call:
    """A call as its caller saw it.

    Attributes:
        name: Id of the call.
        sent_at: Monotonic seconds when its last byte was sent.
        ended_at: Monotonic seconds when its answer was complete, or when its
            connection ended.
        status: Status of the answer; None without a complete one.
        closes: Whether the answer, or one before it, ended the connection.
        reason: Why a refusing gateway says that it refused.
    """

    name: str
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    closes: bool = False
    reason: bytes = b""

    def is_lost(self, executed):
        """Returns whether it got neither its answer nor a refusal in time."""
        if self.status is not None:
            return False
        if self.name in executed:
            return True
        late = self.ended_at - self.sent_at > CROSSING_SECONDS
        return late and not self.closes

    def describe(self, since):
        """Returns its course in seconds since a moment."""
        return (
            f"{self.name}: sent {self.sent_at - since:.3f}, "
            f"ended {self.ended_at - since:.3f}, status {self.status}"
        )


def encode(name, target, *, method="POST", deadline_ms=3000, body=b"b"):
    return (
        f"{method} {target} HTTP/1.1\r\nhost: h.example\r\n"
        f"x-request-id: {name}\r\nx-deadline-ms: {deadline_ms}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    ).encode() + body


class Connection:
    """A connection to a gateway.

    Attributes:
        calls: All calls that were sent on it.
    """

    def __init__(self, sock):
        self._sock = sock
        self._trailing = b""
        self.calls = []
        self.ended = False

    @classmethod
    async def open(cls, ip):
        """Opens a connection.

        Raises:
            OSError: The gateway does not listen.
        """
        sock = await http.open_socket(
            address=f"{ip}:{deployments.CALL_PORT}",
            source=None,
            deadline=time.monotonic() + 2,
        )
        return cls(sock)

    async def exchange(self, name, target, **fields):
        """Sends one call and reads its answer."""
        return await self.exchange_all([(name, target, fields)])

    async def exchange_all(self, requests, *, gap_seconds=0.0):
        """Sends calls, at once if without a gap, and reads their answers.

        Returns:
            The calls that were sent whole, in order.
        """
        sent = []
        writer = await curio.spawn(self._write, requests, gap_seconds, sent)
        closes = False
        for number in range(len(requests)):
            while len(sent) <= number and not writer.terminated:
                await curio.sleep(WRITER_POLL_SECONDS)
            if len(sent) <= number:
                break
            call = sent[number]
            call.closes = closes
            if not self.ended:
                await self._read(call)
            call.ended_at = time.monotonic()
            closes = call.closes
        await writer.join()
        return sent

    async def exchange_slowly(self, name, target, *, over_seconds, **fields):
        """Sends one call over some time and reads its answer."""
        data = encode(name, target, **fields)
        middle = len(data) // 2
        await self._sock.sendall(data[:middle])
        await curio.sleep(over_seconds)
        await self._sock.sendall(data[middle:])
        call = Call(name=name, sent_at=time.monotonic())
        await self._read(call)
        call.ended_at = time.monotonic()
        return [call]

    async def _write(self, requests, gap_seconds, sent):
        encoded = [
            (name, encode(name, target, **fields))
            for name, target, fields in requests
        ]
        try:
            if not gap_seconds:
                await self._sock.sendall(b"".join(data for _, data in encoded))
                now = time.monotonic()
                sent += [Call(name=name, sent_at=now) for name, _ in encoded]
                return
            for name, data in encoded:
                if self.ended:
                    return
                await self._sock.sendall(data)
                sent.append(Call(name=name, sent_at=time.monotonic()))
                await curio.sleep(gap_seconds)
        except OSError:
            # The gateway has closed the connection.
            self.ended = True

    async def close(self):
        self.ended = True
        await self._sock.close()

    async def _read(self, call):
        parser = h11.Connection(our_role=h11.CLIENT)
        parser.send(
            h11.Request(method="GET", target="/", headers=[("host", "h")])
        )
        parser.send(h11.EndOfMessage())
        if self._trailing:
            parser.receive_data(self._trailing)
        try:
            async with curio.timeout_after(ANSWER_SECONDS):
                response, body = await self._read_response(parser)
        except (OSError, h11.RemoteProtocolError, curio.TaskTimeout):
            self.ended = True
            return
        self._trailing, _ = parser.trailing_data
        headers = dict(response.headers)
        assert headers.get(b"x-request-id") == call.name.encode()
        call.status = response.status_code
        call.reason = b"" if call.status == 200 else body
        call.closes = headers.get(b"connection") == b"close"
        self.ended = call.closes

    async def _read_response(self, parser):
        response, body = None, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await self._sock.recv(65536))
            elif isinstance(event, h11.EndOfMessage):
                return response, body
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.Response):
                response = event
            else:
                raise h11.RemoteProtocolError(f"{event} before an answer")


class Tasks:
    """Tasks that a test waits for; a curio.TaskGroup hides their errors."""

    def __init__(self):
        self._tasks = []

    async def spawn(self, run, *args):
        self._tasks.append(await curio.spawn(run, *args))

    async def join(self):
        for task in self._tasks:
            await task.join()


async def send_one(ip, name, target, **fields):
    """Sends a call on a new connection; [] if the gateway is gone."""
    try:
        connection = await Connection.open(ip)
    except (OSError, curio.TaskTimeout):
        return []
    try:
        return await connection.exchange(name, target, **fields)
    finally:
        await connection.close()


def find_faults(calls, deployment, *, since, is_write, find_timeout):
    """Returns where a gateway broke its promises to callers around a stop.

    Args:
        calls: All calls that were sent.
        deployment: The servers.
        since: Moment of the stop.
        is_write: Returns whether a call of this name must not be repeated.
        find_timeout: Returns the seconds until it may be given up.
    """
    executed = [name for s in deployment.servers for name in s.executed_ids]
    ran = collections.Counter(executed)
    faults = [
        ("lost", call.describe(since)) for call in calls if call.is_lost(ran)
    ]
    faults += [
        ("refused and run", call.describe(since))
        for call in calls
        if call.status == NOT_RUN_STATUS and ran[call.name] > 0
    ]
    faults += [
        ("broken off", call.describe(since))
        for call in calls
        if call.status not in {None, 200, NOT_RUN_STATUS}
        and call.ended_at - call.sent_at < find_timeout(call.name)
    ]
    faults += [
        ("run twice", name)
        for name, count in ran.items()
        if is_write(name) and count > 1
    ]
    return faults
