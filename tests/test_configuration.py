"""System tests of the configuration in force."""

import contextlib
import dataclasses
import json
import time

import curio
import pytest

import banyandale_http as http
import cluster as clusters

# Longest time from accepting a configuration until all gateways use it.
IN_FORCE_SECONDS = 7.0
WATCH_SECONDS = 0.1
# A gateway that was paused longer than this may lose its lease.
PAUSE_SECONDS = 1.0
OPERATOR_COUNT = 3
OPERATOR_SECONDS = 20.0
EXIT_CONFLICT = 4
LOST_RESPONSES = 10


class Generations:
    """Records the generations in force at gateways and detects decreases."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._highest = {}
        self.decreases = []

    async def read(self, gateway):
        """Returns the generation in force at a gateway, or None."""
        try:
            page = await self._cluster.status(gateway)
        except http.HttpError:
            return None
        generation = page["generation"]
        # A new process starts without any configuration.
        key = page["boot"]
        if generation < self._highest.get(key, 0):
            self.decreases.append((gateway.name, generation))
        self._highest[key] = max(generation, self._highest.get(key, 0))
        return generation

    async def watch(self, gateways):
        """Reads all generations until cancelled."""
        while True:
            for gateway in gateways:
                await self.read(gateway)
            await curio.sleep(WATCH_SECONDS)

    async def wait(self, gateways, generation, *, since):
        """Waits until a generation is in force; returns the seconds."""

        async def is_in_force():
            found = [await self.read(gateway) for gateway in gateways]
            return found == [generation] * len(found)

        limit = since + IN_FORCE_SECONDS - time.monotonic()
        await self._cluster.wait_for(is_in_force, seconds=limit)
        return time.monotonic() - since


@contextlib.asynccontextmanager
async def watch_generations(cluster, gateways):
    """Watches the generations of gateways; fails if any decreased."""
    generations = Generations(cluster)
    task = await curio.spawn(generations.watch, gateways, daemon=True)
    try:
        yield generations
    finally:
        await task.cancel()
    assert not generations.decreases


async def warm_up(cluster):
    """Sends requests until the catalogue's servers of all zones are warm."""
    for gateway in cluster.system.gateways[:3]:
        for _ in range(20):
            await cluster.call(gateway, "catalogue")


def change_document(cluster, queue_limit):
    document = cluster.system.deployment.build_document()
    document["services"][0]["queue_limit"] = queue_limit
    return document


async def apply(cluster, queue_limit):
    return await cluster.system.apply_document(
        change_document(cluster, queue_limit), message="test"
    )


def test_outage_right_after_the_acceptance(tmp_path):
    """Guards against gateways that miss a change because of an outage.

    Only one gateway gets the change before the platform fails. One of the
    others is killed and restarted during the outage.
    """

    async def scenario(cluster):
        gateways = cluster.system.gateways
        first, restarted = gateways[0], gateways[-1]
        await warm_up(cluster)
        async with watch_generations(cluster, gateways[:1]) as generations:
            for gateway in gateways[1:]:
                cluster.pause(gateway)
            accepted_at = time.monotonic()
            generation = await apply(cluster, 150)
            await generations.wait([first], generation, since=accepted_at)
            await cluster.set_platform_faults(down=True)
            for gateway in gateways[1:]:
                cluster.resume(gateway)
            assert time.monotonic() < accepted_at + PAUSE_SECONDS
            seconds = await generations.wait(
                gateways, generation, since=accepted_at
            )
            print(f"in force from one gateway in {seconds:.3f} s")

        async with watch_generations(cluster, gateways) as generations:
            cluster.kill(restarted)
            started_at = time.monotonic()
            cluster.system.start_gateway(
                restarted, peers=[item.peer_advertise for item in gateways[:2]]
            )
            seconds = await generations.wait(
                [restarted], generation, since=started_at
            )
            print(f"restarted gateway in {seconds:.3f} s")
            response = await cluster.call(restarted, "catalogue")
            assert response.status == 200
            await cluster.set_platform_faults(down=False)
            accepted_at = time.monotonic()
            generation = await apply(cluster, 160)
            seconds = await generations.wait(
                gateways, generation, since=accepted_at
            )
            print(f"after the outage in {seconds:.3f} s")

    clusters.run(tmp_path, scenario)


