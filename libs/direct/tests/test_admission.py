"""Tests of rejection and of the time to come back."""

import random

from banyandale_direct import _admission as admission
from banyandale_direct import _placement as placement


def check(*, deadline=1.0, server_id="a", **report):
    return admission.check_report(
        placement.LoadReport(healthy=True, slots=2, **report),
        server_id=server_id,
        work_seconds=0.2,
        now=0.0,
        deadline=deadline,
    )[0]


def test_calls_that_cannot_end_in_time_are_rejected_before_they_wait():
    """Guards against places taken by calls that end too late anyway."""
    assert check() is None
    assert check(running=2, waiting=2) is None
    late = admission.Refusal.DEADLINE_TOO_CLOSE
    assert check(running=2, waiting=2, deadline=0.3) is late
    assert check(running=2, waiting=4) is admission.Refusal.NO_ROOM


def test_another_server_at_the_address_gets_nothing():
    """Guards against calls to the next owner of an address."""
    other = admission.check_report(
        placement.LoadReport(healthy=True, server_id="b"),
        server_id="a",
        work_seconds=0.2,
        now=0.0,
        deadline=9.0,
    )
    assert other[0] is admission.Refusal.NO_SERVER


def test_callers_that_were_turned_away_together_return_spread():
    """Guards against a second wave as high as the first.

    Replays 200 callers that are rejected in one moment: with a fixed time
    all would be back within the same 100 ms.
    """
    source = random.Random(1)
    times = [
        admission.return_seconds(wait_seconds=0.5, random_source=source)
        for _ in range(200)
    ]
    assert min(times) >= 0.5
    busiest = max(
        sum(start <= t < start + 0.05 for t in times)
        for start in (0.5, 0.55, 0.6, 0.65, 0.7)
    )
    assert busiest < 80
    longest = admission.return_seconds(wait_seconds=99.0, random_source=source)
    assert longest == admission.LONGEST_RETURN_SECONDS


def decide(now=0.0, target_at=0.6, **report):
    return admission.decide(
        placement.LoadReport(healthy=True, slots=2, **report),
        admission.Prospect(
            target_at=target_at, answer_by=9.0, work_seconds=0.22
        ),
        now=now,
    )


def test_a_call_waits_for_a_server_that_can_meet_its_target():
    """Guards against calls that start in a slow stretch of 300 ms."""
    assert decide() is admission.Verdict.SEND
    assert decide(slowness=4.0) is admission.Verdict.WAIT
    assert decide(running=2, waiting=1) is admission.Verdict.WAIT
    last = 0.6 - 0.22 * admission.WORK_MARGIN
    assert decide(now=last, slowness=4.0) is admission.Verdict.SEND


def test_late_calls_take_no_place_in_a_queue():
    """Guards against a queue of calls that are all late."""
    reject = admission.Verdict.REJECT
    assert decide(now=0.5, running=2, waiting=1) is reject
    assert decide(now=0.5, running=2) is admission.Verdict.SEND
    assert decide(running=2, waiting=2) is reject


def test_a_large_answer_waits_for_its_own_zone():
    """Guards against downloads that cross zones for a slow stretch."""
    idle = placement.LoadReport(healthy=True, slots=2)
    prospect = admission.Prospect(
        target_at=0.6, answer_by=9.0, work_seconds=0.18
    )
    assert (
        admission.decide(idle, prospect, now=0.0, crossing_seconds=0.5)
        is admission.Verdict.WAIT
    )
    assert (
        admission.decide(idle, prospect, now=0.4, crossing_seconds=0.5)
        is admission.Verdict.SEND
    )


def replay_overload(*, hold):
    """Replays 40 calls a second for 5 s on six servers that take 27.

    Each server runs two calls, at a speed of 1/1.7 each while it has two.

    Returns:
        The share of calls that are answered within 0.6 s.
    """
    source = random.Random(7)
    step, work, target = 0.01, 0.22, 0.6
    servers = [[] for _ in range(6)]
    queues = [[] for _ in range(6)]
    held, done, count, now = [], [], 0, 0.0
    while now < 8.0:
        now += step
        if now < 5.0 and source.random() < 40 * step:
            count += 1
            held.append(now)
        for start in list(held):
            best = min(range(6), key=lambda i: len(servers[i]) + len(queues[i]))
            report = placement.LoadReport(
                healthy=True,
                slots=2,
                running=len(servers[best]),
                waiting=len(queues[best]),
            )
            prospect = admission.Prospect(
                target_at=start + target, answer_by=99.0, work_seconds=work
            )
            verdict = admission.decide(report, prospect, now=now)
            if not hold and len(queues[best]) < 4:
                verdict = admission.Verdict.SEND
            if verdict is admission.Verdict.WAIT:
                continue
            held.remove(start)
            if verdict is admission.Verdict.SEND:
                queues[best].append((start, work * source.uniform(0.7, 1.3)))
        for running, queue in zip(servers, queues, strict=True):
            while queue and len(running) < 2:
                start, left = queue.pop(0)
                running.append([start, left])
            speed = step / (1.7 if len(running) == 2 else 1.0)
            for call in list(running):
                call[1] -= speed
                if call[1] <= 0:
                    running.remove(call)
                    done.append(now - call[0])
    return sum(seconds <= target for seconds in done) / count


def test_waiting_in_the_gateway_keeps_more_calls_in_time():
    """Guards against servers' queues that make all calls late.

    The earlier policy placed calls until a server shed.
    """
    assert replay_overload(hold=True) > 2 * replay_overload(hold=False)
