"""The dispatchers of this gateway: one for each home that it holds."""

from collections.abc import Callable
import dataclasses
import math
from typing import Protocol

import banyandale_config as config
import banyandale_core as core
import banyandale_dispatch as dispatch

# A home that comes back within this time keeps what is known of its servers.
WARM_STATE_TTL_SECONDS = 5.0
# Zone of a dispatcher that serves all zones.
ALL_ZONES = ""
# A lease is renewed every second and can be taken over 3.5 s after its last
# renewal, so that a shorter pause of this process hides no takeover.
PAUSE_THRESHOLD_SECONDS = 2.0


class HomeOwnership(Protocol):
    """What is known of the homes of this gateway."""

    def holds(self, *, service: str, zone: str) -> bool:
        """Whether this gateway holds the home under a valid lease."""

    def held(self) -> tuple[tuple[str, str], ...]:
        """Returns the homes of this gateway, even if its lease expired."""


class LeavingVms(Protocol):
    """The VMs that are leaving."""

    @property
    def leaving(self) -> frozenset[str]:
        """IP numbers of the VMs that are leaving."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Home:
    """A home and its dispatcher.

    Attributes:
        service: Name of the service.
        zone: Availability zone of the servers.
        dispatcher: Counts and queues requests.
        built_from: Configuration and leaving VMs that it was last built from.
    """

    service: str
    zone: str
    dispatcher: dispatch.Dispatcher
    built_from: tuple[config.Service, frozenset[str]] | None = None


class HomeTable:
    """Keeps a dispatcher for each home that this gateway holds.

    A home whose lease expired stays, but only for servers known to be warm,
    until another gateway is seen to hold it: while the platform is down
    nobody can take it over, and its callers still need service.

    After a pause of this process another gateway may hold its homes, and
    what it knew of their servers may be wrong. They count as unknown then.
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
        """Whether the home is held under a valid lease at this moment.

        Ask this before `Dispatcher.is_warm`, since it notices a pause.
        """
        self._check_for_pause()
        return self._ownership.holds(service=home.service, zone=home.zone)

    def refresh(self, snapshot: config.Snapshot) -> None:
        """Brings the table in line with configuration and ownership.

        Its cost depends on the homes held here only, not on the size of the
        configuration.
        """
        self._check_for_pause()
        wanted = {}
        held = frozenset(self._ownership.held())
        for name, zone in held:
            service = snapshot.find_service(name)
            if service is not None and snapshot.is_zone_in(zone):
                wanted[name, zone] = service
        for key in self._homes.keys() - wanted.keys():
            # Servers that return to service with their zone count as cold.
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
        """Forgets which servers are warm when this process was paused.

        Between pauses `refresh` calls this many times a second.
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
                home.dispatcher.warm_boots(),
            )
        self._metrics.incr("home.dropped")

    def _restore_warm_servers(self, home: Home) -> None:
        """Takes over what was known before a short loss of the home.

        After an outage of the platform a gateway gets its homes back under a
        new lease. A server is warm again with its first report that says so
        with the same boot identity; another holder may have seen it restart.
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
    """One dispatcher per service over the servers of all zones.

    This is what gateways do that do not work together. It serves as the
    baseline of measurements.
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
        """Returns true: nobody else dispatches for this gateway."""
        del home
        return True

    def refresh(self, snapshot: config.Snapshot) -> None:
        """Takes over the configuration."""
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
    """Takes over changes of the service or of the VMs that are leaving."""
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
    """Takes over the limits of a service."""
    dispatcher.configure(
        queue_limit=service.queue_limit,
        cold_limit=service.cold_limit,
        cold_min_seconds=service.cold_min_ms / core.MILLISECONDS_PER_SECOND,
    )
