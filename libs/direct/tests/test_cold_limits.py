"""Tests of the rate limit on calls to cold servers."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from banyandale_direct import _cold_limits as cold_limits
from banyandale_direct import _members as members
from banyandale_direct import _registry as registry
from banyandale_direct import _senders as senders

OVERAGE = 1.5
SLACK = 5.0
SERVER = registry.Server(id="i", address="a:1", service="s", zone="a", slots=2)


def make_member(name, zone="a"):
    return members.Member(
        ip=name, zone=zone, started_unix_ms=0, beat=0, ready=True
    )


def count_busiest_second(sent):
    return max(
        (sum(start <= t < start + 1.0 for t in sent) for start in sent),
        default=0,
    )


class Gateway:
    """A gateway that always has a call for the cold server."""

    def __init__(self, name, limit, zone="a"):
        self.member = make_member(name, zone)
        self.limit = limit
        self.restart()

    def restart(self):
        self.election = senders.SenderElection(own_ip=self.member.ip)
        self.times = senders.SendTimes()

    def see(self, live, now, known=None):
        self.election.update(live=live, known=known or live, now=now)

    def try_send(self, now):
        at = cold_limits.next_send_at(
            SERVER,
            calls_per_second=self.limit,
            election=self.election,
            times=self.times,
            boot_now=now,
        )
        if at > now:
            return False
        self.times.record("i", at=now)
        return True


@settings(deadline=None)
@given(
    seed=strategies.integers(0, 1000),
    gateways=strategies.integers(1, 150),
    missing=strategies.integers(0, 3),
    limit=strategies.sampled_from([0.5, 2.0, 5.0, 15.0, 40.0]),
)
def test_all_gateways_together_keep_the_limit(seed, gateways, missing, limit):
    """Guards against a cold server that gets calls from every gateway at once.

    Simulates calls at all gateways every 50 ms. Each gateway sees a set of live
    gateways from which some are missing.
    """
    source = random.Random(seed)
    names = [f"10.0.0.{number}" for number in range(gateways)]
    fleet = [Gateway(name, limit) for name in names]
    unseen = source.sample(names, min(missing, gateways - 1))
    sent = []
    for step in range(100):
        now = 10.0 + step * 0.05
        for gateway in fleet:
            if step % 10 == 0:
                live = [
                    other.member
                    for other in fleet
                    if other is gateway or other.member.ip not in unseen
                ]
                gateway.see(live, now)
            if gateway.try_send(now):
                sent.append(now)
    assert sent
    assert count_busiest_second(sent) <= limit * OVERAGE + SLACK


@settings(max_examples=20, deadline=None)
@given(
    gateways=strategies.integers(1, 60),
    limit=strategies.sampled_from([0.5, 3.6, 15.0]),
)
def test_gateways_that_start_alone_keep_the_limit(gateways, limit):
    """Guards against gateways that each take themselves for the only one.

    All are killed at once and hear of each other 0.2 s after they started.
    """
    fleet = [Gateway(f"10.0.0.{n}", limit) for n in range(gateways)]
    everyone = [gateway.member for gateway in fleet]
    sent = []
    for step in range(200):
        now = 10.0 + step * 0.05
        alone = step < 4 or 100 <= step < 104
        for gateway in fleet:
            if step == 100:
                gateway.restart()
            if step % 2 == 0:
                gateway.see([gateway.member] if alone else everyone, now)
            if gateway.try_send(now):
                sent.append(now)
    assert any(at > 16.5 for at in sent)
    assert count_busiest_second(sent) <= limit * OVERAGE + SLACK


@settings(max_examples=30, deadline=None)
@given(
    local=strategies.integers(1, 20),
    remote=strategies.integers(1, 20),
    limit=strategies.sampled_from([0.5, 3.6, 15.0]),
)
def test_a_cut_between_zones_does_not_double_the_limit(local, remote, limit):
    """Guards against parts of a cut fleet that each use the whole limit."""
    fleet = [
        Gateway(f"10.0.{zone}.{number}", limit, "ab"[zone])
        for zone, count in enumerate((local, remote))
        for number in range(count)
    ]
    everyone = [gateway.member for gateway in fleet]
    sent = []
    for step in range(300):
        now = 10.0 + step * 0.05
        for gateway in fleet:
            if step % 10 == 0:
                live = [
                    member
                    for member in everyone
                    if step < 100 or member.zone == gateway.member.zone
                ]
                gateway.see(live, now, known=everyone)
            if gateway.try_send(now):
                sent.append(now)
    assert 0 < count_busiest_second(sent) <= limit * OVERAGE + SLACK


def test_gateways_of_other_zones_help_a_zone_that_has_few():
    """Guards against cold servers that get a fraction of what they take."""
    fleet = [
        Gateway(f"10.0.{zone}.{number}", 15.0, "abc"[zone])
        for zone in range(3)
        for number in range(5)
    ]
    everyone = [gateway.member for gateway in fleet]
    sent = []
    for step in range(200):
        now = 10.0 + step * 0.05
        for gateway in fleet:
            if step % 10 == 0:
                gateway.see(everyone, now)
            if gateway.try_send(now):
                sent.append(now)
    assert sum(15.0 <= at < 20.0 for at in sent) >= 5.0 * 12.0


def test_a_limit_below_one_still_lets_a_server_warm_up():
    """Guards against a server that never gets a first call."""
    gateway = Gateway("a", 0.0)
    for step in range(10):
        gateway.see([gateway.member], 10.0 + step * 0.5)
    assert gateway.try_send(14.5)
