"""Applies the store's objects to the gateway's configuration and servers."""

from collections.abc import Callable
import dataclasses
import time

import banyandale_core as core
from banyandale_direct import _configuration as configuration
from banyandale_direct import _protocols as protocols
from banyandale_direct import _registry as registry
from banyandale_direct import _rejections as rejections
from banyandale_direct import _settings as settings
from banyandale_direct import _versions as versions
import banyandale_platform as platform

# Zones that were out of service when the store came back from a copy without
# them stay so for this long, until the operators have written them again.
KEEP_ZONES_SECONDS = 10.0
MAX_CONFIGURATION_VERSION = 2**64 - 1


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
        self._rejections = rejections.Rejections(events=events, metrics=metrics)
        self._version: int | None = None
        self._zones_era = 0
        # Zones that stay out of service although the store lacks them.
        self._kept_zones: frozenset[str] = frozenset()
        self._keep_zones_until = 0.0

    def configuration_version(self) -> int:
        """Returns the operators' version of the configuration in force.

        0 if there is none.
        """
        return min(max(self._version or 0, 0), MAX_CONFIGURATION_VERSION)

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
        version: versions.Version,
    ) -> None:
        """Applies a listing of all objects of a kind at a store version."""
        self._rejections.keep_only(kind, {stored.name for stored in objects})
        if kind == self._documents.configuration_kind:
            for stored in objects:
                self._apply_configuration(stored)
        elif kind == self._documents.server_kind:
            self._replace_servers(objects, version)
        else:
            # An object whose name cannot be read names no zone.
            zones = {stored.name for stored in objects if stored.name}
            self._replace_zones_out(zones, version)

    def reconcile(
        self,
        kind: str,
        held: tuple[platform.StoredObject, ...],
        listing: platform.Listing,
    ) -> platform.Listing:
        """Returns a listing with the configuration that stays in force.

        A store that is back from a copy lacks the newest configurations until
        the operators have written them again. The newest one known takes the
        place of the listed one, as if it had been written at its version.
        """
        if kind != self._documents.configuration_kind:
            return listing
        listed = self._find_configuration(listing.objects)
        newest = self._find_configuration(held)
        if newest is None or (listed is not None and listed >= newest):
            return listing
        kept = []
        names = {stored.name: stored for stored in listing.objects}
        for stored in held:
            if self._find_configuration((stored,)) is not None:
                known = names.get(stored.name)
                version = listing.version if known is None else known.version
                kept.append(dataclasses.replace(stored, version=version))
                names.pop(stored.name, None)
        self._events.write_state(
            "configuration_kept",
            version=newest,
            listed=listed,
            store_era=listing.era,
            store_version=listing.version,
        )
        return dataclasses.replace(listing, objects=(*names.values(), *kept))

    def _find_configuration(
        self, objects: tuple[platform.StoredObject, ...]
    ) -> int | None:
        """Returns the highest version of the valid configurations."""
        found = []
        for stored in objects:
            read = self._rejections.read(
                stored, self._documents.read_configuration
            )
            if read is not None:
                found.append(read.version)
        return max(found, default=None)

    def apply_change(self, change: platform.Change, era: int) -> None:
        """Applies one change of an era of the store."""
        version = versions.Version(era, change.object.version)
        kind = change.object.kind
        if change.type is platform.ChangeType.DELETE:
            self._rejections.forget(kind, change.object.name)
        if kind == self._documents.configuration_kind:
            if change.type is platform.ChangeType.PUT:
                self._apply_configuration(change.object)
        elif kind == self._documents.server_kind:
            self._change_server(change, version)
        else:
            self._change_zone(change, version)

    def _apply_configuration(self, stored: platform.StoredObject) -> None:
        self._rejections.read(stored, self._accept_configuration)

    def _accept_configuration(self, stored: platform.StoredObject) -> None:
        read = self._documents.read_configuration(stored)
        if read is None:
            return
        if self._version is not None and read.version <= self._version:
            return
        self._on_configuration(read)
        self._events.write_state(
            "configuration",
            version=read.version,
            previous=self._version,
            store_version=stored.version,
            routes=sum(len(routes) for routes in read.hosts.values()),
        )
        self._version = read.version
        self._metrics.gauge("configuration_version", read.version)

    def _read_server(
        self, stored: platform.StoredObject
    ) -> registry.Server | None:
        return self._rejections.read(stored, self._decode_server)

    def _decode_server(self, stored: platform.StoredObject) -> registry.Server:
        return self._documents.read_server(stored, zones=self._settings.regions)

    def _replace_servers(
        self,
        objects: tuple[platform.StoredObject, ...],
        version: versions.Version,
    ) -> None:
        read = [(self._read_server(stored), stored) for stored in objects]
        self._servers.replace(
            [
                (server, versions.Version(version.era, stored.version))
                for server, stored in read
                if server
            ],
            version=version,
            now=time.monotonic(),
        )
        self._events.write_state(
            "servers_listed", servers=len(objects), **_describe(version)
        )

    def _change_server(
        self, change: platform.Change, version: versions.Version
    ) -> None:
        now = time.monotonic()
        stored = change.object
        server = None
        if change.type is platform.ChangeType.PUT:
            server = self._read_server(stored)
        if server is None:
            changed = self._servers.remove(
                stored.name, version=version, now=now
            )
            state = "gone"
        else:
            changed = self._servers.put(server, version=version, now=now)
            state = "leaving" if server.leaving else "ready"
        if changed:
            self._events.write(
                "server_entry",
                server=stored.name,
                state=state,
                service=server.service if server else None,
                cold_seconds=server.cold_seconds if server else None,
                **_describe(version),
            )

    def _replace_zones_out(
        self, listed: set[str], version: versions.Version
    ) -> None:
        now = time.monotonic()
        if version.era > self._zones_era:
            self._zones_era = version.era
            self._kept_zones = self._servers.zones_out - listed
            self._keep_zones_until = now + KEEP_ZONES_SECONDS
        if now >= self._keep_zones_until:
            self._kept_zones = frozenset()
        self._set_zones_out(listed | self._kept_zones, version)

    def expire_kept_zones(self) -> None:
        """Returns zones to service that the operators did not write again."""
        if self._kept_zones and time.monotonic() >= self._keep_zones_until:
            version = versions.Version(self._zones_era, 0)
            kept, self._kept_zones = self._kept_zones, frozenset()
            self._set_zones_out(set(self._servers.zones_out - kept), version)

    def _change_zone(
        self, change: platform.Change, version: versions.Version
    ) -> None:
        zones = set(self._servers.zones_out)
        self._kept_zones -= {change.object.name}
        if change.type is platform.ChangeType.PUT:
            zones.add(change.object.name)
        else:
            zones.discard(change.object.name)
        self._set_zones_out(zones, version)

    def _set_zones_out(
        self, zones: set[str], version: versions.Version
    ) -> None:
        if zones == self._servers.zones_out:
            return
        self._servers.set_zones_out(zones)
        self._events.write_state(
            "zones_out", zones=sorted(zones), **_describe(version)
        )


def _describe(version: versions.Version) -> dict[str, int]:
    """Returns the log fields of a store version."""
    return {"store_era": version.era, "store_version": version.revision}
