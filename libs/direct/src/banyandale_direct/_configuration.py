"""The operators' configuration in the form the gateway uses."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """A service that gets a share of a route's calls.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Services and limits for the calls below one path of a host.

    Attributes:
        name: Name in the configuration.
        path_prefix: Prefix of the calls' paths; starts and ends with a slash.
        shares: Services with their weights.
        repeatable: Whether a call may be run more than once.
        wait_seconds: Maximum time from the arrival of a call to its answer.
        target_seconds: Time within which an answer has its full value.
        max_attempts: Maximum number of servers to which a call is sent.
        regions: Regions whose servers may run the calls; empty for all.
    """

    name: str
    path_prefix: str
    shares: tuple[Share, ...]
    repeatable: bool
    wait_seconds: float
    target_seconds: float
    max_attempts: int
    regions: frozenset[str] = frozenset()

    def find_deadline(
        self, *, arrived_at: float, remaining_seconds: float | None
    ) -> float:
        """Returns the deadline of a call, in monotonic seconds.

        Args:
            arrived_at: Monotonic seconds when the call had arrived.
            remaining_seconds: How long its caller waits; None if unknown.
        """
        if remaining_seconds is None:
            return arrived_at + self.wait_seconds
        return arrived_at + min(self.wait_seconds, remaining_seconds)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service whose servers register themselves.

    Attributes:
        name: Name of the service.
        health_path: Path of the combined health and load report.
        cold_calls_per_second: Calls per second, over all gateways, that a
            server in cold start accepts.
    """

    name: str
    health_path: str
    cold_calls_per_second: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits on callers' requests and connections.

    Attributes:
        head_bytes: Maximum size of the request line and headers.
        body_bytes: Maximum size of the body.
        head_seconds: Maximum time to receive the request line and headers.
        idle_seconds: Time after which an idle connection is closed.
    """

    head_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One accepted configuration.

    Attributes:
        version: Number that increases with each accepted configuration.
        hosts: Routes of each host.
        services: Services by name.
        limits: Limits on callers.
    """

    version: int
    hosts: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: Limits

    def find_route(self, *, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None."""
        best = None
        for route in self.hosts.get(host, ()):
            if path.startswith(route.path_prefix) and (
                best is None or len(route.path_prefix) > len(best.path_prefix)
            ):
                best = route
        return best
