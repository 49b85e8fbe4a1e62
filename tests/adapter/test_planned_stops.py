"""Tests of what a gateway owes its callers from SIGTERM until it is gone.

A call that a server got must be answered, and so must a call that was read,
unless its connection ended right after the call was sent. One that is refused
with 503 must not run.
"""

import json
import random
import signal
import time

import callers
import curio
import deployments
import pytest

import banyandale_http as http

# Longest time for which callers use an address after a stop: three times the
# validity of a lookup's answer.
LAST_CALL_SECONDS = 4.5
# A call that is sent earlier, and still runs when a stopping gateway has to
# end, may be cut.
FIRST_LATE_CALL_SECONDS = 3.0
STEP_SECONDS = 0.1
# Time between SIGTERM and SIGKILL where a test does not depend on it, and the
# time in which calls are accepted then.
SHORT_GRACE_SECONDS = 3
SHORT_SERVING_SECONDS = 2.25
EXIT_STEP_SECONDS = 0.004
SEEDS = (1,)
RULES = [
    ("/order/", "non_idempotent", "s", {"timeoutS": 3.0}),
    ("/short/", "non_idempotent", "s", {"timeoutS": 1.5}),
    ("/check/", "idempotent", "s", {"timeoutS": 5.0}),
    ("/queue/", "non_idempotent", "s", {"timeoutS": 3.0}),
]
USUAL_WORK_SECONDS = 0.29
WARM_UP_CALLS = 6
# Load of callers that look gateways up: parts of calls that must not be
# repeated, that are slow, and after which the caller opens a new connection.
LOOKUP_CALLERS = 40
WRITE_SHARE = 0.5
SLOW_SHARE = 0.08
NEW_CONNECTION_SHARE = 0.5
# Callers keep an answer for up to this multiple of its validity.
KEPT_FACTOR = 3


def is_write(name):
    return not name.startswith("check")


def find_timeout(name):
    """Returns the time in which a call has to be answered, in seconds."""
    limits = {"short": 1.5, "check": 5.0}
    return limits.get(name.partition("-")[0], 3.0)


def find_work(request):
    """Returns the duration that a path ends with, in seconds."""
    return float(request.target.rpartition(b"/")[2])


async def warm_up(ip, *paths, work=USUAL_WORK_SECONDS):
    """Lets a gateway learn the usual work of some routes."""

    async def run(path, number):
        name = f"{path}-{ip}-before-{number}"
        (call,) = await callers.send_one(ip, name, f"/{path}/{work}")
        assert call.status == 200

    group = callers.Tasks()
    for path in paths:
        for number in range(WARM_UP_CALLS):
            await group.spawn(run, path, number)
    await group.join()


class Schedule:
    """Sends calls at set moments after a stop.

    Attributes:
        calls: The calls that were sent.
    """

    def __init__(self, stopped_at):
        self._stopped_at = stopped_at
        self._group = callers.Tasks()
        self.calls = []

    async def add(self, seconds, send, *args, **fields):
        """Lets `send` run at a moment; it returns the calls that it sent."""
        await self._group.spawn(self._run, seconds, send, args, fields)

    async def _run(self, seconds, send, args, fields):
        delay = self._stopped_at + seconds - time.monotonic()
        await curio.sleep(max(delay, 0.0))
        self.calls += await send(*args, **fields)

    async def finish(self):
        await self._group.join()


def spread(first, last, step=STEP_SECONDS):
    """Returns moments from `first` to before `last`."""
    return [first + n * step for n in range(round((last - first) / step))]


def find_faults(deployment, calls, stopped_at):
    return callers.find_faults(
        calls,
        deployment,
        since=stopped_at,
        is_write=is_write,
        find_timeout=find_timeout,
    )


async def stop(deployment, ip, stopped_at):
    """Stops a gateway; it has to end by itself before it would be killed."""
    process = deployment.processes[ip]
    await curio.sleep(stopped_at - time.monotonic())
    process.send_signal(signal.SIGTERM)
    await curio.run_in_thread(process.wait, 2 * deployment.grace_seconds + 2)
    seconds = time.monotonic() - stopped_at
    assert process.returncode == 0
    assert seconds < deployment.grace_seconds


