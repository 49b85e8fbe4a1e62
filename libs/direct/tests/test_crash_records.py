"""Tests of the evidence that a content crashes servers."""

import dataclasses
import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _quarantine as quarantine

CONTENT = b"c" * 16
OTHER = b"o" * 16
NONE = crash_records.Suspicion.NONE
SUSPECT = crash_records.Suspicion.SUSPECT
CERTAIN = crash_records.Suspicion.CERTAIN


def make_crash(server, *, at=0.0, order=0, **fields):
    return crash_records.Crash(
        server_id=server, started_unix_ms=1, broke_at=at, order=order, **fields
    )


def record_crashes(table, content, *crashes):
    for crash in crashes:
        table.record_crash(content, crash)


def test_three_crashes_in_a_row_make_a_content_certain():
    table = crash_records.CrashTable()
    expected = (SUSPECT, SUSPECT, CERTAIN)
    for order, suspicion in enumerate(expected):
        crash = make_crash(f"i{order}", at=order, order=order)
        assert table.record_crash(CONTENT, crash)
        assert table.suspicion(CONTENT) is suspicion
    assert table.suspicion(OTHER) is NONE


def test_breaks_in_a_row_count_once_they_are_explained():
    """Guards against servers that end while the store does not tell."""
    table = crash_records.CrashTable()
    broken = crash_records.CrashState.BROKEN
    crashes = []
    for number in range(3):
        record = table.find(CONTENT)
        assert record is None or not record.is_unexplained
        order = 0 if record is None else record.next_order
        crash = make_crash(f"i{number}", at=number, order=order, state=broken)
        crashes.append(crash)
        table.record_crash(CONTENT, crash)
    assert table.find(CONTENT).is_unexplained
    assert table.suspicion(CONTENT) is SUSPECT
    for crash in crashes:
        table.settle(CONTENT, crash.process, crash_records.CrashState.CONFIRMED)
    assert table.suspicion(CONTENT) is CERTAIN


def test_a_gap_in_the_order_of_crashes_holds_no_call():
    """Guards against a suspect that is neither sent nor refused for good."""
    table = crash_records.CrashTable()
    for number, state in enumerate(
        (
            crash_records.CrashState.CONFIRMED,
            crash_records.CrashState.ALIVE,
            crash_records.CrashState.CONFIRMED,
        )
    ):
        crash = make_crash(f"i{number}", at=number, order=number, state=state)
        table.record_crash(CONTENT, crash)
    record = table.find(CONTENT)
    assert (record.count, record.suspicion) == (2, SUSPECT)
    assert not record.is_unexplained
    crash = make_crash("i3", at=3, order=record.next_order)
    table.record_crash(CONTENT, crash)
    assert table.suspicion(CONTENT) is CERTAIN


def test_a_crash_that_several_gateways_saw_counts_once():
    table = crash_records.CrashTable()
    assert table.record_crash(CONTENT, make_crash("i", order=0))
    assert not table.record_crash(CONTENT, make_crash("i", at=0.1, order=1))
    assert table.find(CONTENT).count == 1


def test_a_popular_call_is_not_judged_by_servers_that_end_together():
    table = crash_records.CrashTable()
    record_crashes(table, CONTENT, *(make_crash(f"i{n}") for n in range(8)))
    assert table.suspicion(CONTENT) is SUSPECT


def test_an_answered_call_is_innocent_of_earlier_crashes():
    table = crash_records.CrashTable()
    record_crashes(
        table, CONTENT, make_crash("i0"), make_crash("i1", at=1, order=1)
    )
    assert table.record_answer(CONTENT, now=2.0)
    assert table.suspicion(CONTENT) is NONE
    assert not table.record_answer(CONTENT, now=3.0)
    record_crashes(table, CONTENT, make_crash("i2", at=4.0))
    assert table.find(CONTENT).count == 1


def test_a_server_that_is_still_registered_has_not_ended():
    table = crash_records.CrashTable()
    crash = make_crash("i")
    record_crashes(table, CONTENT, crash)
    alive = crash_records.CrashState.ALIVE
    table.settle(CONTENT, crash.process, alive)
    assert table.suspicion(CONTENT) is NONE
    # It does start anew later, which is known for sure.
    confirmed = crash_records.CrashState.CONFIRMED
    table.settle(CONTENT, crash.process, confirmed)
    table.settle(CONTENT, crash.process, alive)
    assert table.suspicion(CONTENT) is SUSPECT


