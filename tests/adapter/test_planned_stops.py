"""Tests of what a gateway owes its callers from SIGTERM until it is gone.

A call that a server got must be answered, and so must a call that was read,
unless its connection ended right after the call was sent. One that is refused
with 503 must not run.
"""

import signal
import time

import callers
import curio
import deployments

# Longest time for which callers use an address after a stop: three times the
# validity of a lookup's answer.
LAST_CALL_SECONDS = 4.5
# A call that is sent earlier, and still runs when a stopping gateway has to
# end, may be cut.
FIRST_LATE_CALL_SECONDS = 3.0
STEP_SECONDS = 0.1
RULES = [
    ("/order/", "non_idempotent", "s", {"timeoutS": 3.0}),
    ("/short/", "non_idempotent", "s", {"timeoutS": 1.5}),
    ("/check/", "idempotent", "s", {"timeoutS": 5.0, "targetLatencyS": 2.0}),
    ("/queue/", "non_idempotent", "s", {"timeoutS": 3.0}),
]
USUAL_WORK_SECONDS = 0.29
WARM_UP_CALLS = 6


def is_write(name):
    return not name.startswith("check")


def find_work(request):
    """Returns the duration that a path ends with, in seconds."""
    return float(request.target.rpartition(b"/")[2])


async def warm_up(ip, *paths, work=USUAL_WORK_SECONDS):
    """Lets a gateway learn the usual work of some routes."""

    async def run(path, number):
        name = f"{path}-{ip}-before-{number}"
        call = await callers.send_one(ip, name, f"/{path}/{work}")
        assert call.status == 200

    async with curio.TaskGroup() as group:
        for path in paths:
            for number in range(WARM_UP_CALLS):
                await group.spawn(run, path, number)


class Schedule:
    """Sends calls at set moments after a stop.

    Attributes:
        calls: The calls that were sent.
    """

    def __init__(self, stopped_at):
        self._stopped_at = stopped_at
        self._group = curio.TaskGroup()
        self.calls = []

    async def add(self, seconds, send, *args, **fields):
        """Lets `send` run at a moment; it returns its call, or None."""
        await self._group.spawn(self._run, seconds, send, args, fields)

    async def _run(self, seconds, send, args, fields):
        delay = self._stopped_at + seconds - time.monotonic()
        await curio.sleep(max(delay, 0.0))
        call = await send(*args, **fields)
        if call is not None:
            self.calls.append(call)

    async def finish(self):
        await self._group.join()


def spread(first, last, step=STEP_SECONDS):
    """Returns moments from `first` to before `last`."""
    return [first + n * step for n in range(round((last - first) / step))]


def find_faults(deployment, calls, stopped_at):
    return callers.find_faults(
        calls, deployment, since=stopped_at, is_write=is_write
    )


async def wait_end(process):
    """Waits until a stopped process has ended by itself."""
    await curio.run_in_thread(process.wait, deployments.GRACE_SECONDS)
    assert process.returncode == 0


def test_calls_that_outlast_a_stop_are_refused_or_answered(tmp_path):
    """Guards against calls that are accepted late and cut at the exit."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.find_work = find_work
        await warm_up(ip, "order", "short", "check")
        process = deployment.processes[ip]
        process.send_signal(signal.SIGTERM)
        schedule = Schedule(stopped_at := time.monotonic())
        for seconds in spread(FIRST_LATE_CALL_SECONDS, LAST_CALL_SECONDS):
            for path, work in (
                ("order", 1.9),
                ("order", USUAL_WORK_SECONDS),
                ("short", 1.4),
                ("short", 1.9),
                ("check", 2.1),
            ):
                name = f"{path}-{work}-{seconds:.2f}"
                await schedule.add(
                    seconds, callers.send_one, ip, name, f"/{path}/{work}"
                )
        await schedule.finish()
        assert find_faults(deployment, schedule.calls, stopped_at) == []
        await wait_end(process)

    deployments.run(tmp_path, scenario, rules=RULES)


def test_calls_that_wait_for_a_slot_during_a_stop_are_answered(tmp_path):
    """Guards against calls that are accepted in time and placed too late."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.find_work = find_work
        await warm_up(ip, "queue")
        process = deployment.processes[ip]
        process.send_signal(signal.SIGTERM)
        schedule = Schedule(stopped_at := time.monotonic())
        for seconds in spread(FIRST_LATE_CALL_SECONDS + 0.1, 4.4):
            for work in (1.2, 1.0, USUAL_WORK_SECONDS):
                name = f"queue-{work}-{seconds:.2f}"
                await schedule.add(
                    seconds, callers.send_one, ip, name, f"/queue/{work}"
                )
        for full_at in (3.05, 3.75, 4.2):
            await curio.sleep(stopped_at + full_at - time.monotonic())
            for server in deployment.servers:
                server.load = "2,0,2,100"
            await curio.sleep(0.4)
            for server in deployment.servers:
                server.load = "0,0,2,100"
        await schedule.finish()
        assert find_faults(deployment, schedule.calls, stopped_at) == []
        await wait_end(process)

    deployments.run(tmp_path, scenario, rules=RULES)
