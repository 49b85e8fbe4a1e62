"""Tests of the backoff bounds."""

import random

import banyandale_retry as retry


def test_delays_stay_below_doubling_bounds():
    """Guards against delays that grow without limit or without jitter."""
    backoff = retry.Backoff(rng=random.Random(7), base=0.1, limit=0.4)
    delays = [backoff.next_delay() for _ in range(200)]
    bounds = [0.1, 0.2] + [0.4] * 198
    assert all(0 <= d <= b for d, b in zip(delays, bounds, strict=True))
    assert max(delays) > 0.3
    assert min(delays) < 0.05


def test_reset_returns_to_first_bound():
    """Guards against long retry delays after an outage has ended."""
    backoff = retry.Backoff(rng=random.Random(7), base=0.1, limit=10.0)
    for _ in range(20):
        backoff.next_delay()
    backoff.reset()
    assert backoff.next_delay() <= 0.1
