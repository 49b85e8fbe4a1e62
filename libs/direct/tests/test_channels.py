"""Tests of load reports over connections."""

import time

import curio

import banyandale_core as core
from banyandale_direct import _channels as channels
from banyandale_direct import _configuration as configuration
from banyandale_direct import _paths as paths
from banyandale_direct import _placement as placement
from banyandale_direct import _registry as registry
from banyandale_direct import _versions as versions
import banyandale_http as http

SERVICE = configuration.Service(
    name="s", health_path="/h", cold_calls_per_second=1.0
)


class Codec:
    def write_probe(self, service):
        return http.Request(method=b"GET", target=service.health_path.encode())

    def is_report(self, head):
        return True

    def read_report(self, response):
        return placement.LoadReport(healthy=True, slots=2)


class Events:
    """Records log lines."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


def make_entry(address):
    return registry.Entry(
        server=registry.Server(
            id="a", address=address, service="s", zone="z", slots=2
        ),
        version=versions.Version(0, 1),
        cold_until=0.0,
    )


async def serve(listener, counts):
    while True:
        sock, _ = await listener.accept()
        counts["connections"] += 1
        await curio.spawn(answer, sock, counts, daemon=True)


async def answer(sock, counts):
    connection = http.ServerConnection(sock=sock)
    while await connection.read_request(
        limit=100, idle_deadline=time.monotonic() + 9
    ):
        counts["requests"] += 1
        await curio.sleep(0.005)
        await connection.send_response(http.Response(status=200))


def test_calls_that_wait_at_once_share_reports():
    """Guards against a number of connections that grows with waiting calls.

    In run scale-2 on the second site servers reset 180 connections over their
    limit, because each of many waiting calls probed for itself.
    """

    async def main():
        listener = http.open_listener("127.0.0.1:0")
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        counts = {"connections": 0, "requests": 0}
        task = await curio.spawn(serve, listener, counts, daemon=True)
        entry = make_entry(address)
        metrics = core.MemoryMetrics()
        pools = channels.Channels(
            monitor=paths.PathMonitor(),
            codec=Codec(),
            events=Events(),
            metrics=metrics,
        )

        async def probe():
            return await pools.probe(
                entry,
                SERVICE,
                local=True,
                avoided=False,
                deadline=time.monotonic() + 2,
            )

        tasks = [await curio.spawn(probe) for _ in range(30)]
        probes = [await task.join() for task in tasks]
        assert all(p.candidate.report is not None for p in probes)
        assert sum(p.connection is not None for p in probes) <= 3
        assert counts["connections"] <= 3
        for done in probes:
            await pools.release(done)
        pools.record_send("a")
        shared = await probe()
        if shared.connection is None:
            assert shared.candidate.report.running == 1
        await pools.keep_only({})
        await task.cancel()
        await listener.close()

    curio.run(main)


def test_a_report_that_cannot_be_read_is_logged():
    """Guards against an unreadable load that silently counts as none."""

    class Garbled(Codec):
        def read_report(self, response):
            return placement.LoadReport(healthy=True, unreadable=("load: x",))

    async def main():
        listener = http.open_listener("127.0.0.1:0")
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        counts = {"connections": 0, "requests": 0}
        task = await curio.spawn(serve, listener, counts, daemon=True)
        entry = make_entry(address)
        events, metrics = Events(), core.MemoryMetrics()
        pools = channels.Channels(
            monitor=paths.PathMonitor(),
            codec=Garbled(),
            events=events,
            metrics=metrics,
        )
        probe = await pools.probe(
            entry,
            SERVICE,
            local=True,
            avoided=False,
            deadline=time.monotonic() + 2,
        )
        await pools.release(probe)
        (line,) = events.lines
        assert line == (
            "report_unreadable",
            {"server": "a", "fields": ("load: x",)},
        )
        assert metrics.counters["report_unreadable"] == 1
        await pools.keep_only({})
        await task.cancel()
        await listener.close()

    curio.run(main)
