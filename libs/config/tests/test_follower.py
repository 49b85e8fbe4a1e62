"""Tests that followers only apply newer generations, from any source."""

import json
import time

import curio

import banyandale_config as config
import banyandale_core as core
import banyandale_platform as platform
from banyandale_platform import testing

ZONES = [{"name": "za"}, {"name": "zb"}]


def make_document(**priorities):
    services = [
        {"name": name, "priority": priority}
        for name, priority in priorities.items()
    ]
    document, _ = config.check({"zones": ZONES, "services": services})
    return document


class InterruptibleStore:
    """A gateway's connection to the store, which can be interrupted."""

    def __init__(self, store):
        self.store = store
        self.is_disconnected = False

    def __getattr__(self, name):
        async def call(**arguments):
            self.check()
            result = await getattr(self.store, name)(**arguments)
            self.check()
            return result

        return call

    def check(self):
        if self.is_disconnected:
            raise platform.StoreUnavailableError("disconnected")


class FollowerPeer:
    """A peer that serves what another follower has in force."""

    def __init__(self, follower):
        self.follower = follower

    async def fetch_root(self, *, deadline):
        return self.follower.root()

    async def fetch_parts(self, names, *, deadline):
        return self.follower.parts(names)


class SilentPeer:
    """A peer that never answers."""

    async def fetch_root(self, *, deadline):
        await curio.sleep(60)


class CorruptPeer(FollowerPeer):
    """A peer that serves parts whose content does not match their names."""

    async def fetch_parts(self, names, *, deadline):
        return dict.fromkeys(names, b'{"name":"a"}')


async def apply(store, base, **priorities):
    publisher = config.Publisher(store=store)
    return await publisher.apply(
        make_document(**priorities),
        base_generation=base,
        author="op",
        message="m",
    )


async def wait_for(condition):
    async with curio.timeout_after(8):
        while not condition():
            await curio.sleep(0.01)


async def start(store, gateway="g1", **options):
    follower = config.Follower(store=store, gateway=gateway, **options)
    task = await curio.spawn(follower.run, daemon=True)
    return follower, task


async def start_synced(store, generation):
    follower, task = await start(store)
    await wait_for(lambda: follower.generation == generation)
    await task.cancel()
    return follower


def test_only_changed_parts_are_fetched():
    """Guards against fetching all parts after each change."""

    async def main():
        store = testing.MemoryStore()
        await apply(store, 0, a=1, b=1)
        seen = []
        follower, task = await start(store, on_change=seen.append)
        await wait_for(lambda: follower.generation == 1)
        await apply(store, 1, a=2, b=1)
        await wait_for(lambda: follower.generation == 2)
        await task.cancel()
        assert store.counts["get.config_part"] == 3
        assert [snapshot.generation for snapshot in seen] == [1, 2]
        first, second = seen
        assert second.find_service("b") is first.find_service("b")
        assert second.find_service("a").priority == 2

    curio.run(main)


def test_older_root_is_ignored():
    """Guards against reverting to an older configuration."""

    async def main():
        store = testing.MemoryStore()
        await apply(store, 0, a=1)
        older = await start_synced(store, 1)
        await apply(store, 1, a=2)
        follower, task = await start(store)
        await wait_for(lambda: follower.generation == 2)
        stored = store.peek(kind="config", name="root")
        await store.update(
            kind="config",
            name="root",
            value=older.root(),
            version=stored.version,
        )
        await curio.sleep(0.05)
        assert not follower.apply_root(older.root(), older._parts)
        assert follower.current().find_service("a").priority == 2
        await task.cancel()

    curio.run(main)


def test_start_from_the_newest_peer_while_the_platform_is_down():
    """Guards against a gateway that cannot start during an outage."""

    async def main():
        store = testing.MemoryStore()
        await apply(store, 0, a=1, b=1)
        older = await start_synced(store, 1)
        await apply(store, 1, a=2, b=1)
        newer = await start_synced(store, 2)
        await store.set_down(True)
        peers = [FollowerPeer(older), SilentPeer(), FollowerPeer(newer)]
        follower, task = await start(store, "g2", peers=lambda: peers)
        await wait_for(follower.current)
        await task.cancel()
        assert follower.generation == 2
        assert follower.root() == newer.root()
        return follower.current() == newer.current()

    assert curio.run(main)


