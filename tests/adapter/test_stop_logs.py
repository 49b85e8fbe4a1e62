"""Tests of what a stopping gateway logs about calls."""

import signal

import curio
import deployments

import banyandale_http as http

RULES = [("/read/", "idempotent", "s", {"timeoutS": 20.0})]


async def send_long_call(deployment, ip, name):
    try:
        response = await deployment.send(
            ip, "/read/x", name=name, deadline_ms=9000
        )
    except http.HttpError:
        return None
    return response.status


def test_a_call_without_an_answer_is_explained(tmp_path):
    """Guards against a call that ends at the exit without any line."""

    async def scenario(deployment, ip):
        await deployment.configure(2, RULES)
        await deployments.wait_until(
            lambda: deployment.read_events(ip, "configuration")[1:]
        )
        for server in deployment.servers:
            server.work_seconds = 10.0
        early = await curio.spawn(send_long_call, deployment, ip, "early")
        await deployments.wait_until(
            lambda: deployment.read_events(ip, "placed")
        )
        process = deployment.processes[ip]
        process.send_signal(signal.SIGTERM)
        await deployments.wait_until(lambda: deployment.read_events(ip, "stop"))
        late = await curio.spawn(send_long_call, deployment, ip, "late")
        await curio.run_in_thread(process.wait, deployments.GRACE_SECONDS)
        await early.join()
        await late.join()
        (accepted,) = deployment.read_events(ip, "accepted_in_stop")
        assert accepted["request"] == "late"
        assert accepted["stopping_seconds"] + accepted["exit_seconds"] < 6
        assert 8 < accepted["remaining"] <= 9
        cuts = deployment.read_events(ip, "cut")
        assert {cut["request"] for cut in cuts} == {"early", "late"}
        assert [cut["attempts"][0]["outcome"] for cut in cuts] == ["open"] * 2

    deployments.run(tmp_path, scenario)
