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


def make_dispatcher(count=1, *, warm=True, **options):
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


async def spawn_acquire(dispatcher, clock, **options):
    options.setdefault("deadline", clock.monotonic() + 60)
    task = await curio.spawn(dispatcher.acquire(**options))
    await curio.sleep(0)
    return task


def test_cancelled_waiter_gives_back_slot():
    # Guards against a leaked slot: a release assigns the slot to a waiting
    # task, and the task is cancelled before it runs.
    async def main():
        dispatcher, clock = make_dispatcher()
        held = [dispatcher.try_acquire(), dispatcher.try_acquire()]
        first = await spawn_acquire(dispatcher, clock, priority=1)
        second = await spawn_acquire(dispatcher, clock, priority=2)
        dispatcher.release(held[0], OK)
        await first.cancel()
        assignment = await second.join()
        assert assignment.address == "s0"
        dispatcher.release(assignment, OK)
        assert dispatcher.load().free_slots == 1

    curio.run(main)


def test_full_queue_displaces_lowest_priority():
    # Guards against high-priority requests that are rejected because
    # low-priority requests fill the queue.
    async def main():
        dispatcher, clock = make_dispatcher(queue_limit=1)
        held = [dispatcher.try_acquire(), dispatcher.try_acquire()]
        low = await spawn_acquire(dispatcher, clock, priority=5)
        with pytest.raises(dispatch.QueueFullError):
            await dispatcher.acquire(deadline=clock.now + 60, priority=5)
        high = await spawn_acquire(dispatcher, clock, priority=0)
        with pytest.raises(curio.TaskError) as info:
            await low.join()
        assert isinstance(info.value.__cause__, dispatch.DisplacedError)
        dispatcher.release(held[0], OK)
        await high.join()

    curio.run(main)


def test_pause_ends_after_an_idle_time():
    # Guards against a request that stays queued after a server's pause has
    # ended. It happened when the timer task had waited without a timeout
    # before the pause began.
    async def main():
        dispatcher = dispatch.Dispatcher()
        dispatcher.update_servers(
            [dispatch.Server(address="s0", zone="z", slots=1)]
        )
        clock = core.SystemClock()
        held = dispatcher.try_acquire()
        waiting = await spawn_acquire(dispatcher, clock)
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
    # Guards against a home that uses only half of its slots when all its
    # servers seem slow, for example because the gateway itself is busy. A
    # single slow server of three still gets no more requests.
    dispatcher, clock = make_dispatcher(count=3)
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
    # Guards against requests to a server that told only the home's previous
    # holder that it is leaving, and against waiting for ever for a server
    # that sends no report.
    async def main():
        dispatcher, clock = make_dispatcher(
            warm=False, first_report_seconds=0.5
        )
        assert dispatcher.try_acquire() is None
        if phase == "none":
            clock.now += 0.5
            assert dispatcher.try_acquire() is not None
            return
        report = dispatch.LoadReport(boot="b1", phase=dispatch.Phase(phase))
        dispatcher.record_load_report("s0", report)
        assert (dispatcher.try_acquire() is not None) == (phase == "warm")

    curio.run(main)
