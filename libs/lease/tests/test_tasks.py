"""Test of the keeper and ownership tasks of several gateways on curio."""

import random
import time

import curio

import banyandale_core as core
import banyandale_lease as lease
from banyandale_platform import testing

POLL_SECONDS = 0.02
DESIRED_HOMES = lease.DesiredHomes(
    homes=[(f"s{number}", "z1") for number in range(40)],
    zones_in_service=frozenset({"z1"}),
)


async def start_gateway(store, number):
    shared = {
        "store": store,
        "clock": core.SystemClock(),
        "metrics": core.MemoryMetrics(),
        "rng": random.Random(number),
    }
    keeper = lease.LeaseKeeper(
        gateway=f"gw-{number}", zone="z1", http="", peer="", **shared
    )
    ownership = lease.Ownership(
        keeper=keeper,
        get_desired_homes=lambda: DESIRED_HOMES,
        poll_seconds=POLL_SECONDS,
        handover_seconds=0.0,
        **shared,
    )
    await curio.spawn(keeper.run, daemon=True)
    await curio.spawn(ownership.run, daemon=True)
    return ownership


def test_tasks_share_all_homes_with_few_watch_calls():
    """Guards against a watch call per renewal, and against tasks that end.

    The tasks must continue after an outage of the store.
    """

    async def main():
        store = testing.MemoryStore()
        started = time.monotonic()
        owners = [await start_gateway(store, number) for number in range(3)]
        async with curio.timeout_after(20):
            while any(len(owner.held()) < 5 for owner in owners):
                await curio.sleep(0.01)
            await store.set_down(True)
            await curio.sleep(0.1)
            await store.set_down(False)
            owners.append(await start_gateway(store, 3))
            while any(len(owner.held()) < 5 for owner in owners):
                await curio.sleep(0.01)
            held = [key for owner in owners for key in owner.held()]
            assert len(held) == len(set(held)) <= 40
        passes = (time.monotonic() - started) / POLL_SECONDS + 1
        assert store.counts["watch.home+lease"] <= 4 * passes

    curio.run(main)
