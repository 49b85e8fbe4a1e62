"""System tests of the load on backend servers in cold start."""

import dataclasses
import signal

import curio
import pytest

import banyandale_standins as standins
import cluster as clusters

SERVICE = "catalogue"
ZONE = "a"
COLD_LIMIT = 1
# Longest time for which requests still arrive that were sent before the gateway
# learned of the server's cold start.
IN_FLIGHT_SECONDS = 0.25
# Time from closing a connection until the server ends its request.
CANCEL_MS = 20.0
# Long enough for many requests to a cold server.
COLD_SECONDS = 2.0
# Time from killing or pausing a holder until its successor takes over; it
# follows from the duration of a lease.
TAKEOVER_SECONDS = 4.0

# Servers stay cold for a fixed time, and are slow enough to exceed the limit.
DEPLOYMENT = dataclasses.replace(
    clusters.DEPLOYMENT,
    cold=standins.ColdSettings(
        limit=COLD_LIMIT,
        factor=3.0,
        warm_requests=1_000_000,
        warm_ms=COLD_SECONDS * 1000,
    ),
)


def run(tmp_path, scenario):
    clusters.run(tmp_path, scenario, deployment=DEPLOYMENT)


async def wait_warm(cluster):
    async def is_warm():
        states = await cluster.server_states()
        return all(state["phase"] == "warm" for state in states.values())

    await cluster.wait_for(is_warm)


async def start_callers(cluster, *, count=12):
    """Starts callers at all gateways, more than a zone has slots."""
    callers = clusters.Callers(
        cluster,
        SERVICE,
        gateways=cluster.system.gateways,
        count=count,
        method=b"GET",
    )
    await callers.start()
    # Lets the homes learn that the servers are warm.
    await curio.sleep(0.5)
    return callers


async def check_limit(cluster, *, addresses=None, allowed_overruns=0):
    """Checks the servers' records of requests above the cold limit.

    Args:
        cluster: The cluster.
        addresses: Servers that must have been cold under load.
        allowed_overruns: Number of requests above the limit that may have been
            sent before the gateway could learn of the cold start.
    """
    states = await cluster.server_states()
    for address in addresses or ():
        assert states[address]["max_cold_in_flight"] > 0, address
    overruns = await cluster.cold_overruns()
    print("overruns", overruns)
    for overrun in overruns:
        age = overrun["signal_age"]
        assert age is None or age < IN_FLIGHT_SECONDS, overrun
    assert len(overruns) <= allowed_overruns, overruns
    for state in states.values():
        assert state["max_cold_in_flight"] <= COLD_LIMIT, state


@pytest.mark.parametrize("platform", ["up", "down"])
@pytest.mark.parametrize("how", ["restart", "silently", "slow"])
def test_server_that_turns_cold_gets_its_limit(tmp_path, how, platform):
    """Guards against full load on a server that restarted without warning.

    `restart` resets and refuses connections, which the gateway notices before
    it can send the next request: no request may exceed the limit. `silently`
    changes only the boot identity: the requests that fill the slots before
    the first response of the new process are already in flight, one above
    the limit for each server; the server's record shows that none came later.
    With `slow`, a warm server becomes slow and reports the phase cold. The
    stand-in then records no overruns, so the test compares the requests in
    flight with the limit.
    """

    async def scenario(cluster):
        await wait_warm(cluster)
        callers = await start_callers(cluster)
        if platform == "down":
            await cluster.set_platform_faults(down=True)
            # The leases expire.
            await curio.sleep(3.5)
        address = cluster.servers(SERVICE, ZONE)[0]
        if how == "slow":
            await cluster.change_server(
                address, slow_factor=10, claim_phase="cold"
            )
            # Requests sent before the first report end within a second.
            await curio.sleep(1.0)
            for _ in range(20):
                states = await cluster.server_states()
                assert states[address]["in_flight"] <= COLD_LIMIT
                await curio.sleep(clusters.POLL_SECONDS)
        elif how == "silently":
            await cluster.change_server(address, cold=True)
        else:
            await cluster.change_server(address, refuse=True)
            await curio.sleep(0.3)
            await cluster.change_server(address, refuse=False)
        if how != "slow":
            await curio.sleep(COLD_SECONDS)
        await callers.stop()
        # Without a lease a home uses only servers that it knows to be warm,
        # so that this one may get nothing while the platform is down.
        reached = how != "slow" and platform == "up"
        await check_limit(
            cluster,
            addresses=(address,) if reached else None,
            allowed_overruns=1 if how == "silently" else 0,
        )

    run(tmp_path, scenario)


