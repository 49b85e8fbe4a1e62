"""Tests of the addresses that a lookup returns."""

import random

import pytest

from banyandale_direct import _lookups as lookups
from banyandale_direct import _members as members
from banyandale_direct import _stops as stops


def choose(live, zone="a", zones_out=()):
    return lookups.choose_addresses(
        live,
        zone=zone,
        zones_out=zones_out,
        regions={"a": "r", "b": "r", "c": "r", "d": "q"},
        port=80,
        random_source=random.Random(1),
    )


def make_member(number, zone, *, ready=True, impaired=0):
    return members.Member(
        ip=f"10.0.0.{number}",
        zone=zone,
        started_unix_ms=1,
        beat=1,
        ready=ready,
        impaired=impaired,
    )


def test_only_the_own_zone_is_returned_while_it_has_enough():
    """Guards against unnecessary traffic between zones."""
    live = [make_member(n, "ab"[n % 2]) for n in range(8)]
    assert sorted(choose(live)) == [f"10.0.0.{n}:80" for n in (0, 2, 4, 6)]


def test_a_caller_whose_zone_is_lost_gets_others():
    """Guards against callers without an address when their zone is down."""
    live = [make_member(n, "b") for n in range(5)]
    assert len(choose(live)) == lookups.MIN_ADDRESSES


def test_gateways_that_are_not_ready_are_left_out():
    """Guards against calls to a gateway that is stopping or starting."""
    live = [make_member(1, "a", ready=False), make_member(2, "a")]
    live.append(make_member(3, "b", ready=False))
    assert choose(live) == ["10.0.0.2:80"]


def test_no_more_addresses_than_callers_take():
    """Guards against listing more gateways than callers use."""
    live = [make_member(n, "a") for n in range(200)]
    assert len(set(choose(live))) == lookups.MAX_ADDRESSES


@pytest.mark.parametrize("grace_seconds", [6.0, 10.0])
def test_no_caller_uses_an_address_after_its_gateway_stopped(grace_seconds):
    """Guards against calls to a listener that has closed."""
    serving = grace_seconds * stops.SERVING_FRACTION
    valid = lookups.find_valid_seconds(
        serving_seconds=serving, longest_seconds=5.0
    )
    assert valid * lookups.CACHE_FACTOR <= serving
    assert valid > serving / (lookups.CACHE_FACTOR + 0.5)


def test_no_answer_is_valid_for_longer_than_callers_accept():
    """Guards against a validity that callers cut short anyway."""
    assert (
        lookups.find_valid_seconds(serving_seconds=60.0, longest_seconds=5.0)
        == 5.0
    )


def test_callers_of_a_zone_out_of_service_get_the_other_zones():
    """Guards against calls and answers that cross zones twice.

    On trouble-1 of the grown Lusong site, with one or two of three zones out
    of service, 26 MB crossed zones (0.14 of the day's worth).
    """
    live = [make_member(n, "abc"[n % 3]) for n in range(9)]
    live += [make_member(n, "d") for n in range(9, 12)]
    by_zone = {
        zone: {f"10.0.0.{n}:80" for n in range(9) if "abc"[n % 3] == zone}
        for zone in "abc"
    }
    assert set(choose(live, "a", {"a"})) == by_zone["b"] | by_zone["c"]
    assert set(choose(live, "b", {"a"})) == by_zone["b"]
    assert set(choose(live, "a", {"a", "b"})) == by_zone["c"]


def test_a_caller_gets_an_address_when_all_zones_are_out_of_service():
    """Guards against lookups without an answer during an operator's mistake."""
    live = [make_member(n, "ab"[n % 2]) for n in range(4)]
    assert len(choose(live, "a", {"a", "b"})) == lookups.MIN_ADDRESSES
    few = [make_member(1, "a"), make_member(2, "b")]
    assert set(choose(few, "a", {"a"})) == {"10.0.0.1:80", "10.0.0.2:80"}


def test_gateways_that_reach_the_servers_come_first():
    """Guards against callers whose calls are all handed over."""
    live = [make_member(n, "a", impaired=int(n < 4)) for n in range(6)]
    assert set(choose(live)) == {"10.0.0.4:80", "10.0.0.5:80"}


def test_callers_of_a_cut_zone_are_spread_over_others():
    """Guards against one gateway that gets the callers of a whole zone."""
    live = [make_member(n, "a", impaired=int(n > 0)) for n in range(20)]
    live += [make_member(n, "b") for n in range(20, 40)]
    found = choose(live)
    assert "10.0.0.0:80" in found
    assert len(found) == 10
    assert all(address not in found for address in ("10.0.0.1:80",))


def test_a_cut_fleet_is_still_named():
    live = [make_member(n, "a", impaired=1) for n in range(4)]
    assert len(choose(live)) == 4
    # The last one that reaches the servers is not left alone.
    live[0] = make_member(0, "a")
    assert len(choose(live)) == lookups.MIN_ADDRESSES
