"""Tests of counting calls to the store and of the call budget."""

import curio
import pytest

import banyandale_core as core
import banyandale_platform as platform
from banyandale_platform import testing


class FakeClock:
    now = 100.0

    def monotonic(self):
        return self.now

    def unix(self):
        return self.now


def test_calls_over_the_budget_are_counted_and_not_sent():
    """Guards against one gateway using up the platform's capacity."""

    async def main():
        clock, metrics = FakeClock(), core.MemoryMetrics()
        backing_store = testing.MemoryStore(clock=clock)
        store = platform.MeteredStore(
            store=backing_store,
            metrics=metrics,
            clock=clock,
            budget=platform.CallBudget(
                reads_per_second=1.0, writes_per_second=1.0
            ),
        )
        for _ in range(2):
            await store.get(kind="config", name="root")
        with pytest.raises(platform.CallBudgetError):
            await store.get(kind="config", name="root")
        await store.get(kind="lease", name="gw-1")
        await store.watch(kinds=("lease", "home"), since=0, deadline=0.0)
        assert backing_store.counts["get.config"] == 2
        assert metrics.counters["platform_get.config"] == 2
        assert metrics.counters["platform_watch.lease+home"] == 1
        assert metrics.counters["platform_failed.call_budget_exceeded"] == 1
        clock.now += 4.0
        await store.get(kind="config", name="root")

    curio.run(main)
