"""Tests of graceful shutdown."""

import pytest

from banyandale_direct import _lookups as lookups
from banyandale_direct import _stops as stops

GRACE = 6.0


def accepts(now, *, limit, estimate, repeatable=False):
    plan = stops.StopPlan(signalled_at=0.0, grace_seconds=GRACE)
    return plan.accepts_call(
        now=now,
        deadline=now + limit,
        estimate_seconds=estimate,
        repeatable=repeatable,
    )


def test_calls_are_taken_while_callers_hold_the_address():
    """Guards against refusals of callers that cannot know of the shutdown."""
    valid = lookups.find_valid_seconds(
        serving_seconds=6.0 * stops.SERVING_FRACTION, longest_seconds=5.0
    )
    assert accepts(valid, limit=10.0, estimate=1.0, repeatable=True)
    assert accepts(valid, limit=10.0, estimate=0.5)
    assert accepts(4.0, limit=1.5, estimate=0.3)


def test_no_call_is_taken_that_the_end_would_cut():
    """Guards against calls aborted by SIGKILL."""
    for repeatable in (False, True):
        assert not accepts(4.0, limit=3.0, estimate=1.0, repeatable=repeatable)
        assert not accepts(5.0, limit=1.0, estimate=0.1, repeatable=repeatable)
    plan = stops.StopPlan(signalled_at=0.0, grace_seconds=GRACE)
    assert plan.answer_by < plan.close_at < plan.exit_at < GRACE


def test_a_late_call_is_taken_only_if_it_cannot_outlast_the_process():
    """Guards against a call that takes longer than its route does on average.

    The moments and limits are those of calls that were cut in issue 30.
    """
    for now in (3.1, 3.86, 4.1, 4.34, 4.49):
        for limit in (1.5, 2.0, 3.0):
            for repeatable in (False, True):
                taken = accepts(
                    now, limit=limit, estimate=0.29, repeatable=repeatable
                )
                assert taken == (now + limit <= GRACE - 0.5)


def test_a_call_that_must_not_be_repeated_needs_more_time():
    """Guards against cutting such a call, which nobody may send again."""
    assert accepts(3.0, limit=3.0, estimate=0.7, repeatable=True)
    assert not accepts(3.0, limit=3.0, estimate=0.7)
    assert accepts(3.0, limit=3.0, estimate=0.3)


def test_a_signal_counts_from_when_it_may_have_been_sent():
    """Guards against a grace time that starts when a suspension ends.

    The other tasks may run before the signal is handled.
    """
    for first_sign in (110.0, 110.1):
        signs = stops.LifeSigns(boot_now=100.0)
        for number in range(18):
            signs.record(100.0 + number * 0.5)
        signs.record(first_sign)
        assert signs.find_signal_time(now=10.2, boot_now=110.2) == (
            pytest.approx(8.5)
        )


def test_a_signal_that_is_handled_at_once_counts_from_then():
    """Guards against stops that are shorter than the grace time."""
    signs = stops.LifeSigns(boot_now=100.0)
    for number in range(20):
        signs.record(102.0 + number * 0.5)
    assert signs.find_signal_time(now=10.2, boot_now=112.0) == 10.2


def test_a_suspension_during_a_stop_shortens_it():
    """Guards against deadlines on a clock that stands still meanwhile."""
    plan = stops.StopPlan(
        signalled_at=0.0, grace_seconds=GRACE, boot_offset=100.0
    )
    plan.follow(now=1.0, boot_now=101.0)
    assert plan.exit_at == GRACE - stops.EXIT_MARGIN_SECONDS
    plan.follow(now=1.5, boot_now=103.5)
    plan.follow(now=2.0, boot_now=104.0)
    assert plan.exit_at == GRACE - stops.EXIT_MARGIN_SECONDS - 2.0
    assert not plan.accepts_call(
        now=2.0, deadline=3.6, estimate_seconds=0.3, repeatable=True
    )


def test_short_grace_times_keep_the_order_of_the_deadlines():
    """Guards against an exit before calls that were taken are answered."""
    for grace in (0.5, 1.0, 2.0, 6.0, 30.0):
        plan = stops.StopPlan(signalled_at=0.0, grace_seconds=grace)
        assert plan.answer_by < plan.close_at < plan.exit_at < grace
        assert plan.serve_until <= plan.answer_by
