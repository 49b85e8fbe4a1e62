"""Applies the store's objects to the gateway's configuration and servers."""

from collections.abc import Callable
import time

import banyandale_core as core
from banyandale_direct import _configuration as configuration
from banyandale_direct import _protocols as protocols
from banyandale_direct import _registry as registry
from banyandale_direct import _settings as settings
import banyandale_platform as platform


def report_rejected(
    stored: platform.StoredObject,
    error: Exception,
    events: core.EventLog,
    metrics: core.Metrics,
) -> None:
    """Logs and counts a stored object that cannot be parsed."""
    metrics.incr(f"entry_rejected:{stored.kind}")
    events.write(
        "entry_rejected",
        kind=stored.kind,
        name=stored.name,
        version=stored.version,
        error=str(error),
    )


class StoreUpdateHandler:
    """Parses stored objects; invalid ones never replace valid ones."""

    def __init__(
        self,
        *,
        documents: protocols.StoreCodec,
        servers: registry.Registry,
        loaded: settings.Settings,
        on_configuration: Callable[[configuration.Configuration], None],
        events: core.EventLog,
        metrics: core.Metrics,
    ) -> None:
        """Creates the handler.

        Args:
            documents: Reads the platform's stored objects.
            servers: Registry to update with servers and zones out of service.
            loaded: Settings of the process.
            on_configuration: Called with each newer configuration.
            events: Log of the process.
            metrics: Counters of the process.
        """
        self._documents = documents
        self._servers = servers
        self._settings = loaded
        self._on_configuration = on_configuration
        self._events = events
        self._metrics = metrics
        self._version: int | None = None

    def kinds(self) -> tuple[str, ...]:
        """Returns the kinds to replicate, the most urgent first."""
        return (
            self._documents.configuration_kind,
            self._documents.server_kind,
            self._documents.zones_out_kind,
        )

    def apply_listing(
        self,
        kind: str,
        objects: tuple[platform.StoredObject, ...],
        version: int,
    ) -> None:
        """Applies a listing of all objects of a kind at a store version."""
        if kind == self._documents.configuration_kind:
            for stored in objects:
                self._apply_configuration(stored)
        elif kind == self._documents.server_kind:
            self._replace_servers(objects, version)
        else:
            self._set_zones_out({stored.name for stored in objects}, version)

    def apply_change(self, change: platform.Change) -> None:
        """Applies one change."""
        kind = change.object.kind
        if kind == self._documents.configuration_kind:
            if change.type is platform.ChangeType.PUT:
                self._apply_configuration(change.object)
        elif kind == self._documents.server_kind:
            self._change_server(change)
        else:
            self._change_zone(change)

    def _apply_configuration(self, stored: platform.StoredObject) -> None:
        try:
            read = self._documents.read_configuration(stored)
        except protocols.MalformedEntryError as error:
            report_rejected(stored, error, self._events, self._metrics)
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

    def _read_server(
        self, stored: platform.StoredObject
    ) -> registry.Server | None:
        try:
            return self._documents.read_server(
                stored, zones=self._settings.regions
            )
        except protocols.MalformedEntryError as error:
            report_rejected(stored, error, self._events, self._metrics)
            return None

    def _replace_servers(
        self, objects: tuple[platform.StoredObject, ...], version: int
    ) -> None:
        read = [(self._read_server(stored), stored) for stored in objects]
        self._servers.replace(
            [(server, stored.version) for server, stored in read if server],
            version=version,
            now=time.monotonic(),
        )
        self._events.write_state(
            "servers_listed", servers=len(objects), store_version=version
        )

    def _change_server(self, change: platform.Change) -> None:
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

    def _change_zone(self, change: platform.Change) -> None:
        zones = set(self._servers.zones_out)
        if change.type is platform.ChangeType.PUT:
            zones.add(change.object.name)
        else:
            zones.discard(change.object.name)
        self._set_zones_out(zones, change.object.version)

    def _set_zones_out(self, zones: set[str], version: int) -> None:
        if zones == self._servers.zones_out:
            return
        self._servers.set_zones_out(zones)
        self._events.write_state(
            "zones_out", zones=sorted(zones), store_version=version
        )
