"""Tests of gateways whose servers send bytes without end."""

import json
import pathlib

import curio
import deployments
import pytest
import raw_servers

# Memory of the smallest VM on which a gateway runs.
VM_BYTES = 200_000_000
CALLS = 12
HEAD = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\nx-request-id: %b\r\n"
REPORT = (
    b"HTTP/1.1 200 OK\r\nx-instance-id: %b\r\nx-server-load: 0,0,9,100\r\n"
    b"content-length: 0\r\n\r\n"
)
STREAMS = {
    "head": (HEAD + b"a: ", b"x" * 65536),
    "body without length": (HEAD + b"\r\n", b"x" * 65536),
    "chunks of one byte": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 10_000,
    ),
    "bytes after an answer": (
        HEAD + b"content-length: 2\r\n\r\nok",
        b"x" * 65536,
    ),
}


class EndlessServer(raw_servers.RawServer):
    """Reports that it is idle and answers each call without end."""

    def __init__(self, name, first, repeated):
        self._name = name
        self._first = first
        self._repeated = repeated
        self.calls = 0
        super().__init__()

    def _serve(self, sock):
        with sock:
            try:
                while request := sock.recv(65536):
                    if request.startswith(b"GET /health"):
                        sock.sendall(REPORT % self._name.encode())
                        continue
                    self.calls += 1
                    _, _, rest = request.partition(b"x-request-id: ")
                    sock.sendall(self._first % rest.partition(b"\r\n")[0])
                    while True:
                        sock.sendall(self._repeated)
            except OSError:
                return


def read_peak_bytes(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [x for x in status.splitlines() if x.startswith("VmHWM:")]
    return int(line.split()[1]) * 1024


@pytest.mark.parametrize("name", STREAMS)
def test_endless_answers_take_neither_memory_nor_time(tmp_path, name):
    """Guards against one server that takes the gateway away from all others."""
    first, repeated = STREAMS[name]

    async def scenario(deployment, ip):
        endless = [EndlessServer(f"e-{n}", first, repeated) for n in range(2)]
        for server in endless:
            entry = server.make_entry()
            await deployment.store.put("servers", server._name, entry)
        await deployments.wait_until(
            lambda: len(deployment.read_events(ip, "server_entry")) >= 2
        )
        tasks = [
            await curio.spawn(call_endless, deployment, ip, f"n{number}")
            for number in range(CALLS)
        ]
        await curio.sleep(0.1)
        response = await deployment.send(ip, "/read/x", name="other")
        assert json.loads(response.body)["server"].startswith("i-")
        for task in tasks:
            await task.join()
        assert sum(server.calls for server in endless) > 0
        process = deployment.processes[ip]
        assert process.poll() is None
        assert read_peak_bytes(process) < VM_BYTES
        for server in endless:
            server.close()

    async def call_endless(deployment, ip, call_id):
        response = await deployment.send(ip, "/other/x", name=call_id)
        if name == "bytes after an answer":
            assert response.body in (b"ok", b"") or response.status != 200
        else:
            assert response.status in (502, 503, 504)

    deployments.run(tmp_path, scenario)
