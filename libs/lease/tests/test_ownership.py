"""State-machine test that two gateways never hold the same home.

The gateways run their real code step by step on one simulated store. Each call
to the store suspends twice: before the request reaches the store and before
the response returns. The state machine then chooses the outcome of the call. A
gateway whose calls are not resumed is paused.
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
def suspend():
    return (yield)


class SteppedStore:
    """Forwards calls to a shared store and suspends before and after each."""

    def __init__(self, shared, late_writes):
        self._shared = shared
        self._late_writes = late_writes

    async def _call(self, name, arguments):
        lost = platform.StoreUnavailableError
        is_write = name in ("create", "update", "delete")
        if is_write:
            lost = platform.OutcomeUnknownError
        outcome = await suspend()
        if outcome == "late write":
            outcome = "late" if is_write else "ok"
        if outcome == "refused":
            raise platform.StoreUnavailableError("refused")
        if outcome == "lost":
            raise lost("request lost")
        if outcome == "late":
            if is_write:
                self._late_writes.append((name, arguments))
            raise lost("request late")
        result, failure = None, None
        try:
            result = await getattr(self._shared, name)(**arguments)
        except platform.ConflictError as error:
            failure = error
        if await suspend() in ("lost", "late", "refused"):
            raise lost("response lost")
        if failure is not None:
            raise failure
        return result

    def __getattr__(self, name):
        return lambda **arguments: self._call(name, arguments)


class Node:
    """One gateway with its background tasks."""

    def __init__(self, cluster, number, keeper_type, ownership_type):
        self.name = f"gw-{number}"
        self.idle = True
        self.released = False
        boots = (f"{self.name}-{count}" for count in itertools.count())
        store = SteppedStore(cluster.store, cluster.late_writes)
        self.keeper = keeper_type(
            store=store,
            clock=cluster.clock,
            metrics=cluster.metrics,
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
            clock=cluster.clock,
            metrics=cluster.metrics,
            rng=random.Random(number),
            get_desired_homes=lambda: cluster.desired,
            is_idle=lambda service, zone: self.idle,
        )
        self.tasks = {"keeper": None, "ownership": None, "leave": None}

    async def poll_and_scan(self):
        try:
            await self.ownership.poll(deadline=0.0)
            await self.ownership.scan()
        except platform.PlatformError:
            pass

    def step(self, task, outcome):
        """Starts a task or resumes it until it suspends again."""
        if self.tasks[task] is None:
            if self.released and task != "leave":
                return
            make = {
                "keeper": self.keeper.renew,
                "ownership": self.poll_and_scan,
                "leave": self.keeper.leave,
            }
            self.tasks[task] = make[task]()
            outcome = None
        try:
            self.tasks[task].send(outcome)
        except StopIteration:
            self.tasks[task] = None

    def finish(self, task, outcome=None):
        """Runs a new or started task to its end."""
        self.step(task, outcome)
        while self.tasks[task] is not None:
            self.step(task, outcome)

    def release(self):
        self.released = True
        self.tasks["leave"] = self.keeper.release()
        self.step("leave", None)


class Cluster:
    def __init__(self, keeper_type, ownership_type):
        self.clock = FakeClock()
        self.metrics = core.MemoryMetrics()
        self.store = testing.MemoryStore(clock=self.clock, kept_changes=12)
        self.late_writes = []
        self.desired = lease.DesiredHomes(
            homes=HOMES, zones_in_service=frozenset({"z1", "z2"})
        )
        self.nodes = [
            Node(self, number, keeper_type, ownership_type) for number in IDS
        ]

    def deliver_late(self):
        """Applies the oldest delayed write to the store."""
        if not self.late_writes:
            return
        name, arguments = self.late_writes.pop(0)
        try:
            getattr(self.store, name)(**arguments).send(None)
        except (StopIteration, platform.ConflictError):
            pass

    def run_for(self, seconds, numbers):
        """Runs some gateways without faults while the others are paused."""
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
        """Checks that each home's object names the holder."""
        for node in self.nodes:
            for key in node.ownership.held():
                if node.keeper.is_valid():
                    stored = self.store.peek(kind="home", name=".".join(key))
                    fields = platform.decode_fields(stored)
                    names = fields["gateway"], fields["boot"]
                    assert names == (node.name, node.keeper.boot), key


