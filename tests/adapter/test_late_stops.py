"""Tests of stops that are noticed late, and of connections that end in them."""

import signal
import socket
import time

import callers
import curio
import deployments
import pytest
import standin
import test_planned_stops as planned

from banyandale_direct import _stops as stops

RULES = [
    *planned.RULES,
    ("/long/", "idempotent", "s", {"timeoutS": 9.0}),
    ("/wait/", "non_idempotent", "s", {"timeoutS": 9.0}),
]
SUSPENDED_SECONDS = 1.0
# Calls that are sent this long after a suspension count again.
CONTACT_SECONDS = 3.0
# A call that a stop cuts must be sent no later than this after SIGTERM.
LAST_CUT_CALL_SECONDS = 3.0
HALF_HEAD = (
    b"POST /long/0.1 HTTP/1.1\r\nhost: h.example\r\n"
    b"x-request-id: half\r\ncontent-length: 1\r\n"
)


async def kill_if_alive(deployment, ip, stopped_at):
    """Does what the platform does at the end of the grace time."""
    process = deployment.processes[ip]
    killed_at = stopped_at + deployment.grace_seconds
    await curio.sleep(killed_at - time.monotonic())
    if process.poll() is None:
        process.kill()


def test_a_stop_that_is_noticed_late_cuts_no_call(tmp_path):
    """Guards against deadlines that count from when SIGTERM is handled."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.find_work = planned.find_work
        await planned.warm_up(ip, "order")
        process = deployment.processes[ip]
        process.send_signal(signal.SIGSTOP)
        stopped_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        schedule = planned.Schedule(stopped_at)
        await schedule.add(
            SUSPENDED_SECONDS, planned.send_signal, process, signal.SIGCONT
        )
        first = SUSPENDED_SECONDS + CONTACT_SECONDS + 0.1
        for seconds in planned.spread(first, planned.LAST_CALL_SECONDS):
            await schedule.add(
                seconds,
                callers.send_one,
                ip,
                f"order-{seconds:.2f}",
                "/order/2.05",
                deadline_ms=2200,
            )
        killer = await curio.spawn(kill_if_alive, deployment, ip, stopped_at)
        await schedule.finish()
        await killer.join()
        assert planned.find_faults(deployment, schedule.calls, stopped_at) == []

    deployments.run(tmp_path, scenario, rules=RULES)


def test_a_call_behind_an_open_one_is_not_passed_on_late_in_a_stop(tmp_path):
    """Guards against an answer that waits for an earlier one until the exit."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.find_work = planned.find_work
        await planned.warm_up(ip, "long", "check")
        stopped_at = time.monotonic() + 0.3
        connection = await callers.Connection.open(ip)
        stopping = await curio.spawn(planned.stop, deployment, ip, stopped_at)
        calls = await connection.exchange_all(
            [
                ("check-long", "/long/8.0", {"deadline_ms": 9000}),
                ("check", "/check/0.1", {"deadline_ms": 1500}),
            ],
            gap_seconds=0.3 + LAST_CUT_CALL_SECONDS + 0.5,
        )
        await stopping.join()
        assert [call.name for call in calls] == ["check-long", "check"]
        executed = [n for s in deployment.servers for n in s.executed_ids]
        assert "check" not in executed
        # Nor was it read: nothing was decided about it.
        log = (tmp_path / f"{ip}.log").read_text()
        assert '"request":"check-long"' in log
        assert '"request":"check"' not in log

    deployments.run(tmp_path, scenario, rules=RULES)


def test_a_call_that_waits_when_a_gateway_exits_is_refused(tmp_path):
    """Guards against calls that end without an answer though none ran.

    They are read before SIGTERM and while calls are taken by an estimate.
    """

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.find_work = planned.find_work
        document = standin.make_configuration(2, RULES)
        for rule in document["specification"]["listeners"][0]["rules"]:
            rule["targetLatencyS"] = 8.0
        await deployment.store.put("config", "main", document)
        await curio.sleep(0.5)
        await planned.warm_up(ip, "wait")
        for server in deployment.servers:
            server.load = "2,0,2,100"
        schedule = planned.Schedule(stopped_at := time.monotonic() + 0.5)
        stopping = await curio.spawn(planned.stop, deployment, ip, stopped_at)
        for seconds in (-0.3, 1.5, 2.5, 2.9):
            await schedule.add(
                seconds,
                callers.send_one,
                ip,
                f"wait-{seconds}",
                "/wait/0.3",
                deadline_ms=9000,
            )
        await schedule.finish()
        await stopping.join()
        assert planned.find_faults(deployment, schedule.calls, stopped_at) == []
        assert [call.status for call in schedule.calls] == [503] * 4

    deployments.run(tmp_path, scenario, rules=RULES)


def test_a_request_that_crosses_the_end_of_its_connection_is_no_fault(tmp_path):
    """Guards against an interim response after the connection has ended."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.find_work = planned.find_work
        await planned.warm_up(ip, "long")
        stopped_at = time.monotonic() + 0.3
        stopping = await curio.spawn(planned.stop, deployment, ip, stopped_at)
        ended_at = deployments.GRACE_SECONDS * stops.SERVING_FRACTION
        await curio.sleep(stopped_at + ended_at - 0.2 - time.monotonic())
        sock = socket.create_connection((ip, deployments.CALL_PORT))
        # Is being sent when the gateway ends its connections.
        sock.sendall(HALF_HEAD)
        await curio.sleep(stopped_at + ended_at + 0.08 - time.monotonic())
        sock.sendall(b"expect: 100-continue\r\n\r\n")
        await stopping.join()
        sock.close()
        assert deployment.read_events(ip, "fault") == []

    deployments.run(tmp_path, scenario, rules=RULES)


@pytest.mark.parametrize("grace_seconds", [2.0, 6.0, 10.0, 30.0])
def test_calls_are_taken_by_an_estimate_only_while_they_may_be_cut(
    grace_seconds,
):
    """Guards against a late cut where the grace time is long."""
    plan = stops.StopPlan(signalled_at=0.0, grace_seconds=grace_seconds)
    now = LAST_CUT_CALL_SECONDS + 0.01
    while now < grace_seconds:
        assert not plan.accepts_call(
            now=now,
            deadline=grace_seconds,
            estimate_seconds=0.1,
            repeatable=True,
        )
        now += 0.1
