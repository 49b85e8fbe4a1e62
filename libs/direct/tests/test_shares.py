"""Tests of the distribution by weight."""

import collections
import random

from hypothesis import given
from hypothesis import strategies

from banyandale_direct import _configuration as configuration
from banyandale_direct import _shares as shares


def make_shares(weights):
    return tuple(
        configuration.Share(service=f"s{index}", weight=weight)
        for index, weight in enumerate(weights)
    )


@given(
    weights=strategies.lists(
        strategies.integers(min_value=1, max_value=100), min_size=2, max_size=4
    ),
    seed=strategies.integers(0, 100),
    count=strategies.integers(1, 60),
)
def test_each_gateway_stays_near_the_weights(weights, seed, count):
    """Guards against a canary that gets far more or less than its share."""
    rotation = shares.ShareRotation(
        shares=make_shares(weights), random_source=random.Random(seed)
    )
    counts = collections.Counter(rotation.choose() for _ in range(count))
    for index, weight in enumerate(weights):
        expected = count * weight / sum(weights)
        assert abs(counts[f"s{index}"] - expected) <= len(weights)


def test_gateways_do_not_start_with_the_same_service():
    """Guards against 14 gateways whose few calls all miss the canary."""
    first = collections.Counter(
        shares.ShareRotation(
            shares=make_shares([70, 30]), random_source=random.Random(seed)
        ).choose()
        for seed in range(200)
    )
    assert 20 < first["s1"] < 100
