"""System tests of backend servers that leave."""

import time

import pytest

import cluster as clusters

SERVICE = "catalogue"
ZONE = "a"
# Longest time from the announcement to the last new request.
LEAVE_SECONDS = 3.0
# How long the test watches the server after that; another gateway takes over
# a home within this time.
WATCH_SECONDS = 3.5
LOAD_SECONDS = 1.0 + LEAVE_SECONDS + WATCH_SECONDS


async def announce(cluster, source, address):
    """Announces through one source that a server is leaving."""
    if source == "header":
        await cluster.change_server(address, leaving=True)
    elif source == "vm_list":
        await cluster.write_vm_list(leaving={address})
    else:
        document = cluster.system.deployment.build_document()
        for service in document["services"]:
            for server in service["servers"]:
                if server["address"] == address:
                    server["state"] = "leaving"
        await cluster.system.apply_document(document, message="leaving")


@pytest.mark.parametrize("kill", ["none", "home"])
@pytest.mark.parametrize("source", ["header", "vm_list", "document"])
def test_leaving_server_gets_no_new_work(tmp_path, source, kill):
    """Guards against new requests to a leaving server.

    A gateway that takes over a home does not know what the servers reported
    to the previous holder.
    """

    async def scenario(cluster):
        address, other = cluster.servers(SERVICE, ZONE)
        home = await cluster.wait_for_home(SERVICE, ZONE)
        start = cluster.start_load(
            seconds=LOAD_SECONDS, retries=2 if kill == "home" else 0
        )

        async def has_request():
            states = await cluster.server_states()
            return states[address]["last_request_at"] > start

        await cluster.wait_for(has_request)

        announced_at = time.time()
        await announce(cluster, source, address)
        if kill == "home":
            cluster.kill(home)
        await clusters.sleep_until(announced_at + LEAVE_SECONDS + WATCH_SECONDS)
        states = await cluster.server_states()
        last = states[address]["last_request_at"] - announced_at
        print(f"last request {last:.3f} s after the announcement by {source}")
        assert last <= LEAVE_SECONDS
        # The zone still has a home.
        assert states[other]["last_request_at"] > announced_at + LEAVE_SECONDS
        results = await cluster.finish_load()
        clusters.check_served(results[SERVICE])

    clusters.run(tmp_path, scenario, deployment=clusters.SLOW_DEPLOYMENT)


def test_idle_leaving_server_gets_no_new_work(tmp_path):
    """Guards against learning of a leaving server only by the next request."""

    async def scenario(cluster):
        home = await cluster.wait_for_home(SERVICE, ZONE)
        address, other = cluster.servers(SERVICE, ZONE)
        for _ in range(20):
            await cluster.call(home, SERVICE)
        announced_at = time.time()
        await cluster.change_server(address, leaving=True)
        await clusters.sleep_until(announced_at + LEAVE_SECONDS)
        for _ in range(20):
            response = await cluster.call(home, SERVICE)
            assert response.status == 200
        states = await cluster.server_states()
        assert states[address]["last_request_at"] < announced_at + LEAVE_SECONDS
        assert states[other]["last_request_at"] > announced_at + LEAVE_SECONDS

    clusters.run(tmp_path, scenario, deployment=clusters.SLOW_DEPLOYMENT)
