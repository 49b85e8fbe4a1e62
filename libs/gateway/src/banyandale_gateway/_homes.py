"""The dispatchers of this gateway: one for each home that it holds."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

import banyandale_config as config
import banyandale_core as core
import banyandale_dispatch as dispatch

# Zone of a dispatcher that serves all zones.
ALL_ZONES = ""


class HomeOwnership(Protocol):
    """What is known of who holds which home."""

    def holds(self, *, service: str, zone: str) -> bool:
        """Whether this gateway holds the home under a valid lease."""

    def holder(self, *, service: str, zone: str) -> str | None:
        """Returns the gateway that holds the home, as last seen."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Home:
    """A home and its dispatcher."""

    service: str
    zone: str
    dispatcher: dispatch.Dispatcher


class HomeTable:
    """Keeps a dispatcher for each home that this gateway holds.

    A home whose lease expired stays, but only for servers known to be warm,
    until another gateway is seen to hold it: while the platform is down
    nobody can take it over, and its callers still need service.
    """

    def __init__(
        self,
        *,
        gateway_id: str,
        ownership: HomeOwnership,
        build_dispatcher: Callable[[config.Service, str], dispatch.Dispatcher],
        is_vm_leaving: Callable[[str], bool],
        metrics: core.Metrics,
    ) -> None:
        self._is_vm_leaving = is_vm_leaving
        self._gateway_id = gateway_id
        self._ownership = ownership
        self._build_dispatcher = build_dispatcher
        self._metrics = metrics
        self._homes: dict[tuple[str, str], Home] = {}
        self._by_service: dict[str, tuple[Home, ...]] = {}

    def homes(self) -> tuple[Home, ...]:
        """Returns all homes."""
        return tuple(self._homes.values())

    def homes_of(self, service: str) -> tuple[Home, ...]:
        """Returns the homes of a service that this gateway serves."""
        return self._by_service.get(service, ())

    def find(self, service: str, zone: str) -> Home | None:
        """Returns one home, or None."""
        return self._homes.get((service, zone))

    def has_lease(self, home: Home) -> bool:
        """Whether the home is held under a valid lease at this moment."""
        return self._ownership.holds(service=home.service, zone=home.zone)

    def refresh(self, snapshot: config.Snapshot) -> None:
        """Brings the table in line with configuration and ownership."""
        wanted = set()
        for service in snapshot.services:
            for zone in service_zones(service, snapshot):
                key = (service.name, zone)
                if self._ownership.holds(service=service.name, zone=zone):
                    wanted.add(key)
                    self._ensure(service, zone)
                elif key in self._homes and self._may_keep(*key):
                    wanted.add(key)
                if key in wanted:
                    self._update(self._homes[key], service, snapshot)
        for key in self._homes.keys() - wanted:
            del self._homes[key]
            self._metrics.incr("home.dropped")
        self._index()

    def _ensure(self, service: config.Service, zone: str) -> None:
        key = (service.name, zone)
        if key not in self._homes:
            self._homes[key] = Home(
                service=service.name,
                zone=zone,
                dispatcher=self._build_dispatcher(service, zone),
            )
            self._metrics.incr("home.gained")

    def _may_keep(self, service: str, zone: str) -> bool:
        holder = self._ownership.holder(service=service, zone=zone)
        return holder in (None, self._gateway_id)

    def _update(
        self, home: Home, service: config.Service, snapshot: config.Snapshot
    ) -> None:
        configure_dispatcher(home.dispatcher, service)
        home.dispatcher.update_servers(
            select_servers(
                service,
                snapshot,
                zone=home.zone,
                is_vm_leaving=self._is_vm_leaving,
            )
        )

    def _index(self) -> None:
        by_service: dict[str, list[Home]] = {}
        for home in self._homes.values():
            by_service.setdefault(home.service, []).append(home)
        self._by_service = {
            name: tuple(homes) for name, homes in by_service.items()
        }


def configure_dispatcher(
    dispatcher: dispatch.Dispatcher, service: config.Service
) -> None:
    """Takes over the limits of a service."""
    dispatcher.configure(
        queue_limit=service.queue_limit,
        cold_limit=service.cold_limit,
        cold_min_seconds=service.cold_min_ms / core.MILLISECONDS_PER_SECOND,
    )


def service_zones(
    service: config.Service, snapshot: config.Snapshot
) -> tuple[str, ...]:
    """Returns the zones in service that have servers of the service."""
    zones = {server.zone for server in service.servers}
    return tuple(sorted(zone for zone in zones if snapshot.is_zone_in(zone)))


def select_servers(
    service: config.Service,
    snapshot: config.Snapshot,
    *,
    is_vm_leaving: Callable[[str], bool],
    zone: str | None = None,
) -> tuple[dispatch.Server, ...]:
    """Returns the servers that may get work, those leaving marked so.

    Args:
        service: The service.
        snapshot: The configuration in force.
        is_vm_leaving: Whether the VM of an address is leaving.
        zone: Only this zone's servers, or None for all zones in service.
    """
    return tuple(
        dispatch.Server(
            address=server.address,
            zone=server.zone,
            slots=server.slots,
            leaving=server.is_leaving or is_vm_leaving(server.address),
        )
        for server in service.servers
        if snapshot.is_zone_in(server.zone)
        and (zone is None or server.zone == zone)
    )


class DirectTable:
    """One dispatcher per service over the servers of all zones.

    This is what gateways do that do not work together. It serves as the
    baseline of measurements.
    """

    def __init__(
        self,
        *,
        build_dispatcher: Callable[[config.Service, str], dispatch.Dispatcher],
        is_vm_leaving: Callable[[str], bool],
    ) -> None:
        self._is_vm_leaving = is_vm_leaving
        self._build_dispatcher = build_dispatcher
        self._homes: dict[str, Home] = {}

    def homes(self) -> tuple[Home, ...]:
        """Returns all dispatchers."""
        return tuple(self._homes.values())

    def homes_of(self, service: str) -> tuple[Home, ...]:
        """Returns the dispatcher of a service."""
        home = self._homes.get(service)
        return () if home is None else (home,)

    def find(self, service: str, zone: str) -> Home | None:
        """Returns the dispatcher of a service."""
        del zone
        return self._homes.get(service)

    def has_lease(self, home: Home) -> bool:
        """Returns true: nobody else dispatches for this gateway."""
        del home
        return True

    def refresh(self, snapshot: config.Snapshot) -> None:
        """Takes over the configuration."""
        for service in snapshot.services:
            home = self._homes.get(service.name)
            if home is None:
                home = Home(
                    service=service.name,
                    zone=ALL_ZONES,
                    dispatcher=self._build_dispatcher(service, ALL_ZONES),
                )
                self._homes[service.name] = home
            home.dispatcher.update_servers(
                select_servers(
                    service, snapshot, is_vm_leaving=self._is_vm_leaving
                )
            )
