"""Tests of admission control and of retry delays."""

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
    """Guards against slots taken by calls that end after their deadline."""
    assert check() is None
    assert check(running=2, waiting=1) is None
    late = admission.Refusal.DEADLINE_TOO_CLOSE
    assert check(running=2, waiting=1, deadline=0.3) is late
    assert check(running=2, waiting=4) is admission.Refusal.NO_ROOM


def test_another_server_at_the_address_gets_nothing():
    """Guards against calls to another server that took over the address."""
    other = admission.check_report(
        placement.LoadReport(healthy=True, server_id="b"),
        server_id="a",
        work_seconds=0.2,
        now=0.0,
        deadline=9.0,
    )
    assert other[0] is admission.Refusal.NO_SERVER


def test_callers_rejected_together_retry_at_different_times():
    """Guards against a second peak of load as high as the first.

    Simulates 200 callers that are rejected at the same moment: with a fixed
    retry delay all would return within the same 100 ms.
    """
    source = random.Random(1)
    times = [
        admission.draw_retry_after_seconds(
            wait_seconds=0.5, random_source=source
        )
        for _ in range(200)
    ]
    assert min(times) >= 0.5
    busiest = max(
        sum(start <= t < start + 0.05 for t in times)
        for start in (0.5, 0.55, 0.6, 0.65, 0.7)
    )
    assert busiest < 80
    longest = admission.draw_retry_after_seconds(
        wait_seconds=99.0, random_source=source
    )
    assert longest == admission.MAX_RETRY_AFTER_SECONDS


def decide(now=0.0, target_at=0.6, **report):
    return admission.decide(
        placement.LoadReport(healthy=True, slots=2, **report),
        admission.CallTiming(
            target_at=target_at, answer_by=9.0, work_seconds=0.22
        ),
        now=now,
    )


def test_a_call_waits_for_a_server_that_can_meet_its_target():
    """Guards against calls that start while a machine is slow for 300 ms."""
    assert decide() is admission.Decision.SEND
    assert decide(slowness=4.0) is admission.Decision.WAIT
    assert decide(running=2, waiting=1) is admission.Decision.WAIT
    last = 0.6 - 0.22 * admission.WORK_MARGIN
    assert decide(now=last) is admission.Decision.SEND
    assert decide(now=last, slowness=4.0) is admission.Decision.WAIT
    late = last + admission.LATE_WAIT_SECONDS
    assert decide(now=late, slowness=4.0) is admission.Decision.SEND


def test_a_call_that_would_time_out_is_not_started_on_a_slow_machine():
    """Guards against calls that run and still end without an answer.

    A call with 0.29 s of work was sent to a machine of slowness 4.0 with 1.22 s
    left, and ended as 504 after 1.22 s of work.
    """
    timing = admission.CallTiming(
        target_at=0.8, answer_by=1.5, work_seconds=0.29
    )
    slow = placement.LoadReport(healthy=True, slots=2, slowness=4.0)
    for now in (0.28, 0.6, 1.0):
        decision = admission.decide(slow, timing, now=now)
        assert decision is not admission.Decision.SEND


def test_a_late_call_takes_a_slot_that_nobody_misses():
    """Guards against calls that wait while most slots are free.

    On the small Lusong site, whose servers have six slots, calls past their
    target waited 0.4 s for a server without any other call and were rejected
    beside servers with three free slots.
    """
    timing = admission.CallTiming(
        target_at=0.1, answer_by=2.0, work_seconds=0.12
    )

    def decide_late(running, slots):
        report = placement.LoadReport(
            healthy=True, slots=slots, running=running
        )
        return admission.decide(report, timing, now=0.2)

    assert decide_late(3, slots=6) is admission.Decision.SEND
    assert decide_late(0, slots=1) is admission.Decision.SEND
    assert decide_late(4, slots=6) is admission.Decision.WAIT
    assert decide_late(1, slots=2) is admission.Decision.WAIT


def test_calls_do_not_queue_at_servers():
    """Guards against queued calls that start while the machine is slow."""
    late = 0.6 + admission.LATE_WAIT_SECONDS
    assert decide(running=2) is admission.Decision.WAIT
    assert decide(now=late, running=2) is admission.Decision.REJECT
    assert decide(running=2, waiting=2) is admission.Decision.REJECT


def test_a_large_answer_waits_for_its_own_zone():
    """Guards against large answers sent across zones to avoid a short wait."""
    idle = placement.LoadReport(healthy=True, slots=2)
    timing = admission.CallTiming(
        target_at=0.6, answer_by=9.0, work_seconds=0.18
    )
    assert (
        admission.decide(idle, timing, now=0.0, cross_zone_seconds=0.5)
        is admission.Decision.WAIT
    )
    assert (
        admission.decide(idle, timing, now=0.4, cross_zone_seconds=0.5)
        is admission.Decision.SEND
    )


class NoisyServers:
    """Simulated servers whose slowness changes at random every 300 ms.

    Each runs up to two calls, at 1/1.7 of its speed while it has two. The
    duration of a call is fixed when it starts.
    """

    def __init__(self, count, source):
        self.random = source
        self.running = [[] for _ in range(count)]
        self.queues = [[] for _ in range(count)]
        self.slowness = [1.0] * count
        self.done = []

    def report(self, index):
        return placement.LoadReport(
            healthy=True,
            slots=2,
            running=len(self.running[index]),
            waiting=len(self.queues[index]),
            slowness=self.slowness[index],
        )

    def step(self, tick, now, work):
        for index, running in enumerate(self.running):
            if tick % 30 == index % 30:
                slow = self.random.random() < 0.25
                self.slowness[index] = 4.0 if slow else 1.0
            while self.queues[index] and len(running) < 2:
                start = self.queues[index].pop(0)
                left = work * self.random.uniform(0.7, 1.3)
                running.append([start, left * self.slowness[index]])
            speed = 0.01 / (1.7 if len(running) == 2 else 1.0)
            for call in list(running):
                call[1] -= speed
                if call[1] <= 0:
                    running.remove(call)
                    self.done.append(now - call[0])


def simulate_overload(*, wait_in_gateway):
    """Simulates 35 calls a second for 8 s on eight noisy servers.

    Returns:
        The fraction of calls answered within 0.6 s.
    """
    source = random.Random(7)
    servers = NoisyServers(8, source)
    work, target, count, waiting = 0.22, 0.6, 0, []
    for tick in range(1200):
        now = tick * 0.01
        if now < 8.0 and source.random() < 0.35:
            count += 1
            waiting.append(now)
        for start in list(waiting):
            probed = source.sample(range(8), 4)
            best = min(
                probed,
                key=lambda i: placement.estimate_seconds(
                    servers.report(i), work
                ),
            )
            report = servers.report(best)
            timing = admission.CallTiming(
                target_at=start + target,
                answer_by=start + 1.2,
                work_seconds=work,
            )
            decision = admission.decide(report, timing, now=now)
            if not wait_in_gateway and report.waiting < 4:
                decision = admission.Decision.SEND
            if decision is not admission.Decision.WAIT:
                waiting.remove(start)
            if decision is admission.Decision.SEND:
                servers.queues[best].append(start)
        servers.step(tick, now, work)
    return sum(seconds <= target for seconds in servers.done) / count


def test_waiting_in_the_gateway_keeps_more_calls_in_time():
    """Guards against queues at servers that delay all calls past the target.

    The earlier policy sent calls until a server shed them.
    """
    with_wait, without_wait = (
        simulate_overload(wait_in_gateway=True),
        simulate_overload(wait_in_gateway=False),
    )
    print(with_wait, without_wait)
    assert with_wait > 1.5 * without_wait
