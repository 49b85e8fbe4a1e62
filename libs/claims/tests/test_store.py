"""Tests of `ClaimStore`: claims, outcomes and the number of writes."""

import itertools
import random
import time

import curio
import pytest

import banyandale_claims as claims
from banyandale_claims import _log as log
from banyandale_claims import _store as store_module
import banyandale_core as core
import banyandale_platform as platform
from banyandale_platform import testing

numbers = itertools.count()


def make_identity(boot="b1"):
    return claims.Identity(
        gateway_id="g1", boot=boot, request_id=str(next(numbers))
    )


class ShiftedClock(core.SystemClock):
    """The system clock with an offset."""

    def __init__(self):
        self.offset = 0.0

    def unix(self):
        return super().unix() + self.offset


def make_store(store, *, writer="g1/b1", active=("b1",), **options):
    options = {"clock": core.SystemClock(), **options}
    made = claims.ClaimStore(
        store=store,
        writer=writer,
        is_active=lambda gateway, boot: boot in active,
        metrics=core.MemoryMetrics(),
        rng=random.Random(1),
        **options,
    )
    made.metrics = made._metrics
    return made


async def begin(store, key="k", *, identity=None, body_hash="h", seconds=5):
    return await store.begin(
        service="s",
        key=key,
        body_hash=body_hash,
        identity=identity or make_identity(),
        deadline=time.monotonic() + seconds,
    )


async def finish(store, identity, response, key="k"):
    await store.finish(
        service="s", key=key, identity=identity, response=response
    )


RESPONSE = claims.StoredResponse(
    status=201, headers=((b"x-a", b"\xe9"),), body=b"\x00done"
)


def test_outcomes_reach_every_owner():
    """Guards against a repeated request that runs through another owner."""

    async def main():
        shared = testing.MemoryStore()
        first, second = make_store(shared), make_store(shared, writer="g2/b1")
        identity = make_identity()
        assert await begin(first, identity=identity) == claims.Granted()
        assert await begin(first) == claims.InProgress()
        assert await begin(second) == claims.InProgress()
        assert await begin(second, body_hash="i") == claims.KeyReused()
        # The other owner records the outcome.
        await finish(second, identity, RESPONSE)
        replay = claims.Replay(response=RESPONSE)
        assert await begin(second) == replay
        assert await begin(first) == replay
        assert await begin(first, body_hash="i") == claims.KeyReused()
        # A release after the outcome has no effect.
        await first.abandon(service="s", key="k", identity=identity)
        await curio.sleep(2 * store_module.OUTCOME_LINGER_SECONDS)
        assert await begin(first) == replay
        for store in (first, second):
            assert not store.metrics.counters["claims_unavailable"]

    curio.run(main)


def test_abandoned_key_is_granted_again():
    """Guards against refusing a request whose key was released."""

    async def main():
        store = make_store(testing.MemoryStore())
        identity = make_identity()
        await begin(store, identity=identity)
        await store.abandon(service="s", key="k", identity=identity)
        assert await begin(store) == claims.Granted()

    curio.run(main)


def test_large_response_is_remembered_by_status():
    """Guards against objects larger than the store accepts."""

    async def main():
        store = make_store(testing.MemoryStore())
        identity = make_identity()
        await begin(store, identity=identity)
        large = claims.StoredResponse(status=200, body=b"x" * 16_385)
        await finish(store, identity, large)
        decision = await begin(store)
        assert decision == claims.NotKept(status=200)
        assert (decision.code, decision.http_status) == (
            "outcome_not_kept",
            409,
        )

    curio.run(main)


@pytest.mark.parametrize("how", ["boot", "deadline"])
def test_lost_outcome_is_unknown(how):
    """Guards against running a request again whose outcome was lost.

    The gateway has restarted, or the request has passed its deadline.
    """

    async def main():
        shared = testing.MemoryStore()
        clock = ShiftedClock()
        await begin(make_store(shared, clock=clock))
        active = ("b2",) if how == "boot" else ("b1",)
        clock.offset = 0 if how == "boot" else 11
        second = make_store(shared, writer="g2", active=active, clock=clock)
        assert await begin(second) == claims.Unknown()

    curio.run(main)


def test_outage_refuses_without_asking_the_store_each_time():
    """Guards against callers that wait for a store during an outage."""

    async def main():
        shared = testing.MemoryStore()
        store = make_store(shared)
        await begin(store, "before")
        shared.faults.down = True
        before = shared.counts.total()
        for _ in range(50):
            with pytest.raises(claims.ClaimsUnavailableError) as caught:
                await begin(store)
            assert caught.value.run is core.RunMark.NOT_RUN
        assert shared.counts.total() - before < 50
        shared.faults.down = False
        await curio.sleep(store_module.BACKOFF_LIMIT_SECONDS)
        assert await begin(store) == claims.Granted()

    curio.run(main)