@pytest.mark.parametrize("how", ["kill", "pause", "hand_over"])
def test_change_of_home_keeps_the_limit(tmp_path, how):
    """Guards against two homes that both load a server in cold start.

    The servers restart while the holder of their home ends, is paused or hands
    the home over, so that it may still have a request at one. A paused holder
    resumes after another one has taken over, with callers that still wait.
    """

    async def scenario(cluster):
        await wait_warm(cluster)
        callers = await start_callers(cluster)
        home = await cluster.wait_for_home(SERVICE, ZONE)
        addresses = cluster.servers(SERVICE, ZONE)
        waiting = clusters.Callers(
            cluster,
            SERVICE,
            gateways=(home,),
            count=12,
            method=b"GET",
            seconds=10.0,
        )

        async def restart():
            for address in addresses:
                await cluster.change_server(address, refuse=True)
                await cluster.change_server(address, refuse=False)

        await restart()
        await curio.sleep(0.2)
        if how == "kill":
            cluster.kill(home)
        elif how == "pause":
            cluster.pause(home)
            await waiting.start()
        else:
            cluster.system.processes.signal(home.name, signal.SIGTERM)
        await curio.sleep(0.3 * TAKEOVER_SECONDS)
        await restart()
        await curio.sleep(0.6 * TAKEOVER_SECONDS)
        await restart()
        # The new holder uses the cold servers when the old one resumes.
        await curio.sleep(0.3 * TAKEOVER_SECONDS)
        if how == "pause":
            cluster.resume(home)
        await curio.sleep(1.0)
        await waiting.stop()
        await callers.stop()
        await check_limit(cluster, addresses=addresses)

    run(tmp_path, scenario)


def test_resumed_home_does_not_trust_what_it_knew(tmp_path):
    """Guards against outdated server states at a resumed holder.

    While it was paused, the servers restarted without closing connections
    and another gateway took over its home.
    """

    async def scenario(cluster):
        await wait_warm(cluster)
        home = await cluster.wait_for_home(SERVICE, ZONE)
        warm_up = await start_callers(cluster)
        await warm_up.stop()
        cluster.pause(home)
        # These calls wait for the paused gateway, which reads them all at once.
        callers = clusters.Callers(
            cluster,
            SERVICE,
            gateways=(home,),
            count=12,
            method=b"GET",
            seconds=10.0,
        )
        await callers.start()
        await curio.sleep(TAKEOVER_SECONDS)
        for address in cluster.servers(SERVICE, ZONE):
            await cluster.change_server(address, cold=True)
        cluster.resume(home)
        await curio.sleep(1.0)
        await callers.stop()
        await check_limit(cluster)

    run(tmp_path, scenario)


def test_cancelled_request_counts_until_the_server_sees_it(tmp_path):
    """Guards against a second request while a cold server runs the first.

    The callers of all requests to cold servers disconnect early.
    """

    async def scenario(cluster):
        for address in cluster.servers(SERVICE, ZONE):
            await cluster.change_server(
                address, cold=True, slow_factor=20, cancel_ms=CANCEL_MS
            )
        callers = clusters.Callers(
            cluster,
            SERVICE,
            gateways=cluster.system.gateways,
            count=12,
            method=b"GET",
            seconds=0.2,
        )
        await callers.start()
        await curio.sleep(COLD_SECONDS)
        await callers.stop()
        counters = await cluster.server_counters()
        print(
            "cancelled", sum(c.get("cancelled", 0) for c in counters.values())
        )
        await check_limit(cluster)

    run(tmp_path, scenario)
