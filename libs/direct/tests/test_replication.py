"""Tests of the replication of the store's objects."""

import random
import time

import curio

import banyandale_core as core
from banyandale_direct import _members as members
from banyandale_direct import _replication as replication
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