OUTCOMES = st.sampled_from(
    ["ok"] * 6 + ["lost", "late", "late write", "refused"]
)
NODES = st.sampled_from(IDS)
TASKS = st.sampled_from(["keeper", "ownership"])


class OwnershipMachine(stateful.RuleBasedStateMachine):
    keeper_type = lease.LeaseKeeper
    ownership_type = lease.Ownership
    strict = True

    @stateful.initialize(started=st.booleans())
    def start(self, started):
        self.cluster = Cluster(self.keeper_type, self.ownership_type)
        if started:
            self.cluster.run_for(1.0, IDS)

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 2.5, 2.9, 3.1, 3.6]))
    def wait(self, seconds):
        self.cluster.clock.now += seconds

    @stateful.rule(number=NODES, task=TASKS, outcome=OUTCOMES)
    def step(self, number, task, outcome):
        self.cluster.nodes[number].step(task, outcome)

    @stateful.rule(number=NODES, task=TASKS, outcome=OUTCOMES)
    def finish(self, number, task, outcome):
        self.cluster.nodes[number].finish(task, outcome)

    @stateful.rule(
        seconds=st.sampled_from([0.5, 2.0, 4.0, 6.0]),
        numbers=st.sets(NODES, min_size=1),
    )
    def live(self, seconds, numbers):
        self.cluster.run_for(seconds, sorted(numbers))

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
        """Pauses one gateway within a call while the others continue."""
        node = self.cluster.nodes[number]
        task, steps = call
        others = [other for other in IDS if other != number]
        node.finish("keeper")
        self.cluster.run_for(before, others)
        for _ in range(steps):
            node.step(task, "ok")
        self.cluster.run_for(after, others)
        while node.tasks[task] is not None:
            node.step(task, "ok")
            self.cluster.check()

    @stateful.rule()
    def deliver_late(self):
        self.cluster.deliver_late()

    @stateful.rule(seconds=st.sampled_from([1.0, 5.0]))
    def outage(self, seconds):
        for _ in range(int(seconds)):
            self.cluster.clock.now += 1.0
            for node in self.cluster.nodes:
                node.finish("keeper", "refused")
                node.finish("ownership", "refused")

    @stateful.rule(number=NODES)
    def toggle_idle(self, number):
        node = self.cluster.nodes[number]
        node.idle = not node.idle

    @stateful.rule(zone=st.sampled_from(["z1", "z2"]))
    def toggle_zone(self, zone):
        desired = self.cluster.desired
        self.cluster.desired = lease.DesiredHomes(
            homes=HOMES, zones_in_service=desired.zones_in_service ^ {zone}
        )

    @stateful.precondition(
        lambda self: not any(node.released for node in self.cluster.nodes)
    )
    @stateful.rule(number=NODES, announced=st.booleans())
    def shut_down(self, number, announced):
        node = self.cluster.nodes[number]
        if announced:
            node.finish("leave")
            self.cluster.run_for(1.5, IDS)
        node.release()

    @stateful.invariant()
    def check(self):
        if hasattr(self, "cluster"):
            self.cluster.check()
            if self.strict:
                self.cluster.check_records()

    def teardown(self):
        """Checks that without faults each home has a holder after 10 s."""
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.desired = lease.DesiredHomes(
            homes=HOMES, zones_in_service=frozenset({"z1", "z2"})
        )
        for node in cluster.nodes:
            node.idle = True
        working = [
            number for number in IDS if not cluster.nodes[number].released
        ]
        cluster.run_for(10.0, working)
        for key in HOMES:
            assert len(cluster.holders(key)) == 1, (key, cluster.holders(key))
            names = {
                cluster.nodes[number].ownership.holder(
                    service=key[0], zone=key[1]
                )
                for number in working
            }
            assert names == set(cluster.holders(key))


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
    """Guards against two gateways assigning the same server slots."""
    run_machine(OwnershipMachine)


