"""Tests of the lease keeper beyond those of the ownership state machine."""

import random

import curio

import banyandale_core as core
import banyandale_lease as lease
import banyandale_platform as platform
from banyandale_platform import testing


class FakeClock:
    now = 1000.0

    def monotonic(self):
        return self.now

    def unix(self):
        return self.now


def make_keeper(store, clock, **options):
    return lease.LeaseKeeper(
        store=store,
        clock=clock,
        metrics=core.MemoryMetrics(),
        rng=random.Random(1),
        gateway="gw-1",
        zone="z1",
        http="127.0.0.1:1",
        peer="127.0.0.1:2",
        **options,
    )


def run_with_store(check):
    clock = FakeClock()
    curio.run(check, testing.MemoryStore(clock=clock), clock)


def test_second_process_with_the_same_id_waits():
    """Guards against two processes with valid leases of one gateway id.

    It can happen when a gateway is restarted while the old process is paused.
    """

    async def check(store, clock):
        first, second = make_keeper(store, clock), make_keeper(store, clock)
        assert await first.renew()
        for _ in range(4):
            assert not await second.renew()
            clock.now += 0.8
        assert not first.is_valid()
        assert not await second.renew()
        clock.now += 0.4
        assert await second.renew()
        assert second.is_valid()
        assert not await first.renew()

    run_with_store(check)


def test_lost_responses_do_not_end_the_lease():
    """Guards against losing all homes because of lost responses."""

    async def check(store, clock):
        keeper = make_keeper(store, clock)
        await keeper.renew()
        boot = keeper.boot
        store.faults.lose_write_responses = 1
        clock.now += 2.0
        assert await keeper.renew()
        # Both the response and the read that checks the outcome are lost.
        store.faults.lose_write_responses = 3
        read, store.get = store.get, refuse
        assert not await keeper.renew()
        store.get, store.faults.lose_write_responses = read, 0
        clock.now += 2.0
        assert await keeper.renew()
        assert keeper.boot == boot
        assert keeper.deadline == clock.now + 3.0

    run_with_store(check)


async def refuse(**_):
    raise platform.StoreUnavailableError("refused")


def test_late_confirmation_does_not_extend_beyond_the_send():
    """Guards against a lease that starts only when the response arrives."""

    async def check(store, clock):
        keeper = make_keeper(store, clock)
        update = store.create

        async def create_slowly(**call):
            written = await update(**call)
            clock.now += 2.0
            return written

        store.create = create_slowly
        assert await keeper.renew()
        assert keeper.deadline == clock.now + 1.0

    run_with_store(check)


def test_expired_lease_is_registered_again_with_a_new_boot():
    """Guards against keeping homes that other gateways may have taken."""

    async def check(store, clock):
        keeper = make_keeper(store, clock)
        ended = []
        keeper.add_listener(lambda: ended.append(keeper.is_valid()))
        await keeper.renew()
        boot = keeper.boot
        clock.now += 3.0
        assert not keeper.is_valid()
        store.faults.down = True
        assert not await keeper.renew()
        assert ended == []
        store.faults.down = False
        assert await keeper.renew()
        assert keeper.boot != boot
        assert ended == [False]

    run_with_store(check)


def test_released_lease_is_gone_and_stays_so():
    """Guards against a renewal that creates a released lease again."""

    async def check(store, clock):
        keeper = make_keeper(store, clock)
        await keeper.renew()
        await keeper.leave()
        assert b"leaving" in store.peek(kind="lease", name="gw-1").value
        store.faults.lose_write_responses = 1
        await keeper.release()
        assert not keeper.is_valid()
        assert not await keeper.renew()
        assert store.peek(kind="lease", name="gw-1") is None

    run_with_store(check)
