"""The two deployments of the design page, laid out on loopback addresses.

Each zone has its own prefix (127.0.1., 127.0.2., ...), so that stand-ins can
derive the zone of a connection from its source address. Service times are
long enough that one machine with 10 cores can carry the load of all slots;
the numbers of servers and gateways are those of the design page.
"""

from collections.abc import Sequence
import dataclasses
from typing import Self

from banyandale_standins import _backend as backend
from banyandale_standins import _episodes as episodes
from banyandale_standins import _load as load
from banyandale_standins import _networks as networks
from banyandale_standins import _relay as relay

KIBIBYTE = 1024
DEFAULT_PORT = 21000
PEER_SECRET = "loopback-demo-secret"

# Last byte of IP addresses within a zone's prefix.
FIRST_SERVER_HOST = 10
FIRST_GATEWAY_HOST = 200
CALLER_HOST = 250

# Offsets from the first port of a run.
PLATFORM_PORT = 0
CALLER_PORT = 1
PEER_PORT = 2
PEER_RELAY_PORT = 3
SERVER_PORT = 4
BACKENDS_ADMIN_PORT = 5
RELAY_ADMIN_PORT = 6

SLOTS_PER_SERVER = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServicePlan:
    """One service of a deployment and the calls that it gets."""

    name: str
    servers: int
    priority: int
    profile: backend.ServiceProfile
    method: str = "GET"
    body_bytes: int = 0
    keyed: bool = False
    deadline_ms: int = 2000
    # The default value in the configuration.
    retry_ratio: float = 0.1

    def capacity(self) -> float:
        """Returns the calls per second of all servers at full speed."""
        return self.servers * SLOTS_PER_SERVER * 1000 / self.profile.mean_ms


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayPlan:
    """Addresses of one gateway."""

    name: str
    zone: str
    ip: str
    listen: str
    peer_listen: str
    peer_advertise: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """A deployment on loopback addresses.

    Attributes:
        name: Short name, such as `trust`.
        zones: Names of the availability zones.
        gateways: Gateways in the whole deployment.
        connections: Connections that each backend server accepts.
        services: Services and the calls that they get.
        cold: How servers behave after their start.
        neighbours: How noisy neighbours slow servers down.
        port: First port of the run.
    """

    name: str
    zones: tuple[str, ...]
    gateways: int
    connections: int
    services: tuple[ServicePlan, ...]
    cold: backend.ColdSettings = dataclasses.field(
        default_factory=backend.ColdSettings
    )
    neighbours: episodes.EpisodeSettings = dataclasses.field(
        default_factory=episodes.EpisodeSettings
    )
    port: int = DEFAULT_PORT

    def slow_down(self, factor: float) -> Self:
        """Returns the deployment with longer service times.

        The same share of the capacity then needs fewer calls per second.
        """
        services = tuple(
            dataclasses.replace(
                service,
                profile=service.profile.model_copy(
                    update={"mean_ms": service.profile.mean_ms * factor}
                ),
            )
            for service in self.services
        )
        return dataclasses.replace(self, services=services)

    def start_warm(self) -> Self:
        """Returns the deployment with servers that are never cold."""
        cold = backend.ColdSettings(warm_requests=0)
        return dataclasses.replace(self, cold=cold)

    def build_network(self) -> networks.Network:
        """Returns the prefixes of the zones and the delay between them."""
        prefixes = {zone: self._prefix(zone) for zone in self.zones}
        return networks.Network(zones=prefixes)

    def _prefix(self, zone: str) -> str:
        return f"127.0.{self.zones.index(zone) + 1}."

    def platform_address(self) -> str:
        """Returns the address of the platform stand-in."""
        return f"127.0.0.1:{self.port + PLATFORM_PORT}"

    def relay_admin(self, zone: str) -> str:
        """Returns the admin address of the relay to a zone's gateways."""
        return f"{self._prefix(zone)}1:{self.port + RELAY_ADMIN_PORT}"

    def backends_admin(self, zone: str) -> str:
        """Returns the admin address of a zone's backend servers."""
        return f"{self._prefix(zone)}1:{self.port + BACKENDS_ADMIN_PORT}"

    def plan_servers(self) -> tuple[backend.ServerSettings, ...]:
        """Returns all servers, spread evenly over the zones."""
        planned = []
        for service in self.services:
            for _ in range(service.servers):
                index = len(planned)
                zone = self.zones[index % len(self.zones)]
                host = FIRST_SERVER_HOST + index
                address = f"{self._prefix(zone)}{host}"
                planned.append(
                    backend.ServerSettings(
                        address=f"{address}:{self.port + SERVER_PORT}",
                        service=service.name,
                        zone=zone,
                        slots=SLOTS_PER_SERVER,
                    )
                )
        return tuple(planned)

    def plan_gateways(
        self, count: int | None = None
    ) -> tuple[GatewayPlan, ...]:
        """Returns `count` gateways (all by default), zones taking turns."""
        planned = []
        for index in range(self.gateways if count is None else count):
            zone = self.zones[index % len(self.zones)]
            ip = f"{self._prefix(zone)}{FIRST_GATEWAY_HOST + index}"
            planned.append(
                GatewayPlan(
                    name=f"gw-{zone}-{index // len(self.zones) + 1}",
                    zone=zone,
                    ip=ip,
                    listen=f"{ip}:{self.port + CALLER_PORT}",
                    peer_listen=f"{ip}:{self.port + PEER_PORT}",
                    peer_advertise=f"{ip}:{self.port + PEER_RELAY_PORT}",
                )
            )
        return tuple(planned)

    def build_document(
        self, *, zones_out: Sequence[str] = ()
    ) -> dict[str, object]:
        """Returns the document for `banyandale config apply`."""
        servers = self.plan_servers()
        return {
            "zones": [
                {"name": zone, "state": "out" if zone in zones_out else "in"}
                for zone in self.zones
            ],
            "services": [
                {
                    "name": service.name,
                    "priority": service.priority,
                    "timeout_ms": service.deadline_ms,
                    "retry_ratio": service.retry_ratio,
                    "max_timeout_ms": 4 * service.deadline_ms,
                    "cold_limit": 1,
                    "cold_min_ms": 100,
                    "servers": [
                        {
                            "address": server.address,
                            "zone": server.zone,
                            "slots": server.slots,
                            "connections": self.connections,
                        }
                        for server in servers
                        if server.service == service.name
                    ],
                }
                for service in self.services
            ],
        }

    def build_backends(
        self, zone: str, *, seed: int = 1
    ) -> backend.BackendsSettings:
        """Returns the settings of the process with a zone's servers."""
        return backend.BackendsSettings(
            admin=self.backends_admin(zone),
            seed=seed * len(self.zones) + self.zones.index(zone),
            network=self.build_network(),
            services={
                service.name: service.profile for service in self.services
            },
            servers=tuple(
                server for server in self.plan_servers() if server.zone == zone
            ),
            cold=self.cold,
            neighbours=self.neighbours,
            load_stale_ms=100.0,
        )

    def build_relay(
        self, zone: str, gateways: Sequence[GatewayPlan], *, seed: int = 1
    ) -> relay.RelaySettings:
        """Returns the settings of the relay to the gateways of a zone."""
        return relay.RelaySettings(
            admin=self.relay_admin(zone),
            seed=seed,
            network=self.build_network(),
            routes=tuple(
                relay.RouteSettings(
                    listen=gateway.peer_advertise,
                    target=gateway.peer_listen,
                    zone=gateway.zone,
                )
                for gateway in gateways
                if gateway.zone == zone
            ),
        )

    def build_load(
        self,
        zone: str,
        *,
        gateways: Sequence[GatewayPlan],
        share: float,
        phases: Sequence[load.PhaseSettings],
        seed: int = 1,
        start_at: float = 0.0,
    ) -> load.LoadSettings:
        """Returns the load of the callers in one zone.

        Args:
            zone: Zone of the callers; each zone sends an equal share.
            gateways: Gateways that answer lookups.
            share: Load of all zones together, as a share of the servers'
                capacity.
            phases: Phases of the run.
            seed: Seed of the run, the same for all zones.
            start_at: Unix seconds of the start.
        """
        zone_share = share / len(self.zones)
        return load.LoadSettings(
            seed=seed * len(self.zones) + self.zones.index(zone),
            zone=zone,
            source=f"{self._prefix(zone)}{CALLER_HOST}",
            gateways=tuple(gateway.listen for gateway in gateways),
            traffic=tuple(
                load.TrafficSettings(
                    service=service.name,
                    rate=service.capacity() * zone_share,
                    method=service.method,
                    body_bytes=service.body_bytes,
                    keyed=service.keyed,
                    deadline_ms=service.deadline_ms,
                )
                for service in self.services
            ),
            phases=tuple(phases),
            start_at=start_at,
        )