def test_calls_that_outlast_a_stop_are_refused_or_answered(tmp_path):
    """Guards against calls that are accepted late and cut at the exit."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.find_work = find_work
        await warm_up(ip, "order", "short", "check")
        schedule = Schedule(stopped_at := time.monotonic())
        stopping = await curio.spawn(stop, deployment, ip, stopped_at)
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
        await stopping.join()

    deployments.run(tmp_path, scenario, rules=RULES)


class Retries:
    """Calls whose callers turn to another gateway when they are refused.

    Attributes:
        refused: The calls that the first gateway refused.
        served: Names of the calls that were answered by either.
    """

    def __init__(self, first_ip, other_ip):
        self._first_ip = first_ip
        self._other_ip = other_ip
        self.refused = []
        self.served = set()

    async def send(self, name, target):
        (call,) = await callers.send_one(self._first_ip, name, target)
        if call.status == callers.NOT_RUN_STATUS:
            self.refused.append(call)
            left = 3.0 - (time.monotonic() - call.sent_at)
            (again,) = await callers.send_one(
                self._other_ip,
                f"{name}-again",
                target,
                deadline_ms=int(1000 * left),
            )
            if again.status == 200:
                self.served.add(name)
        elif call.status == 200:
            self.served.add(name)
        return [call]


def test_calls_refused_by_a_stop_are_served_at_another_gateway(tmp_path):
    """Guards against a refusal that costs the caller more than one try."""

    async def scenario(deployment, ip, other):
        for server in deployment.servers:
            server.find_work = find_work
        await warm_up(ip, "order", "short")
        await warm_up(other, "order", "short")
        retries = Retries(ip, other)
        schedule = Schedule(stopped_at := time.monotonic())
        stopping = await curio.spawn(stop, deployment, ip, stopped_at)
        names = set()
        for seconds in spread(0.1, LAST_CALL_SECONDS):
            for path in ("order", "short"):
                name = f"{path}-{seconds:.2f}"
                names.add(name)
                target = f"/{path}/{USUAL_WORK_SECONDS}"
                await schedule.add(seconds, retries.send, name, target)
        await schedule.finish()
        assert find_faults(deployment, schedule.calls, stopped_at) == []
        assert retries.served == names
        for call in retries.refused:
            # None that could still be cut is taken; none is refused earlier.
            assert call.sent_at >= stopped_at + FIRST_LATE_CALL_SECONDS
            assert call.ended_at - call.sent_at < callers.CROSSING_SECONDS
        refused = len(retries.refused)
        print(f"refused {refused} of {len(names)}, each served elsewhere")
        await stopping.join()

    deployments.run(tmp_path, scenario, ("127.0.7.1", "127.0.7.2"), rules=RULES)


@pytest.mark.parametrize("gateways", [1, 2])
def test_calls_read_before_and_after_a_stop_are_answered(tmp_path, gateways):
    """Guards against long calls, streams and uploads that a stop cuts.

    Two gateways are stopped at once. Calls are accepted right before SIGTERM;
    bodies begin before it and end during the stop.
    """

    async def scenario(deployment, *ips):
        for server in deployment.servers:
            server.find_work = find_work
        for ip in ips:
            await warm_up(ip, "order", "check")
        begin = time.monotonic()
        stopped_at = begin + 0.3
        schedule = Schedule(stopped_at)
        for ip in ips:
            for path, work in (("order", 2.9), ("order", 1.9), ("check", 4.8)):
                for seconds in (-0.25, -0.15, -0.05):
                    name = f"{path}-{work}-{seconds}-{ip}"
                    await schedule.add(
                        seconds,
                        callers.send_one,
                        ip,
                        name,
                        f"/{path}/{work}",
                        deadline_ms=6000,
                    )
            for seconds in (0.5, 1.5, 2.5, 3.5, 4.3):
                connection = await callers.Connection.open(ip)
                name = f"order-upload-{seconds}-{ip}"
                await schedule.add(
                    -0.2,
                    connection.exchange_slowly,
                    name,
                    f"/order/{USUAL_WORK_SECONDS}",
                    over_seconds=seconds + 0.2,
                    body=b"b" * 90_000,
                )
        stopping = [
            await curio.spawn(stop, deployment, ip, stopped_at) for ip in ips
        ]
        await schedule.finish()
        assert find_faults(deployment, schedule.calls, stopped_at) == []
        for task in stopping:
            await task.join()

    ips = ("127.0.7.1", "127.0.7.2")[:gateways]
    deployments.run(tmp_path, scenario, ips, rules=RULES)


def test_calls_that_wait_for_a_slot_during_a_stop_are_answered(tmp_path):
    """Guards against calls that are accepted in time and placed too late."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.find_work = find_work
        await warm_up(ip, "queue")
        schedule = Schedule(stopped_at := time.monotonic())
        stopping = await curio.spawn(stop, deployment, ip, stopped_at)
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
        await stopping.join()

    deployments.run(tmp_path, scenario, rules=RULES)