class WithoutRevocation(lease.Ownership):
    """Takes over from an overdue holder without revoking its lease."""

    async def _is_free(self, entry):
        overdue = self._view.leases.get(entry.record.gateway)
        now = self._clock.monotonic()
        return self._has_ended(entry.record) or (
            self._view.age(overdue, now=now) >= self._revoke_seconds
        )

    async def _revoke(self, gateway, lease):
        pass


class DeadlineFromResponse(lease.LeaseKeeper):
    """Starts the lease at the response instead of at the request."""

    def _confirm(self, boot, version, sent_at):
        return super()._confirm(boot, version, self._clock.monotonic())


class WithoutDeadlineCheck(lease.Ownership):
    """Ignores the end of the lease."""

    def holds(self, *, service, zone):
        return (service, zone) in self.held()


class WithoutNewBoot(lease.LeaseKeeper):
    """Keeps its boot id and homes after its lease has ended."""

    def _end_registration(self, reason):
        self._version = None
        self._previous_boot = self._boot


class HandoverBeforeDrop(lease.Ownership):
    """Keeps holding a home while the new holder is being written."""

    def _stop_holding(self, key, version, reason):
        if reason != "home_handed_over":
            super()._stop_holding(key, version, reason)


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
    """Guards against a state machine that misses such violations.

    Each class above removes one rule that keeps homes exclusive.
    """

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
    """Holds a home that the store assigns to it, even after releasing it."""

    def _stop_holding(self, key, version, reason):
        super()._stop_holding(key, version, reason)
        self._released.clear()


def start_delayed_handover(ownership_type):
    """Starts a handover to the third gateway whose write is delayed."""
    cluster = Cluster(lease.LeaseKeeper, ownership_type)
    cluster.run_for(5.0, [0, 1])
    (name,) = cluster.holders(("ledger", "z2"))
    sender = next(node for node in cluster.nodes if node.name == name)
    receiver = cluster.nodes[2]
    receiver.finish("keeper")
    sender.finish("ownership", "late write")
    assert cluster.late_writes
    return cluster, sender, receiver


def reload_during_handover(ownership_type):
    cluster, sender, receiver = start_delayed_handover(ownership_type)
    sender.idle = False
    for _ in range(20):
        receiver.finish("keeper")
    for _ in range(2):
        sender.finish("ownership")
    cluster.deliver_late()
    receiver.finish("ownership")
    cluster.check()
    assert cluster.holders(("ledger", "z2")) == [receiver.name]


def test_home_given_up_is_not_reclaimed_by_reading():
    """Guards against a home held twice after a delayed handover.

    The former holder reads the old object, which still names it, before its
    own write reaches the store.
    """
    reload_during_handover(lease.Ownership)
    with pytest.raises(AssertionError, match="is held twice"):
        reload_during_handover(ReclaimsByReading)


def test_failed_handover_is_undone_when_the_receiver_is_gone():
    """Guards against a home without a holder after a failed handover."""
    cluster, sender, receiver = start_delayed_handover(lease.Ownership)
    assert cluster.holders(("ledger", "z2")) == []
    receiver.release()
    while receiver.tasks["leave"]:
        receiver.step("leave", "ok")
    sender.finish("ownership")
    assert cluster.holders(("ledger", "z2")) == [sender.name]
    cluster.deliver_late()
    cluster.run_for(1.0, [0, 1])
    assert cluster.holders(("ledger", "z2")) == [sender.name]


def test_joining_gateway_receives_one_home_a_second_and_only_idle_ones():
    """Guards against a new VM taking busy homes, or all homes at once."""
    cluster = Cluster(lease.LeaseKeeper, lease.Ownership)
    cluster.desired = lease.DesiredHomes(
        homes=[(f"s{number}", "z2") for number in range(6)],
        zones_in_service=frozenset({"z1", "z2"}),
    )
    sender, receiver = cluster.nodes[0], cluster.nodes[2]
    cluster.run_for(1.0, [0])
    assert len(sender.ownership.held()) == 6
    sender.idle = False
    cluster.run_for(2.0, [0, 2])
    assert receiver.ownership.held() == ()
    sender.idle = True
    for count in range(1, 6):
        cluster.run_for(1.0, [0, 2])
        assert len(sender.ownership.held()) == 6 - count


