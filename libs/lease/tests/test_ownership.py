"""State machine: no two gateways ever hold the same home.

Gateways run their real code step by step over one store. Every call to the
store stops twice, when the request and when the response is on its way, and
the machine decides what becomes of it. A gateway whose calls are not
continued is paused.
"""

import itertools
import random
import types

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

import banyandale_core as core
import banyandale_lease as lease
import banyandale_platform as platform
from banyandale_platform import testing

HOMES = (("ledger", "z1"), ("ledger", "z2"), ("archive", "z1"))
ZONES = ("z1", "z1", "z2")
IDS = range(len(ZONES))


class FakeClock:
    now = 1000.0

    def monotonic(self):
        return self.now

    def unix(self):
        return self.now


@types.coroutine
def stop():
    return (yield)


class SteppedStore:
    """Passes calls to a shared store and stops around each."""

    def __init__(self, shared, late):
        self._shared = shared
        self._late = late

    async def _call(self, name, arguments):
        lost = platform.StoreUnavailableError
        is_write = name in ("create", "update", "delete")
        if is_write:
            lost = platform.OutcomeUnknownError
        fate = await stop()
        if fate == "late write":
            fate = "late" if is_write else "ok"
        if fate == "refused":
            raise platform.StoreUnavailableError("refused")
        if fate == "lost":
            raise lost("request lost")
        if fate == "late":
            if is_write:
                self._late.append((name, arguments))
            raise lost("request late")
        result, failure = None, None
        try:
            result = await getattr(self._shared, name)(**arguments)
        except platform.ConflictError as error:
            failure = error
        if await stop() in ("lost", "late", "refused"):
            raise lost("response lost")
        if failure is not None:
            raise failure
        return result

    def __getattr__(self, name):
        return lambda **arguments: self._call(name, arguments)


class Node:
    """One gateway with its two tasks."""

    def __init__(self, world, number, keeper_type, ownership_type):
        self.name = f"gw-{number}"
        self.idle = True
        self.released = False
        boots = (f"{self.name}-{count}" for count in itertools.count())
        store = SteppedStore(world.store, world.late)
        self.keeper = keeper_type(
            store=store,
            clock=world.clock,
            metrics=world.metrics,
            rng=random.Random(number),
            gateway=self.name,
            zone=ZONES[number],
            http="",
            peer="",
            new_boot=boots.__next__,
        )
        self.ownership = ownership_type(
            store=store,
            keeper=self.keeper,
            clock=world.clock,
            metrics=world.metrics,
            rng=random.Random(number),
            get_desired_homes=lambda: world.wanted,
            is_idle=lambda service, zone: self.idle,
        )
        self.tasks = {"keeper": None, "ownership": None, "leave": None}

    async def pass_once(self):
        try:
            await self.ownership.poll(deadline=0.0)
            await self.ownership.scan()
        except platform.PlatformError:
            pass

    def step(self, task, fate):
        """Starts a task or continues it until its next stop."""
        if self.tasks[task] is None:
            if self.released and task != "leave":
                return
            make = {
                "keeper": self.keeper.renew,
                "ownership": self.pass_once,
                "leave": self.keeper.leave,
            }
            self.tasks[task] = make[task]()
            fate = None
        try:
            self.tasks[task].send(fate)
        except StopIteration:
            self.tasks[task] = None

    def finish(self, task, fate=None):
        """Continues a task to its end, or runs it once."""
        self.step(task, fate)
        while self.tasks[task] is not None:
            self.step(task, fate)

    def release(self):
        self.released = True
        self.tasks["leave"] = self.keeper.release()
        self.step("leave", None)


class World:
    def __init__(self, keeper_type, ownership_type):
        self.clock = FakeClock()
        self.metrics = core.MemoryMetrics()
        self.store = testing.MemoryStore(clock=self.clock, kept_changes=12)
        self.late = []
        self.wanted = lease.DesiredHomes(
            homes=HOMES, zones_in_service=frozenset({"z1", "z2"})
        )
        self.nodes = [
            Node(self, number, keeper_type, ownership_type) for number in IDS
        ]

    def deliver_late(self):
        """Lets the oldest late write reach the store."""
        if not self.late:
            return
        name, arguments = self.late.pop(0)
        try:
            getattr(self.store, name)(**arguments).send(None)
        except (StopIteration, platform.ConflictError):
            pass

    def live_for(self, seconds, numbers):
        """Lets some gateways work undisturbed while the others pause."""
        for _ in range(int(seconds * 2)):
            self.clock.now += 0.5
            for number in numbers:
                self.nodes[number].finish("keeper")
                self.nodes[number].finish("ownership")
            self.check()

    def holders(self, key):
        service, zone = key
        return [
            node.name
            for node in self.nodes
            if node.ownership.holds(service=service, zone=zone)
        ]

    def check(self):
        for key in HOMES:
            names = self.holders(key)
            assert len(names) <= 1, f"{key} is held twice: {names}"

    def check_records(self):
        """Whoever holds a home is named by its object."""
        for node in self.nodes:
            for key in node.ownership.held():
                if node.keeper.is_valid():
                    stored = self.store.peek(kind="home", name=".".join(key))
                    fields = platform.decode_fields(stored)
                    names = fields["gateway"], fields["boot"]
                    assert names == (node.name, node.keeper.boot), key


