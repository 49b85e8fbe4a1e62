"""Tests of processes, of the checks on a run and of the result page."""

import dataclasses
import json
import pathlib
import signal

import curio
import pytest

import banyandale_http as http
from banyandale_standins import _deployments as deployments
from banyandale_standins import _measure as measure
from banyandale_standins import _processes as processes
from banyandale_standins import _reports as reports
from banyandale_standins import _results as results
from banyandale_standins import _system as system


def test_processes_are_stopped_and_unexpected_exits_reported(tmp_path):
    """Guards against processes that outlive a run, and unnoticed exits."""
    running = processes.Processes(folder=tmp_path)
    running.start("standin", ("banyandale_standins", "platform", "--address=x"))
    running._running["standin"].wait(10)
    with pytest.raises(processes.ProcessError, match="ip:port"):
        running.check_running()
    running.start("server", ("http.server", "--bind=127.0.0.1", "0"))
    assert running.is_running("server")
    process = running._running["server"]
    assert running.stop_all()["server"] == -signal.SIGTERM
    assert process.returncode is not None
    assert running.names() == ()


def test_violations_are_found():
    """Guards against a demo that passes in spite of violations."""
    result = results.RunResult()
    reading = system.Reading(
        unix_seconds=0, gateway_cpu=0, gateways={}, backends={}
    )
    result.keys["ok"] = ["a"]
    assert not reports.find_violations(
        result=result, effects={"a": 1}, final_reading=reading
    )
    result.keys["ok"].append("lost")
    result.keys["not-run"] = ["b"]
    result.get_or_create("p", "s").wrong["wrong_body"] = 1
    reading.backends["cold_overruns"] = 1
    found = reports.find_violations(
        result=result, effects={"a": 2, "b": 1}, final_reading=reading
    )
    assert len(found) == 5
    assert all(text.startswith("1 ") for text in found)


def test_second_run_on_the_same_ports_does_not_start(tmp_path):
    """Guards against a run that uses the platform of another run."""

    async def main():
        async with http.open_listener("127.0.0.1:0") as listener:
            port = listener.getsockname()[1]
            running = system.System(
                deployment=dataclasses.replace(deployments.OVERHEAD, port=port),
                gateways=1,
                variant=system.Variant(),
                folder=tmp_path,
            )
            with pytest.raises(system.StartError, match="in use"):
                await running.start()
            assert running.processes.names() == ()

    curio.run(main)


def test_a_start_waits_until_the_backend_servers_answer(tmp_path):
    """Guards against scenarios that begin before their servers listen.

    While two other runs kept the machine busy, the first request to change a
    server failed because its connection was refused.
    """

    async def main():
        running = system.System(
            deployment=deployments.OVERHEAD,
            gateways=1,
            variant=system.Variant(),
            folder=tmp_path,
        )
        asked = []

        async def read_servers(zone):
            asked.append(zone)
            if len(asked) == 1:
                raise http.ConnectError("not listening yet")
            return []

        running.read_servers = read_servers
        await running._wait_for("backend servers", running._servers_respond)
        assert len(asked) == 1 + len(running.deployment.zones)

    curio.run(main)


def make_phase(p99):
    summary = {
        "sent": 100,
        "ok": 99,
        "latency_ms": {"p50": 1.0, "p99": p99, "p999": 9.0},
    }
    return {
        "seconds": 10,
        "gateway_cpu_ms_per_call": 0.5,
        "probes": 0,
        "all": summary,
        "services": {"s": summary},
    }


def test_page_shows_medians(tmp_path: pathlib.Path):
    """Guards against a page that shows means or single runs."""
    runs = [
        {
            "variant": variant,
            "seed": 1,
            "lateness_ms": {"p50": 0.1, "p99": 0.2},
            "violations": [],
            "phases": {name: make_phase(p99) for name in measure.MEASURED},
        }
        for variant, p99 in [("x/y", 5.0), ("x/y", 7.0), ("x/y", 90.0)]
    ]
    raw = {"command": "c", "date": "d", "deployment": "trust", "runs": runs}
    (tmp_path / "measurements").mkdir()
    (tmp_path / "measurements/trust.json").write_text(json.dumps(raw))
    measure.write_page(tmp_path)
    page = (tmp_path / "MEASUREMENTS.md").read_text()
    assert "| x/y | s | 99.00% | 10 | 1.0 | 7.0 | 9.0 |" in page
    assert "3 repeats" in page
    assert (tmp_path / "measurements/trust.png").stat().st_size > 1000
