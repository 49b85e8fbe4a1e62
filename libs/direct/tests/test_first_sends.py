"""Tests of the decision which gateway may send an unknown content."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _first_sends as first_sends

CONTENT = b"c" * 16
OTHER = b"o" * 16
GRANTED = first_sends.Decision.GRANTED
BUSY = first_sends.Decision.BUSY
ANSWERED = first_sends.Decision.ANSWERED


class World:
    """A decider with its clock."""

    def __init__(self):
        self.now = 0.0
        self.crashes = crash_records.CrashTable()
        self.decider = first_sends.Decider(
            crashes=self.crashes,
            leases=crash_records.TrialLeases(),
            answered=first_sends.RecentContents(),
        )

    def decide(self, holder, content=CONTENT, *, seconds=1.0, trial=False):
        return self.decider.decide(
            content,
            holder=holder,
            until=self.now + seconds,
            now=self.now,
            trial=trial,
        )

    def release(self, holder, *, answered):
        self.decider.release(
            CONTENT, holder=holder, answered=answered, now=self.now
        )


def test_copies_wait_for_the_first_send():
    """Guards against copies that are sent before the first one has ended."""
    world = World()
    assert world.decide("a") is GRANTED
    assert world.decide("b") is BUSY
    assert world.decide("a") is GRANTED
    assert world.decide("b", OTHER) is GRANTED
    world.release("b", answered=False)
    assert world.decide("b") is BUSY
    world.release("a", answered=False)
    assert world.decide("b") is GRANTED


def test_a_send_that_is_not_released_ends_with_its_lease():
    """Guards against copies that wait for a gateway that is gone."""
    world = World()
    assert world.decide("a", seconds=1.0) is GRANTED
    world.now = 0.9
    assert world.decide("b") is BUSY
    world.now = 1.0
    assert world.decide("b") is GRANTED


def test_an_answered_content_needs_no_permission_for_a_while():
    """Guards against popular calls that wait for each other."""
    world = World()
    assert world.decide("a") is GRANTED
    world.release("a", answered=True)
    for holder in "bcd":
        assert world.decide(holder) is ANSWERED
    world.now = first_sends.KEEP_SECONDS
    assert world.decide("b") is GRANTED


def test_a_sender_that_has_not_heard_of_the_evidence_waits():
    """Guards against sends of a suspect that pass for first sends."""
    world = World()
    world.decide("a")
    world.release("a", answered=True)
    crash = crash_records.Crash(
        server_id="i", started_unix_ms=1, broke_at=0.1, order=0
    )
    world.crashes.record_crash(CONTENT, crash)
    assert world.decide("b") is BUSY
    assert world.decide("b", trial=True) is GRANTED


def test_the_recent_contents_are_bounded():
    """Guards against memory that grows with the number of contents."""
    answered = first_sends.RecentContents()
    contents = [
        number.to_bytes(16) for number in range(first_sends.MAX_CONTENTS + 1)
    ]
    for content in contents:
        answered.add(content, now=0.0)
    assert not answered.contains(contents[0], now=1.0)
    assert answered.contains(contents[-1], now=1.0)


class Fleet:
    """A model of gateways that send one content, which silences its servers.

    Each send has a server of its own. It goes dark after `dark_after`, and is
    found silent `found_after` later, also if the call has ended by its limit.
    Evidence is known everywhere `told_after` later.
    """

    def __init__(self, *, dark_after, limit, found_after, told_after):
        self._world = World()
        self._dark_after = dark_after
        self._limit = limit
        self._found_after = found_after
        self._told_after = told_after
        # Times at which a silence is told, and the sends that hold back copies.
        self._told = []
        self.lost = 0

    def arrive(self, at, number):
        """A copy arrives that is refused rather than held back."""
        world = self._world
        world.now = at
        known = sum(told <= at for told in self._told)
        if known >= crash_records.CERTAIN_CRASHES:
            return
        busy_until = (
            max(self._dark_after, self._limit)
            + self._found_after
            + self._told_after
        )
        holder = f"g-{number}"
        decision = world.decide(holder, seconds=busy_until, trial=known > 0)
        if decision is GRANTED:
            self.lost += 1
            self._told.append(
                at + self._dark_after + self._found_after + self._told_after
            )


@settings(max_examples=300, deadline=None)
@given(
    gaps=strategies.lists(
        strategies.floats(0.0, 1.5), min_size=10, max_size=200
    ),
    dark_after=strategies.floats(0.0, 2.5),
    limit=strategies.floats(0.5, 2.5),
    found_after=strategies.floats(0.0, 0.5),
    told_after=strategies.floats(0.0, 0.1),
)
def test_a_silencing_content_costs_three_servers_at_any_rate(
    gaps, dark_after, limit, found_after, told_after
):
    """Guards against a cost that grows with the rate of the copies."""
    fleet = Fleet(
        dark_after=dark_after,
        limit=limit,
        found_after=found_after,
        told_after=told_after,
    )
    at = 0.0
    for number, gap in enumerate(gaps):
        at += gap
        fleet.arrive(at, number)
    assert fleet.lost <= crash_records.CERTAIN_CRASHES
