"""State machine test: no key is granted twice, whatever calls fail.

Two stores claim keys of one shard at the same time, like two gateways that
both act as its owner.
"""

import itertools
import random
import selectors
import time

import curio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

import banyandale_claims as claims
from banyandale_claims import _log as log
import banyandale_core as core
import banyandale_platform as platform
from banyandale_platform import testing

KEYS = ("k0", "k1", "k2")
OWNERS = (0, 1)
BODY_HASH = "h"
WRITE_FAULTS = (
    "refused",
    "early",
    "late",
    "never",
    "blind_early",
    "blind_late",
    "blind_never",
)


class VirtualTime(selectors.DefaultSelector):
    """Clock and selector that advance the time instead of waiting.

    With real time the order of events would differ between two runs of the
    same steps, which Hypothesis rejects.
    """

    def __init__(self):
        super().__init__()
        self.now = 1_000_000.0

    def monotonic(self):
        self.now += 1e-6
        return self.now

    unix = monotonic

    def select(self, timeout=None):
        events = super().select(0)
        if not events and timeout and timeout > 0:
            self.now += timeout
        return events


class ChaoticStore(testing.MemoryStore):
    """Yields to other tasks around each call and injects write faults.

    A `refused` write fails without effect. `early`, `late` and `never` give no
    response; the write takes effect at once, before the write after the next
    one, or not at all. With the prefix `blind_`, the next read is refused as
    well.
    """

    def __init__(self, *, conditional=True):
        super().__init__()
        self.write_faults = []
        self._late = []
        self._conditional = conditional
        self._blind = False

    async def get(self, **call):
        await curio.sleep(0)
        if self._blind:
            self._blind = False
            raise platform.StoreUnavailableError("refused")
        return await super().get(**call)

    async def create(self, **call):
        return await self._apply(super().create, call)

    async def update(self, **call):
        if not self._conditional:
            current = self.peek(kind=call["kind"], name=call["name"])
            call["version"] = current.version if current else None
        return await self._apply(super().update, call)

    async def delete(self, **call):
        return await self._apply(super().delete, call)

    async def _apply(self, write, call):
        await curio.sleep(0)
        if self.faults.down:
            raise platform.StoreUnavailableError("down")
        write_fault = self.write_faults.pop(0) if self.write_faults else ""
        if write_fault.startswith("blind_"):
            write_fault = write_fault.removeprefix("blind_")
            self._blind = True
        if write_fault == "refused":
            raise platform.StoreUnavailableError("refused")
        if write_fault == "late":
            self._late.append([2, write, call])
        if write_fault in ("late", "never"):
            raise platform.OutcomeUnknownError("no response")
        await self._deliver_late_writes()
        written = await write(**call)
        await curio.sleep(0)
        if write_fault == "early":
            raise platform.OutcomeUnknownError("no response")
        return written

    async def _deliver_late_writes(self):
        for entry in tuple(self._late):
            entry[0] -= 1
            if entry[0] <= 0:
                self._late.remove(entry)
                try:
                    await entry[1](**entry[2])
                except platform.ConflictError:
                    pass


