"""Tests that the load tool measures what callers see."""

import json
import time

import curio

import banyandale_http as http
import banyandale_standins as standins
from banyandale_standins import _load as load


def make_config(**options):
    defaults = {
        "traffic": [{"service": "s", "rate": 100}],
        "phases": [{"name": "p", "seconds": 0.3}],
    }
    return standins.LoadSettings.model_validate({**defaults, **options})


def run_against(answer, **options):
    """Runs load against one HTTP server; `answer(request)` may be async."""

    async def serve(sock):
        connection = http.ServerConnection(sock=sock)
        while request := await connection.read_request(
            limit=1000, idle_deadline=time.monotonic() + 5
        ):
            await connection.send_response(await answer(request))

    async def main():
        listener = http.open_listener("127.0.0.1:0")
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        async def accept():
            while True:
                sock, _ = await listener.accept()
                await curio.spawn(serve, sock, daemon=True)

        await curio.spawn(accept, daemon=True)
        if "gateways" in options:
            options["gateways"] = ["127.0.0.1:1", address]
        else:
            options["targets"] = {"s": [address]}
        config = make_config(**options)
        return address, await standins.run_load(config=config)

    return curio.run(main)


def make_body(target):
    generator = standins.BodyGenerator(min_bytes=10, max_bytes=20, seed=1)
    return generator.make(target, load.random.Random(1))


def test_plan_repeats_and_follows_rates():
    """Guards against different loads in runs that are compared."""
    options = {
        "traffic": [
            {"service": "s", "rate": 300},
            {"service": "t", "rate": 100},
        ],
        "phases": [
            {"name": "low", "seconds": 5},
            {"name": "high", "seconds": 5, "factor": 2},
        ],
    }
    plan = load.plan_arrivals(make_config(**options))
    assert plan == load.plan_arrivals(make_config(**options))
    assert plan != load.plan_arrivals(make_config(seed=2, **options))
    times = [arrival.at for arrival in plan]
    assert times == sorted(times)
    low = [arrival for arrival in plan if arrival.phase == "low"]
    assert all(arrival.at < 5 for arrival in low)
    assert 1800 < len(low) < 2200
    assert 3600 < len(plan) - len(low) < 4400
    share = sum(a.traffic.service == "s" for a in plan) / len(plan)
    assert 0.7 < share < 0.8


def test_latency_counts_from_intended_time():
    """Guards against coordinated omission: a stall that hides its latency."""

    calls = []

    async def answer(request):
        calls.append(request)
        if len(calls) == 1:
            time.sleep(0.25)  # Also blocks the load tool in this loop.
        return http.Response(status=200, body=make_body(request.target))

    _, result = run_against(answer)
    service = result.services["p"]["s"]
    assert service.ok == service.sent > 10
    # Most calls were planned for the time of the stall.
    assert service.latency.summarize()["p50"] > 50
    assert result.lateness.summarize()["p50"] > 50


def test_outcomes_are_told_apart():
    """Guards against rejections or wrong bodies counted as ok."""
    calls = []

    async def answer(request):
        calls.append(request)
        kind = len(calls) % 4
        if kind == 1:
            headers = (
                (b"banyandale-reason", b"queue_full"),
                (b"banyandale-run", b"not-run"),
            )
            return http.Response(status=503, headers=headers)
        if kind == 2:
            return http.Response(status=500)
        target = request.target if kind == 3 else b"/other"
        return http.Response(status=200, body=make_body(target))

    traffic = {"service": "s", "rate": 100, "method": "POST", "keyed": True}
    _, result = run_against(answer, traffic=[traffic])
    service = result.services["p"]["s"]
    assert len(calls) == service.sent > 10
    assert service.rejected["queue_full:not-run"] > 0
    assert service.failed["status_500"] > 0
    assert service.wrong["wrong_body"] > 0
    keys = [request.header(b"idempotency-key").decode() for request in calls]
    known = [key for outcome in result.keys.values() for key in outcome]
    assert sorted(known) == sorted(set(keys))
    assert len(result.keys["not-run"]) == service.rejected.total()
    assert len(result.keys["ok"]) == service.ok


def test_lookup_is_cached_and_falls_back():
    """Guards against calls that fail if the first address is unreachable."""
    lookups = []

    async def answer(request):
        if not request.target.startswith(b"/v1/addresses"):
            return http.Response(status=200, body=make_body(request.target))
        lookups.append(request.target)
        page = {
            "addresses": ["127.0.0.1:1", request.header(b"host").decode()],
            "valid_until": time.time() + 0.15,
        }
        return http.Response(status=200, body=json.dumps(page).encode())

    _, result = run_against(answer, gateways=[], zone="a")
    service = result.services["p"]["s"]
    assert service.ok == service.sent > 10
    assert lookups[0] == b"/v1/addresses?service=s&zone=a"
    assert 2 <= len(lookups) <= 4
    assert result.counters["fallbacks"] == service.sent


def test_merge_adds_counts_and_latencies():
    """Guards against percentiles that are averaged between processes."""
    parts = []
    for seconds in (0.001, 0.1):
        part = load.results.RunResult()
        service = part.get_or_create("p", "s")
        service.sent = service.ok = 100
        service.rejected["full:not-run"] = 1
        for _ in range(100):
            service.latency.record(seconds)
        parts.append(json.loads(json.dumps(part.to_json())))
    merged = load.results.merge(parts).total("p")
    assert (merged.sent, merged.rejected["full:not-run"]) == (200, 2)
    summary = merged.latency.summarize()
    assert 0.9 < summary["p50"] < 1.1
    assert 99 < summary["p99"] < 101
