"""Tests of rendezvous hashing."""

import collections

import banyandale_lease as lease

KEYS = [f"service-{number}.z1" for number in range(4000)]


def test_only_keys_of_a_leaving_node_move():
    """Guards against a new or removed VM causing every home to move."""
    nodes = {f"gw-{number}": 1.0 for number in range(5)}
    fewer = {name: 1.0 for name in nodes if name != "gw-3"}
    for key in KEYS:
        before = lease.rank(key, nodes)
        without = [name for name in before if name != "gw-3"]
        assert lease.rank(key, fewer) == without
        assert lease.choose(key, nodes) == before[0]


def test_keys_are_shared_by_weight():
    """Guards against a small VM holding as many homes as a large one."""
    counts = collections.Counter(
        lease.choose(key, {"a": 1.0, "b": 2.0, "c": 1.0, "d": 0.0})
        for key in KEYS
    )
    assert counts["d"] == 0
    assert abs(counts["b"] / len(KEYS) - 0.5) < 0.04
    assert abs(counts["a"] / len(KEYS) - 0.25) < 0.04


def test_order_is_the_same_in_every_process():
    """Guards against gateways of different versions that disagree."""
    nodes = {"gw-1": 1.0, "gw-2": 1.0, "gw-3": 2.0}
    orders = [lease.rank(key, nodes) for key in KEYS[:4]]
    assert orders == [
        ["gw-1", "gw-3", "gw-2"],
        ["gw-3", "gw-1", "gw-2"],
        ["gw-2", "gw-1", "gw-3"],
        ["gw-3", "gw-2", "gw-1"],
    ]
    assert lease.choose("a", {}) is None