def test_claim_that_comes_too_late_is_released(monkeypatch):
    """Guards against a key that stays claimed after a slow write.

    The caller times out while the write of its claim is still in progress.
    """
    monkeypatch.setattr(store_module, "CLAIM_TIMEOUT_SECONDS", 0.05)

    async def main():
        shared = testing.MemoryStore()
        store = make_store(shared)
        await begin(store, "before")
        shared.faults.slow_seconds = 0.2
        with pytest.raises(claims.ClaimsUnavailableError):
            await begin(store)
        await curio.sleep(0.01)
        # The same write is still in progress; further claims fail at once.
        with pytest.raises(claims.ClaimsUnavailableError) as caught:
            await begin(store)
        assert "does not respond" in str(caught.value)
        shared.faults.slow_seconds = 0
        await curio.sleep(0.3)
        assert await begin(store) == claims.Granted()

    curio.run(main)


def test_claim_whose_response_was_lost_is_granted():
    """Guards against refusing a claim that the store has accepted."""

    async def main():
        shared = testing.MemoryStore()
        store = make_store(shared)
        await begin(store, "before")
        shared.faults.lose_write_responses = 1
        assert await begin(store) == claims.Granted()

    curio.run(main)


def test_claims_that_wait_are_written_together():
    """Guards against one write per claim under load."""

    async def main():
        shared = testing.MemoryStore()
        store = make_store(shared, shards=1)
        await begin(store, "before")
        shared.faults.slow_seconds = 0.01
        before = shared.counts["update.claim"]
        tasks = [
            await curio.spawn(begin, store, f"k{number}")
            for number in range(50)
        ]
        for task in tasks:
            assert await task.join() == claims.Granted()
        assert shared.counts["update.claim"] - before <= 2

    curio.run(main)


class LostResponseStore(testing.MemoryStore):
    """Loses the response to the next update and refuses the next read.

    `write_fault` is "early" if the update takes effect at once, and "late" if
    it takes effect when `deliver` is called.
    """

    write_fault = ""
    delayed_call = None

    async def get(self, **call):
        if self.write_fault:
            self.write_fault = ""
            raise platform.StoreUnavailableError("refused")
        return await super().get(**call)

    async def update(self, **call):
        if self.write_fault == "late":
            self.delayed_call = call
            raise platform.OutcomeUnknownError("lost")
        written = await super().update(**call)
        if self.write_fault == "early":
            raise platform.OutcomeUnknownError("lost")
        return written

    async def deliver(self):
        """Applies the delayed write, unless it conflicts."""
        try:
            await super().update(**self.delayed_call)
        except platform.ConflictError:
            pass


@pytest.mark.parametrize("write_fault", ["early", "late"])
def test_claim_with_unknown_outcome_is_released(write_fault, monkeypatch):
    """Guards against a refused request whose key stays claimed."""
    monkeypatch.setattr(store_module, "LATE_RECORD_SECONDS", 0.1)

    async def main():
        shared = LostResponseStore()
        store = make_store(shared, shards=1)
        await begin(store, "before")
        shared.write_fault = write_fault
        with pytest.raises(claims.ClaimsUnavailableError):
            await begin(store)
        await curio.sleep(0.8)
        if write_fault == "late":
            await shared.deliver()
        assert await begin(store) == claims.Granted()

    curio.run(main)


def test_outcome_is_written_by_an_owner_that_has_not_seen_the_claim():
    """Guards against an outcome that is lost after a change of owner."""

    async def main():
        shared = testing.MemoryStore()
        first, second = (
            make_store(shared, writer=name, shards=1) for name in ("a", "b")
        )
        await begin(second, "before")
        identity = make_identity()
        await begin(first, identity=identity)
        await finish(second, identity, RESPONSE)
        await curio.sleep(2 * store_module.OUTCOME_LINGER_SECONDS)
        assert not second.metrics.counters["claims_outcome_without_claim"]
        assert await begin(first) == claims.Replay(response=RESPONSE)

    curio.run(main)


def test_release_that_overtakes_its_claim_takes_effect():
    """Guards against a key that stays claimed after its release.

    The reply to the claim is lost, and the release is handled before the claim
    is written.
    """

    async def main():
        shared = testing.MemoryStore()
        first, second = (
            make_store(shared, writer=name, shards=1) for name in ("a", "b")
        )
        identity = make_identity()
        await second.abandon(service="s", key="k", identity=identity)
        await curio.sleep(2 * store_module.OUTCOME_LINGER_SECONDS)
        await begin(first, identity=identity)
        await curio.sleep(2 * store_module.LATE_RECORD_POLL_SECONDS)
        assert await begin(first) == claims.Granted()

    curio.run(main)


