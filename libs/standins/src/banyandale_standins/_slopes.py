"""Growth of control-plane costs with the number of gateways and servers.

docs/CAPACITY.md is calculated from these figures. Fleets of different sizes run
without load; the difference per added gateway is the cost of one peer. The
cost of the configuration is measured in this process.
"""

from collections.abc import Callable
import dataclasses
import json
import pathlib
import statistics
import tempfile
import time
import tracemalloc
from typing import Any

import curio

import banyandale_config as config
import banyandale_core as core
import banyandale_platform.testing as platform_testing
from banyandale_standins import _admin as admin
from banyandale_standins import _deployments as deployments
from banyandale_standins import _system as system

FLEET_SIZES = (4, 10, 16)
SETTLE_SECONDS = 6.0
IDLE_MEASURE_SECONDS = 20.0
SERVICE_COUNT = 350
SERVERS_PER_SERVICE = (10, 37)
CHANGE_COUNT = 20
PLATFORM_PREFIX = "platform_"


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetCost:
    """Control-plane costs of one idle gateway in a fleet.

    Attributes:
        gateways: Size of the fleet.
        cpu_percent: Median processor time in percent of a core.
        peer_bytes_per_s: Bytes that one gateway sends to its peers.
        platform_calls_per_s: Calls of one gateway to the platform, by
            operation and kind.
        resident_mb: Median resident memory.
    """

    gateways: int
    cpu_percent: float
    peer_bytes_per_s: float
    platform_calls_per_s: dict[str, float]
    resident_mb: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationCost:
    """Cost of the configuration in one gateway.

    Attributes:
        servers: Backend servers of all services.
        memory_mb: Memory that the configuration and its follower occupy.
        start_ms: Time to load the whole configuration.
        change_ms: Median time to apply a change of one service.
        root_bytes: Size of the root that is transferred with each change.
        part_bytes: Mean size of the part of one service.
    """

    servers: int
    memory_mb: float
    start_ms: float
    change_ms: float
    root_bytes: int
    part_bytes: int


async def measure_fleet(
    gateways: int, *, port: int, seed: int, folder: pathlib.Path
) -> FleetCost:
    """Runs a fleet without load and measures the cost of one gateway."""
    deployment = dataclasses.replace(deployments.TRUST, port=port)
    running_system = system.System(
        deployment=deployment,
        gateways=gateways,
        variant=system.Variant(),
        folder=folder,
        seed=seed,
    )
    try:
        await running_system.start()
        await curio.sleep(SETTLE_SECONDS)
        start = await _read_usage(running_system)
        started_at = time.monotonic()
        await curio.sleep(IDLE_MEASURE_SECONDS)
        end = await _read_usage(running_system)
        seconds = time.monotonic() - started_at
        resident = [
            running_system.processes.read_resident_bytes(gateway.name)
            for gateway in running_system.gateways
        ]
    finally:
        running_system.stop()
    cpu = [(end[0][name] - start[0][name]) / seconds for name in end[0]]
    calls = {
        name.removeprefix(PLATFORM_PREFIX): round(
            (count - start[2].get(name, 0)) / seconds / gateways, 2
        )
        for name, count in end[2].items()
        if name.startswith(PLATFORM_PREFIX)
    }
    return FleetCost(
        gateways=gateways,
        cpu_percent=round(statistics.median(cpu) * 100, 2),
        peer_bytes_per_s=round((end[1] - start[1]) / seconds / gateways, 1),
        platform_calls_per_s={
            key: value for key, value in calls.items() if value
        },
        resident_mb=round(statistics.median(resident) / 1e6, 1),
    )


async def _read_usage(
    running_system: system.System,
) -> tuple[dict[str, float], int, dict[str, int]]:
    """Returns processor seconds by gateway, relayed bytes and counters."""
    cpu = {
        gateway.name: running_system.processes.read_cpu_seconds(gateway.name)
        for gateway in running_system.gateways
    }
    relayed = 0
    for zone in running_system.deployment.zones:
        address = running_system.deployment.relay_admin(zone)
        page = await admin.call(address, "GET", "/counters")
        relayed += page["counters"].get("bytes", 0)
    reading = await running_system.read_totals()
    return cpu, relayed, reading.gateways