def test_leaving_gateway_hands_over_everything_at_once():
    """Guards against a shutdown that waits until homes are idle."""
    cluster = Cluster(lease.LeaseKeeper, lease.Ownership)
    cluster.run_for(1.0, [0])
    cluster.run_for(0.5, [1])
    sender = cluster.nodes[0]
    sender.idle = False
    sender.finish("leave")
    sender.finish("ownership")
    cluster.nodes[1].finish("ownership")
    assert [cluster.holders(key) for key in HOMES] == [["gw-1"]] * 3


def test_home_taken_for_an_ended_boot_is_not_held():
    """Guards against holding a home that other gateways consider free.

    The lease expires, and the boot id changes, during the write of the home.
    """
    cluster = Cluster(lease.LeaseKeeper, lease.Ownership)
    node = cluster.nodes[0]
    node.finish("keeper")
    while cluster.store.peek(kind="home", name="ledger.z1") is None:
        node.step("ownership", "ok")
    cluster.clock.now += 3.1
    node.finish("keeper")
    node.finish("ownership", "ok")
    cluster.check_records()


def test_released_lease_is_taken_over_without_waiting():
    """Guards against homes without a holder for 3.5 s after a shutdown.

    That is the time after which a lease that was not released is revoked.
    """
    cluster = Cluster(lease.LeaseKeeper, lease.Ownership)
    cluster.run_for(1.0, [0, 1])
    cluster.nodes[0].release()
    while cluster.nodes[0].tasks["leave"]:
        cluster.nodes[0].step("leave", "ok")
    cluster.nodes[1].finish("ownership")
    assert [cluster.holders(key) for key in HOMES] == [["gw-1"]] * 3


def test_outage_moves_no_home_and_is_not_reported_as_a_loss():
    """Guards against gateways that lose homes while the store is down.

    They would also lose what they know about warm servers.
    """
    cluster = Cluster(lease.LeaseKeeper, lease.Ownership)
    cluster.run_for(5.0, IDS)
    for node in cluster.nodes:
        node.finish("ownership")
    before = [cluster.holders(key) for key in HOMES]
    held = [node.ownership.held() for node in cluster.nodes]
    for _ in range(20):
        cluster.clock.now += 1.0
        for node in cluster.nodes:
            node.finish("keeper", "refused")
            node.finish("ownership", "refused")
    assert [cluster.holders(key) for key in HOMES] == [[], [], []]
    assert [node.ownership.held() for node in cluster.nodes] == held
    names = [
        cluster.nodes[0].ownership.holder(service=service, zone=zone)
        for service, zone in HOMES
    ]
    assert [[name] for name in names] == before
    assert len(cluster.nodes[0].ownership.gateways()) == 3
    cluster.run_for(1.0, IDS)
    assert [cluster.holders(key) for key in HOMES] == before
    assert cluster.metrics.counters["home_lease_revoked"] == 0


def test_dropped_home_is_deleted_and_reported_lost():
    """Guards against dispatching requests of a removed service."""
    cluster = Cluster(lease.LeaseKeeper, lease.Ownership)
    cluster.run_for(1.0, [0])
    cluster.desired = lease.DesiredHomes(
        homes=HOMES[:1], zones_in_service=frozenset({"z1"})
    )
    cluster.run_for(1.0, [0])
    assert cluster.nodes[0].ownership.held() == HOMES[:1]
    assert cluster.store.peek(kind="home", name="ledger.z2") is None


def test_abandoned_lease_is_revoked_and_deleted():
    """Guards against leases of replaced VMs that stay in the store."""
    cluster = Cluster(lease.LeaseKeeper, lease.Ownership)
    cluster.desired = lease.DesiredHomes(
        homes=HOMES[:1], zones_in_service=frozenset({"z1"})
    )
    cluster.run_for(1.0, IDS)
    cluster.run_for(5.0, [0, 1])
    assert b"revoked" in cluster.store.peek(kind="lease", name="gw-2").value
    cluster.run_for(70.0, [0, 1])
    assert cluster.store.peek(kind="lease", name="gw-2") is None
