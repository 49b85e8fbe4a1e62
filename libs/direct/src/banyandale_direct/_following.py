"""Keeps configuration, servers and zones in step with the store."""

from collections.abc import Callable
import random
import time

import curio

import banyandale_core as core
from banyandale_direct import _configuration as configuration
from banyandale_direct import _members as members
from banyandale_direct import _protocols as protocols
from banyandale_direct import _registry as registry
from banyandale_direct import _settings as settings
import banyandale_platform as platform

# Pauses between tries to register double from the first to the longest.
FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 2.0


class Following:
    """Watches the store and applies what it says."""

    def __init__(
        self,
        *,
        store: platform.ObjectStore,
        documents: protocols.StoreDialect,
        servers: registry.Registry,
        loaded: settings.Settings,
        on_configuration: Callable[[configuration.Configuration], None],
        events: core.EventLog,
        metrics: core.Metrics,
        random_source: random.Random,
    ) -> None:
        self._store = store
        self._documents = documents
        self._servers = servers
        self._settings = loaded
        self._on_configuration = on_configuration
        self._events = events
        self._metrics = metrics
        self._random = random_source
        self._version: int | None = None
        self._zones_out: set[str] = set()

    def watchers(self) -> list[platform.Watcher]:
        """Returns one watcher per kind that the gateway follows."""
        documents = self._documents
        return [
            self._watcher(
                documents.configuration_kind,
                self._take_configurations,
                self._take_configuration,
            ),
            self._watcher(
                documents.server_kind, self._take_servers, self._take_server
            ),
            self._watcher(
                documents.zone_out_kind, self._take_zones, self._take_zone
            ),
        ]

    def _watcher(
        self,
        kind: str,
        on_listing: Callable[[platform.Listing], None],
        on_change: Callable[[platform.Change], None],
    ) -> platform.Watcher:
        return platform.Watcher(
            store=self._store,
            kind=kind,
            on_listing=on_listing,
            on_change=on_change,
            on_state=lambda up, reason: self._report_state(kind, up, reason),
            random_source=self._random,
        )

    def _report_state(self, kind: str, up: bool, reason: str) -> None:
        self._metrics.incr(f"store_{'regained' if up else 'lost'}:{kind}")
        self._events.write_state(
            "store_regained" if up else "store_lost", kind=kind, reason=reason
        )

    def _take_configurations(self, listing: platform.Listing) -> None:
        for stored in listing.objects:
            self._apply(stored)

    def _take_configuration(self, change: platform.Change) -> None:
        if change.type is platform.ChangeType.PUT:
            self._apply(change.object)

    def _apply(self, stored: platform.StoredObject) -> None:
        try:
            read = self._documents.read_configuration(stored)
        except protocols.MalformedEntryError as error:
            self._reject(stored, error)
            return
        if read is None:
            return
        if self._version is not None and read.version <= self._version:
            return
        self._events.write_state(
            "configuration",
            version=read.version,
            previous=self._version,
            store_version=stored.version,
            routes=sum(len(routes) for routes in read.hosts.values()),
        )
        self._version = read.version
        self._metrics.gauge("configuration_version", read.version)
        self._on_configuration(read)

    def _reject(self, stored: platform.StoredObject, error: Exception) -> None:
        self._metrics.incr(f"entry_rejected:{stored.kind}")
        self._events.write(
            "entry_rejected",
            kind=stored.kind,
            name=stored.name,
            version=stored.version,
            error=str(error),
        )

    def _read_server(
        self, stored: platform.StoredObject
    ) -> registry.Server | None:
        try:
            return self._documents.read_server(
                stored, zones=self._settings.regions
            )
        except protocols.MalformedEntryError as error:
            self._reject(stored, error)
            return None

    def _take_servers(self, listing: platform.Listing) -> None:
        read = (
            (self._read_server(stored), stored.version)
            for stored in listing.objects
        )
        self._servers.replace(
            [(server, version) for server, version in read if server],
            version=listing.version,
            now=time.monotonic(),
        )
        self._events.write_state(
            "servers_listed",
            servers=len(listing.objects),
            store_version=listing.version,
        )

    def _take_server(self, change: platform.Change) -> None:
        now = time.monotonic()
        stored = change.object
        server = None
        if change.type is platform.ChangeType.PUT:
            server = self._read_server(stored)
        if server is None:
            changed = self._servers.remove(
                stored.name, version=stored.version, now=now
            )
            state = "gone"
        else:
            changed = self._servers.put(server, version=stored.version, now=now)
            state = "leaving" if server.leaving else "ready"
        if changed:
            self._events.write(
                "server_entry",
                server=stored.name,
                state=state,
                service=server.service if server else None,
                cold_seconds=server.cold_seconds if server else None,
                store_version=stored.version,
            )

    def _take_zones(self, listing: platform.Listing) -> None:
        self._zones_out = {stored.name for stored in listing.objects}
        self._use_zones(listing.version)

    def _take_zone(self, change: platform.Change) -> None:
        if change.type is platform.ChangeType.PUT:
            self._zones_out.add(change.object.name)
        else:
            self._zones_out.discard(change.object.name)
        self._use_zones(change.object.version)

    def _use_zones(self, version: int) -> None:
        if self._zones_out == self._servers.zones_out:
            return
        self._servers.set_zones_out(self._zones_out)
        self._events.write_state(
            "zones_out", zones=sorted(self._zones_out), store_version=version
        )

    async def register(self, table: members.MemberTable) -> None:
        """Writes this gateway's entry and reads those of the others.

        Goes on until both have been done once.
        """
        pause = FIRST_PAUSE_SECONDS
        while True:
            try:
                await self._write_entry(table.own)
                listing = await self._store.list(
                    kind=self._documents.member_kind
                )
            except platform.PlatformError as error:
                self._metrics.incr(f"register_failed:{error.code}")
                self._events.write(
                    "register_failed", reason=error.code, error=str(error)
                )
                await curio.sleep(pause * self._random.uniform(0.5, 1.0))
                pause = min(pause * 2, LONGEST_PAUSE_SECONDS)
                continue
            break
        others = []
        for stored in listing.objects:
            try:
                others.append(self._documents.read_member(stored))
            except protocols.MalformedEntryError as error:
                self._reject(stored, error)
        table.introduce(others, now=time.monotonic())
        self._events.write_state(
            "registered", gateways=len(others), store_version=listing.version
        )

    async def _write_entry(self, own: members.Member) -> None:
        kind = self._documents.member_kind
        value = self._documents.write_member(own)
        try:
            await self._store.create(kind=kind, name=own.name, value=value)
        except platform.ConflictError as error:
            if error.current is None or error.current.value == value:
                return
            await self._store.update(
                kind=kind,
                name=own.name,
                value=value,
                version=error.current.version,
            )
