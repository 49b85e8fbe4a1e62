"""Tests of the dispatcher with a controlled clock."""

import curio
import pytest

import banyandale_core as core
import banyandale_dispatch as dispatch

OK = dispatch.Outcome(kind=dispatch.OutcomeKind.OK)
CANCELLED = dispatch.Outcome(kind=dispatch.OutcomeKind.CANCELLED)
LOST = dispatch.Outcome(kind=dispatch.OutcomeKind.LOST)
WARM = dispatch.LoadReport(boot="b1", phase=dispatch.Phase.WARM)


class FakeClock:
    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now

    def unix(self):
        return self.now


def make(count=1, *, warm=True, **options):
    clock = FakeClock()
    dispatcher = dispatch.Dispatcher(clock=clock, **options)
    dispatcher.update_servers(
        [
            dispatch.Server(address=f"s{number}", zone="z", slots=2)
            for number in range(count)
        ]
    )
    if warm:
        dispatcher.restore_warm({f"s{n}": "b1" for n in range(count)})
    return dispatcher, clock


async def spawn(dispatcher, clock, **options):
    options.setdefault("deadline", clock.monotonic() + 60)
    task = await curio.spawn(dispatcher.acquire(**options))
    await curio.sleep(0)
    return task


def test_cancelled_waiter_gives_back_slot():
    # Guards against a slot lost when a task is cancelled after a release
    # handed it the slot and before the task ran.
    async def main():
        dispatcher, clock = make()
        held = [dispatcher.try_acquire(), dispatcher.try_acquire()]
        first = await spawn(dispatcher, clock, priority=1)
        second = await spawn(dispatcher, clock, priority=2)
        dispatcher.release(held[0], OK)
        await first.cancel()
        assignment = await second.join()
        assert assignment.address == "s0"
        dispatcher.release(assignment, OK)
        assert dispatcher.load().free_slots == 1

    curio.run(main)


def test_full_queue_displaces_lowest_priority():
    # Guards against low-priority work that keeps high-priority work out.
    async def main():
        dispatcher, clock = make(queue_limit=1)
        held = [dispatcher.try_acquire(), dispatcher.try_acquire()]
        low = await spawn(dispatcher, clock, priority=5)
        with pytest.raises(dispatch.QueueFullError):
            await dispatcher.acquire(deadline=clock.now + 60, priority=5)
        high = await spawn(dispatcher, clock, priority=0)
        with pytest.raises(curio.TaskError) as info:
            await low.join()
        assert isinstance(info.value.__cause__, dispatch.DisplacedError)
        dispatcher.release(held[0], OK)
        await high.join()

    curio.run(main)


def test_pause_ends_after_an_idle_time():
    # Guards against a queue that no longer notices the end of a pause once
    # its alarm has waited without a time limit.
    async def main():
        dispatcher = dispatch.Dispatcher()
        dispatcher.update_servers(
            [dispatch.Server(address="s0", zone="z", slots=1)]
        )
        clock = core.SystemClock()
        held = dispatcher.try_acquire()
        waiting = await spawn(dispatcher, clock)
        await curio.sleep(0.2)
        dispatcher.release(held, OK)
        dispatcher.release(await waiting.join(), OK)
        await curio.sleep(0.2)
        dispatcher.record_connection_loss("s0")
        async with curio.timeout_after(5):
            assignment = await dispatcher.acquire(
                deadline=clock.monotonic() + 60
            )
        assert assignment.address == "s0"

    curio.run(main)


@pytest.mark.parametrize(("slow", "granted"), [(3, 3), (1, 4)])
def test_slowness_of_most_servers_is_no_reason_to_hold_back(slow, granted):
    # Guards against a home that uses half of its slots when all its servers
    # seem slow, for example because the gateway itself is busy. One slow
    # server of three gets no more work.
    dispatcher, clock = make(count=3)
    running = [dispatcher.try_acquire() for _ in range(3)]
    for assignment in running[slow:]:
        dispatcher.release(assignment, CANCELLED)
    clock.now += 10.0
    count = 0
    while dispatcher.try_acquire() is not None:
        count += 1
    assert count == granted


@pytest.mark.parametrize("phase", ["warm", "leaving", "none"])
def test_new_server_waits_for_its_first_report(phase):
    # Guards against work for a server that told only the previous home that
    # it is leaving, and against waiting for ever for a server that is silent.
    async def main():
        dispatcher, clock = make(warm=False, first_report_seconds=0.5)
        assert dispatcher.try_acquire() is None
        if phase == "none":
            clock.now += 0.5
            assert dispatcher.try_acquire() is not None
            return
        report = dispatch.LoadReport(boot="b1", phase=dispatch.Phase(phase))
        dispatcher.record_load_report("s0", report)
        assert (dispatcher.try_acquire() is not None) == (phase == "warm")

    curio.run(main)