def test_announced_generation_is_fetched_from_a_peer():
    """Guards against a gateway that misses a generation in an outage."""

    async def main():
        store = testing.MemoryStore()
        await apply(store, 0, a=1, b=1)
        peers = []
        connection = InterruptibleStore(store)
        follower, task = await start(connection, "g2", peers=lambda: peers)
        await wait_for(follower.current)
        connection.is_disconnected = True
        await apply(store, 1, a=2, b=1)
        peers.append(FollowerPeer(await start_synced(store, 2)))
        assert follower.generation == 1
        follower.note_peer_generation(2)
        await wait_for(lambda: follower.generation == 2)
        await task.cancel()

    curio.run(main)


def test_newer_root_applied_during_a_fetch_stays_in_force():
    """Guards against a slow fetch that reverts to an older generation."""

    async def main():
        store = testing.MemoryStore()
        await apply(store, 0, a=1)
        root = store.peek(kind="config", name="root").value
        await apply(store, 1, a=2)
        newer = await start_synced(store, 2)
        follower = config.Follower(store=store, gateway="g2")
        store.faults.slow_seconds = 0.01
        fetch = await curio.spawn(follower._fetch_and_apply, root)
        await curio.sleep(0)
        assert follower.apply_root(newer.root(), newer._parts)
        await fetch.join()
        assert follower.generation == 2

    curio.run(main)


def test_parts_with_wrong_content_are_refused():
    """Guards against accepting corrupted parts from a peer."""

    async def main():
        store = testing.MemoryStore()
        await apply(store, 0, a=1)
        newer = await start_synced(store, 1)
        await store.set_down(True)
        metrics = core.MemoryMetrics()
        follower, task = await start(
            store, "g2", peers=lambda: [CorruptPeer(newer)], metrics=metrics
        )
        await wait_for(lambda: metrics.counters["config_damaged"])
        await task.cancel()
        assert follower.current() is None
        assert not follower.apply_root(newer.root(), {})
        assert not follower.apply_root(b"{}", {})

    curio.run(main)


def test_missing_part_keeps_the_configuration_in_force():
    """Guards against putting an incomplete configuration in force."""

    async def main():
        store = testing.MemoryStore()
        await apply(store, 0, a=1)
        metrics = core.MemoryMetrics()
        follower, task = await start(store, metrics=metrics)
        await wait_for(lambda: follower.generation == 1)
        root = json.loads(follower.root())
        root["generation"] = 2
        root["parts"]["a"] = "0" * 64
        stored = store.peek(kind="config", name="root")
        await store.update(
            kind="config",
            name="root",
            value=json.dumps(root).encode(),
            version=stored.version,
        )
        await wait_for(lambda: metrics.counters["config_damaged"])
        assert follower.generation == 1
        await apply(store, 2, a=3)
        await wait_for(lambda: follower.generation == 3)
        await task.cancel()

    curio.run(main)


def test_expired_watch_starts_from_the_list():
    """Guards against a follower that never recovers from a long outage."""

    async def main():
        store = testing.MemoryStore(kept_changes=3)
        await apply(store, 0, a=1)
        connection = InterruptibleStore(store)
        metrics = core.MemoryMetrics()
        follower, task = await start(connection, metrics=metrics)
        await wait_for(lambda: follower.generation == 1)
        connection.is_disconnected = True
        for generation in range(1, 6):
            await apply(store, generation, a=generation + 1)
        connection.is_disconnected = False
        await wait_for(lambda: follower.generation == 6)
        await task.cancel()
        assert metrics.counters["watch_expired"]

    curio.run(main)


def test_status_is_reported_despite_lost_responses():
    """Guards against waiting for a status that was never written."""

    async def main():
        store = testing.MemoryStore()
        await store.create(kind="lease", name="g1", value=b"{}")
        await apply(store, 0, a=1)
        follower, task = await start(store)
        await wait_for(lambda: store.peek(kind="status", name="g1"))
        await task.cancel()
        # A restarted process finds the status object of the earlier one.
        follower, task = await start(store)
        await wait_for(lambda: follower.generation == 1)
        await apply(store, 1, a=2)
        store.faults.lose_write_responses = 2
        rollout = await config.Publisher(store=store).wait_in_force(
            2, deadline=time.monotonic() + 8
        )
        await task.cancel()
        return rollout

    rollout = curio.run(main)
    assert rollout.is_complete
    assert rollout.in_force == ("g1",)
