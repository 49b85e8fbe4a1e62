"""The homes that this gateway holds, each with its dispatcher.

A home is a service in one availability zone. The gateway that holds it, under
a lease, dispatches all requests for the backend servers of the service there.
"""

from collections.abc import Callable
import dataclasses
import math
from typing import Protocol

import banyandale_config as config
import banyandale_core as core
import banyandale_dispatch as dispatch

# If a lost home is regained within this time, its warm servers are remembered.
WARM_STATE_TTL_SECONDS = 5.0
# Zone of a dispatcher that serves all zones.
ALL_ZONES = ""
# Only a longer pause of this process can hide the loss of a home: a lease is
# renewed every second and can be taken over 3.5 s after its last renewal.
PAUSE_THRESHOLD_SECONDS = 2.0


class HomeOwnership(Protocol):
    """Provides the homes that this gateway holds."""

    def holds(self, *, service: str, zone: str) -> bool:
        """Whether this gateway holds the home under a valid lease."""

    def held(self) -> tuple[tuple[str, str], ...]:
        """Returns the homes of this gateway, even if the lease has expired."""


class LeavingVms(Protocol):
    """Provides the VMs that are leaving."""

    @property
    def leaving(self) -> frozenset[str]:
        """IP addresses of the VMs that are leaving."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Home:
    """A home and its dispatcher.

    Attributes:
        service: Name of the service.
        zone: Availability zone of the servers.
        dispatcher: Queues requests and assigns them to servers.
        built_from: Service configuration and leaving VMs that were last
            applied to the dispatcher.
    """

    service: str
    zone: str
    dispatcher: dispatch.Dispatcher
    built_from: tuple[config.Service, frozenset[str]] | None = None


class HomeTable:
    """Keeps a dispatcher for each home that this gateway holds.

    A home with an expired lease stays until another gateway is known to hold
    it, but sends requests only to servers known to be warm. While the platform
    is down no gateway can take over the home, and its callers still need
    service.

    After a pause of this process, other gateways may hold its homes and the
    recorded state of the servers may be out of date, so it becomes unknown.
    """

    def __init__(
        self,
        *,
        ownership: HomeOwnership,
        build_dispatcher: Callable[[config.Service], dispatch.Dispatcher],
        vms: LeavingVms,
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._clock = clock
        self._warm_boots: dict[
            tuple[str, str], tuple[float, dict[str, str]]
        ] = {}
        self._ownership = ownership
        self._build_dispatcher = build_dispatcher
        self._vms = vms
        self._metrics = metrics
        self._last_checked_at = clock.monotonic()
        self._homes: dict[tuple[str, str], Home] = {}
        self._by_service: dict[str, tuple[Home, ...]] = {}
        self._handing_over = False

    def homes(self) -> tuple[Home, ...]:
        """Returns all homes."""
        return tuple(self._homes.values())

    def homes_of(self, service: str) -> tuple[Home, ...]:
        """Returns the homes of a service that this gateway serves."""
        return self._by_service.get(service, ())

    def find(self, service: str, zone: str) -> Home | None:
        """Returns a home, or None if this gateway does not hold it."""
        return self._homes.get((service, zone))

    def has_lease(self, home: Home) -> bool:
        """Whether the home is currently held under a valid lease.

        Call this before `Dispatcher.is_warm`, because it detects pauses.
        """
        self._check_for_pause()
        return self._ownership.holds(service=home.service, zone=home.zone)

    def allows_cold(self, home: Home) -> bool:
        """Whether servers of a home that are not known to be warm get work."""
        return not self._handing_over and self.has_lease(home)

    def stop_cold_requests(self) -> None:
        """Sends nothing more to cold servers before homes are handed over."""
        self._handing_over = True
        for home in self._homes.values():
            home.dispatcher.allow_cold = False

    def refresh(self, snapshot: config.Snapshot) -> None:
        """Updates the homes to match the configuration and the ownership.

        The cost depends only on the number of homes held here, not on the
        size of the configuration.
        """
        self._check_for_pause()
        wanted = {}
        held = frozenset(self._ownership.held())
        for name, zone in held:
            service = snapshot.find_service(name)
            if service is not None and snapshot.is_zone_in(zone):
                wanted[name, zone] = service
        for key in self._homes.keys() - wanted.keys():
            # The warm servers are remembered only if the home was lost. When a
            # zone returns to service, its servers count as cold.
            self._drop(key, keep_warm=key not in held)
        for key, service in wanted.items():
            home = self._homes.get(key)
            added = home is None
            if added:
                home = self._add(service, key[1])
            _update_home(home, service, snapshot, self._vms.leaving)
            if added:
                self._restore_warm_servers(home)
        self._rebuild_index()

    def _check_for_pause(self) -> None:
        """Marks all servers as unverified if this process was paused.

        `refresh` calls this many times a second unless the process is paused.
        """
        now = self._clock.monotonic()
        if now - self._last_checked_at > PAUSE_THRESHOLD_SECONDS:
            self._metrics.incr("home.paused")
            for home in self._homes.values():
                home.dispatcher.mark_all_unverified()
        self._last_checked_at = now

    def _add(self, service: config.Service, zone: str) -> Home:
        home = Home(
            service=service.name,
            zone=zone,
            dispatcher=self._build_dispatcher(service),
        )
        self._homes[service.name, zone] = home
        self._metrics.incr("home.gained")
        return home

    def _drop(self, key: tuple[str, str], *, keep_warm: bool) -> None:
        home = self._homes.pop(key)
        home.dispatcher.allow_cold = False
        if keep_warm:
            self._warm_boots[key] = (
                self._clock.monotonic(),
                home.dispatcher.get_warm_boot_ids(),
            )
        self._metrics.incr("home.dropped")

    def _restore_warm_servers(self, home: Home) -> None:
        """Restores the warm servers of a home that was lost briefly.

        After an outage of the platform, a gateway regains its homes under a
        new lease. A server counts as warm again only once it reports that it
        is warm with the same boot id, as it may have restarted meanwhile.
        """
        dropped_at, boots = self._warm_boots.pop(
            (home.service, home.zone), (-math.inf, {})
        )
        if self._clock.monotonic() - dropped_at <= WARM_STATE_TTL_SECONDS:
            home.dispatcher.restore_warm(boots)
            home.dispatcher.mark_all_unverified()

    def _rebuild_index(self) -> None:
        by_service: dict[str, list[Home]] = {}
        for home in self._homes.values():
            by_service.setdefault(home.service, []).append(home)
        self._by_service = {
            name: tuple(homes) for name, homes in by_service.items()
        }


class DirectTable:
    """Keeps one dispatcher per service for the servers of all zones.

    Gateways dispatch without coordination. This is the baseline for
    measurements.
    """

    def __init__(
        self,
        *,
        build_dispatcher: Callable[[config.Service], dispatch.Dispatcher],
        vms: LeavingVms,
    ) -> None:
        self._build_dispatcher = build_dispatcher
        self._vms = vms
        self._homes: dict[str, Home] = {}
        self._zones: tuple[config.Zone, ...] = ()

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
        """Returns true, because direct routing needs no lease of a home."""
        del home
        return True

    def allows_cold(self, home: Home) -> bool:
        """Returns true, because no home is ever handed over."""
        del home
        return True

    def stop_cold_requests(self) -> None:
        """Does nothing, because no home is ever handed over."""

    def refresh(self, snapshot: config.Snapshot) -> None:
        """Applies the configuration."""
        zones_changed = snapshot.zones != self._zones
        self._zones = snapshot.zones
        for service in snapshot.services:
            home = self._homes.get(service.name)
            if home is None:
                home = Home(
                    service=service.name,
                    zone=ALL_ZONES,
                    dispatcher=self._build_dispatcher(service),
                )
                self._homes[service.name] = home
            if zones_changed:
                home.built_from = None
            _update_home(home, service, snapshot, self._vms.leaving)


def _update_home(
    home: Home,
    service: config.Service,
    snapshot: config.Snapshot,
    leaving: frozenset[str],
) -> None:
    """Applies changes to the service or to the set of leaving VMs."""
    if home.built_from == (service, leaving):
        return
    home.built_from = (service, leaving)
    configure_dispatcher(home.dispatcher, service)
    home.dispatcher.update_servers(
        tuple(
            dispatch.Server(
                address=server.address,
                zone=server.zone,
                slots=server.slots,
                leaving=server.is_leaving
                or server.address.rpartition(":")[0] in leaving,
            )
            for server in service.servers
            if snapshot.is_zone_in(server.zone)
            and home.zone in (server.zone, ALL_ZONES)
        )
    )


def configure_dispatcher(
    dispatcher: dispatch.Dispatcher, service: config.Service
) -> None:
    """Applies the limits of a service."""
    dispatcher.configure(
        queue_limit=service.queue_limit,
        cold_limit=service.cold_limit,
        cold_min_seconds=service.cold_min_ms / core.MILLISECONDS_PER_SECOND,
    )
