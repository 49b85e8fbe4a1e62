"""Tests of the retry budgets over all gateways."""

import random

from hypothesis import given
from hypothesis import strategies

from banyandale_direct import _budgets as budgets

WINDOW = 10.0
RATIO = 0.2
SLACK = 58.0


def make_budget():
    return budgets.RepeatBudget(ratio=RATIO, slack=SLACK, window_seconds=WINDOW)


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
