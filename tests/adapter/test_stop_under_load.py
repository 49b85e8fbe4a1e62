"""Tests of planned stops while callers send requests."""

import signal
import time

import curio
import deployments

import banyandale_http as http

CALLERS = 12
LOAD_SECONDS = 2.0
STOP_AFTER_SECONDS = 0.5
WORK_SECONDS = 0.1


def is_write(name):
    """Returns whether a request must not be repeated: every third caller's."""
    return int(name[1:].split("-")[0]) % 3 == 0


class Caller:
    """Sends requests until the time is over; uses connections while it can.

    Attributes:
        answers: Status by request id; None where a request sent whole got no
            answer.
    """

    def __init__(self, number, ip):
        self._number = number
        self._ip = ip
        self.answers = {}

    async def run(self, until):
        connection = None
        count = 0
        while time.monotonic() < until:
            deadline = time.monotonic() + 3
            if connection is None:
                try:
                    connection = await http.ClientConnection.open(
                        address=f"{self._ip}:{deployments.CALL_PORT}",
                        deadline=deadline,
                    )
                except http.ConnectError:
                    return
            name = f"c{self._number}-{count}"
            count += 1
            try:
                response = await self._send(connection, name, deadline)
            except http.HttpError:
                self.answers[name] = None
                await connection.close()
                connection = None
                continue
            self.answers[name] = response.status
            # Every other caller opens a connection per request.
            if self._number % 2 or not connection.is_reusable:
                await connection.close()
                connection = None

    async def _send(self, connection, name, deadline):
        write = is_write(name)
        return await connection.exchange(
            http.Request(
                method=b"POST" if write else b"GET",
                target=b"/write/x" if write else b"/read/x",
                headers=(
                    (b"host", b"h.example"),
                    (b"x-request-id", name.encode()),
                    (b"x-deadline-ms", b"2500"),
                ),
            ),
            limit=1 << 20,
            deadline=deadline,
        )


def test_a_stop_under_load_cuts_no_request(tmp_path):
    """Guards against requests accepted just before or during a stop.

    Two more signals arrive meanwhile. A request that a server executed must be
    answered, and one that is refused must not be executed.
    """

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.work_seconds = WORK_SECONDS
        callers = [Caller(number, ip) for number in range(CALLERS)]
        until = time.monotonic() + LOAD_SECONDS
        tasks = [await curio.spawn(caller.run, until) for caller in callers]
        process = deployment.processes[ip]
        await curio.sleep(STOP_AFTER_SECONDS)
        process.send_signal(signal.SIGTERM)
        await curio.sleep(0.2)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        for task in tasks:
            await task.join()
        answers = {}
        for caller in callers:
            answers |= caller.answers
        executed = [i for s in deployment.servers for i in s.executed_ids]
        assert [name for name, status in answers.items() if not status] == []
        refused = {name for name, status in answers.items() if status == 503}
        assert refused.isdisjoint(executed)
        assert len(answers) > CALLERS
        assert set(executed) <= answers.keys()
        writes = [name for name in executed if is_write(name)]
        assert len(writes) == len(set(writes))
        await curio.run_in_thread(process.wait, deployments.GRACE_SECONDS)
        assert process.returncode == 0

    deployments.run(tmp_path, scenario)
