"""System tests of an availability zone that leaves and returns."""

import time

import pytest

import cluster as clusters

ZONE = "a"
# Longest time from accepting the configuration to the last new request.
OUT_SECONDS = 3.0
# How long the test watches the zone after that.
WATCH_SECONDS = 1.0
RETURN_SECONDS = 2.0
LOAD_SECONDS = 0.5 + OUT_SECONDS + WATCH_SECONDS + RETURN_SECONDS


async def find_last_request(cluster, zone):
    """Returns when a zone's servers last got a request, in Unix seconds."""
    states = (await cluster.server_states()).values()
    return max(
        state["last_request_at"] for state in states if state["zone"] == zone
    )


async def check_lookups(cluster, gateways):
    """Checks that no lookup returns a gateway of the zone out of service."""
    own = {item.listen for item in cluster.system.gateways if item.zone == ZONE}
    for gateway in gateways:
        for service in ("catalogue", "ledger"):
            found = await cluster.look_up(gateway, service, ZONE)
            assert found
            assert not own.intersection(found)


@pytest.mark.parametrize("kill", ["none", "home"])
def test_zone_leaves_and_returns(tmp_path, kill):
    """Guards against requests to a zone that is out of service.

    Also guards against failed requests while the zone leaves and returns, and
    against full load on returning servers, which are in cold start.
    """

    async def scenario(cluster):
        home = await cluster.wait_for_home("catalogue", ZONE)
        # A kill resets the connections of callers, which then need retries.
        start = cluster.start_load(
            seconds=LOAD_SECONDS, retries=2 if kill == "home" else 0
        )

        async def has_request():
            return await find_last_request(cluster, ZONE) > start

        await cluster.wait_for(has_request)

        await cluster.system.apply_zones(out=[ZONE])
        accepted_at = time.time()
        if kill == "home":
            cluster.kill(home)
        await clusters.sleep_until(accepted_at + OUT_SECONDS)
        remaining = [
            item
            for item in cluster.system.gateways
            if item.name in cluster.system.processes.names()
        ]
        await check_lookups(cluster, remaining)
        for gateway in remaining:
            if gateway.zone == ZONE:
                response = await cluster.call(gateway, "catalogue")
                assert response.status == 200
        await clusters.sleep_until(accepted_at + OUT_SECONDS + WATCH_SECONDS)
        last = await find_last_request(cluster, ZONE) - accepted_at
        print(f"last request {last:.3f} s after the acceptance")
        assert last <= OUT_SECONDS

        for address in cluster.servers("catalogue", ZONE):
            await cluster.change_server(address, cold=True)
        returned_at = time.time()
        await cluster.system.apply_zones(out=[])
        results = await cluster.finish_load()
        clusters.check_served(results["catalogue"])
        assert await find_last_request(cluster, ZONE) > returned_at
        for counters in (await cluster.server_counters()).values():
            assert not counters.get("cold_overruns")
        effects = await cluster.system.read_effects()
        assert set(effects.values()) <= {1}

    clusters.run(tmp_path, scenario, deployment=clusters.SLOW_DEPLOYMENT)
