"""Watches the paths to the servers, and checks those that are lost.

`_paths` decides when a service is impaired; this module asks the servers that
are not reached, so that their return is noticed while calls go elsewhere.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import time

import curio

import banyandale_core as core
from banyandale_direct import _channels as channels
from banyandale_direct import _configuration as configuration
from banyandale_direct import _paths as paths
from banyandale_direct import _registry as registry
import banyandale_http as http

# Interval between the checks of impaired services.
CHECK_SECONDS = 0.2
# Servers of each impaired service that are asked per check.
CHECKED_SERVERS = 2


class PathChecker:
    """Logs which services are impaired, and asks their servers."""

    def __init__(
        self,
        *,
        monitor: paths.PathMonitor,
        servers: registry.Registry,
        asked: channels.Channels,
        current: Callable[[], configuration.Configuration | None],
        on_change: Callable[[int], Awaitable[None]],
        events: core.EventLog,
        metrics: core.Metrics,
    ) -> None:
        """Creates the checker.

        Args:
            monitor: What this gateway knows about its paths.
            servers: The registered servers.
            asked: Connections to the servers.
            current: Returns the configuration in force.
            on_change: Called with the groups of impaired services.
            events: Log of the process.
            metrics: Counters of the process.
        """
        self._monitor = monitor
        self._servers = servers
        self._channels = asked
        self._current = current
        self._on_change = on_change
        self._groups = 0
        self._events = events
        self._metrics = metrics
        self._impaired: dict[str, float] = {}
        # Servers that are asked at the moment.
        self._asking: set[str] = set()

    async def run(self) -> None:
        """Checks the paths in an endless loop."""
        while True:
            await curio.sleep(CHECK_SECONDS)
            current = self._current()
            if current is not None:
                await self.check(current)

    async def check(self, current: configuration.Configuration) -> None:
        """Logs and tells changes, and asks servers that are not reached."""
        now = time.monotonic()
        groups = 0
        for service in current.services.values():
            if not (
                self._monitor.cut
                or self._monitor.has_failures(service.name)
                or service.name in self._impaired
            ):
                continue
            entries = {
                entry.server.id: entry
                for entry in self._servers.find(service.name, now=now)
            }
            impaired = bool(entries) and self._monitor.is_impaired(
                service.name, entries.keys(), now=now
            )
            self._report(service.name, impaired, entries.keys(), now)
            self._monitor.update_cut(service.name, entries.keys())
            if impaired:
                groups |= paths.group_mask(service.name)
            if impaired or self._monitor.cut:
                await self._ask_some(entries, service)
        if self._monitor.cut:
            groups = paths.ALL_GROUPS
        self._metrics.gauge("impaired_services", len(self._impaired))
        if groups != self._groups:
            self._groups = groups
            await self._on_change(groups)

    async def _ask_some(
        self,
        entries: Mapping[str, registry.Entry],
        service: configuration.Service,
    ) -> None:
        """Asks the servers that failed or were asked longest ago."""
        due = [i for i in entries if i not in self._asking]
        due.sort(key=lambda i: self._monitor.failed_at(service.name, i))
        if not self._monitor.cut:
            now = time.monotonic()
            due = self._monitor.list_unreached(service.name, due, now=now)
        for server_id in due[:CHECKED_SERVERS]:
            self._asking.add(server_id)
            await curio.spawn(
                self._ask, entries[server_id], service, daemon=True
            )

    def _report(
        self,
        service: str,
        impaired: bool,
        server_ids: dict.keys,
        now: float,
    ) -> None:
        if impaired == (service in self._impaired):
            return
        if not impaired:
            seconds = now - self._impaired.pop(service)
            self._events.write_state(
                "path_regained", service=service, seconds=round(seconds, 3)
            )
            return
        self._impaired[service] = now
        self._metrics.incr("path_lost")
        reached = self._monitor.reached_seconds_ago(service, now=now)
        self._events.write_state(
            "path_lost",
            service=service,
            servers=len(server_ids),
            unreached=len(
                self._monitor.list_unreached(service, server_ids, now=now)
            ),
            reached_seconds_ago=None if reached is None else round(reached, 3),
        )

    async def _ask(
        self, entry: registry.Entry, service: configuration.Service
    ) -> None:
        try:
            probe = await self._channels.probe(
                entry,
                service,
                local=False,
                avoided=False,
                deadline=time.monotonic() + channels.REPORT_TIMEOUT_SECONDS,
            )
            await self._channels.release(probe)
        except http.HttpError as error:
            self._metrics.incr(f"path_check_failed:{error.code}")
        finally:
            self._asking.discard(entry.server.id)
