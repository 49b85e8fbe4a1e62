"""Randomized soak test that injects faults into gateway processes.

Run by hand: `python tests/soak/soak.py --seeds 50 [--first N] [--seconds S]`.
Each seed selects a series of overlapping faults: links to the store and to
servers are delayed, cut, silent or one-way; gateways are killed, paused,
stopped and reloaded; servers drop responses, shed load, drain and return; the
configuration changes; gateways are cut from all servers; a request crashes
every server that runs it. The responses to callers are checked during the run,
executed requests and gateway logs after it.
"""

import argparse
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

import curio

ROOT = pathlib.Path(__file__).resolve().parents[2]
if __name__ == "__main__":
    sys.path[1:1] = [str(ROOT / "tests" / "adapter")]
    sys.path[1:1] = [str(path) for path in ROOT.glob("libs/*/src")]

import deployments  # noqa: E402
import links  # noqa: E402
import standin  # noqa: E402

import banyandale_http as http  # noqa: E402

GATEWAYS = ("127.0.7.1", "127.0.7.2", "127.0.7.3")
CALLERS = 6
FAULT_DURATION_SECONDS = (0.5, 2.0)
FAULT_INTERVAL_SECONDS = (0.1, 0.8)
CALL_INTERVAL_SECONDS = 0.05
# Longest time from the last fault until calls are served again: the setting
# recoverS of the requirements.
RECOVER_SECONDS = 15.0
CRASHING_PATH = "/read/crash"
CRASH_INTERVAL_SECONDS = 0.4
RESTART_SECONDS = 0.8
# From the requirement: sends of a request that may follow the third crash, once
# `CONTACT_SECONDS` have passed.
CERTAIN_AFTER = 3
CONTACT_SECONDS = 3.0
LATE_SENDS = 3
LINK_STATES = ("cut", "silent", "one_way", "stale", "slow")


