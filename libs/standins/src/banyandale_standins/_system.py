"""A complete deployment as processes on this machine."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import json
import pathlib
import time
from typing import Any

import curio
import pydantic

import banyandale_config as config
import banyandale_core as core
import banyandale_http as http
import banyandale_platform as platform
from banyandale_standins import _admin as admin
from banyandale_standins import _deployments as deployments
from banyandale_standins import _load as load
from banyandale_standins import _processes as processes
from banyandale_standins import _relay as relay
from banyandale_standins import _results as results

STANDINS = "banyandale_standins"
GATEWAY = ("banyandale", "gateway")
START_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.1
# Time that load tools get to start before their first call.
LOAD_START_DELAY_SECONDS = 2.0
LOAD_END_TIMEOUT_SECONDS = 30.0


class StartError(core.CodedError):
    """The system was not ready in time, or its address is in use."""

    code = "start_failed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Variant:
    """How the gateways of a system run.

    Attributes:
        routing: How calls are dispatched.
        policy: How servers are chosen.
        grace_seconds: Time from SIGTERM until a gateway is killed.
    """

    routing: str = "home"
    policy: str = "least_loaded"
    grace_seconds: float = 60.0

    @property
    def name(self) -> str:
        """A short name for tables."""
        return f"{self.routing}/{self.policy}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reading:
    """Totals of all processes at one time.

    Attributes:
        unix_seconds: When the totals were read, in Unix seconds.
        gateway_cpu: Processor seconds of all gateways.
        gateways: Sums of the gateways' counters.
        backends: Sums of the backend servers' counters.
    """

    unix_seconds: float
    gateway_cpu: float
    gateways: dict[str, int]
    backends: dict[str, int]


class System:
    """Platform, backend servers, relay and gateways of one deployment."""

    def __init__(
        self,
        *,
        deployment: deployments.Deployment,
        gateways: int,
        variant: Variant,
        folder: pathlib.Path,
        seed: int = 1,
    ) -> None:
        self.deployment = deployment
        self.gateways = deployment.plan_gateways(gateways)
        self.processes = processes.Processes(folder=folder)
        self._variant = variant
        self._folder = folder
        self._seed = seed
        self._generation = 0
        self._loads: list[str] = []
        self._publisher: config.Publisher | None = None

    async def start(self) -> None:
        """Starts all processes and waits until they are ready.

        Gateways are ready once they use the configuration and, with home
        routing, hold each home of a service in a zone under a lease.
        """
        address = self.deployment.platform_address()
        await _require_free_address(address)
        self.processes.start(
            "platform", (STANDINS, "platform", f"--address={address}")
        )
        for zone in self.deployment.zones:
            settings = self.deployment.build_backends(zone, seed=self._seed)
            self._start_standin("backends", f"backends-{zone}", settings)
            settings = self.deployment.build_relay(
                zone, self.gateways, seed=self._seed
            )
            self._start_standin("relay", f"relay-{zone}", settings)
        await self._wait_for("platform", self._publish_vm_list)
        await self._wait_for("backend servers", self._servers_respond)
        for gateway in self.gateways:
            self.start_gateway(gateway)
        self._publisher = config.Publisher(
            store=platform.HttpObjectStore(address=address)
        )
        await self.apply_zones(out=())
        await self._wait_for("gateways", self._is_in_force)
        await self._wait_for("homes", self._has_homes)

    def _start_standin(
        self, command: str, name: str, settings: pydantic.BaseModel
    ) -> None:
        path = self._folder / f"{name}.json"
        path.write_text(settings.model_dump_json())
        self.processes.start(name, (STANDINS, command, str(path)))

    def start_gateway(
        self, gateway: deployments.GatewayPlan, *, peers: Sequence[str] = ()
    ) -> None:
        """Starts the process of a gateway.

        Args:
            gateway: Name, zone and addresses.
            peers: Advertised peer addresses that it contacts first.
        """
        values = {
            "ID": gateway.name,
            "ZONE": gateway.zone,
            "LISTEN": gateway.listen,
            "PEER_LISTEN": gateway.peer_listen,
            "PEER_ADVERTISE": gateway.peer_advertise,
            "PLATFORM": self.deployment.platform_address(),
            "PEER_SECRET": deployments.PEER_SECRET,
            "ROUTING": self._variant.routing,
            "POLICY": self._variant.policy,
            "GRACE_SECONDS": str(self._variant.grace_seconds),
            "SOURCE": gateway.ip,
            "PEERS": ",".join(peers),
        }
        self.processes.start(
            gateway.name,
            GATEWAY,
            environment={f"BANYANDALE_{k}": v for k, v in values.items()},
        )

    async def _wait_for(
        self, what: str, check: Callable[[], Awaitable[bool]]
    ) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            self.processes.check_running()
            try:
                if await check():
                    return
            except (http.HttpError, ValueError):
                pass
            await curio.sleep(POLL_SECONDS)
        raise StartError(
            f"{what} not ready after {START_TIMEOUT_SECONDS:.0f} s"
        )

    async def _publish_vm_list(self) -> bool:
        """Writes the VM list to the platform."""
        vms = [
            {"address": gateway.ip, "zone": gateway.zone, "leaving": False}
            for gateway in self.gateways
        ]
        vms += [
            {
                "address": server.address.rpartition(":")[0],
                "zone": server.zone,
                "leaving": False,
            }
            for server in self.deployment.plan_servers()
        ]
        address = self.deployment.platform_address()
        await admin.call(address, "PUT", "/v1/vms", {"vms": vms})
        return True

    async def _servers_respond(self) -> bool:
        """Reads the counters of all backend servers."""
        for zone in self.deployment.zones:
            await self.read_servers(zone)
        return True

    async def apply_zones(self, *, out: Sequence[str]) -> int:
        """Publishes the configuration with some zones out of service."""
        return await self.apply_document(
            self.deployment.build_document(zones_out=out),
            message=f"out of service: {', '.join(out) or 'none'}",
        )

    async def apply_document(
        self, document: Mapping[str, object], *, message: str
    ) -> int:
        """Publishes a configuration document; returns its generation."""
        self._generation = await self._publisher.apply(
            config.Document.model_validate(document),
            base_generation=self._generation,
            author="demo",
            message=message,
        )
        return self._generation

    async def change_links(self, change: relay.LinkChange) -> None:
        """Cuts, silences or restores links between the gateways of zones."""
        for zone in self.deployment.zones:
            address = self.deployment.relay_admin(zone)
            await admin.call(address, "PUT", "/links", change.model_dump())

    async def read_statuses(self) -> list[dict[str, Any]]:
        """Returns the status page of every gateway."""
        return [
            await admin.call(gateway.listen, "GET", "/v1/status")
            for gateway in self.gateways
        ]

    async def _is_in_force(self) -> bool:
        pages = await self.read_statuses()
        return all(page["generation"] >= self._generation for page in pages)

    async def wait_in_force(self) -> float:
        """Waits until all gateways use the last document.

        Returns:
            Seconds that this took.
        """
        start = time.monotonic()
        await self._wait_for("configuration", self._is_in_force)
        return time.monotonic() - start

    async def _has_homes(self) -> bool:
        if self._variant.routing != "home":
            return True
        pages = await self.read_statuses()
        held = {
            (home["service"], home["zone"])
            for page in pages
            for home in page["homes"]
            if home["lease"]
        }
        wanted = {
            (server.service, server.zone)
            for server in self.deployment.plan_servers()
        }
        return held >= wanted

    async def read_servers(self, zone: str) -> list[dict[str, Any]]:
        """Returns state and counters of the backend servers of a zone."""
        address = self.deployment.backends_admin(zone)
        page = await admin.call(address, "GET", "/counters")
        return page["servers"]

    async def read_totals(self) -> Reading:
        """Returns the totals of all processes."""
        gateways: dict[str, int] = {}
        for page in await self.read_statuses():
            _add_counters(gateways, page["counters"])
        backends: dict[str, int] = {}
        for zone in self.deployment.zones:
            for server in await self.read_servers(zone):
                _add_counters(backends, server["counters"])
        return Reading(
            unix_seconds=time.time(),
            gateway_cpu=sum(
                self.processes.read_cpu_seconds(gateway.name)
                for gateway in self.gateways
            ),
            gateways=gateways,
            backends=backends,
        )

    async def read_effects(self) -> dict[str, int]:
        """Returns how often the work behind each key was started."""
        effects: dict[str, int] = {}
        for zone in self.deployment.zones:
            address = self.deployment.backends_admin(zone)
            page = await admin.call(address, "GET", "/effects")
            _add_counters(effects, page["effects"])
        return effects

    def start_load(
        self, *, share: float, phases: Sequence[load.PhaseSettings]
    ) -> float:
        """Starts one load tool per zone; returns the start in Unix seconds."""
        return self.start_loads(
            {
                zone: self.deployment.build_load(
                    zone,
                    gateways=self.gateways,
                    share=share,
                    phases=phases,
                    seed=self._seed,
                )
                for zone in self.deployment.zones
            }
        )

    def start_loads(self, loads: Mapping[str, load.LoadSettings]) -> float:
        """Starts load tools together; returns the start in Unix seconds."""
        start_at = time.time() + LOAD_START_DELAY_SECONDS
        for name, settings in loads.items():
            timed = settings.model_copy(update={"start_at": start_at})
            path = self._folder / f"load-{name}.json"
            path.write_text(timed.model_dump_json())
            result = self._result_path(name)
            result.unlink(missing_ok=True)
            self.processes.start(
                f"load-{name}",
                (STANDINS, "load", str(path), f"--result={result}"),
            )
            self._loads.append(name)
        return start_at

    def _result_path(self, name: str) -> pathlib.Path:
        return self._folder / f"load-{name}.result.json"

    async def run_loads(
        self, loads: Mapping[str, load.LoadSettings]
    ) -> dict[str, results.RunResult]:
        """Runs load tools together and returns their results by name."""
        start_at = self.start_loads(loads)
        longest = max(
            sum(phase.seconds for phase in settings.phases)
            for settings in loads.values()
        )
        await curio.sleep(max(start_at + longest - time.time(), 0.0))
        return await self._collect_loads()

    async def finish_load(self) -> results.RunResult:
        """Waits for the load tools and returns their merged results."""
        collected = await self._collect_loads()
        return results.merge(item.to_json() for item in collected.values())

    async def _collect_loads(self) -> dict[str, results.RunResult]:
        names, self._loads = self._loads, []
        tools = [f"load-{name}" for name in names]
        deadline = time.monotonic() + LOAD_END_TIMEOUT_SECONDS
        while any(map(self.processes.is_running, tools)):
            if time.monotonic() > deadline:
                raise processes.ProcessError(
                    "load tools did not exit within"
                    f" {LOAD_END_TIMEOUT_SECONDS:.0f} s"
                )
            await curio.sleep(POLL_SECONDS)
        for name, status in self.processes.stop(tools).items():
            if status:
                raise processes.ProcessError(
                    f"{name} exited with status {status}:"
                    f" {self.processes.read_log(name)}"
                )
        return {
            name: results.merge(
                [json.loads(self._result_path(name).read_text())]
            )
            for name in names
        }

    def stop(self) -> dict[str, int]:
        """Stops gateways first, then the stand-ins; returns exit statuses."""
        names = [gateway.name for gateway in self.gateways]
        running = [name for name in names if name in self.processes.names()]
        statuses = self.processes.stop(running)
        return {**statuses, **self.processes.stop_all()}


async def _require_free_address(address: str) -> None:
    """Raises `StartError` if another run uses the address.

    Without this check the platform of that run would serve this one.
    """
    try:
        listener = http.open_listener(address)
    except OSError as error:
        raise StartError(f"cannot listen on {address}: {error}") from error
    await listener.close()


def _add_counters(total: dict[str, int], counters: dict[str, int]) -> None:
    for name, count in counters.items():
        total[name] = total.get(name, 0) + count
