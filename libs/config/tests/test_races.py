"""State machine test of concurrent publishers and followers under faults.

Several operators publish at the same time while writes are lost or delayed,
the store fails and gateways restart. The generation in force of a gateway never
decreases, and accepted documents are never lost.
"""

import json
import random
import time

import curio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

import banyandale_config as config
from banyandale_config import _publisher as publisher_module
import banyandale_platform as platform
from banyandale_platform import testing
import banyandale_retry as retry

KEPT = 2
SERVICES = ("a", "b")
GATEWAYS = ("g1", "g2", "g3")


@pytest.fixture(autouse=True, scope="module")
def short_times():
    """Shortens delays, and sweeps often enough to cause races."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(retry.Backoff, "next_delay", lambda backoff: 0.0005)
        patch.setattr(publisher_module, "SWEEP_INTERVAL_GENERATIONS", 2)
        patch.setattr(publisher_module, "KEPT_GENERATIONS", KEPT)
        yield


class FaultyStore(testing.MemoryStore):
    """Interleaves callers at random, fails calls and delays writes.

    `failed`, `lost` and `late` are the shares of calls that fail without
    effect, of writes whose response is lost, and of writes that take effect in
    `deliver_late_writes`.
    """

    def __init__(self):
        super().__init__()
        self.rng = random.Random(0)
        self.lost = self.late = self.failed = 0.0
        self.late_writes = []
        self.roots = []

    def _record(self, change, kind, name, value):
        if kind == "config":
            self.roots.append(json.loads(value))
        return super()._record(change, kind, name, value)

    async def _start(self, operation, kind):
        await super()._start(operation, kind)
        if operation == "watch":
            return
        # An occasional long wait lets one caller make several calls while
        # another waits.
        for _ in range(self.rng.choice((0, 0, 1, 2, 25))):
            await curio.sleep(0)
        if self.rng.random() < self.failed:
            raise platform.StoreUnavailableError("failed")

    def _check(self, kind, name, version):
        if self.late and self.rng.random() < self.late:
            raise platform.OutcomeUnknownError("late")
        super()._check(kind, name, version)

    async def _finish_write(self):
        await super()._finish_write()
        if self.rng.random() < self.lost:
            raise platform.OutcomeUnknownError("lost")

    async def _send(self, method, arguments):
        try:
            return await method(**arguments)
        except platform.OutcomeUnknownError as error:
            if str(error) == "late":
                self.late_writes.append((method, arguments))
            raise

    async def create(self, **arguments):
        return await self._send(super().create, arguments)

    async def update(self, **arguments):
        return await self._send(super().update, arguments)

    async def delete(self, **arguments):
        return await self._send(super().delete, arguments)

    async def deliver_late_writes(self):
        late, self.late_writes = self.late_writes, []
        for method, arguments in late:
            try:
                await method(**arguments)
            except platform.PlatformError:
                pass

    def clear_faults(self):
        self.lost = self.late = self.failed = 0.0
        self.faults.down = False


class Gateway:
    """Runs a follower and records the snapshots it puts in force."""

    def __init__(self, name, machine):
        self.name = name
        self.seen = []
        self.follower = config.Follower(
            store=machine.store,
            gateway=name,
            on_change=self.seen.append,
            rng=random.Random(0),
        )


class Races(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.kernel = curio.Kernel()
        self.store = FaultyStore()
        self.gateways = {name: Gateway(name, self) for name in GATEWAYS}
        # Message and document of each generation that `apply` reported as
        # accepted.
        self.accepted = {}
        # Messages of the changes that were rejected.
        self.refused = set()
        self.in_force = {}
        self.changes = 0

    def teardown(self):
        self.kernel.run(shutdown=True)

    @stateful.initialize()
    def publish_first(self):
        self.race(seed=1, operators=1, lost=0.0, late=0.0, failed=0.0)
        self.follow(names=GATEWAYS[:2], seed=1, failed=0.0)

    @stateful.rule(
        seed=st.integers(0, 1 << 16),
        operators=st.integers(2, 5),
        lost=st.sampled_from([0.0, 0.3]),
        late=st.sampled_from([0.0, 0.2]),
        failed=st.sampled_from([0.0, 0.2]),
    )
    def race(self, seed, operators, lost, late, failed):
        self.store.rng = random.Random(seed)
        self.store.lost, self.store.late = lost, late
        self.store.failed = failed
        self.kernel.run(self._race(operators))
        self.store.lost = self.store.late = self.store.failed = 0.0

    async def _race(self, operators):
        tasks = []
        for _ in range(operators):
            tasks.append(await curio.spawn(self._operate))
        for task in tasks:
            await task.join()

    async def _operate(self):
        for _ in range(3):
            self.changes += 1
            await self._change(f"change {self.changes}")

    async def _change(self, message):
        rng = self.store.rng
        publisher = config.Publisher(store=self.store)
        try:
            base = await publisher.read()
            document, number = self._edit(base, rng)
            generation = await publisher.apply(
                document,
                base_generation=number,
                author="op",
                message=message,
                deadline=time.monotonic() + 0.1,
            )
        except (config.ConfigConflictError, platform.StoreUnavailableError):
            self.refused.add(message)
        except config.ConfigOutcomeUnknownError:
            pass
        else:
            if generation != number:
                assert generation not in self.accepted
                self.accepted[generation] = (message, document)

    def _edit(self, base, rng):
        priorities = dict.fromkeys(SERVICES, 0)
        number = 0
        if base is not None:
            number = base.generation
            for service in base.document.services:
                priorities[service.name] = service.priority
        # There are few values, so that documents use parts again that a sweep
        # has deleted.
        priorities[rng.choice(SERVICES)] = rng.randrange(3)
        document, _ = config.check(
            {
                "zones": [{"name": "za"}],
                "services": [
                    {"name": name, "priority": priority}
                    for name, priority in priorities.items()
                ],
            }
        )
        return document, number

    @stateful.rule()
    def deliver_late_writes(self):
        self.kernel.run(self.store.deliver_late_writes())

    @stateful.rule(down=st.booleans())
    def change_outage(self, down):
        self.kernel.run(self.store.set_down(down))

    @stateful.rule(
        names=st.sets(st.sampled_from(GATEWAYS), min_size=1),
        seed=st.integers(0, 1 << 16),
        failed=st.sampled_from([0.0, 0.3]),
    )
    def follow(self, names, seed, failed):
        self.store.rng = random.Random(seed)
        self.store.failed = failed
        self.kernel.run(self._follow(names))
        self.store.failed = 0.0

    async def _follow(self, names):
        tasks = [
            await curio.spawn(self.gateways[name].follower.run)
            for name in sorted(names)
        ]
        await curio.sleep(0.005)
        for task in tasks:
            await task.cancel()

    @stateful.rule(
        sender=st.sampled_from(GATEWAYS), receiver=st.sampled_from(GATEWAYS)
    )
    def exchange(self, sender, receiver):
        sender = self.gateways[sender].follower
        receiver = self.gateways[receiver].follower
        root = sender.root()
        if root is not None:
            names = receiver.missing_parts(root)
            newer = sender.generation > receiver.generation
            assert receiver.apply_root(root, sender.parts(names)) is newer

    @stateful.rule(name=st.sampled_from(GATEWAYS))
    def restart_gateway(self, name):
        self.gateways[name] = Gateway(name, self)

    @stateful.invariant()
    def generations_in_force_only_grow(self):
        for gateway in self.gateways.values():
            generations = [snapshot.generation for snapshot in gateway.seen]
            assert generations == sorted(set(generations))
            for snapshot in gateway.seen:
                expected = self.in_force.setdefault(
                    snapshot.generation, snapshot
                )
                assert snapshot == expected

    @stateful.invariant()
    def accepted_documents_are_kept(self):
        down = self.store.faults.down
        self.store.clear_faults()
        entries, documents = self.kernel.run(self._read_all())
        self.store.faults.down = down
        written = {
            root["generation"]: root["message"] for root in self.store.roots
        }
        newest = len(self.store.roots)
        assert list(written) == list(range(1, newest + 1))
        kept = range(newest, max(0, newest - KEPT), -1)
        assert entries == {number: written[number] for number in kept}
        assert not self.refused & set(written.values())
        for generation, (message, document) in self.accepted.items():
            assert written[generation] == message
            assert documents.get(generation, document) == document
            if generation in self.in_force:
                assert self.in_force[generation] == config.build_snapshot(
                    document, generation=generation
                )

    async def _read_all(self):
        publisher = config.Publisher(store=self.store)
        entries = await publisher.history()
        documents = {
            entry.generation: (
                await publisher.read_generation(entry.generation)
            ).document
            for entry in entries
        }
        return {entry.generation: entry.message for entry in entries}, documents


Races.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=20,
    database=None,
)
TestRaces = Races.TestCase
