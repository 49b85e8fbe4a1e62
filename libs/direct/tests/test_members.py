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


def merge(table, known, *, now):
    return table.merge(
        members.MemberBlock.from_members(known, zones=("a", "b", "c")), now=now
    )


def live_ips(table, now):
    return {member.ip for member in table.live(now=now)}


def test_a_gateway_that_ended_is_dropped_in_time():
    """Guards against lookups that return a killed gateway."""
    table = make_table()
    merge(table, [make_member(1, beat=5)], now=0.0)
    assert "10.0.0.1" in live_ips(table, 2.0)
    # Other gateways repeat the last counter they know, which does not count as
    # a sign of life.
    merge(table, [make_member(1, beat=5)], now=2.4)
    assert "10.0.0.1" not in live_ips(table, 3.1)


def test_a_restarted_gateway_is_alive_at_once():
    """Guards against a restart that is ignored for its lower counter."""
    table = make_table()
    merge(table, [make_member(1, beat=500)], now=0.0)
    new_ips = merge(table, [make_member(1, beat=1, started=2)], now=9.0)
    assert new_ips == ["10.0.0.1"]
    assert "10.0.0.1" in live_ips(table, 9.0)


def test_entries_of_the_store_are_not_alive():
    """Guards against lookups that return gateways from stale entries."""
    table = make_table()
    table.add_unconfirmed([make_member(1)], now=0.0)
    assert live_ips(table, 0.0) == {"10.0.0.0"}
    assert len(table.known()) == 2
    table.forget_silent(now=members.FORGET_SECONDS + 1)
    assert len(table.known()) == 1


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
                    merge(by_ip[ip], table.live(now=now), now=now)
    return now


def test_150_gateways_know_all_live_ones():
    """Guards against too few targets per round for large deployments.

    Simulates 150 gateways in three zones that know one seed, then the loss of a
    fifth of them.
    """
    tables = [make_table(n, zone="abc"[n % 3]) for n in range(150)]
    for table in tables[1:]:
        merge(tables[0], [table.own], now=0.0)
        merge(table, [tables[0].own], now=0.0)
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


def test_known_rows_make_no_objects(monkeypatch):
    """Guards against a cost per digest that grows with the fleet.

    In quiet-1 of the large site, each of 312 gateways spent 0.038 of a core on
    digests whose rows it mostly held already.
    """
    made = []
    original = members.MemberBlock.read

    def read(block, row):
        made.append(row)
        return original(block, row)

    monkeypatch.setattr(members.MemberBlock, "read", read)
    table = make_table()
    fleet = [make_member(n, beat=5) for n in range(1, 250)]
    merge(table, fleet, now=0.0)
    made.clear()
    merge(table, [*fleet[1:], make_member(1, beat=6)], now=0.5)
    assert [members.unpack_ip(row.ip) for row in made] == ["10.0.0.1"]


def test_a_gateway_refutes_a_counter_that_is_not_its_own():
    """Guards against a live gateway that all others take for silent.

    After a restart with the clock set back, its own counter stays behind the
    one that the others hold.
    """
    table = make_table(1)
    other = make_table(2)
    merge(other, [make_member(1, beat=900, started=50)], now=0.0)
    merge(table, other.live(now=1.0), now=1.0)
    table.advance(ready=True)
    merge(other, [table.own], now=4.0)
    assert "10.0.0.1" in live_ips(other, 4.0)


def test_rank_agrees_with_the_common_order():
    """Guards against two gateways of a zone that both read the store."""
    tables = [make_table(n, zone="ab"[n % 2]) for n in range(8)]
    for table in tables:
        merge(table, [other.own for other in tables], now=0.0)
    for table in tables:
        ordered = [m.ip for m in table.live_in_zone(now=1.0)]
        assert ordered.index(table.own.ip) == table.rank(now=1.0)
