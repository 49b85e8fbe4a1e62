"""Registered servers, as last read from the store."""

from collections.abc import Iterable
import dataclasses

from banyandale_direct import _versions as versions

# A server whose entry vanished without a notice remains usable as a last resort
# for this long. Entries that expired during a store outage are back about two
# seconds after it ends; the strictest requirement allows calls to a server for
# two seconds after it left.
VANISHED_GRACE_SECONDS = 1.2
# A server that is gone is remembered for this long, in case the store comes
# back from a copy that still has its entry.
REMEMBER_GONE_SECONDS = 60.0
# An entry from a copy that contradicts what is known is used if it is still
# there after this long. The users' platform removes the entry of a server that
# is gone after three heartbeats of silence.
HOLD_BACK_SECONDS = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """A server as described by its registration.

    Attributes:
        id: Identity; a server answers only calls addressed to it.
        address: `ip:port`.
        service: Name of its service.
        zone: Availability zone.
        slots: Number of calls that it runs concurrently.
        leaving: Whether it has announced its departure.
        cold_seconds: Remaining time of its cold start.
        started_unix_ms: Start time; a different value under the same id means a
            different process.
        report: Number of the report, counted by the process itself.
    """

    id: str
    address: str
    service: str
    zone: str
    slots: int
    leaving: bool = False
    cold_seconds: float = 0.0
    started_unix_ms: int = 0
    report: int = 0

    @property
    def statement(self) -> tuple[int, int]:
        """Order of what the server says of itself, whatever the store."""
        return self.started_unix_ms, self.report


@dataclasses.dataclass(kw_only=True, slots=True)
class Entry:
    """A server and the state of its registry entry.

    Attributes:
        server: The server.
        version: Store version of the entry.
        cold_until: Monotonic seconds at which its cold start ends according to
            the entry.
        vanished_at: Monotonic seconds when the entry vanished, or None.
    """

    server: Server
    version: versions.Version
    cold_until: float
    vanished_at: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _HeldBack:
    """An entry from a copy that contradicts what is known.

    Attributes:
        server: The server as it describes itself there.
        version: Store version of the entry.
        use_at: Monotonic seconds from which it is used.
    """

    server: Server
    version: versions.Version
    use_at: float


class Registry:
    """All known servers and the zones that are out of service."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        # Servers that are gone, and entries that would bring them back.
        self._gone: dict[str, Entry] = {}
        self._held_back: dict[str, _HeldBack] = {}
        self._zones_out: frozenset[str] = frozenset()
        self.loaded = False

    @property
    def zones_out(self) -> frozenset[str]:
        """Zones whose servers must get no calls."""
        return self._zones_out

    def set_zones_out(self, zones: Iterable[str]) -> None:
        """Replaces the set of zones that are out of service."""
        self._zones_out = frozenset(zones)

    def put(
        self, server: Server, *, version: versions.Version, now: float
    ) -> bool:
        """Stores an entry; returns whether it differs from the known one."""
        known = self._entries.get(server.id) or self._gone.get(server.id)
        if known is not None and known.version > version:
            return False
        if known is not None and _is_outdated(server, version, known):
            held = self._held_back.get(server.id)
            self._held_back[server.id] = _HeldBack(
                server=server,
                version=version,
                use_at=held.use_at if held else now + HOLD_BACK_SECONDS,
            )
            return False
        self._held_back.pop(server.id, None)
        self._gone.pop(server.id, None)
        changed = (
            known is None
            or known.vanished_at is not None
            or dataclasses.replace(known.server, cold_seconds=0.0, report=0)
            != dataclasses.replace(server, cold_seconds=0.0, report=0)
        )
        self._entries[server.id] = Entry(
            server=server, version=version, cold_until=now + server.cold_seconds
        )
        return changed

    def remove(
        self, server_id: str, *, version: versions.Version, now: float
    ) -> bool:
        """Marks an entry as vanished; returns whether it was known."""
        self._held_back.pop(server_id, None)
        known = self._entries.get(server_id)
        if known is None or known.vanished_at is not None:
            return False
        if known.version > version:
            return False
        known.vanished_at = now
        known.version = version
        return True

    def replace(
        self,
        servers: Iterable[tuple[Server, versions.Version]],
        *,
        version: versions.Version,
        now: float,
    ) -> None:
        """Replaces all entries by a complete listing at a store version."""
        present = set()
        for server, server_version in servers:
            present.add(server.id)
            self.put(server, version=server_version, now=now)
        known = self._entries.keys() | self._held_back.keys()
        for server_id in known - present:
            self.remove(server_id, version=version, now=now)
        self.loaded = True

    def find(self, service: str, *, now: float) -> list[Entry]:
        """Returns the servers of a service that may get calls.

        Servers that announced their departure are excluded. Servers whose entry
        vanished are included for a short time if no others are left.
        """
        self._forget_vanished(now)
        self._use_held_back(now)
        usable = [
            entry
            for entry in self._entries.values()
            if entry.server.service == service
            and not entry.server.leaving
            and entry.server.zone not in self._zones_out
        ]
        registered = [entry for entry in usable if entry.vanished_at is None]
        return registered or usable

    def _forget_vanished(self, now: float) -> None:
        gone = [
            server_id
            for server_id, entry in self._entries.items()
            if entry.vanished_at is not None
            and now >= entry.vanished_at + VANISHED_GRACE_SECONDS
        ]
        for server_id in gone:
            self._gone[server_id] = self._entries.pop(server_id)
        while self._gone:
            oldest = next(iter(self._gone))
            if now < self._gone[oldest].vanished_at + REMEMBER_GONE_SECONDS:
                return
            del self._gone[oldest]

    def _use_held_back(self, now: float) -> None:
        due = [h for h in self._held_back.values() if now >= h.use_at]
        for held in due:
            del self._held_back[held.server.id]
            self._gone.pop(held.server.id, None)
            self._entries[held.server.id] = Entry(
                server=held.server, version=held.version, cold_until=now
            )

    def is_usable(self, server_id: str) -> bool:
        """Returns whether a server found earlier may still get calls."""
        entry = self._entries.get(server_id)
        return (
            entry is not None
            and not entry.server.leaving
            and entry.server.zone not in self._zones_out
        )

    def is_registered(self, server: Server) -> bool:
        """Returns whether a server's entry is in force and not leaving."""
        entry = self._entries.get(server.id)
        return (
            entry is not None
            and entry.vanished_at is None
            and not entry.server.leaving
        )

    def find_process(
        self, server_id: str, started_unix_ms: int
    ) -> Server | None:
        """Returns a server if the same process of it is still registered."""
        entry = self._entries.get(server_id)
        if (
            entry is None
            or entry.vanished_at is not None
            or entry.server.started_unix_ms != started_unix_ms
        ):
            return None
        return entry.server

    def addresses(self) -> dict[str, str]:
        """Returns the address of each known server id."""
        return {
            server_id: entry.server.address
            for server_id, entry in self._entries.items()
        }


def _is_outdated(
    server: Server, version: versions.Version, known: Entry
) -> bool:
    """Returns whether an entry of a later era is from before a known one.

    A store that is back from a copy may still have the entry of a server that
    has announced its departure, or is gone, since.
    """
    if version.era == known.version.era:
        return False
    if known.vanished_at is not None:
        return server.statement <= known.server.statement
    return server.statement < known.server.statement