# Limit of calls that may wait beyond the end of a stop.
LONG_RULES = [
    ("/queue/", "non_idempotent", "s", {"timeoutS": 9.0}),
    ("/check/", "idempotent", "s", {"timeoutS": 9.0}),
]
# Late in the short grace time, and after it.
FREED_SECONDS = (2.3, 4.0)


@pytest.mark.parametrize("freed_seconds", FREED_SECONDS)
def test_calls_that_wait_until_the_exit_are_refused(tmp_path, freed_seconds):
    """Guards against calls that no server got and the exit cuts."""

    async def scenario(deployment, *ips):
        for server in deployment.servers:
            server.find_work = find_work
        await deployment.configure(2, LONG_RULES, target_seconds=9.0)
        for ip in ips:
            await deployments.wait_until(
                lambda ip=ip: deployment.read_events(ip, "configuration")[1:]
            )
            # The average starts at a third of the target.
            for number in range(40):
                for path in ("queue", "check"):
                    (call,) = await callers.send_one(
                        ip,
                        f"{path}-{ip}-early-{number}",
                        f"/{path}/0.02",
                        deadline_ms=9000,
                    )
                    assert call.status == 200
        for server in deployment.servers:
            server.load = "2,0,2,100"
        schedule = Schedule(stopped_at := time.monotonic() + 0.5)
        stopping = callers.Tasks()
        for ip in ips:
            for path in ("queue", "check"):
                for seconds in (-0.4, -0.1, 0.3, 1.0, 1.4):
                    await schedule.add(
                        seconds,
                        callers.send_one,
                        ip,
                        f"{path}-{ip}-{seconds}",
                        f"/{path}/0.8",
                        deadline_ms=9000,
                    )
            await stopping.spawn(stop, deployment, ip, stopped_at)
        await curio.sleep(stopped_at + freed_seconds - time.monotonic())
        for server in deployment.servers:
            server.load = "0,0,2,100"
        await schedule.finish()
        assert find_faults(deployment, schedule.calls, stopped_at) == []
        assert [call.status for call in schedule.calls] == [503] * 10
        await stopping.join()

    deployments.run(
        tmp_path, scenario, rules=RULES, grace_seconds=SHORT_GRACE_SECONDS
    )


async def open_connections(ip, count):
    return [await callers.Connection.open(ip) for _ in range(count)]


async def add_calls_around(schedule, ip, first, last, *, label, work):
    """Adds calls on kept and on new connections every few milliseconds."""
    moments = spread(first, last, EXIT_STEP_SECONDS)
    kept = await open_connections(ip, len(moments))
    for number, (seconds, connection) in enumerate(
        zip(moments, kept, strict=True)
    ):
        path = "order" if number % 2 else "check"
        target = f"/{path}/{work}"
        name = f"{path}-{label}-{number}"
        await schedule.add(seconds, connection.exchange, f"{name}-kept", target)
        await schedule.add(seconds, callers.send_one, ip, f"{name}-new", target)


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_right_before_the_exit_are_refused_or_answered(tmp_path, seed):
    """Guards against calls that are read while the process ends."""

    async def scenario(deployment, *ips):
        shift = random.Random(seed).uniform(0.0, EXIT_STEP_SECONDS)
        idle, held, busy = ips
        for server in deployment.servers:
            server.find_work = find_work
        for ip in ips:
            await warm_up(ip, "order", "check", work=0.05)
        schedule = Schedule(stopped_at := time.monotonic() + 0.3)
        await add_calls_around(
            schedule, idle, 4.4 + shift, 4.8, label="idle", work=0.0
        )
        await add_calls_around(
            schedule, busy, 4.3 + shift, 4.8, label="busy", work=0.06
        )
        # Keeps the process until it has to end.
        await schedule.add(
            2.9, callers.send_one, held, "check-held", "/check/5.0"
        )
        await add_calls_around(
            schedule, held, 5.55 + shift, 5.9, label="held", work=0.0
        )
        stopping = callers.Tasks()
        for ip in ips:
            await stopping.spawn(stop, deployment, ip, stopped_at)
        await schedule.finish()
        calls = [call for call in schedule.calls if call.name != "check-held"]
        assert find_faults(deployment, calls, stopped_at) == []
        await stopping.join()

    deployments.run(
        tmp_path,
        scenario,
        gateways=("127.0.7.1", "127.0.7.2", "127.0.7.3"),
        rules=RULES,
    )


