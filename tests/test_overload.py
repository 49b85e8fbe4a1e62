"""System tests of overload that do not depend on the machine's speed."""

import collections

import curio

import banyandale_standins as standins
import cluster as clusters

FLOOD_CALLS = 120
HIGH_PRIORITY_CALLS = 20
QUEUE_LIMIT = 4
RETRY_RATIO = 0.1
# Initial retry tokens of a service at each gateway.
RETRY_RESERVE = 3
FAILING_CALLS = 90
CALLER_RETRIES = 30

DEPLOYMENT = standins.Deployment(
    name="overload",
    zones=("a", "b", "c"),
    gateways=3,
    connections=200,
    services=(
        standins.ServicePlan(
            name="tracker",
            servers=3,
            priority=7,
            profile=standins.ServiceProfile(mean_ms=300, sigma=0),
            method="POST",
        ),
        standins.ServicePlan(
            name="catalogue",
            servers=6,
            priority=0,
            profile=standins.ServiceProfile(mean_ms=10),
        ),
    ),
    cold=standins.ColdSettings(warm_requests=0),
    neighbours=standins.EpisodeSettings(share=0),
)


async def count(cluster, service, counter):
    """Returns a counter of all servers of a service."""
    states = (await cluster.server_states()).values()
    return sum(
        state["counters"].get(counter, 0)
        for state in states
        if state["service"] == service
    )


def test_queues_are_bounded_and_refusals_are_true(tmp_path):
    """Guards against unbounded queues and wrong run marks under overload.

    A service of low priority gets far more calls than its servers can handle;
    another service must still be served by the same gateways.
    """

    async def scenario(cluster):
        document = cluster.system.deployment.build_document()
        document["services"][0]["queue_limit"] = QUEUE_LIMIT
        await cluster.system.apply_document(document, message="short queue")
        await cluster.system.wait_in_force()
        results = collections.Counter()
        queued = []
        gateways = cluster.system.gateways

        async def flood(number):
            response = await cluster.call(
                gateways[number % 3], "tracker", method=b"POST"
            )
            if response.status == 200:
                results["ok"] += 1
            else:
                results[clusters.read_reason(response)] += 1

        async def watch():
            while True:
                for gateway in gateways:
                    page = await cluster.status(gateway)
                    queued.extend(
                        home["queued"]
                        for home in page["homes"]
                        if home["service"] == "tracker"
                    )
                await curio.sleep(0.02)

        watcher = await curio.spawn(watch, daemon=True)
        tasks = [
            await curio.spawn(flood, number) for number in range(FLOOD_CALLS)
        ]
        for number in range(HIGH_PRIORITY_CALLS):
            response = await cluster.call(gateways[number % 3], "catalogue")
            assert response.status == 200
        for task in tasks:
            await task.join()
        await watcher.cancel()
        executed = await count(cluster, "tracker", "executed")
        print(dict(results), "executed", executed, "queued", max(queued))
        assert max(queued) <= QUEUE_LIMIT
        assert results["not-run", "queue_full"] > 0
        assert {key for key in results if key != "ok"} <= {
            ("not-run", "queue_full"),
            ("not-run", "deadline_unreachable"),
            # Refused by the queues of homes at several peers.
            ("not-run", "home_busy"),
        }
        assert sum(results.values()) == FLOOD_CALLS
        assert executed == results["ok"]

    clusters.run(tmp_path, scenario, deployment=DEPLOYMENT, gateways=3)


def test_retries_stay_within_the_budget(tmp_path):
    """Guards against retries that multiply the load of failing servers."""

    async def scenario(cluster):
        document = cluster.system.deployment.build_document()
        document["services"][1]["retry_ratio"] = RETRY_RATIO
        document["services"][1]["hedge_ratio"] = 0.0
        await cluster.system.apply_document(document, message="retries")
        await cluster.system.wait_in_force()
        for zone in DEPLOYMENT.zones:
            for address in cluster.servers("catalogue", zone):
                await cluster.change_server(address, fault="truncate")
        before = await count(cluster, "catalogue", "requests")
        gateways = cluster.system.gateways
        for number in range(FAILING_CALLS):
            response = await cluster.call(gateways[number % 3], "catalogue")
            assert response.status != 200
            run_mark, _ = clusters.read_reason(response)
            assert run_mark in ("not-run", "unknown")
        attempts = await count(cluster, "catalogue", "requests") - before
        allowed = FAILING_CALLS * (1 + RETRY_RATIO) + 3 * RETRY_RESERVE
        print(f"{attempts} attempts of {FAILING_CALLS}, allowed {allowed}")
        assert attempts > FAILING_CALLS
        assert attempts <= round(allowed)
        # Gateways do not retry a request that is itself a caller's retry.
        before = await count(cluster, "catalogue", "requests")
        for number in range(CALLER_RETRIES):
            await cluster.call(
                gateways[number % 3],
                "catalogue",
                headers=((b"request-attempt", b"2"),),
            )
        attempts = await count(cluster, "catalogue", "requests") - before
        assert attempts <= CALLER_RETRIES

    clusters.run(tmp_path, scenario, deployment=DEPLOYMENT, gateways=3)
