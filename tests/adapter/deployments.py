"""Runs gateways as processes on loopback, with stand-ins in this process."""

import gc
import json
import os
import pathlib
import subprocess
import sys
import time

import curio
import launch
import standin

import banyandale_http as http

ROOT = pathlib.Path(__file__).parents[2]
GRACE_SECONDS = 6
# Derived from the process id, so that parallel test runs do not collide, and
# below the ports that the kernel gives to outgoing connections.
BASE_PORT = 20_000 + os.getpid() % 1200 * 10
(CALL_PORT, READY_PORT, LOOKUP_PORT, PEER_PORT, _, METRICS_PORT) = (
    BASE_PORT + offset for offset in range(6)
)
RULES = [
    ("/read/", "idempotent", "s", {}),
    ("/write/", "non_idempotent", "s", {}),
    ("/other/", "idempotent", "t", {}),
]


def make_settings(ip, store, grace_seconds=GRACE_SECONDS):
    """Returns the content of a gateway's settings file."""
    return f"""
node = "node-{ip}"
nodeIp = "{ip}"
zone = "a"
internalPorts = [{PEER_PORT},{PEER_PORT + 1}]
seedNodes = ["127.0.7.1:1","127.0.7.2:1"]
[zones]
a = "r"
b = "r"
[listen]
front = "{ip}:{CALL_PORT}"
ready = "{ip}:{READY_PORT}"
directory = "{ip}:{LOOKUP_PORT}"
[contractBounds]
graceS = {grace_seconds}
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
ttl_max_s = 5
[platformApi]
address = "{store}"
"""


class Deployment:
    """Gateway processes with the store and servers that they use."""

    def __init__(self, folder, grace_seconds=GRACE_SECONDS):
        self.folder = folder
        self.grace_seconds = grace_seconds
        self.store = standin.StoreStandin()
        self.servers = [standin.ServerStandin(f"i-{n}") for n in range(3)]
        self.processes = {}

    async def start(self, rules=RULES):
        await self.store.start("127.0.0.1:0")
        await self.configure(1, rules)
        for server in self.servers:
            await server.start("127.0.0.1:0")
            await self.register(server)

    async def replace_server(self, server, name):
        """Starts another server in place of one that has ended."""
        started = standin.ServerStandin(name)
        started.work_seconds = server.work_seconds
        started.crash_prefix = server.crash_prefix
        started.crashes_silently = server.crashes_silently
        started.crash_seconds = server.crash_seconds
        await started.start("127.0.0.1:0")
        self.servers.append(started)
        await self.register(started)
        await self.store.delete("servers", server.id)
        return started

    async def configure(self, version, rules=RULES, **limits):
        document = standin.make_configuration(version, rules, **limits)
        await self.store.put("config", "main", document)

    async def register(self, server, service="s", **fields):
        entry = server.make_entry(service, **fields)
        await self.store.put("servers", server.id, entry)

    def start_gateway(self, ip, send_bytes=None):
        """Starts a gateway, if given with a small buffer for its answers."""
        path = self.folder / f"{ip}.toml"
        path.write_text(
            make_settings(ip, self.store.address, self.grace_seconds)
        )
        log = (self.folder / f"{ip}.log").open("ab")
        variables = {"BANYANDALE_NODE_FILE": str(path)}
        if send_bytes is not None:
            variables[launch.SEND_BYTES_VARIABLE] = str(send_bytes)
        self.processes[ip] = subprocess.Popen(
            [
                sys.executable,
                str(ROOT / "tests" / "adapter" / "launch.py"),
                ip,
                f"{METRICS_PORT}/metrics",
            ],
            env=os.environ | variables,
            stdout=log,
            stderr=log,
        )

    def read_events(self, ip, event):
        text = (self.folder / f"{ip}.log").read_text()
        # The last line is incomplete if the process was killed or is writing.
        lines = [line for line in text.split("\n") if line.endswith("}")]
        records = [json.loads(line) for line in lines if line[0] == "{"]
        return [record for record in records if record["event"] == event]

    async def wait_ready(self, ip):
        for _ in range(500):
            if (
                await self.get_status(ip, READY_PORT, "/banyandale/ready")
                == 200
            ):
                return
            await curio.sleep(0.02)
        raise AssertionError((self.folder / f"{ip}.log").read_text())

    async def get_status(self, ip, port, target):
        try:
            return (await self.send(ip, target, port=port)).status
        except http.HttpError:
            return None

    async def send(
        self,
        ip,
        target,
        *,
        port=CALL_PORT,
        method="GET",
        body=b"",
        name="id",
        deadline_ms=2500,
    ):
        deadline = time.monotonic() + 2 * deadline_ms / 1000
        connection = await http.ClientConnection.open(
            address=f"{ip}:{port}", deadline=deadline
        )
        request = http.Request(
            method=method.encode(),
            target=target.encode(),
            headers=(
                (b"host", b"h.example"),
                (b"x-request-id", name.encode()),
                (b"x-deadline-ms", str(deadline_ms).encode()),
            ),
            body=body,
        )
        try:
            return await connection.exchange(
                request, limit=1 << 20, deadline=deadline
            )
        finally:
            await connection.close()

    async def stop(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for server in self.servers:
            if server.ended_at is None or server.crashes_silently:
                await server.stop()
        await self.store.stop()


def run(
    tmp_path,
    scenario,
    gateways=("127.0.7.1",),
    *,
    rules=RULES,
    grace_seconds=GRACE_SECONDS,
    send_bytes=None,
):
    # The stand-ins run in this process, next to the objects of all earlier
    # tests: pauses of its garbage collector would be servers that hang.
    gc.collect()
    gc.freeze()

    async def main():
        deployment = Deployment(tmp_path, grace_seconds)
        await deployment.start(rules)
        try:
            for ip in gateways:
                deployment.start_gateway(ip, (send_bytes or {}).get(ip))
            for ip in gateways:
                await deployment.wait_ready(ip)
            await scenario(deployment, *gateways)
            # Housekeeping, which runs once a second, may still log a fault.
            await curio.sleep(1.1)
            for ip in gateways:
                for event in ("fault", "part_failed"):
                    assert deployment.read_events(ip, event) == []
        finally:
            await deployment.stop()

    curio.run(main)


async def wait_until(check):
    for _ in range(300):
        if check():
            return
        await curio.sleep(0.02)
    raise AssertionError("the condition was not met in time")