def test_callers_that_keep_answered_connections_do_not_delay_the_exit(tmp_path):
    """Guards against a stop that lasts until the process is killed.

    The calls are read before SIGTERM and answered after it, and their callers
    leave it to the gateway to close the connections.
    """

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.find_work = find_work
        await warm_up(ip, "order")
        schedule = Schedule(stopped_at := time.monotonic() + 0.3)
        connections = await open_connections(ip, 4)
        for number, connection in enumerate(connections):
            await schedule.add(
                -0.2, connection.exchange, f"order-{number}", "/order/0.5"
            )
        stopping = await curio.spawn(stop, deployment, ip, stopped_at)
        await schedule.finish()
        assert [call.status for call in schedule.calls] == [200] * 4
        assert all(call.closes for call in schedule.calls)
        await stopping.join()
        for connection in connections:
            await connection.close()

    deployments.run(
        tmp_path, scenario, rules=RULES, grace_seconds=SHORT_GRACE_SECONDS
    )


# Calls that are written at once: their paths and work.
PIPELINES = (
    (("order", 0.4),) * 4,
    (("check", 0.5), ("check", 0.5), ("order", 0.4), ("check", 0.3)),
    (("order", 0.0), ("check", 0.0), ("order", 0.0), ("check", 0.0)),
    (("check", 0.3),) * 6,
)
PIPELINE_MOMENTS = (
    *(-0.3, -0.05, -0.01, 0.0, 0.002, 0.01, 0.5),
    *(3.1, 3.6, 3.9, 4.1, 4.2, 4.3),
    *(4.4, 4.44, 4.46, 4.48, 4.49, 4.495, 4.5, 4.505, 4.51, 4.52, 4.54),
)


@pytest.mark.parametrize("seed", SEEDS)
def test_pipelined_calls_of_a_stop_are_answered_or_not_run(tmp_path, seed):
    """Guards against calls that run behind the last answer of a connection."""

    async def scenario(deployment, ip):
        random_source = random.Random(seed)
        for server in deployment.servers:
            server.find_work = find_work
        await warm_up(ip, "order", "check")
        schedule = Schedule(stopped_at := time.monotonic() + 0.5)
        for moment in PIPELINE_MOMENTS:
            for number, pipeline in enumerate(PIPELINES):
                for gap_seconds in (0.0, random_source.uniform(0.001, 0.2)):
                    (connection,) = await open_connections(ip, 1)
                    requests = [
                        (
                            f"{path}-{moment}-{number}-{gap_seconds:.3f}-{n}",
                            f"/{path}/{work}",
                            {},
                        )
                        for n, (path, work) in enumerate(pipeline)
                    ]
                    await schedule.add(
                        moment + random_source.uniform(0.0, EXIT_STEP_SECONDS),
                        connection.exchange_all,
                        requests,
                        gap_seconds=gap_seconds,
                    )
        stopping = await curio.spawn(stop, deployment, ip, stopped_at)
        await schedule.finish()
        assert find_faults(deployment, schedule.calls, stopped_at) == []
        await stopping.join()

    deployments.run(tmp_path, scenario, rules=RULES)


# Signals by the seconds after SIGTERM at which they are sent.
SIGNAL_SERIES = (
    [(0.0, signal.SIGTERM), (0.0, signal.SIGTERM), (1.0, signal.SIGTERM)],
    [(-0.001, signal.SIGHUP), (0.0, signal.SIGINT), (0.001, signal.SIGHUP)],
    [
        (seconds, number)
        for seconds in spread(-0.05, SHORT_SERVING_SECONDS, 0.05)
        for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
    ],
)