class Soak:
    """One run with a fixed seed."""

    def __init__(self, folder, seed, seconds):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.deployment = deployments.Deployment(folder)
        self.store_link = links.Link()
        self.server_links = [links.Link() for _ in self.deployment.servers]
        self.outcomes = {}
        self.version = 1
        self.running = True
        self.faulted_gateways = []
        self.start_counts = dict.fromkeys(GATEWAYS, 1)
        self.crashed_at = []

    async def start(self):
        await self.deployment.start()
        await self.store_link.start(self.deployment.store.address)
        self.deployment.store.address = self.store_link.address
        for server, link in zip(
            self.deployment.servers, self.server_links, strict=True
        ):
            await link.start(server.address)
            server.address = link.address
            server.work_seconds = 0.05
            server.crash_prefix = CRASHING_PATH.encode()
            await self.deployment.register(server)
        for ip in GATEWAYS:
            self.deployment.start_gateway(ip)
        for ip in GATEWAYS:
            await self.deployment.wait_ready(ip)

    async def run_caller(self, number):
        """Sends calls in a loop on persistent connections."""
        sent = 0
        while self.running:
            ip = self.random.choice(GATEWAYS)
            try:
                connection = await http.ClientConnection.open(
                    address=f"{ip}:{deployments.CALL_PORT}",
                    deadline=time.monotonic() + 1,
                )
            except http.ConnectError:
                await curio.sleep(CALL_INTERVAL_SECONDS)
                continue
            while self.running:
                sent += 1
                write = sent % 2 == 0
                name = f"c{number}-{sent}-{'w' if write else 'r'}"
                if not await self._exchange(connection, name, write):
                    break
                await curio.sleep(CALL_INTERVAL_SECONDS)
            await connection.close()

    async def _exchange(self, connection, name, write):
        path = b"/write/x" if write else b"/read/x"
        request = http.Request(
            method=b"POST" if write else b"GET",
            target=path,
            headers=(
                (b"host", b"h.example"),
                (b"x-request-id", name.encode()),
                (b"x-deadline-ms", b"2500"),
            ),
            body=name.encode() if write else b"",
        )
        self.outcomes[name] = None
        try:
            response = await connection.exchange(
                request, limit=1 << 20, deadline=time.monotonic() + 4
            )
        except http.HttpError:
            return False
        self.outcomes[name] = response.status
        if response.status == 200:
            body = json.loads(response.body)
            assert response.header(b"x-request-id") == name.encode(), name
            assert response.header(b"x-response-seal") == b"seal", name
            assert body["body"] == (name if write else ""), name
        return connection.is_reusable

    async def send_crashing(self):
        """Sends a request that crashes servers, each time with a new id."""
        number = 0
        while self.running:
            number += 1
            name = f"crash-{number}-r"
            self.outcomes[name] = None
            try:
                response = await self.deployment.send(
                    self.random.choice(GATEWAYS), CRASHING_PATH, name=name
                )
                self.outcomes[name] = response.status
            except http.HttpError:
                pass
            await curio.sleep(CRASH_INTERVAL_SECONDS)

    async def restart_servers(self):
        """Starts crashed servers anew, under the ids that they had."""
        born = standin.BORN_MS
        while self.running or any(s.ended_at for s in self.deployment.servers):
            await curio.sleep(0.05)
            now = time.monotonic()
            for server, link in zip(
                self.deployment.servers, self.server_links, strict=True
            ):
                ended_at = server.ended_at
                if ended_at is None or now < ended_at + RESTART_SECONDS:
                    continue
                self.crashed_at.append(ended_at)
                born += 1
                address = server.address
                await server.start("127.0.0.1:0")
                link.set_target(server.address)
                server.address = address
                server.ended_at = None
                server.born = born
                await self.deployment.register(server)

    async def _cut_gateway(self):
        ip = self.random.choice(GATEWAYS)
        for link in self.server_links:
            link.cut_ips.add(ip)
        await self._sleep_fault_duration()
        for link in self.server_links:
            link.cut_ips.discard(ip)

    async def inject_faults(self):
        """Starts faults at random intervals; waits until all have ended."""
        end = time.monotonic() + self.seconds
        faults = (
            self._inject_link_fault,
            self._inject_link_fault,
            self._inject_server_fault,
            self._inject_gateway_fault,
            self._inject_gateway_fault,
            self._change_configuration,
            self._drain_server,
            self._cut_gateway,
        )
        tasks = []
        while time.monotonic() < end:
            fault = self.random.choice(faults)
            tasks.append(await curio.spawn(fault))
            await curio.sleep(self.random.uniform(*FAULT_INTERVAL_SECONDS))
        for task in tasks:
            await task.join()
        for ip, process in self.deployment.processes.items():
            assert process.poll() is None, (ip, process.returncode)

    async def _sleep_fault_duration(self):
        await curio.sleep(self.random.uniform(*FAULT_DURATION_SECONDS))

    async def _inject_link_fault(self):
        link = self.random.choice([self.store_link, *self.server_links])
        state = self.random.choice(LINK_STATES)
        delay = self.random.uniform(0.05, 0.3) if state == "slow" else 0.0
        await link.set_state("up" if state == "slow" else state, delay)
        await self._sleep_fault_duration()
        await link.set_state("up")

    async def _inject_server_fault(self):
        server = self.random.choice(self.deployment.servers)
        shed = standin.make_response(503, headers=((b"x-not-executed", b"1"),))
        drops_response = self.random.random() < 0.5

        def behave(request):
            if self.random.random() < 0.5:
                return None
            if drops_response:
                server.executed_ids.append(
                    request.header(b"x-request-id").decode()
                )
                return False
            return shed

        server.override_response = behave
        server.healthy = self.random.random() < 0.7
        await self._sleep_fault_duration()
        server.override_response = lambda request: None
        server.healthy = True

    async def _inject_gateway_fault(self):
        ip = self.random.choice(GATEWAYS)
        process = self.deployment.processes[ip]
        if process.poll() is not None or ip in self.faulted_gateways:
            return
        if (
            len(self.deployment.read_events(ip, "start"))
            < self.start_counts[ip]
        ):
            # The interpreter cannot handle a signal while it starts.
            return
        fault = self.random.choice(("kill", "pause", "stop", "reload"))
        if fault == "reload":
            process.send_signal(signal.SIGHUP)
            return
        self.faulted_gateways.append(ip)
        try:
            if fault == "pause":
                process.send_signal(signal.SIGSTOP)
                await self._sleep_fault_duration()
                process.send_signal(signal.SIGCONT)
                return
            process.send_signal(
                signal.SIGKILL if fault == "kill" else signal.SIGTERM
            )
            status = await curio.run_in_thread(
                process.wait, deployments.GRACE_SECONDS
            )
            assert fault == "kill" or status == 0, (ip, status)
            self.start_counts[ip] += 1
            self.deployment.start_gateway(ip)
        finally:
            self.faulted_gateways.remove(ip)

    async def _change_configuration(self):
        self.version += self.random.randint(1, 5)
        await self.deployment.configure(self.version)

    async def _drain_server(self):
        server = self.random.choice(self.deployment.servers)
        await self.deployment.register(server, state="draining")
        await self._sleep_fault_duration()
        await self.deployment.register(server)

    def check(self):
        """Checks the results of callers and the servers' executed requests.

        Returns:
            The number of calls by status; None counts calls without a response.
        """
        runs = {}
        for server in self.deployment.servers:
            for name in server.executed_ids:
                runs[name] = runs.get(name, 0) + 1
        counts = {}
        for name, status in self.outcomes.items():
            counts[status] = counts.get(status, 0) + 1
            if not name.endswith("w"):
                continue
            assert runs.get(name, 0) <= 1, f"{name} ran {runs[name]} times"
            if status in {408, 421, 429, 503}:
                assert name not in runs, f"{name} ran and was refused"
        unknown = runs.keys() - self.outcomes.keys()
        assert not unknown, f"no caller sent {sorted(unknown)[:3]}"
        crashes = sorted(self.crashed_at)
        late = [
            at
            for at in crashes[CERTAIN_AFTER:]
            if at > crashes[CERTAIN_AFTER - 1] + CONTACT_SECONDS
        ]
        assert len(late) <= LATE_SENDS, f"{len(crashes)} servers crashed"
        for ip in GATEWAYS:
            self._check_log(ip)
        return counts | {"crashes": len(crashes)}

    def _check_log(self, ip):
        version = 0
        text = (self.deployment.folder / f"{ip}.log").read_text()
        for line in text.splitlines():
            if not line.startswith("{") or not line.endswith("}"):
                # A killed process may leave a partial line.
                assert not line.startswith("Traceback"), text[-2000:]
                continue
            record = json.loads(line)
            if record["event"] == "start":
                version = 0
            if record["event"] == "configuration":
                assert record["version"] > version, (
                    f"version decreased at {ip}: {line}"
                )
                version = record["version"]
            assert record["event"] not in {"fault", "part_failed"}, line

    async def recover(self):
        """Waits until each gateway serves calls again."""
        deadline = time.monotonic() + RECOVER_SECONDS
        for ip in GATEWAYS:
            while True:
                status = self.deployment.processes[ip].poll()
                assert status is None, f"{ip} ended with status {status}"
                assert time.monotonic() < deadline, f"{ip} does not serve calls"
                try:
                    response = await self.deployment.send(
                        ip, "/read/x", name=f"after-{ip}-r"
                    )
                except http.HttpError:
                    response = None
                if response is not None and response.status == 200:
                    break
                await curio.sleep(0.1)
        for server in self.deployment.servers:
            server.executed_ids = [
                n for n in server.executed_ids if not n.startswith("after-")
            ]

    async def stop(self):
        await self.deployment.stop()
        for link in [self.store_link, *self.server_links]:
            await link.stop()


def run_seed(folder, seed, seconds):
    """Runs one seed; returns the number of calls by status."""

    async def main():
        soak = Soak(folder, seed, seconds)
        await soak.start()
        try:
            callers = [
                await curio.spawn(soak.run_caller, number)
                for number in range(CALLERS)
            ]
            callers.append(await curio.spawn(soak.send_crashing))
            callers.append(await curio.spawn(soak.restart_servers))
            await soak.inject_faults()
            soak.running = False
            for caller in callers:
                await caller.join()
            await soak.recover()
            return soak.check()
        finally:
            await soak.stop()

    return curio.run(main)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs")
    options = parser.parse_args()
    failed = []
    for seed in range(options.first, options.first + options.seeds):
        base = options.keep or pathlib.Path(tempfile.mkdtemp())
        folder = base / f"seed-{seed}"
        folder.mkdir(parents=True)
        try:
            print(seed, run_seed(folder, seed, options.seconds), flush=True)
        except (AssertionError, curio.TaskError) as error:
            failed.append(seed)
            cause = error.__cause__ or error
            print(seed, "FAILED", repr(cause), folder, flush=True)
    print(f"{options.seeds - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
