"""Tests of the replication of the store's objects."""

import random
import time

import curio
import pytest

import banyandale_core as core
from banyandale_direct import _members as members
from banyandale_direct import _replication as replication
import banyandale_http as http
from banyandale_platform import testing


class Gossip:
    """Sends nothing."""

    reading = False

    async def notify_zone(self, deltas=(), *, remote=False):
        """Ignores the notification."""


def make_replicator(store, on_change):
    metrics = core.MemoryMetrics()
    replicator = replication.Replicator(
        store=store,
        kinds=("servers",),
        table=members.MemberTable(
            own=members.Member(
                ip="127.0.0.1", zone="a", started_unix_ms=1, beat=0, ready=True
            ),
            random_source=random.Random(1),
        ),
        peer_port=1,
        is_seed=True,
        on_listing=lambda *_: None,
        on_change=lambda change, era: on_change(change),
        reconcile=lambda kind, held, listing: listing,
        configuration_version=lambda: 0,
        events=core.EventLog(),
        metrics=metrics,
        random_source=random.Random(1),
    )
    replicator.gossip = Gossip()
    return replicator, metrics


def test_changes_in_quick_succession_share_watches():
    """Guards against a store call per server that registers.

    The load is the start of a deployment: 100 servers register within a second.
    """

    async def main():
        store = testing.MemoryStore()
        seen = {}

        def record(change):
            seen[change.object.name] = time.monotonic()

        replicator, metrics = make_replicator(store, record)
        running = await curio.spawn(replicator.run, daemon=True)
        await curio.sleep(0.1)
        written = {}
        for number in range(100):
            name = f"i-{number}"
            await store.create(kind="servers", name=name, value=b"{}")
            written[name] = time.monotonic()
            await curio.sleep(0.01)
        await curio.sleep(0.5)
        await running.cancel()
        assert seen.keys() == written.keys()
        delays = [seen[name] - written[name] for name in written]
        assert max(delays) < 2 * replication.MIN_WATCH_INTERVAL_SECONDS
        watches = metrics.counters["store_calls:watch.servers"]
        assert watches <= 1.6 / replication.MIN_WATCH_INTERVAL_SECONDS + 2

    curio.run(main)


def test_an_error_in_what_follows_ends_no_reading(monkeypatch):
    """Guards against a kind whose reading ends, or starts again in a loop."""
    monkeypatch.setattr(replication, "LONGEST_PAUSE_SECONDS", 0.2)

    async def main():
        store = testing.MemoryStore()
        listed, failing = [], [True]
        replicator, metrics = make_replicator(store, lambda change: None)

        def fail(*_):
            if failing:
                raise RecursionError
            listed.append(True)

        replicator._on_listing = fail
        running = await curio.spawn(replicator.run, daemon=True)
        await curio.sleep(0.7)
        assert 1 <= metrics.counters["internal_error"] <= 4
        failing.clear()
        await curio.sleep(0.5)
        assert listed
        failing.append(True)
        replicator._on_change = fail
        await store.create(kind="servers", name="i", value=b"{}")
        await curio.sleep(0.4)
        failing.clear()
        listed.clear()
        await curio.sleep(0.6)
        # What the failed change held was listed again.
        assert listed
        await running.cancel()

    curio.run(main)


@pytest.mark.parametrize("digits", [21, 400, 5000])
def test_a_version_of_many_digits_is_none(digits):
    """Guards against a request of another gateway that ends its connection."""

    async def main():
        replicator, _ = make_replicator(testing.MemoryStore(), lambda _: None)
        target = f"/replicas/servers?era=0&since={'7' * digits}"
        request = http.Request(method=b"GET", target=target.encode())
        assert replicator.serve_delta(request).status == 204

    curio.run(main)