def test_a_record_expires_unless_its_content_is_seen_again():
    table = crash_records.CrashTable()
    keep = crash_records.KEEP_SECONDS
    record_crashes(table, CONTENT, make_crash("i"))
    record_crashes(table, OTHER, make_crash("i"))
    table.renew(CONTENT, now=keep / 2)
    table.forget_expired(now=keep)
    assert table.suspicion(CONTENT) is SUSPECT
    assert table.suspicion(OTHER) is NONE


def test_records_are_bounded_and_the_certain_ones_stay():
    table = crash_records.CrashTable()
    record_crashes(
        table,
        CONTENT,
        *(make_crash(f"i{n}", at=n, order=n) for n in range(3)),
    )
    for number in range(2 * crash_records.MAX_RECORDS):
        content = number.to_bytes(16)
        record_crashes(table, content, make_crash("i", at=10.0 + number))
    for number in range(2 * crash_records.MAX_CRASHES):
        record_crashes(table, CONTENT, make_crash(f"j{number}", at=5, order=3))
    assert len(table) == crash_records.MAX_RECORDS
    assert len(table.find(CONTENT).crashes) == crash_records.MAX_CRASHES
    spread = table.spread()
    assert len(spread) == crash_records.MAX_SPREAD_RECORDS
    assert spread[0].fingerprint == CONTENT
    assert not table.spreads_all()


def test_a_record_does_not_move_with_each_exchange():
    """Guards against ages that lack the time in transit and add up."""
    first, second = crash_records.CrashTable(), crash_records.CrashTable()
    record_crashes(first, CONTENT, make_crash("i"))
    first.record_answer(CONTENT, now=1.0)
    before = first.find(CONTENT)
    transit = 0.02
    for number in range(100):
        source, target = (first, second) if number % 2 else (second, first)
        for record in source.spread():
            target.merge(
                dataclasses.replace(
                    record,
                    answered_at=record.answered_at + transit,
                    expires_at=record.expires_at + transit,
                ),
                now=1.0,
            )
    assert first.find(CONTENT) == before


def test_records_of_two_gateways_add_up_in_any_order():
    crashes = [make_crash(f"i{n}", at=n, order=n) for n in range(3)]
    for ordered in itertools.permutations(crashes):
        tables = [crash_records.CrashTable() for _ in range(3)]
        for table, crash in zip(tables, ordered, strict=True):
            table.record_crash(CONTENT, crash)
        for table in tables[1:]:
            tables[0].merge(table.find(CONTENT), now=3.0)
            tables[0].merge(table.find(CONTENT), now=3.0)
        assert tables[0].find(CONTENT).count == 3


def test_many_servers_that_break_at_once_are_a_lost_path():
    window = crash_records.BreakWindow()
    assert not window.is_path_lost("a", now=0.0)
    assert not window.is_path_lost("a", now=0.01)
    assert not window.is_path_lost("b", now=0.02)
    assert window.is_path_lost("c", now=0.03)
    assert not window.is_path_lost("d", now=0.2)


def test_one_send_of_a_suspect_at_a_time():
    leases = crash_records.TrialLeases()

    def grant(holder, now, content=CONTENT):
        return leases.try_grant(
            content, holder=holder, until=now + 1.0, now=now
        )

    assert grant("a", 0.0)
    assert not grant("b", 0.5)
    assert grant("b", 0.5, OTHER)
    # Only the holder ends a lease.
    leases.release(CONTENT, holder="b")
    assert not grant("b", 0.6)
    leases.release(CONTENT, holder="a")
    assert grant("b", 0.7)
    # One whose holder is gone ends by itself.
    assert grant("c", 1.7)


@pytest.mark.parametrize(
    ("reported_before", "reports", "others_report", "silenced"),
    [
        (True, False, True, True),
        # A slow server.
        (True, True, True, False),
        # A server that was frozen, or cut off, before the send.
        (False, False, True, False),
        # A gateway without a path, or a service all of whose servers hang.
        (True, False, False, False),
    ],
)
def test_only_a_server_that_goes_dark_alone_was_silenced(
    reported_before, reports, others_report, silenced
):
    """Guards against slow servers and lost paths taken for evidence."""
    assert silenced is crash_records.has_silenced(
        reported_before=reported_before,
        reports=reports,
        others_report=others_report,
    )