TRUST = Deployment(
    name="trust",
    zones=("bengal-south-a", "bengal-south-b", "bengal-south-c"),
    gateways=16,
    connections=200,
    services=(
        ServicePlan(
            name="catalogue",
            servers=10,
            priority=1,
            profile=backend.ServiceProfile(mean_ms=20),
        ),
        ServicePlan(
            name="ledger",
            servers=6,
            priority=0,
            profile=backend.ServiceProfile(mean_ms=30, sigma=0.3),
            method="POST",
            body_bytes=300,
            keyed=True,
        ),
        ServicePlan(
            name="archive",
            servers=6,
            priority=3,
            profile=backend.ServiceProfile(
                mean_ms=80,
                min_bytes=64 * KIBIBYTE,
                max_bytes=512 * KIBIBYTE,
            ),
            deadline_ms=5000,
        ),
        ServicePlan(
            name="tracker",
            servers=10,
            priority=5,
            profile=backend.ServiceProfile(mean_ms=40),
            deadline_ms=5000,
        ),
    ),
)

CALOR_QUETZAL = Deployment(
    name="calor-quetzal",
    zones=("gt-central-a", "gt-central-b", "gt-central-c"),
    gateways=16,
    connections=240,
    services=(
        ServicePlan(
            name="reminders",
            servers=13,
            priority=0,
            profile=backend.ServiceProfile(mean_ms=20),
        ),
        ServicePlan(
            name="orders",
            servers=6,
            priority=1,
            profile=backend.ServiceProfile(mean_ms=30, sigma=0.3),
            method="POST",
            body_bytes=300,
            keyed=True,
        ),
        ServicePlan(
            name="caresheets",
            servers=6,
            priority=3,
            profile=backend.ServiceProfile(
                mean_ms=80,
                min_bytes=64 * KIBIBYTE,
                max_bytes=512 * KIBIBYTE,
            ),
            deadline_ms=5000,
        ),
        ServicePlan(
            name="clinicsync",
            servers=10,
            priority=7,
            profile=backend.ServiceProfile(mean_ms=40),
            deadline_ms=5000,
        ),
    ),
)

# One gateway in front of servers that are always warm and never slowed down, to
# measure the gateway alone.
OVERHEAD = Deployment(
    name="overhead",
    zones=("a",),
    gateways=1,
    connections=200,
    services=(
        ServicePlan(
            name="echo",
            servers=20,
            priority=1,
            profile=backend.ServiceProfile(mean_ms=2, sigma=0),
        ),
    ),
    cold=backend.ColdSettings(warm_requests=0),
    neighbours=episodes.EpisodeSettings(share=0),
)

DEPLOYMENTS = {
    deployment.name: deployment for deployment in (TRUST, CALOR_QUETZAL)
}