FATES = st.sampled_from(["ok"] * 6 + ["lost", "late", "late write", "refused"])
NODES = st.sampled_from(IDS)
TASKS = st.sampled_from(["keeper", "ownership"])


class OwnershipMachine(stateful.RuleBasedStateMachine):
    keeper_type = lease.LeaseKeeper
    ownership_type = lease.Ownership
    strict = True

    @stateful.initialize(started=st.booleans())
    def start(self, started):
        self.world = World(self.keeper_type, self.ownership_type)
        if started:
            self.world.live_for(1.0, IDS)

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 2.5, 2.9, 3.1, 3.6]))
    def wait(self, seconds):
        self.world.clock.now += seconds

    @stateful.rule(number=NODES, task=TASKS, fate=FATES)
    def step(self, number, task, fate):
        self.world.nodes[number].step(task, fate)

    @stateful.rule(number=NODES, task=TASKS, fate=FATES)
    def finish(self, number, task, fate):
        self.world.nodes[number].finish(task, fate)

    @stateful.rule(
        seconds=st.sampled_from([0.5, 2.0, 4.0, 6.0]),
        numbers=st.sets(NODES, min_size=1),
    )
    def live(self, seconds, numbers):
        self.world.live_for(seconds, sorted(numbers))

    @stateful.rule(
        number=NODES,
        call=st.sampled_from(
            [("keeper", 1), ("keeper", 1), ("keeper", 2)]
            + [("ownership", steps) for steps in (1, 2, 3, 5)]
        ),
        before=st.sampled_from([0.0, 2.0, 2.5]),
        after=st.sampled_from([1.0, 2.0, 2.5, 4.0]),
    )
    def pause_in_call(self, number, call, before, after):
        """Others go on before and after this gateway starts a call."""
        node = self.world.nodes[number]
        task, steps = call
        others = [other for other in IDS if other != number]
        node.finish("keeper")
        self.world.live_for(before, others)
        for _ in range(steps):
            node.step(task, "ok")
        self.world.live_for(after, others)
        while node.tasks[task] is not None:
            node.step(task, "ok")
            self.world.check()

    @stateful.rule()
    def deliver_late(self):
        self.world.deliver_late()

    @stateful.rule(seconds=st.sampled_from([1.0, 5.0]))
    def outage(self, seconds):
        for _ in range(int(seconds)):
            self.world.clock.now += 1.0
            for node in self.world.nodes:
                node.finish("keeper", "refused")
                node.finish("ownership", "refused")

    @stateful.rule(number=NODES)
    def toggle_idle(self, number):
        node = self.world.nodes[number]
        node.idle = not node.idle

    @stateful.rule(zone=st.sampled_from(["z1", "z2"]))
    def toggle_zone(self, zone):
        wanted = self.world.wanted
        self.world.wanted = lease.DesiredHomes(
            homes=HOMES, zones_in_service=wanted.zones_in_service ^ {zone}
        )

    @stateful.precondition(
        lambda self: not any(node.released for node in self.world.nodes)
    )
    @stateful.rule(number=NODES, announced=st.booleans())
    def shut_down(self, number, announced):
        node = self.world.nodes[number]
        if announced:
            node.finish("leave")
            self.world.live_for(1.5, IDS)
        node.release()

    @stateful.invariant()
    def check(self):
        if hasattr(self, "world"):
            self.world.check()
            if self.strict:
                self.world.check_records()

    def teardown(self):
        """Without faults every home has a holder within ten seconds."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.wanted = lease.DesiredHomes(
            homes=HOMES, zones_in_service=frozenset({"z1", "z2"})
        )
        for node in world.nodes:
            node.idle = True
        working = [number for number in IDS if not world.nodes[number].released]
        world.live_for(10.0, working)
        for key in HOMES:
            assert len(world.holders(key)) == 1, (key, world.holders(key))
            names = {
                world.nodes[number].ownership.holder(
                    service=key[0], zone=key[1]
                )
                for number in working
            }
            assert names == set(world.holders(key))


SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    print_blob=False,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def run_machine(machine):
    stateful.run_state_machine_as_test(machine, settings=SETTINGS)


def test_no_home_is_held_twice():
    """Guards against two gateways filling the same backend slots."""
    run_machine(OwnershipMachine)


class WithoutRevocation(lease.Ownership):
    """Takes over from an overdue holder without ending its lease."""

    async def _is_free(self, entry):
        overdue = self._view.leases.get(entry.record.gateway)
        now = self._clock.monotonic()
        return self._has_ended(entry.record) or (
            self._view.age(overdue, now=now) >= self._revoke_seconds
        )

    async def _revoke(self, gateway, lease):
        pass


class DeadlineFromResponse(lease.LeaseKeeper):
    """Counts the lease from the response instead of from the send."""

    def _confirm(self, boot, version, sent_at):
        return super()._confirm(boot, version, self._clock.monotonic())


class WithoutDeadlineCheck(lease.Ownership):
    """Sends without looking at the lease."""

    def holds(self, *, service, zone):
        return (service, zone) in self.held()


class WithoutNewBoot(lease.LeaseKeeper):
    """Keeps its boot id and homes when its lease was revoked."""

    def _end(self, reason):
        self._version = None
        self._previous_boot = self._boot


class HandoverBeforeDrop(lease.Ownership):
    """Gives a home up only after the new holder was written."""

    def _lose(self, key, version, reason):
        if reason != "home_handed_over":
            super()._lose(key, version, reason)


@pytest.mark.parametrize(
    "weakened",
    [
        WithoutRevocation,
        DeadlineFromResponse,
        WithoutDeadlineCheck,
        WithoutNewBoot,
        HandoverBeforeDrop,
    ],
)
def test_weakened_rules_are_found(weakened):
    """Guards against a machine that cannot reach the dangerous states."""

    class Weakened(OwnershipMachine):
        strict = False
        if issubclass(weakened, lease.LeaseKeeper):
            keeper_type = weakened
        else:
            ownership_type = weakened

    settings = hypothesis.settings(
        SETTINGS, max_examples=500, phases=[hypothesis.Phase.generate]
    )
    with pytest.raises(AssertionError, match="is held twice"):
        stateful.run_state_machine_as_test(Weakened, settings=settings)


class ReclaimsByReading(lease.Ownership):
    """Holds what the store says, even after giving it up."""

    def _lose(self, key, version, reason):
        super()._lose(key, version, reason)
        self._given_up.clear()


def start_handover(ownership_type):
    """Leaves the write of a handover to the third gateway on its way."""
    world = World(lease.LeaseKeeper, ownership_type)
    world.live_for(5.0, [0, 1])
    (name,) = world.holders(("ledger", "z2"))
    giver = next(node for node in world.nodes if node.name == name)
    receiver = world.nodes[2]
    receiver.finish("keeper")
    giver.finish("ownership", "late write")
    assert world.late
    return world, giver, receiver


def reload_during_handover(ownership_type):
    world, giver, receiver = start_handover(ownership_type)
    giver.idle = False
    for _ in range(20):
        receiver.finish("keeper")
    for _ in range(2):
        giver.finish("ownership")
    world.deliver_late()
    receiver.finish("ownership")
    world.check()
    assert world.holders(("ledger", "z2")) == [receiver.name]


def test_home_given_up_is_not_reclaimed_by_reading():
    """Guards against a holder that forgets its own write in flight."""
    reload_during_handover(lease.Ownership)
    with pytest.raises(AssertionError, match="is held twice"):
        reload_during_handover(ReclaimsByReading)


def test_failed_handover_is_undone_when_the_receiver_is_gone():
    """Guards against a home that its recorded holder does not hold."""
    world, giver, receiver = start_handover(lease.Ownership)
    assert world.holders(("ledger", "z2")) == []
    receiver.release()
    while receiver.tasks["leave"]:
        receiver.step("leave", "ok")
    giver.finish("ownership")
    assert world.holders(("ledger", "z2")) == [giver.name]
    world.deliver_late()
    world.live_for(1.0, [0, 1])
    assert world.holders(("ledger", "z2")) == [giver.name]


def test_joining_gateway_receives_one_home_a_second_and_only_idle_ones():
    """Guards against a joining VM moving busy homes, or all at once."""
    world = World(lease.LeaseKeeper, lease.Ownership)
    world.wanted = lease.DesiredHomes(
        homes=[(f"s{number}", "z2") for number in range(6)],
        zones_in_service=frozenset({"z1", "z2"}),
    )
    giver, receiver = world.nodes[0], world.nodes[2]
    world.live_for(1.0, [0])
    assert len(giver.ownership.held()) == 6
    giver.idle = False
    world.live_for(2.0, [0, 2])
    assert receiver.ownership.held() == ()
    giver.idle = True
    for count in range(1, 6):
        world.live_for(1.0, [0, 2])
        assert len(giver.ownership.held()) == 6 - count


def test_leaving_gateway_hands_over_everything_at_once():
    """Guards against a shutdown that waits for idle homes."""
    world = World(lease.LeaseKeeper, lease.Ownership)
    world.live_for(1.0, [0])
    world.live_for(0.5, [1])
    giver = world.nodes[0]
    giver.idle = False
    giver.finish("leave")
    giver.finish("ownership")
    world.nodes[1].finish("ownership")
    assert [world.holders(key) for key in HOMES] == [["gw-1"]] * 3


def test_home_taken_for_an_ended_boot_is_not_held():
    """Guards against holding a home that others see as free."""
    world = World(lease.LeaseKeeper, lease.Ownership)
    node = world.nodes[0]
    node.finish("keeper")
    while world.store.peek(kind="home", name="ledger.z1") is None:
        node.step("ownership", "ok")
    world.clock.now += 3.1
    node.finish("keeper")
    node.finish("ownership", "ok")
    world.check_records()


def test_released_lease_is_taken_over_without_waiting():
    """Guards against 3.5 s without a home after a planned shutdown."""
    world = World(lease.LeaseKeeper, lease.Ownership)
    world.live_for(1.0, [0, 1])
    world.nodes[0].release()
    while world.nodes[0].tasks["leave"]:
        world.nodes[0].step("leave", "ok")
    world.nodes[1].finish("ownership")
    assert [world.holders(key) for key in HOMES] == [["gw-1"]] * 3


def test_outage_moves_no_home_and_is_not_reported_as_a_loss():
    """Guards against giving up warm servers while the store is down."""
    world = World(lease.LeaseKeeper, lease.Ownership)
    world.live_for(5.0, IDS)
    for node in world.nodes:
        node.finish("ownership")
    before = [world.holders(key) for key in HOMES]
    held = [node.ownership.held() for node in world.nodes]
    for _ in range(20):
        world.clock.now += 1.0
        for node in world.nodes:
            node.finish("keeper", "refused")
            node.finish("ownership", "refused")
    assert [world.holders(key) for key in HOMES] == [[], [], []]
    assert [node.ownership.held() for node in world.nodes] == held
    names = [
        world.nodes[0].ownership.holder(service=service, zone=zone)
        for service, zone in HOMES
    ]
    assert [[name] for name in names] == before
    assert len(world.nodes[0].ownership.gateways()) == 3
    world.live_for(1.0, IDS)
    assert [world.holders(key) for key in HOMES] == before
    assert world.metrics.counters["home_lease_revoked"] == 0


def test_dropped_home_is_deleted_and_reported_lost():
    """Guards against dispatching for a service that was removed."""
    world = World(lease.LeaseKeeper, lease.Ownership)
    world.live_for(1.0, [0])
    world.wanted = lease.DesiredHomes(
        homes=HOMES[:1], zones_in_service=frozenset({"z1"})
    )
    world.live_for(1.0, [0])
    assert world.nodes[0].ownership.held() == HOMES[:1]
    assert world.store.peek(kind="home", name="ledger.z2") is None


def test_abandoned_lease_is_revoked_and_deleted():
    """Guards against leases of replaced VMs staying in the store."""
    world = World(lease.LeaseKeeper, lease.Ownership)
    world.wanted = lease.DesiredHomes(
        homes=HOMES[:1], zones_in_service=frozenset({"z1"})
    )
    world.live_for(1.0, IDS)
    world.live_for(5.0, [0, 1])
    assert b"revoked" in world.store.peek(kind="lease", name="gw-2").value
    world.live_for(70.0, [0, 1])
    assert world.store.peek(kind="lease", name="gw-2") is None
