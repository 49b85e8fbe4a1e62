"""Replicas of the store's objects, one per kind, shared by gateways."""

import collections
import dataclasses

from banyandale_direct import _versions as versions
import banyandale_platform as platform

# Number of recent changes kept for replicas that are slightly behind. A gateway
# that is further behind gets all objects.
KEPT_CHANGES = 512


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delta:
    """Changes that bring a replica from one store version to another.

    Attributes:
        kind: Kind of the objects.
        since: Version to which the changes apply, in the era of `version`;
            revision 0 with `complete`.
        version: Version after the changes.
        complete: Whether `changes` contains all objects of the kind.
        changes: Changes in the order of the store.
    """

    kind: str
    since: versions.Version
    version: versions.Version
    complete: bool
    changes: tuple[platform.Change, ...]


class Replica:
    """All objects of one kind up to a store version.

    Attributes:
        kind: Kind of the objects.
        version: Store version up to which the replica is complete; None before
            the first listing.
    """

    def __init__(self, *, kind: str) -> None:
        self.kind = kind
        self.version: versions.Version | None = None
        self._objects: dict[str, platform.StoredObject] = {}
        self._log: collections.deque[tuple[int, platform.Change]] = (
            collections.deque()
        )
        self._log_since = 0

    def objects(self) -> tuple[platform.StoredObject, ...]:
        """Returns all objects."""
        return tuple(self._objects.values())

    def apply_listing(self, listing: platform.Listing) -> bool:
        """Replaces all objects by a listing; returns whether it was applied.

        A listing older than the replica is ignored, so that the replica never
        goes back in time.
        """
        version = versions.Version(listing.era, listing.version)
        if self.version is not None and version < self.version:
            return False
        self._objects = {stored.name: stored for stored in listing.objects}
        self.version = version
        self._log.clear()
        self._log_since = listing.version
        return True

    def apply_changes(
        self, changes: platform.Changes
    ) -> tuple[platform.Change, ...]:
        """Applies changes that start at or before the replica's version.

        Returns:
            The changes that were new to the replica.
        """
        if (
            self.version is None
            or changes.era != self.version.era
            or changes.version <= self.version.revision
        ):
            return ()
        new_changes = tuple(
            change for change in changes.changes if self._apply(change)
        )
        self.version = versions.Version(changes.era, changes.version)
        self._log.extend((changes.version, change) for change in new_changes)
        while len(self._log) > KEPT_CHANGES:
            self._log_since, _ = self._log.popleft()
        return new_changes

    def _apply(self, change: platform.Change) -> bool:
        known = self._objects.get(change.object.name)
        if change.type is platform.ChangeType.DELETE:
            # A deletion may carry the version of the object's last write.
            if known is None or known.version > change.object.version:
                return False
            del self._objects[change.object.name]
            return True
        if known is not None and known.version >= change.object.version:
            return False
        self._objects[change.object.name] = change.object
        return True

    def delta(self, since: versions.Version | None) -> Delta | None:
        """Returns the changes after version `since`; None if there are none.

        All objects are returned for a version of an earlier era.
        """
        if self.version is None or (since is not None and since > self.version):
            return None
        era = self.version.era
        if since is None or since < versions.Version(era, self._log_since):
            return Delta(
                kind=self.kind,
                since=versions.Version(era, 0),
                version=self.version,
                complete=True,
                changes=tuple(
                    platform.Change(type=platform.ChangeType.PUT, object=stored)
                    for stored in self._objects.values()
                ),
            )
        if since == self.version:
            return None
        return Delta(
            kind=self.kind,
            since=since,
            version=self.version,
            complete=False,
            changes=tuple(c for at, c in self._log if at > since.revision),
        )

    def can_apply(self, delta: Delta) -> bool:
        """Returns whether a delta can be applied and advances this replica."""
        if self.version is None:
            return delta.complete
        if delta.version <= self.version:
            return False
        return delta.complete or delta.since <= self.version
