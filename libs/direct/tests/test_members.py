"""Tests of the membership table."""

import random

from banyandale_direct import _members as members


def make_member(number, *, beat=0, zone="a", started=1, ready=True):
    return members.Member(
        ip=f"10.0.0.{number}",
        zone=zone,
        started_unix_ms=started,
        beat=beat,
        ready=ready,
    )


def make_table(number=0, zone="a"):
    return members.MemberTable(
        own=make_member(number, zone=zone), random_source=random.Random(number)
    )


def live_ips(table, now):
    return {member.ip for member in table.live(now=now)}


def test_a_gateway_that_ended_is_dropped_in_time():
    """Guards against lookups that return a killed gateway."""
    table = make_table()
    table.merge([make_member(1, beat=5)], now=0.0)
    assert "10.0.0.1" in live_ips(table, 2.0)
    # Other gateways repeat the last counter they know, which does not count as
    # a sign of life.
    table.merge([make_member(1, beat=5)], now=2.4)
    assert "10.0.0.1" not in live_ips(table, 3.1)


def test_a_restarted_gateway_is_alive_at_once():
    """Guards against a restart that is ignored for its lower counter."""
    table = make_table()
    table.merge([make_member(1, beat=500)], now=0.0)
    new_ips = table.merge([make_member(1, beat=1, started=2)], now=9.0)
    assert new_ips == ["10.0.0.1"]
    assert "10.0.0.1" in live_ips(table, 9.0)


def test_entries_of_the_store_are_not_alive():
    """Guards against lookups that return gateways from stale entries."""
    table = make_table()
    table.add_unconfirmed([make_member(1)], now=0.0)
    assert live_ips(table, 0.0) == {"10.0.0.0"}
    assert table.count_known() == 2
    table.forget_silent(now=members.FORGET_SECONDS + 1)
    assert table.count_known() == 1


def run_rounds(tables, *, cut=frozenset(), seconds=10.0):
    """Runs gossip rounds between gateways; those in `cut` are silent."""
    by_ip = {table.own.ip: table for table in tables}
    now = 0.0
    while now < seconds:
        now += members.ROUND_SECONDS
        for table in tables:
            if table.own.ip in cut:
                continue
            table.advance(ready=True)
            for ip in table.draw_targets(now=now):
                if ip not in cut:
                    by_ip[ip].merge(table.live(now=now), now=now)
    return now


def test_150_gateways_know_all_live_ones():
    """Guards against too few targets per round for large deployments.

    Simulates 150 gateways in three zones that know one seed, then the loss of a
    fifth of them.
    """
    tables = [make_table(n, zone="abc"[n % 3]) for n in range(150)]
    for table in tables[1:]:
        tables[0].merge([table.own], now=0.0)
        table.merge([tables[0].own], now=0.0)
    now = run_rounds(tables)
    assert all(len(table.live(now=now)) == 150 for table in tables)
    cut = frozenset(table.own.ip for table in tables[::5])
    kept = [table for table in tables if table.own.ip not in cut]
    for table in kept:
        for known in table._known.values():
            known.advanced_at -= now
    end = run_rounds(tables, cut=cut, seconds=6.0)
    for table in kept:
        assert live_ips(table, end) == {other.own.ip for other in kept}
