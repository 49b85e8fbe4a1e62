"""System tests of refusals that are marked "not run".

Every request has a unique id. Requests that were refused as not run are
compared with the record of executed requests at the backend stand-ins.
"""

import time

import curio

import banyandale_http as http
import cluster as clusters

SERVICE = "ledger"
ZONES = ("a", "b", "c")
# Longest time until a keyed request is refused while the platform is down.
REFUSE_SECONDS = 1.0


def all_servers(cluster, service=SERVICE):
    return [
        address for zone in ZONES for address in cluster.servers(service, zone)
    ]


async def change_all(cluster, **change):
    for address in all_servers(cluster):
        await cluster.change_server(address, **change)


async def run_callers(
    cluster, cause_failures, *, label, service=SERVICE, **options
):
    """Calls at all gateways until `cause_failures` returns."""
    options.setdefault("gateways", cluster.system.gateways)
    callers = clusters.Callers(cluster, service, label=label, **options)
    await callers.start()
    await cause_failures()
    await callers.stop()
    return callers


async def check_not_run_marks(cluster, callers):
    """Checks that no request that was refused as not run was executed."""
    effects = await cluster.system.read_effects()
    not_run = [item for item in callers.failures if item.run == "not-run"]
    print(len(callers.served), "served", callers.count_reasons())
    wrongly_marked = [item for item in not_run if item.name in effects]
    assert not wrongly_marked
    assert max(effects.values(), default=0) <= 1
    assert all(effects.get(name) == 1 for name in callers.served)


async def check_counters(cluster, all_callers):
    """Checks that gateways counted each refusal reason that callers got."""
    counted = {}
    for page in await cluster.system.read_statuses():
        for name, count in page["counters"].items():
            counted[name] = counted.get(name, 0) + count
    seen = {}
    for callers in all_callers:
        for item in callers.failures:
            if item.reason is not None:
                name = f"refused.{item.reason}"
                seen[name] = seen.get(name, 0) + 1
    print("reasons", seen)
    assert seen
    for name, count in seen.items():
        assert counted.get(name, 0) >= count, name


def test_server_faults(tmp_path):
    """Guards against "not run" after a byte reached a backend server."""

    async def scenario(cluster):
        async def refuse():
            await change_all(cluster, refuse=True)
            await curio.sleep(0.5)
            await change_all(cluster, refuse=False)

        async def reset():
            await change_all(cluster, slow_factor=5)
            for _ in range(4):
                await curio.sleep(0.3)
                await change_all(cluster, refuse=True)
                await change_all(cluster, refuse=False)
            await change_all(cluster, slow_factor=1)

        def inject_fault(fault):
            async def send():
                await change_all(cluster, fault=fault, fault_ratio=0.5)
                await curio.sleep(0.5)
                await change_all(cluster, fault="none")

            return send

        async def time_out():
            await change_all(cluster, slow_factor=20)
            await curio.sleep(0.5)
            await change_all(cluster, slow_factor=1)

        async def silence_temporarily():
            await change_all(cluster, silence="all")
            await curio.sleep(0.3)
            await change_all(cluster, silence="none")

        kinds = (
            ("refuse", refuse, {}),
            ("reset", reset, {}),
            ("truncate", inject_fault("truncate"), {}),
            ("cross", inject_fault("cross"), {}),
            ("time_out", time_out, {"deadline_ms": 100}),
            ("silent", silence_temporarily, {"deadline_ms": 200}),
        )
        all_callers = []
        for label, cause_failures, options in kinds:
            print(label)
            callers = await run_callers(
                cluster, cause_failures, label=label, **options
            )
            await check_not_run_marks(cluster, callers)
            assert callers.failures, label
            all_callers.append(callers)
        await check_counters(cluster, all_callers)

    clusters.run(tmp_path, scenario)


def test_shed_response_to_another_request(tmp_path):
    """Guards against trusting a shed response to another request.

    The gateway used to report "not run" and to run the request again at
    another server.
    """

    async def scenario(cluster):
        late = ((b"request-deadline", b"1000"), (b"effect-id", b"late"))
        await change_all(cluster, fault="cross", fault_ratio=1.0)
        for address in all_servers(cluster):
            deadline = time.monotonic() + clusters.CALL_SECONDS
            connection = await http.ClientConnection.open(
                address=address, deadline=deadline
            )
            await connection.exchange(
                http.Request(method=b"POST", target=b"/item", headers=late),
                limit=clusters.MAX_BODY_BYTES,
                deadline=deadline,
            )
            await connection.close()
        response = await cluster.call(
            cluster.system.gateways[0],
            SERVICE,
            method=b"POST",
            headers=((b"effect-id", b"own"),),
        )
        effects = await cluster.system.read_effects()
        assert effects["own"] == 1
        assert clusters.read_reason(response)[0] == "unknown"

    clusters.run(tmp_path, scenario, gateways=3)


