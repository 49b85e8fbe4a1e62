"""Tests of the rate limit on calls to cold servers."""

import random

from hypothesis import given
from hypothesis import strategies

from banyandale_direct import _cold_limits as cold_limits
from banyandale_direct import _senders as senders

OVERAGE = 1.5
SLACK = 5.0


def count_busiest_second(sent):
    return max(
        (sum(start <= t < start + 1.0 for t in sent) for start in sent),
        default=0,
    )


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
    times = {name: senders.SendTimes() for name in names}
    unseen = source.sample(names, min(missing, gateways - 1))
    views = {
        name: [n for n in names if n not in unseen or n == name]
        for name in names
    }
    chosen = [
        name
        for name in names
        if cold_limits.is_sender(
            gateway=name,
            gateways=views[name],
            server_id="server",
            calls_per_second=limit,
        )
    ]
    assert chosen
    sent = []
    for step in range(60):
        now = step * 0.05
        for name in chosen:
            interval = cold_limits.INTERVAL_SECONDS
            if now >= times[name].next_send_at("server", interval=interval):
                times[name].record("server", at=now)
                sent.append(now)
    assert count_busiest_second(sent) <= limit * OVERAGE + SLACK


def test_a_limit_below_one_still_lets_a_server_warm_up():
    """Guards against a server that never gets a first call."""
    assert cold_limits.is_sender(
        gateway="a", gateways=["a"], server_id="s", calls_per_second=0.0
    )
