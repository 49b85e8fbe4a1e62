"""Tests of server health derived from call outcomes."""

from banyandale_direct import _server_health as server_health


def test_pauses_grow_and_end_with_a_success():
    """Guards against calls to a failing server whose health report is good."""
    health = server_health.ServerHealthTable()
    health.find("a")
    pauses = [health.record_failure("a", now=0.0) for _ in range(6)]
    assert pauses == sorted(pauses)
    assert pauses[0] == server_health.FIRST_PAUSE_SECONDS
    assert pauses[-1] == server_health.LONGEST_PAUSE_SECONDS
    health.record_success("a")
    assert health.find("a").avoid_until == 0.0


def test_another_process_under_the_same_id_starts_anew():
    """Guards against a restarted server that stays avoided."""
    health = server_health.ServerHealthTable()
    health.find("a", started_unix_ms=1)
    health.record_failure("a", now=0.0)
    assert health.find("a", started_unix_ms=1).avoid_until > 0
    assert health.find("a", started_unix_ms=2).avoid_until == 0


def test_servers_with_calls_in_flight_are_kept():
    """Guards against a negative count of calls in flight."""
    health = server_health.ServerHealthTable()
    health.find("a").in_flight = 1
    health.find("b")
    health.keep_only(frozenset())
    assert health.find("a").in_flight == 1


def test_short_time_limits_do_not_count_as_server_failures():
    """Guards against healthy servers avoided because of a route's time limit.

    In run quiet-1 on the first site 56 servers were avoided, most of them after
    calls on a route whose limit is below twice the average work.
    """
    assert not server_health.is_overdue(0.4, expected_seconds=0.22)
    assert server_health.is_overdue(1.2, expected_seconds=0.22)