class OverBudgetStore(testing.MemoryStore):
    """Rejects the next `refusals` updates as over the call budget."""

    refusals = 0

    async def update(self, **options):
        if self.refusals:
            self.refusals -= 1
            raise platform.CallBudgetError("over the budget")
        return await super().update(**options)


def test_claims_over_the_call_budget_wait():
    """Guards against refusing claims that the call budget only delays."""

    async def main():
        shared = OverBudgetStore()
        store = make_store(shared)
        assert await begin(store, "warm") == claims.Granted()
        shared.refusals = 2
        before = shared.counts["update.claim"]
        shard = store.shard_of("warm")
        keys = [
            f"k{number}"
            for number in range(100)
            if store.shard_of(f"k{number}") == shard
        ]
        assert len(keys) > 1
        tasks = [await curio.spawn(begin, store, key) for key in keys]
        for task in tasks:
            assert await task.join() == claims.Granted()
        assert shared.refusals == 0
        assert shared.counts["update.claim"] == before + 1

    curio.run(main)


def test_claim_that_waits_too_long_for_the_budget_is_released(monkeypatch):
    """Guards against a key that stays claimed by a request that timed out."""
    monkeypatch.setattr(store_module, "CLAIM_TIMEOUT_SECONDS", 0.12)

    async def main():
        shared = OverBudgetStore()
        store = make_store(shared)
        assert await begin(store, "warm") == claims.Granted()
        shared.refusals = 6
        with pytest.raises(claims.ClaimsUnavailableError):
            await begin(store)
        shared.refusals = 0
        assert await begin(store) == claims.Granted()

    curio.run(main)


def test_conflict_with_another_owner_is_not_seen_by_the_caller():
    """Guards against refusing claims while two gateways own one shard."""

    async def main():
        shared = testing.MemoryStore()
        stores = [
            make_store(shared, writer=name, shards=1) for name in ("a", "b")
        ]
        for number in range(10):
            key = f"k{number // 2}"
            expected = claims.InProgress() if number % 2 else claims.Granted()
            assert await begin(stores[number % 2], key) == expected
        for number in range(10):
            decision = await begin(stores[number % 2], f"m{number}")
            assert decision == claims.Granted()
        counters = stores[0].metrics.counters + stores[1].metrics.counters
        assert counters["claims_conflict"]

    curio.run(main)


def make_log(shared, clock, writer):
    return log.ShardLog(
        store=shared,
        writer=platform.Writer(
            store=shared, writer=writer, metrics=core.MemoryMetrics()
        ),
        name="s.00",
        clock=clock,
        segment_bytes=1,
    )


def test_paused_gateway_finds_the_log_after_its_segments_are_deleted():
    """Guards against a paused gateway that starts a second log.

    Other gateways deleted the segments that the paused gateway had read, so it
    creates one of them again.
    """

    async def main():
        shared = testing.MemoryStore()
        clock = ShiftedClock()
        paused, other = (make_log(shared, clock, name) for name in "ab")
        await paused.load()
        for _ in range(3):  # Each write seals its segment.
            await other.load()
            await other.append({})
        clock.offset = log.RETENTION_SECONDS + log.DELETE_MARGIN_SECONDS + 1
        await other.load()
        assert await other.clean() == 3
        await paused.load()
        assert paused.version == other.version
        names = [
            item.name for item in (await shared.list(kind="claim")).objects
        ]
        assert names == ["s.00", "s.00.3"]

    curio.run(main)


def test_records_are_kept_for_their_retention():
    """Guards against segments that are deleted too early or never."""

    async def main():
        shared = testing.MemoryStore()
        clock = ShiftedClock()
        store = make_store(
            shared, clock=clock, active=(), shards=1, segment_bytes=1
        )
        await begin(store, "k1")
        await begin(store, "k2")
        (shard,) = store._shards.values()
        clock.offset = log.RETENTION_SECONDS - 10
        assert await shard._log.clean() == 0
        assert await begin(store, "k1") == claims.Unknown()
        clock.offset = log.RETENTION_SECONDS + 10
        assert await begin(store, "k1") == claims.Granted()
        clock.offset += log.RETENTION_SECONDS + 100
        await begin(store, "k3")
        assert await shard._log.clean() >= 2

    curio.run(main)
