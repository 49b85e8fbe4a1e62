"""Tests of the checks of lost paths."""

import types

import curio

import banyandale_core as core
from banyandale_direct import _channels as channels
from banyandale_direct import _configuration as configuration
from banyandale_direct import _path_checks as path_checks
from banyandale_direct import _paths as paths
from banyandale_direct import _placement as placement
from banyandale_direct import _registry as registry
from banyandale_direct import _versions as versions

SERVICE = configuration.Service(
    name="s", health_path="/h", cold_calls_per_second=1.0
)
CURRENT = configuration.Configuration(
    version=1,
    hosts={},
    services={"s": SERVICE},
    limits=configuration.Limits(),
)


class Events:
    def __init__(self):
        self.names = []

    def write_state(self, event, **_):
        self.names.append(event)


class Channels:
    """Answers for the servers, and records which were asked."""

    def __init__(self, monitor):
        self.monitor = monitor
        self.reached = False
        self.asked = []

    async def probe(self, entry, service, **_):
        self.asked.append(entry.server.id)
        self.monitor.record(
            "s", entry.server.id, reached=self.reached, now=self.now
        )
        candidate = placement.Candidate(entry=entry, report=None, local=True)
        return channels.Probe(
            candidate=candidate, connection=None, reported_at=0.0
        )

    async def release(self, probe):
        pass


def test_the_return_of_a_path_is_noticed_without_calls(monkeypatch):
    """Guards against a path that stays lost as no call uses it."""
    clock = types.SimpleNamespace(now=0.0)
    monkeypatch.setattr(
        path_checks, "time", types.SimpleNamespace(monotonic=lambda: clock.now)
    )
    monitor = paths.PathMonitor()
    asked, events = Channels(monitor), Events()
    servers = registry.Registry()
    for number in range(6):
        servers.put(
            registry.Server(
                id=f"i{number}", address="a:1", service="s", zone="z", slots=2
            ),
            version=versions.Version(0, 1),
            now=0.0,
        )
    told = []

    async def tell(groups):
        told.append(groups)

    checker = path_checks.PathChecker(
        monitor=monitor,
        servers=servers,
        asked=asked,
        current=lambda: CURRENT,
        on_change=tell,
        events=events,
        metrics=core.MemoryMetrics(),
    )

    async def check():
        clock.now += path_checks.CHECK_SECONDS
        asked.now = clock.now
        await checker.check(CURRENT)
        await curio.sleep(0)
        await curio.sleep(0)

    async def main():
        await check()
        assert asked.asked == []
        for number in range(6):
            monitor.record("s", f"i{number}", reached=False, now=clock.now)
        for _ in range(20):
            await check()
        assert events.names == ["path_lost"]
        # No other service answers either.
        assert told == [paths.ALL_GROUPS]
        # All of them are asked in turn.
        assert len(set(asked.asked)) == 6
        asked.reached = True
        for _ in range(4):
            await check()
        assert events.names == ["path_lost", "path_regained"]
        assert told[-1] == 0
        asked.asked.clear()
        await check()
        assert asked.asked == []

    curio.run(main)