class SilencedServers:
    """Servers that go dark under one content, as one table knows of them.

    Attributes:
        sent: When the content was sent.
    """

    def __init__(self, found_seconds, lapse_seconds):
        self.table = crash_records.CrashTable()
        self.sent = []
        self._found_seconds = found_seconds
        self._lapse_seconds = lapse_seconds
        self._crashes = []
        self._held_until = 0.0

    def send(self, now):
        """Sends the content, unless it is refused or must wait."""
        self._learn(now)
        order = 0
        suspicion = self.table.suspicion(CONTENT)
        if suspicion is CERTAIN:
            return
        if suspicion is SUSPECT:
            record = self.table.find(CONTENT)
            if record.is_unexplained or now < self._held_until:
                return
            order = record.next_order
            self._held_until = (
                now + self._found_seconds + quarantine.HOLD_SECONDS
            )
        crash = make_crash(
            f"i{len(self.sent)}",
            at=now + self._found_seconds,
            order=order,
            state=crash_records.CrashState.BROKEN,
        )
        self.sent.append(now)
        self._crashes.append((now, crash))

    def _learn(self, now):
        for sent_at, crash in self._crashes:
            if now >= crash.broke_at:
                self.table.record_crash(CONTENT, crash)
            if now >= sent_at + self._lapse_seconds:
                self.table.settle(
                    CONTENT,
                    crash.process,
                    crash_records.CrashState.CONFIRMED,
                )


@settings(max_examples=50, deadline=None, derandomize=True)
@given(
    interval=strategies.floats(0.05, 1.0),
    found_seconds=strategies.floats(0.2, 1.0),
)
def test_a_request_that_silences_servers_is_sent_on_rarely(
    interval, found_seconds
):
    """Guards against sends that go on until the entries of servers are gone."""
    servers = SilencedServers(found_seconds, lapse_seconds=4.5)
    for number in range(int(30.0 / interval)):
        servers.send(number * interval)
    assert servers.table.suspicion(CONTENT) is CERTAIN
    # The requirement allows three sends later than 3 s after the third crash.
    assert sum(at > servers.sent[2] + 3.0 for at in servers.sent) <= 3


class Fleet:
    """Gateways that exchange their records with delay and loss.

    A crashing content comes at random gateways beside a popular one that is on
    each server; servers also end for other reasons.
    """

    def __init__(self, source, gateways):
        self.source = source
        self.tables = [crash_records.CrashTable() for _ in range(gateways)]
        self.leases = crash_records.TrialLeases()
        self.servers = itertools.count()
        self.crashes = 0
        self.now = 0.0

    def end_server(self, gateway, content, order):
        server = f"i{next(self.servers)}"
        for table, ended, known in (
            (gateway, content, order),
            (self.source.choice(self.tables), OTHER, 0),
        ):
            table.record_crash(
                ended, make_crash(server, at=self.now, order=known)
            )

    def send_crashing(self, gateway):
        if gateway.suspicion(CONTENT) is CERTAIN:
            return
        order = 0
        if gateway.suspicion(CONTENT) is SUSPECT:
            granted = self.leases.try_grant(
                CONTENT, holder="x", until=self.now + 1, now=self.now
            )
            if not granted:
                return
            # The decider's records come with its answer.
            self.exchange(self.tables[0], gateway)
            if gateway.suspicion(CONTENT) is CERTAIN:
                return
            order = gateway.find(CONTENT).next_order
        self.crashes += 1
        self.end_server(gateway, CONTENT, order)
        if order:
            # Its own records go to the decider with the release.
            self.exchange(gateway, self.tables[0])
            self.leases.release(CONTENT, holder="x")

    def exchange(self, source, target):
        for record in source.spread():
            target.merge(record, now=self.now)

    def step(self):
        self.now += 0.2
        self.send_crashing(self.source.choice(self.tables))
        for source, target in itertools.permutations(self.tables, 2):
            if self.source.random() < 0.9:
                self.exchange(source, target)
        # The popular call is answered at some gateway.
        self.source.choice(self.tables).record_answer(OTHER, now=self.now)


@settings(max_examples=30, deadline=None, derandomize=True)
@given(seed=strategies.integers(0, 2**32), gateways=strategies.integers(1, 8))
def test_certainty_costs_about_three_servers_over_all_gateways(seed, gateways):
    """Guards against evidence that each gateway collects for itself."""
    fleet = Fleet(random.Random(seed), gateways)
    for _ in range(100):
        fleet.step()
        for table in fleet.tables:
            assert table.suspicion(OTHER) is not CERTAIN
    # A gateway that has not heard of the first crash may add one of its own.
    assert 3 <= fleet.crashes <= 3 + 1
    assert all(t.suspicion(CONTENT) is CERTAIN for t in fleet.tables)