class ClaimMachine(stateful.RuleBasedStateMachine):
    conditional = True

    def __init__(self):
        super().__init__()
        self.clock = VirtualTime()
        time.monotonic = self.clock.monotonic
        self.kernel = curio.Kernel(selector=self.clock)
        self.store = ChaoticStore(conditional=self.conditional)
        self.boots = [0, 0]
        self.numbers = itertools.count()
        # Maps a key to the granted (owner, identity), or to "done".
        self.held = {}
        # Keys whose release was lost in a restart of a gateway.
        self.stuck = set()
        self.unreleased = {0: set(), 1: set()}
        self.owners = [self.make_owner(index) for index in OWNERS]
        self.granted_twice = []
        # Seconds waited since the retention of all keys last passed.
        self.waited = 0.0
        self.marks = {core.RunMark.NOT_RUN}

    @stateful.invariant()
    def grants_once(self):
        assert not self.granted_twice, "a key was granted twice"
        assert self.marks == {core.RunMark.NOT_RUN}

    def make_owner(self, index):
        return claims.ClaimStore(
            store=self.store,
            writer=f"g{index}/{self.boots[index]}",
            is_active=lambda gateway, boot: (
                boot == str(self.boots[int(gateway)])
            ),
            metrics=core.MemoryMetrics(),
            clock=self.clock,
            rng=random.Random(0),
            shards=1,
            segment_bytes=300,
        )

    def run(self, function, *args):
        return self.kernel.run(function, *args)

    async def begin(self, owner, key):
        identity = claims.Identity(
            gateway_id=str(owner),
            boot=str(self.boots[owner]),
            request_id=str(next(self.numbers)),
        )
        try:
            decision = await self.owners[owner].begin(
                service="s",
                key=key,
                body_hash=BODY_HASH,
                identity=identity,
                deadline=time.monotonic() + 5,
            )
        except curio.CancelledError:
            self.unreleased[owner].add(key)
            raise
        except claims.ClaimError as error:
            self.unreleased[owner].add(key)
            self.marks.add(error.run)
            return None
        if isinstance(decision, claims.Granted):
            if key in self.held:
                self.granted_twice.append(key)
            for keys in self.unreleased.values():
                keys.discard(key)
            self.held[key] = (owner, identity)
        return decision

    @stateful.rule(
        requests=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(OWNERS), strategies.sampled_from(KEYS)
            ),
            min_size=1,
            max_size=5,
        )
    )
    def begin_together(self, requests):
        async def main():
            tasks = [
                await curio.spawn(self.begin, *request) for request in requests
            ]
            for task in tasks:
                await task.join()

        self.run(main)

    @stateful.rule(
        owner=strategies.sampled_from(OWNERS),
        key=strategies.sampled_from(KEYS),
        yields=strategies.integers(0, 12),
    )
    def begin_and_cancel(self, owner, key, yields):
        async def main():
            task = await curio.spawn(self.begin, owner, key)
            for _ in range(yields):
                await curio.sleep(0)
            await task.cancel()

        self.run(main)

    @stateful.rule(
        key=strategies.sampled_from(KEYS),
        reporter=strategies.sampled_from(OWNERS),
        large=strategies.booleans(),
    )
    def finish(self, key, reporter, large):
        if key not in self.held or self.held[key] == "done":
            return
        _, identity = self.held[key]
        self.held[key] = "done"
        response = claims.StoredResponse(
            status=200, body=b"x" * (20_000 if large else 5)
        )

        async def main():
            await self.owners[reporter].finish(
                service="s", key=key, identity=identity, response=response
            )

        self.run(main)

    @stateful.rule(
        key=strategies.sampled_from(KEYS),
        reporter=strategies.sampled_from(OWNERS),
    )
    def abandon(self, key, reporter):
        if key not in self.held or self.held[key] == "done":
            return
        _, identity = self.held.pop(key)
        self.unreleased[reporter].add(key)

        async def main():
            await self.owners[reporter].abandon(
                service="s", key=key, identity=identity
            )

        self.run(main)

    @stateful.rule(owner=strategies.sampled_from(OWNERS))
    def restart(self, owner):
        """Restarts a gateway, which loses everything not yet written."""
        self.boots[owner] += 1
        self.stuck |= self.unreleased[owner]
        self.unreleased[owner] = set()

        async def main():
            for shard in self.owners[owner]._shards.values():
                await shard.task.cancel()

        self.run(main)
        self.owners[owner] = self.make_owner(owner)

    @stateful.rule(
        write_faults=strategies.lists(
            strategies.sampled_from(WRITE_FAULTS),
            min_size=1,
            max_size=3,
        )
    )
    def disturb_writes(self, write_faults):
        self.store.write_faults = list(write_faults)

    @stateful.rule(down=strategies.booleans())
    def switch_store(self, down):
        self.store.faults.down = down

    @stateful.rule(seconds=strategies.sampled_from((0.3, 70.0)))
    def wait(self, seconds):
        if self.waited > log.RETENTION_SECONDS / 2:
            self.pass_retention()
        self.waited += seconds
        self.run(curio.sleep, seconds)

    @stateful.rule()
    def pass_retention(self):
        """Advances the time until every key may be granted again."""
        self.clock.now += log.RETENTION_SECONDS + 100
        self.waited = 0.0
        self.held.clear()
        self.stuck.clear()

    def teardown(self):
        try:
            self.check_keys_after_faults()
        finally:
            self.kernel.run(shutdown=True)

    def check_keys_after_faults(self):
        """Checks that released keys can be claimed once the store works."""
        self.store.write_faults = []
        self.store.faults.down = False
        for key in KEYS:
            for _ in range(100):
                self.run(self.begin, 0, key)
                if key in self.held or key in self.stuck:
                    break
                self.run(curio.sleep, 0.3)
            else:
                raise AssertionError(f"{key} is still claimed after 100 tries")
        self.grants_once()


@pytest.fixture(autouse=True)
def restored_time(monkeypatch):
    """Restores `time.monotonic`, which each machine replaces."""
    monkeypatch.setattr(time, "monotonic", time.monotonic)


SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    stateful_step_count=40,
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_key_is_granted_once():
    """Guards against a request that runs twice, such as a payment."""
    stateful.run_state_machine_as_test(ClaimMachine, settings=SETTINGS)


def test_machine_fails_without_the_condition_of_updates():
    """Guards against a state machine that misses a second grant."""

    class UnconditionalMachine(ClaimMachine):
        conditional = False

    with pytest.raises(AssertionError, match="a key was granted twice"):
        stateful.run_state_machine_as_test(
            UnconditionalMachine, settings=SETTINGS
        )
