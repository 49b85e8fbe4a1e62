"""Tests of when a hedge is sent."""

from banyandale_direct import _hedging as hedging


def test_second_send_can_still_meet_the_target():
    """Guards against hedges that come too late to help."""
    at = hedging.hedge_at(
        started_at=0.0, sent_at=0.01, target_seconds=0.6, work_seconds=0.2
    )
    assert at + 0.2 < 0.6
    assert at > 0.2


def test_no_second_send_for_a_call_that_is_merely_long():
    """Guards against double load when the target is close to the work."""
    at = hedging.hedge_at(
        started_at=0.0, sent_at=0.0, target_seconds=0.2, work_seconds=0.2
    )
    assert at > 0.2
