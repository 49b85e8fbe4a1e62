"""Objects, changes and VMs as the platform returns them."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredObject:
    """One object in the store.

    Attributes:
        kind: Type of the object, for example `lease`.
        name: Name, unique within the kind.
        version: Store version of the last write of the object. One counter
            numbers all changes in the store.
        value: Content, at most 1 MB.
    """

    kind: str
    name: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """All objects of one kind at one store version.

    Attributes:
        version: Store version of the listing.
        objects: The objects.
        era: Number of times that the store has come back from an older copy.
            Versions of different eras have no order.
    """

    version: int
    objects: tuple[StoredObject, ...]
    era: int = 0


class ChangeType(enum.Enum):
    """What happened to an object."""

    PUT = "put"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """One change of an object.

    Attributes:
        type: Whether the object was written or deleted.
        object: The object after the change. A deleted object has the
            version of the deletion and an empty value.
    """

    type: ChangeType
    object: StoredObject


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Changes:
    """Result of a watch.

    Attributes:
        version: Store version up to which `changes` is complete; the next
            watch continues from it.
        changes: Changes, ordered by version.
        era: Era of the store, as in `Listing`.
    """

    version: int
    changes: tuple[Change, ...]
    era: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Vm:
    """An entry of the VM list.

    Attributes:
        address: IP address of the VM.
        zone: Availability zone.
        leaving: Whether the VM is about to be removed.
    """

    address: str
    zone: str
    leaving: bool = False
