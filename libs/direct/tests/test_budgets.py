"""Tests of the retry budgets over all gateways."""

import random

from hypothesis import given
from hypothesis import strategies
import pytest

from banyandale_direct import _budgets as budgets
from banyandale_direct import _members as members
from banyandale_direct import _senders as senders

WINDOW = 10.0
RATIO = 0.2
SLACK = 58.0


def make_budget(slack=SLACK):
    return budgets.RepeatBudget(ratio=RATIO, slack=slack, window_seconds=WINDOW)


@given(
    seed=strategies.integers(0, 1000),
    gateways=strategies.integers(1, 30),
    rate=strategies.floats(1.0, 80.0),
)
def test_repeats_of_all_gateways_stay_within_the_limit(seed, gateways, rate):
    """Guards against retries that amplify an outage of a whole service.

    Simulates a service on which every call fails and would be repeated.
    """
    source = random.Random(seed)
    fleet = [make_budget() for _ in range(gateways)]
    calls, repeats, now = [], [], 0.0
    while now < 3 * WINDOW:
        now += source.expovariate(rate)
        budget = source.choice(fleet)
        budget.record_call(now)
        calls.append(now)
        for _ in range(2):
            if budget.try_spend(now=now, gateways=gateways):
                repeats.append(now)
    for start in range(int(2 * WINDOW)):
        window = (start, start + WINDOW)
        made = sum(window[0] <= t < window[1] for t in repeats)
        # The users compare with the busiest of three windows: this one, the one
        # before it and the one half a window before it.
        counted_calls = max(
            sum(window[0] - back <= t < window[1] - back for t in calls)
            for back in (0.0, WINDOW / 2, WINDOW)
        )
        assert made <= RATIO * counted_calls + SLACK


def test_a_lone_failure_can_be_repeated():
    """Guards against budget shares too small for any gateway to repeat."""
    budget = make_budget()
    budget.record_call(0.0)
    assert budget.try_spend(now=0.1, gateways=14)


class Gateway:
    """A gateway whose calls all fail."""

    def __init__(self, number, slack=SLACK):
        self.slack = slack
        self.member = members.Member(
            ip=f"10.0.{number // 250}.{number % 250}",
            zone="a",
            started_unix_ms=0,
            beat=0,
            ready=True,
        )
        self.restart()

    def restart(self):
        self.budget = make_budget(self.slack)
        self.election = senders.SenderElection(own_ip=self.member.ip)

    def call(self, now):
        """Returns whether the failed call is repeated."""
        self.budget.record_call(now)
        gateways = self.election.count_gateways(stable_seconds=WINDOW, now=now)
        return self.budget.try_spend(now=now, gateways=gateways)


@pytest.mark.parametrize(
    ("gateways", "slack", "burst"), [(16, SLACK, 10), (312, 430.0, 2)]
)
def test_gateways_that_start_alone_stay_within_the_limit(
    gateways, slack, burst
):
    """Guards against gateways that each take the whole budget, or it twice.

    All are killed at once and hear of each other 0.2 s after they started. Many
    calls come right before and after that.
    """
    fleet = [Gateway(number, slack) for number in range(gateways)]
    everyone = [gateway.member for gateway in fleet]
    calls, repeats = [], []
    for step in range(900):
        now = 100.0 + step * 0.05
        alone = step < 4 or 500 <= step < 504
        for gateway in fleet:
            if step == 500:
                gateway.restart()
            if step % 2 == 0:
                view = [gateway.member] if alone else everyone
                gateway.election.update(live=view, known=view, now=now)
            if step % 40 and not 500 - burst <= step < 500 + burst:
                continue
            calls.append(now)
            if gateway.call(now):
                repeats.append(now)
    for start in sorted(set(calls)):
        made = sum(start <= t < start + WINDOW for t in repeats)
        counted = sum(start <= t < start + WINDOW for t in calls)
        assert made <= RATIO * counted + slack
    assert any(t > 125.0 + WINDOW for t in repeats)


def test_a_gateway_that_has_just_started_can_repeat_a_lone_failure():
    """Guards against callers that get the failure of one server."""
    gateway = Gateway(1)
    gateway.election.update(
        live=[gateway.member], known=[gateway.member], now=100.0
    )
    assert gateway.call(100.1)
    assert not gateway.call(100.2)