def test_new_gateway_starts_while_the_platform_is_down(tmp_path):
    """Guards against a new gateway that needs the platform to start."""

    async def scenario(cluster):
        known = cluster.system.gateways
        planned = cluster.system.deployment.plan_gateways(len(known) + 1)[-1]
        # The relay has no route to the new gateway.
        new = dataclasses.replace(planned, peer_advertise=planned.peer_listen)
        await warm_up(cluster)
        generation = await apply(cluster, 150)
        await cluster.system.wait_in_force()
        await cluster.set_platform_faults(down=True)
        started_at = time.monotonic()
        cluster.system.start_gateway(
            new, peers=[item.peer_advertise for item in known[:2]]
        )
        async with watch_generations(cluster, (*known, new)) as generations:
            seconds = await generations.wait(
                [new], generation, since=started_at
            )
            print(f"new gateway in {seconds:.3f} s")
            response = await cluster.call(new, "catalogue")
            assert response.status == 200

            await cluster.set_platform_faults(down=False)

            async def is_linked():
                page = await cluster.status(new)
                linked = [p for p in page["peers"] if not p["suspected"]]
                return page["lease"] and len(linked) == len(known)

            await cluster.wait_for(is_linked)
            accepted_at = time.monotonic()
            generation = await apply(cluster, 160)
            await generations.wait((*known, new), generation, since=accepted_at)

    clusters.run(tmp_path, scenario, gateways=5)


def test_lost_write_responses(tmp_path):
    """Guards against a change that is lost or applied twice.

    The writes take effect, but the operator and the gateways get no response.
    """

    async def scenario(cluster):
        gateways = cluster.system.gateways
        async with watch_generations(cluster, gateways) as generations:
            # A change of zones writes only the root. Writing parts would use
            # up the lost responses before the root is written.
            for number, out in enumerate((["c"], []), start=2):
                await cluster.set_platform_faults(
                    lose_write_responses=LOST_RESPONSES
                )
                accepted_at = time.monotonic()
                assert await cluster.system.apply_zones(out=out) == number
                seconds = await generations.wait(
                    gateways, number, since=accepted_at
                )
                print(f"in force in {seconds:.3f} s")

    clusters.run(tmp_path, scenario)


@pytest.mark.parametrize("lost", [0, LOST_RESPONSES])
def test_three_operators_race(tmp_path, lost):
    """Guards against concurrent changes that are both reported as applied."""

    async def scenario(cluster):
        gateways = cluster.system.gateways
        processes = cluster.system.processes
        async with watch_generations(cluster, gateways) as generations:
            await cluster.set_platform_faults(lose_write_responses=lost)
            names = [f"operator-{number}" for number in range(OPERATOR_COUNT)]
            for number, name in enumerate(names):
                path = tmp_path / f"{name}.json"
                document = change_document(cluster, 150 + number)
                path.write_text(json.dumps(document))
                platform = cluster.system.deployment.platform_address()
                processes.start(
                    name,
                    ("banyandale", "config", "apply", str(path), "--base=1"),
                    environment={"BANYANDALE_PLATFORM": platform},
                )

            async def have_ended():
                return not any(map(processes.is_running, names))

            await cluster.wait_for(have_ended, seconds=OPERATOR_SECONDS)
            ended_at = time.monotonic()
            statuses = {
                name: processes.wait(name, deadline=time.monotonic() + 1)
                for name in names
            }
            logs = {name: processes.read_log(name) for name in names}
            assert sorted(statuses.values()) == [
                0,
                EXIT_CONFLICT,
                EXIT_CONFLICT,
            ], logs
            accepted = next(name for name in names if statuses[name] == 0)
            limit = str(150 + names.index(accepted))
            for name in names:
                if name != accepted:
                    # A rejected operator sees what the accepted one changed.
                    assert "queue_limit" in logs[name]
                    assert limit in logs[name]
            await generations.wait(gateways, 2, since=ended_at)

    clusters.run(tmp_path, scenario)
