"""Settings of a gateway."""

import dataclasses
import enum


class Routing(enum.Enum):
    """How requests are dispatched to backend servers.

    Attributes:
        HOME: One gateway per service and availability zone dispatches.
        DIRECT: Each gateway dispatches on its own, without coordination.
    """

    HOME = "home"
    DIRECT = "direct"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of one gateway.

    Attributes:
        gateway_id: Unique name of this VM's gateway.
        zone: Availability zone of the VM.
        listen: `ip:port` for callers.
        advertise: `ip:port` that lookups give to callers.
        peer_listen: `ip:port` for other gateways.
        peer_advertise: `ip:port` that other gateways connect to.
        source: Local IP address of outgoing connections, or None.
        platform: `ip:port` of the object API and VM list.
        peer_secret: Shared secret of all gateways.
        peers: `ip:port` of the first peers to contact if the platform is
            down.
        routing: How requests are dispatched to backend servers.
        policy: Name of the load-balancing policy of the dispatchers.
        grace_seconds: Time from SIGTERM until the process is killed.
        statsd: `ip:port` of the statsd server, or None.
    """

    gateway_id: str
    zone: str
    listen: str
    advertise: str
    peer_listen: str
    peer_advertise: str
    source: str | None = None
    platform: str
    peer_secret: str
    peers: tuple[str, ...] = ()
    routing: Routing = Routing.HOME
    policy: str = "least_loaded"
    grace_seconds: float = 60.0
    statsd: str | None = None