def test_overload_and_deadlines(tmp_path):
    """Guards against running requests that a queue refused."""

    async def scenario(cluster):
        document = cluster.system.deployment.build_document()
        for service in document["services"]:
            service["queue_limit"] = 2
        await cluster.system.apply_document(document, message="short queues")
        await cluster.system.wait_in_force()
        await change_all(cluster, slow_factor=3)
        all_callers = []
        for label, deadline_ms in (("full", 2000), ("late", 150)):
            callers = await run_callers(
                cluster,
                lambda: curio.sleep(1.5),
                label=label,
                count=36,
                deadline_ms=deadline_ms,
            )
            await check_not_run_marks(cluster, callers)
            assert any(item.run == "not-run" for item in callers.failures)
            all_callers.append(callers)
        await check_counters(cluster, all_callers)

    clusters.run(tmp_path, scenario)


def test_peer_links(tmp_path):
    """Guards against "not run" after a request was sent to a peer."""

    async def scenario(cluster):
        await change_all(cluster, slow_factor=5)

        async def cut():
            for _ in range(3):
                await curio.sleep(0.3)
                await cluster.change_link("a", "cut")
                await curio.sleep(0.2)
                await cluster.change_link("a", "up")

        async def silence_temporarily():
            await curio.sleep(0.5)
            await cluster.change_link("a", "silent_open")
            await curio.sleep(0.5)
            await cluster.change_link("a", "silent")
            await curio.sleep(1.0)
            await cluster.change_link("a", "up")

        all_callers = []
        for label, cause_failures in (
            ("cut", cut),
            ("silent", silence_temporarily),
        ):
            callers = await run_callers(
                cluster, cause_failures, label=label, count=12
            )
            await check_not_run_marks(cluster, callers)
            all_callers.append(callers)
        assert any(callers.failures for callers in all_callers)
        await check_counters(cluster, all_callers)

    clusters.run(tmp_path, scenario)


def test_killed_home(tmp_path):
    """Guards against "not run" for requests that a killed gateway had sent."""

    async def scenario(cluster):
        await change_all(cluster, slow_factor=5)
        homes = [await cluster.wait_for_home(SERVICE, zone) for zone in ZONES]
        names = {home.name for home in homes}
        others = [
            gateway
            for gateway in cluster.system.gateways
            if gateway.name not in names
        ]

        async def kill():
            await curio.sleep(0.5)
            for name in sorted(names)[:2]:
                home = next(item for item in homes if item.name == name)
                cluster.kill(home)
                await curio.sleep(0.5)

        callers = await run_callers(
            cluster, kill, label="kill", count=24, gateways=others
        )
        await check_not_run_marks(cluster, callers)
        assert any(item.run == "unknown" for item in callers.failures)

    clusters.run(tmp_path, scenario)


def test_platform_down(tmp_path):
    """Guards against keyed requests that run, or wait, without a claim."""

    async def scenario(cluster):
        await cluster.set_platform_faults(down=True)
        for number, gateway in enumerate(cluster.system.gateways):
            start = time.monotonic()
            response = await cluster.call(
                gateway,
                SERVICE,
                method=b"POST",
                headers=((b"idempotency-key", b"down-%d" % number),),
            )
            elapsed = time.monotonic() - start
            print(f"refused after {elapsed:.3f} s")
            assert elapsed < REFUSE_SECONDS
            assert clusters.read_reason(response) == (
                "not-run",
                "claims_unavailable",
            )
        assert not await cluster.system.read_effects()

    clusters.run(tmp_path, scenario)


def test_not_run_after_an_earlier_attempt(tmp_path):
    """Guards against "not run" from the last attempt when the first one ran.

    Of each zone's two servers one runs requests and truncates the responses,
    the other one refuses connections. Gateways may retry the requests.
    """
    service = "catalogue"

    async def scenario(cluster):
        document = cluster.system.deployment.build_document()
        for item in document["services"]:
            item["idempotent_methods"] = ["POST"]
        await cluster.system.apply_document(document, message="repeatable")
        await cluster.system.wait_in_force()
        for zone in ZONES:
            first, second = cluster.servers(service, zone)
            await cluster.change_server(first, fault="truncate")
            await cluster.change_server(second, refuse=True)
        callers = await run_callers(
            cluster,
            lambda: curio.sleep(2.0),
            label="repeated",
            service=service,
            deadline_ms=1000,
        )
        effects = await cluster.system.read_effects()
        print(callers.count_reasons())
        assert any(item.name in effects for item in callers.failures)
        wrongly_marked = [
            item
            for item in callers.failures
            if item.run == "not-run" and item.name in effects
        ]
        assert not wrongly_marked, len(wrongly_marked)

    clusters.run(tmp_path, scenario)
