"""Data that the platform stores and returns."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredObject:
    """One object in the store.

    Attributes:
        kind: Group of the object, for example `lease`.
        name: Name, unique within the kind.
        version: Store version at which the object was last written. One
            counter numbers all changes of the store.
        value: Content, at most 1 MB.
    """

    kind: str
    name: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """All objects of one kind at one store version."""

    version: int
    objects: tuple[StoredObject, ...]


class ChangeType(enum.Enum):
    """What happened to an object."""

    PUT = "put"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """One change of an object.

    Attributes:
        type: Whether the object was written or deleted.
        object: The object after the write. For a deletion its version is
            that of the deletion and its value is empty.
    """

    type: ChangeType
    object: StoredObject


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Changes:
    """Result of a watch.

    Attributes:
        version: Store version up to which the changes are complete; the
            next watch continues from here.
        changes: Changes in the order of their versions.
    """

    version: int
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Vm:
    """A VM of the VM list.

    Attributes:
        address: IP number of the VM.
        zone: Availability zone.
        leaving: Whether the VM is about to be removed.
    """

    address: str
    zone: str
    leaving: bool = False
