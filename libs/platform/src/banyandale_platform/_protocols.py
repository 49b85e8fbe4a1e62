"""Interfaces of the object store and the VM list."""

from collections.abc import Sequence
from typing import Protocol

from banyandale_platform import _objects as objects


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches.

    Every method raises `StoreUnavailableError` if the call failed without
    effect. Writes raise `OutcomeUnknownError` if they may have taken effect.
    """

    async def get(self, *, kind: str, name: str) -> objects.StoredObject | None:
        """Returns an object, or None when it does not exist."""

    async def list(self, *, kind: str) -> objects.Listing:
        """Returns all objects of a kind."""

    async def create(
        self, *, kind: str, name: str, value: bytes
    ) -> objects.StoredObject:
        """Creates an object.

        Raises:
            ConflictError: The object already exists.
        """

    async def update(
        self, *, kind: str, name: str, value: bytes, version: int
    ) -> objects.StoredObject:
        """Replaces an object that has the given version.

        Raises:
            ConflictError: The object has another version or does not exist.
        """

    async def delete(self, *, kind: str, name: str, version: int) -> None:
        """Deletes an object that has the given version.

        Raises:
            ConflictError: The object has another version or does not exist.
        """

    async def watch(
        self, *, kinds: Sequence[str], since: int, deadline: float
    ) -> objects.Changes:
        """Waits for changes.

        Args:
            kinds: Kinds to watch.
            since: Store version after which changes are returned.
            deadline: Monotonic time in seconds. If nothing changes before
                it, the result is empty.

        Raises:
            WatchExpiredError: Changes since that version are no longer kept;
                list the objects again.
        """


class VmList(Protocol):
    """The platform's list of VMs, which may be out of date."""

    async def fetch(self) -> tuple[objects.Vm, ...]:
        """Returns all VMs.

        Raises:
            StoreUnavailableError: The platform did not answer.
        """
