"""Tests of graceful shutdown."""

from banyandale_direct import _lookups as lookups
from banyandale_direct import _stops as stops

GRACE = 6.0


def test_calls_are_taken_while_callers_hold_the_address():
    """Guards against refusals of callers that cannot know of the shutdown."""
    plan = stops.StopPlan(signalled_at=0.0, grace_seconds=GRACE)
    valid = lookups.find_valid_seconds(
        serving_seconds=6.0 * stops.SERVING_FRACTION, longest_seconds=5.0
    )
    assert plan.accepts_call(now=valid, estimate_seconds=1.0)
    assert plan.accepts_call(now=4.0, estimate_seconds=0.3)


def test_no_call_is_taken_that_the_end_would_cut():
    """Guards against calls aborted by SIGKILL."""
    plan = stops.StopPlan(signalled_at=0.0, grace_seconds=GRACE)
    assert not plan.accepts_call(now=4.0, estimate_seconds=1.0)
    assert not plan.accepts_call(now=5.0, estimate_seconds=0.1)
    assert plan.exit_at < GRACE