def test_further_signals_do_not_shorten_a_stop(tmp_path):
    """Guards against a second signal that ends the process at once."""

    async def scenario(deployment, *ips):
        for server in deployment.servers:
            server.find_work = find_work
        for ip in ips:
            await warm_up(ip, "order", "check")
        schedule = Schedule(stopped_at := time.monotonic() + 0.5)
        stopping = callers.Tasks()
        for ip, series in zip(ips, SIGNAL_SERIES, strict=True):
            for seconds in spread(-0.3, 2.0):
                for path, work in (("order", 0.29), ("check", 0.88)):
                    await schedule.add(
                        seconds,
                        callers.send_one,
                        ip,
                        f"{path}-{ip}-{seconds:.2f}",
                        f"/{path}/{work}",
                    )
            process = deployment.processes[ip]
            for seconds, number in series:
                await schedule.add(seconds, send_signal, process, number)
            await stopping.spawn(stop, deployment, ip, stopped_at)
        await schedule.finish()
        assert find_faults(deployment, schedule.calls, stopped_at) == []
        await stopping.join()
        for ip in ips:
            (logged,) = deployment.read_events(ip, "stop")
            (ended,) = deployment.read_events(ip, "end")
            served_seconds = ended["time"] - logged["time"]
            assert served_seconds > SHORT_SERVING_SECONDS - 0.1

    deployments.run(
        tmp_path,
        scenario,
        gateways=("127.0.7.1", "127.0.7.2", "127.0.7.3"),
        rules=RULES,
        grace_seconds=SHORT_GRACE_SECONDS,
    )


async def send_signal(process, number):
    process.send_signal(number)
    return []


# Contents of a settings file; None for no file.
UNREADABLE_SETTINGS = (
    None,
    b"",
    b"node = ",
    b"\xff\xfe\x00",
    b"a = 1\n" + b"b" * 1_000_000,
    b"a = " + b"9" * 100_000,
    b"a = 1979-99-99",
)
NESTED_SETTINGS = (b"a = " + b"[" * 100_000, b"a = " + b"{a=" * 100_000)
LONG_KEY_SETTINGS = (b"a" + b".a" * 10_000 + b" = 1",)


@pytest.mark.parametrize(
    "contents",
    [UNREADABLE_SETTINGS, NESTED_SETTINGS, LONG_KEY_SETTINGS],
    ids=["unreadable", "nested", "long-key"],
)
def test_a_reload_of_unreadable_settings_cuts_no_call(tmp_path, contents):
    """Guards against a settings file that ends or holds up the process."""

    async def scenario(deployment, *ips):
        for server in deployment.servers:
            server.find_work = find_work
        schedule = Schedule(reloaded_at := time.monotonic() + 0.3)
        for ip, content in zip(ips, contents, strict=True):
            for seconds in (-0.1, 0.1, 0.3):
                name = f"short-{ip}-{seconds}"
                await schedule.add(
                    seconds, callers.send_one, ip, name, "/short/0.5"
                )
            process = deployment.processes[ip]
            await schedule.add(0.0, send_signal, process, signal.SIGHUP)
            replace_settings(tmp_path / f"{ip}.toml", content)
        await schedule.finish()
        assert find_faults(deployment, schedule.calls, reloaded_at) == []
        assert [call.status for call in schedule.calls] == [200] * len(
            schedule.calls
        )
        assert len(schedule.calls) == 3 * len(ips)
        for ip in ips:
            assert deployment.processes[ip].poll() is None
            await deployments.wait_until(
                lambda ip=ip: deployment.read_events(ip, "reload")
            )
            outcomes = deployment.read_events(ip, "reload")
            assert {event["outcome"] for event in outcomes} == {"rejected"}

    deployments.run(
        tmp_path,
        scenario,
        gateways=[f"127.0.7.{n}" for n in range(1, len(contents) + 1)],
        rules=RULES,
    )


def replace_settings(path, content):
    path.unlink()
    if content is not None:
        path.write_bytes(content)


def test_a_stop_right_after_the_start_ends_the_process(tmp_path):
    """Guards against a process that is stopped before it is ready."""

    async def scenario(deployment, _):
        schedule = Schedule(started_at := time.monotonic() + 0.1)
        stopping = callers.Tasks()
        ips = [f"127.0.8.{n}" for n in range(1, 7)]
        for n, ip in enumerate(ips):
            deployment.start_gateway(ip)
            seconds = 0.08 * n
            await stopping.spawn(
                stop_early, deployment, ip, started_at + seconds
            )
            for moment in spread(0.0, 2.5, 0.05):
                await schedule.add(
                    moment,
                    callers.send_one,
                    ip,
                    f"order-{ip}-{moment:.2f}",
                    "/order/0.1",
                )
        await schedule.finish()
        assert find_faults(deployment, schedule.calls, started_at) == []
        await stopping.join()

    deployments.run(
        tmp_path, scenario, rules=RULES, grace_seconds=SHORT_GRACE_SECONDS
    )


