"""Tests of a store that comes back from an older copy, with real processes."""

import signal

import curio
import deployments

GATEWAYS = ("127.0.7.1", "127.0.7.2", "127.0.7.3")
# From the requirement: time until a confirmed configuration is in force.
IN_FORCE_SECONDS = 2.0
RULES_2 = [*deployments.RULES, ("/new2/", "idempotent", "s", {})]
RULES_3 = [*RULES_2, ("/new3/", "idempotent", "s", {})]


async def get_statuses(deployment, ips, path):
    return [(await deployment.send(ip, path)).status for ip in ips]


async def wait_until_served(deployment, ips, path):
    for _ in range(100):
        if set(await get_statuses(deployment, ips, path)) == {200}:
            return
        await curio.sleep(0.02)
    raise AssertionError(f"{path} is not served everywhere")


async def restore_store(deployment, copy, *, down_seconds=0.5):
    """Lets the store come back from a copy, as after its loss."""
    deployment.store.refusing = True
    await curio.sleep(down_seconds)
    await deployment.store.restore(copy)
    deployment.store.refusing = False


def test_a_new_configuration_is_in_force_after_the_store_was_restored(
    tmp_path,
):
    """Guards against replicas that ignore a store whose versions went back."""

    async def scenario(deployment, *ips):
        copy = deployment.store.store.copy()
        await deployment.configure(2, RULES_2)
        for server in deployment.servers:
            await deployment.register(server, note="later")
        await wait_until_served(deployment, ips, "/new2/x")
        await restore_store(deployment, copy)
        await curio.sleep(0.5)
        # What was in force before is still in force.
        assert set(await get_statuses(deployment, ips, "/new2/x")) == {200}
        await deployment.configure(2, RULES_2)
        await curio.sleep(0.5)
        assert set(await get_statuses(deployment, ips, "/new2/x")) == {200}
        await deployment.configure(3, RULES_3)
        await curio.sleep(IN_FORCE_SECONDS)
        assert set(await get_statuses(deployment, ips, "/new3/x")) == {200}
        assert set(await get_statuses(deployment, ips, "/new2/x")) == {200}

    deployments.run(tmp_path, scenario, GATEWAYS)


def test_versions_that_are_given_out_again_are_not_mixed_up(tmp_path):
    """Guards against a watch that continues in another history.

    The store is back, and past the version that the gateways hold, before they
    ask again. The configuration was written at a version below that.
    """

    async def scenario(deployment, *ips):
        copy = deployment.store.store.copy()
        for server in deployment.servers:
            await deployment.register(server, note="later")
        # Longer than a watch, so that all kinds are held at the last version.
        await curio.sleep(2.0)
        deployment.store.refusing = True
        await curio.sleep(0.5)
        await deployment.store.restore(copy)
        await deployment.configure(3, RULES_3)
        for number in range(10):
            await deployment.register(deployment.servers[0], note=str(number))
        deployment.store.refusing = False
        await curio.sleep(IN_FORCE_SECONDS)
        assert set(await get_statuses(deployment, ips, "/new3/x")) == {200}

    deployments.run(tmp_path, scenario, GATEWAYS)


def test_a_gateway_that_starts_after_a_restore_serves_what_was_confirmed(
    tmp_path,
):
    """Guards against a start that brings back an older configuration."""

    async def scenario(deployment, *ips):
        copy = deployment.store.store.copy()
        await deployment.configure(2, RULES_2)
        await wait_until_served(deployment, ips, "/new2/x")
        await restore_store(deployment, copy)
        await curio.sleep(0.5)
        started = "127.0.7.4"
        deployment.start_gateway(started)
        await deployment.wait_ready(started)
        await curio.sleep(IN_FORCE_SECONDS)
        everyone = (*ips, started)
        assert set(await get_statuses(deployment, everyone, "/new2/x")) == {200}

    deployments.run(tmp_path, scenario, GATEWAYS[:2])


def test_a_gateway_that_was_frozen_does_not_bring_back_the_old_history(
    tmp_path,
):
    """Guards against versions of before the restore that pass for newer."""

    async def scenario(deployment, *ips):
        copy = deployment.store.store.copy()
        for server in deployment.servers:
            await deployment.register(server, note="later")
        await deployment.configure(2, RULES_2)
        await wait_until_served(deployment, ips, "/new2/x")
        frozen = deployment.processes[ips[0]]
        frozen.send_signal(signal.SIGSTOP)
        await restore_store(deployment, copy)
        await deployment.configure(2, RULES_2)
        await deployment.configure(3, RULES_3)
        await wait_until_served(deployment, ips[1:], "/new3/x")
        frozen.send_signal(signal.SIGCONT)
        for _ in range(20):
            statuses = await get_statuses(deployment, ips[1:], "/new3/x")
            assert set(statuses) == {200}
            await curio.sleep(IN_FORCE_SECONDS / 20)
        assert set(await get_statuses(deployment, ips, "/new3/x")) == {200}

    deployments.run(tmp_path, scenario, GATEWAYS)
