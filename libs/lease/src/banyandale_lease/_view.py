"""Local copies of all leases and homes in the store."""

from collections.abc import Iterable
import dataclasses

from banyandale_lease import _records as records
import banyandale_platform as platform


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseEntry:
    """A lease as last read from the store.

    Attributes:
        version: Version of the object.
        record: Content, or None if it cannot be parsed.
        seen_at: Monotonic seconds when this version was first seen.
    """

    version: int
    record: records.LeaseRecord | None
    seen_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HomeEntry:
    """A home as last read from the store.

    Attributes:
        version: Version of the object.
        record: Content, or None if it cannot be parsed.
    """

    version: int
    record: records.HomeRecord | None


class View:
    """Copies of all `lease` and `home` objects.

    Both kinds come from one watch, so the leases are never older than the
    homes. If the lease of a home's holder is missing or names another boot
    id, the boot id in the home has ended for good.

    Attributes:
        leases: Leases by gateway id.
        homes: Homes by service and zone.
        version: Store version of the copies, or None before the first load.
    """

    def __init__(self) -> None:
        self.leases: dict[str, LeaseEntry] = {}
        self.homes: dict[records.HomeKey, HomeEntry] = {}
        self.version: int | None = None
        self._connected_since: float | None = None

    def load(
        self,
        *,
        homes: platform.Listing,
        leases: platform.Listing,
        now: float,
    ) -> None:
        """Replaces all copies.

        Args:
            homes: All homes; must have been listed before the leases.
            leases: All leases.
            now: Monotonic seconds.
        """
        self.leases.clear()
        self.homes.clear()
        for stored in homes.objects:
            self.put_home(stored)
        for stored in leases.objects:
            self.put_lease(stored, now=now)
        self.version = homes.version

    def apply(
        self, changes: platform.Changes, *, now: float
    ) -> set[records.HomeKey]:
        """Applies the result of a watch that started at `version`.

        Returns:
            The homes that the changes affect.
        """
        homes: set[records.HomeKey] = set()
        for change in changes.changes:
            is_put = change.type is platform.ChangeType.PUT
            if change.object.kind == records.LEASE_KIND:
                if is_put:
                    self.put_lease(change.object, now=now)
                else:
                    _remove_older(
                        self.leases, change.object.name, change.object
                    )
                continue
            key = records.parse_home_name(change.object.name)
            homes.add(key)
            if is_put:
                self.put_home(change.object)
            else:
                _remove_older(self.homes, key, change.object)
        self.version = changes.version
        if self._connected_since is None:
            self._connected_since = now
        return homes

    def mark_disconnected(self) -> None:
        """Records that the store could not be read.

        Gateways could not renew their leases either, so the ages of all
        leases restart at zero.
        """
        self._connected_since = None

    def invalidate(self) -> None:
        """Requests a new load; the copies stay in use until then."""
        self.version = None
        self.mark_disconnected()

    def put_lease(self, stored: platform.StoredObject, *, now: float) -> None:
        """Stores a lease unless a newer version is known."""
        known = self.leases.get(stored.name)
        if known is None or stored.version > known.version:
            self.leases[stored.name] = LeaseEntry(
                version=stored.version,
                record=records.parse_lease(stored),
                seen_at=now,
            )

    def put_home(self, stored: platform.StoredObject) -> None:
        """Stores a home unless a newer version is known."""
        key = records.parse_home_name(stored.name)
        known = self.homes.get(key)
        if known is None or stored.version > known.version:
            self.homes[key] = HomeEntry(
                version=stored.version, record=records.parse_home(stored)
            )

    def remove_home(self, key: records.HomeKey) -> None:
        """Removes the copy of a home that this gateway has deleted."""
        self.homes.pop(key, None)

    def has_ended(self, gateway: str, boot: str) -> bool:
        """Whether this boot id is known to have ended for good."""
        entry = self.leases.get(gateway)
        if entry is None:
            return True
        record = entry.record
        if record is None:
            return False
        return record.boot != boot or record.state is records.LeaseState.REVOKED

    def age(self, entry: LeaseEntry, *, now: float) -> float:
        """Returns for how many seconds a lease's version has not changed.

        Counts only the time since the last failed watch.
        """
        if self._connected_since is None:
            return 0.0
        return now - max(entry.seen_at, self._connected_since)

    def list_gateways(
        self, *, now: float, max_age: float
    ) -> Iterable[records.GatewayInfo]:
        """Yields the gateways whose leases may be valid."""
        for gateway, entry in self.leases.items():
            record = entry.record
            if record is None or record.state is records.LeaseState.REVOKED:
                continue
            if self.age(entry, now=now) >= max_age:
                continue
            yield records.GatewayInfo(
                gateway=gateway,
                boot=record.boot,
                zone=record.zone,
                http=record.http,
                peer=record.peer,
                leaving=record.state is records.LeaseState.LEAVING,
                weight=record.weight,
            )


def _remove_older(
    copies: dict, key: object, stored: platform.StoredObject
) -> None:
    known = copies.get(key)
    if known is not None and stored.version > known.version:
        del copies[key]
