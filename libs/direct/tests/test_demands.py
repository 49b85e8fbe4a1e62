"""Tests of the running averages and of the age of calls."""

from banyandale_direct import _demands as demands


def test_slow_servers_do_not_move_the_average_much():
    """Guards against a work estimate raised by a few slow servers."""
    tracker = demands.DemandTracker()
    for number in range(200):
        slow = number % 10 == 0
        tracker.record(
            "s", work_seconds=2.0 if slow else 0.2, answer_bytes=1000
        )
    found = tracker.find("s")
    assert 0.18 < found.work_seconds < 0.3
    assert found.answer_bytes == 1000
    assert tracker.find("x").work_seconds == demands.INITIAL_WORK_SECONDS


def test_a_repeat_is_older_than_a_first_attempt():
    """Guards against repeats that get the target time of a first attempt."""
    tracker = demands.CallAgeTracker()
    assert tracker.find_age("r", 2.5) == 0.0
    assert tracker.find_age("r", 2.0) == 0.5
    assert tracker.find_age("r", 2.5) == 0.0
    assert tracker.find_age("other", 1.0) == 0.0