def _build_document(servers: int, *, version: int = 0) -> config.Document:
    services = [
        {
            "name": f"service-{number}",
            "queue_limit": 100 + (version if number == 0 else 0),
            "servers": [
                {
                    "address": f"10.{number // 250}.{number % 250}.{host}:80",
                    "zone": f"zone-{host % 16}",
                }
                for host in range(1, servers + 1)
            ],
        }
        for number in range(SERVICE_COUNT)
    ]
    zones = [{"name": f"zone-{number}"} for number in range(16)]
    return config.Document.model_validate(
        {"zones": zones, "services": services}
    )


async def measure_configuration(servers: int) -> ConfigurationCost:
    """Measures the cost of a configuration.

    Args:
        servers: Number of backend servers of each service.
    """
    store = platform_testing.MemoryStore()
    publisher = config.Publisher(store=store)
    await publisher.apply(
        _build_document(servers),
        base_generation=0,
        author="slopes",
        message="start",
    )
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    start_ms, follower, task = await _start_follower(store)
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    await task.cancel()
    start_ms, follower, task = await _start_follower(store)
    changes = []
    for number in range(1, CHANGE_COUNT + 1):
        await publisher.apply(
            _build_document(servers, version=number),
            base_generation=number,
            author="slopes",
            message="change",
        )
        root, parts = await _read_change(store, follower)
        started_at = time.perf_counter()
        follower.apply_root(root, parts)
        changes.append(time.perf_counter() - started_at)
    await task.cancel()
    part_sizes = [
        len(entry.value)
        for entry in (await store.list(kind="config_part")).objects
    ]
    return ConfigurationCost(
        servers=servers * SERVICE_COUNT,
        memory_mb=round(memory / 1e6, 1),
        start_ms=round(start_ms, 1),
        change_ms=round(
            statistics.median(changes) * core.MILLISECONDS_PER_SECOND, 2
        ),
        root_bytes=len(follower.root()),
        part_bytes=round(statistics.mean(part_sizes)),
    )


async def _start_follower(
    store: platform_testing.MemoryStore,
) -> tuple[float, config.Follower, curio.Task]:
    """Starts a follower and waits for its first configuration."""
    follower = config.Follower(store=store, gateway="slopes")
    started_at = time.perf_counter()
    task = await curio.spawn(follower.run, daemon=True)
    while follower.current() is None:
        await curio.sleep(0)
    elapsed = time.perf_counter() - started_at
    return elapsed * core.MILLISECONDS_PER_SECOND, follower, task


async def _read_change(
    store: platform_testing.MemoryStore, follower: config.Follower
) -> tuple[bytes, dict[str, bytes]]:
    root = (await store.get(kind="config", name="root")).value
    parts = {}
    for name in follower.missing_parts(root):
        part = await store.get(kind="config_part", name=name)
        parts[name] = part.value
    return root, parts


async def measure(
    *, port: int, seed: int, print_line: Callable[[str], None]
) -> dict[str, Any]:
    """Runs all measurements; passes a line on each to `print_line`."""
    fleets = []
    for gateways in FLEET_SIZES:
        with tempfile.TemporaryDirectory() as folder:
            fleet = await measure_fleet(
                gateways, port=port, seed=seed, folder=pathlib.Path(folder)
            )
        fleets.append(dataclasses.asdict(fleet))
        print_line(json.dumps(fleets[-1]))
    configurations = []
    for servers in SERVERS_PER_SERVICE:
        measured = await measure_configuration(servers)
        configurations.append(dataclasses.asdict(measured))
        print_line(json.dumps(configurations[-1]))
    return {"fleets": fleets, "configurations": configurations}