async def stop_early(deployment, ip, stopped_at):
    process = deployment.processes[ip]
    await curio.sleep(stopped_at - time.monotonic())
    started = bool(deployment.read_events(ip, "start"))
    process.send_signal(signal.SIGTERM)
    await curio.run_in_thread(process.wait, 2 * deployment.grace_seconds)
    assert time.monotonic() - stopped_at < deployment.grace_seconds
    # Before the program runs, the system ends the process.
    expected = {0} if started else {0, -signal.SIGTERM}
    assert process.returncode in expected


class LookupCaller:
    """A caller that uses what it looked up as long as callers may.

    Attributes:
        calls: The calls that it sent.
    """

    def __init__(self, name, ips, random_source):
        self._name = name
        self._ips = ips
        self._random = random_source
        self._addresses = []
        self._lookup_at = 0.0
        self.calls = []

    async def run(self, deployment, until):
        connection = None
        count = 0
        while time.monotonic() < until:
            if connection is None or connection.ended:
                connection = await self._connect(deployment)
                continue
            path = "order" if self._random.random() < WRITE_SHARE else "check"
            name = f"{path}-{self._name}-{count}"
            target = f"/{path}/{self._draw_work():.3f}"
            count += 1
            self.calls += await connection.exchange(name, target)
            await curio.sleep(self._random.uniform(0.0, 0.2))
            if self._random.random() < NEW_CONNECTION_SHARE:
                await connection.close()
        if connection is not None:
            await connection.close()

    def _draw_work(self):
        if self._random.random() < SLOW_SHARE:
            return self._random.uniform(0.9, 2.1)
        return USUAL_WORK_SECONDS * self._random.lognormvariate(0.0, 0.3)

    async def _connect(self, deployment):
        if time.monotonic() >= self._lookup_at:
            await self._look_up(deployment)
        ip = self._random.choice(self._addresses).partition(":")[0]
        try:
            return await callers.Connection.open(ip)
        except (OSError, curio.TaskTimeout):
            await curio.sleep(0.01)
            return None

    async def _look_up(self, deployment):
        target = "/banyandale/resolve?name=h.example&region=r&zone=a"
        for ip in self._random.sample(self._ips, len(self._ips)):
            try:
                response = await deployment.send(
                    ip, target, port=deployments.LOOKUP_PORT
                )
            except http.HttpError:
                continue
            if response.status == 200:
                found = json.loads(response.body)
                self._addresses = found["addresses"]
                kept_seconds = KEPT_FACTOR * found["ttlS"]
                self._lookup_at = time.monotonic() + kept_seconds
                return
        raise AssertionError("no gateway answers lookups")


async def stop_and_restart(deployment, ip, stopped_at):
    await stop(deployment, ip, stopped_at)
    deployment.start_gateway(ip)


@pytest.mark.parametrize("seed", SEEDS)
def test_gateways_stopped_together_cut_no_call(tmp_path, seed):
    """Guards against calls cut by a rolling stop under load."""

    async def scenario(deployment, *ips):
        for server in deployment.servers:
            server.find_work = find_work
        random_source = random.Random(seed)
        started_at = time.monotonic()
        group = [
            LookupCaller(number, ips, random.Random(random_source.random()))
            for number in range(LOOKUP_CALLERS)
        ]
        tasks = callers.Tasks()
        until = started_at + 0.3 + 1.5 + deployments.GRACE_SECONDS
        for caller in group:
            await tasks.spawn(caller.run, deployment, until)
        for ip, seconds in zip(ips, (0.3, 0.3, 1.8), strict=False):
            await tasks.spawn(
                stop_and_restart, deployment, ip, started_at + seconds
            )
        await tasks.join()
        calls = [call for caller in group for call in caller.calls]
        assert find_faults(deployment, calls, started_at + 0.3) == []
        assert sum(call.status == 200 for call in calls) > len(calls) / 2

    deployments.run(
        tmp_path,
        scenario,
        gateways=[f"127.0.7.{n}" for n in range(1, 5)],
        rules=RULES,
    )
