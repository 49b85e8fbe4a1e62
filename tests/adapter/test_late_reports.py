"""Tests of load reports that come late, as on a busy machine."""

import time

import curio
import deployments

CALLS = 30
# Longer than the gateway waits for a report before it asks other servers.
REPORT_SECONDS = 0.2
# A call that no server can get is refused within this time.
REFUSED_SECONDS = 1.0
# The same once no server has reported for seconds.
HANGING_SECONDS = 0.25


async def send_calls(deployment, ip):
    """Returns status and duration of calls, in the order of their start."""
    answers = [None] * CALLS

    async def send(number, name):
        sent_at = time.monotonic()
        response = await deployment.send(ip, f"/{name}", name=name)
        answers[number] = response.status, time.monotonic() - sent_at

    tasks = []
    for number in range(CALLS):
        path = "read" if number % 2 else "write"
        tasks.append(await curio.spawn(send, number, f"{path}/{number}"))
        await curio.sleep(0.05)
    for task in tasks:
        await task.join()
    return answers


def test_late_reports_do_not_mean_that_there_is_no_server(tmp_path):
    """Guards against calls refused as servers are slow to report."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.report_seconds = REPORT_SECONDS
        answers = await send_calls(deployment, ip)
        assert [status for status, _ in answers] == [200] * CALLS

    deployments.run(tmp_path, scenario)


def test_servers_that_never_report_do_not_hold_calls(tmp_path):
    """Guards against calls that wait for servers that hang."""

    async def scenario(deployment, ip):
        for server in deployment.servers:
            server.report_seconds = 10.0
        answers = await send_calls(deployment, ip)
        assert max(seconds for _, seconds in answers[3:]) < REFUSED_SECONDS
        await curio.sleep(1.0)
        answers = await send_calls(deployment, ip)
        assert {status for status, _ in answers} == {503}
        assert max(seconds for _, seconds in answers) < HANGING_SECONDS

    deployments.run(tmp_path, scenario)
