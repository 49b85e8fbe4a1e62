"""Tests of the order of addresses in lookups."""

from banyandale_gateway import _lookup as lookup


def make_candidate(name, zone, *home_zones):
    return lookup.Candidate(
        gateway_id=name,
        zone=zone,
        address=name,
        home_zones=frozenset(home_zones),
    )


def order(*candidates, zone="a"):
    return lookup.order_addresses(candidates, zone=zone, service="s")


def test_home_in_the_callers_zone_comes_first():
    """Guards against an unnecessary hop between gateways."""
    found = order(
        make_candidate("b1", "b", "b"),
        make_candidate("a1", "a"),
        make_candidate("a2", "a", "a"),
    )
    assert found == ("a2", "a1", "b1")


def test_one_address_of_another_zone_is_kept():
    """Guards against callers without any gateway when their zone fails."""
    local = [make_candidate(f"a{number}", "a") for number in range(6)]
    found = order(*local, make_candidate("b1", "b", "b"))
    assert len(found) == lookup.MAX_ADDRESSES
    assert found[-1] == "b1"


def test_homes_elsewhere_come_before_other_gateways_there():
    """Guards against an extra hop for callers in a zone without gateways."""
    found = order(make_candidate("b1", "b"), make_candidate("c1", "c", "c"))
    assert found == ("c1", "b1")
