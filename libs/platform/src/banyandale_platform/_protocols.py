"""Interfaces of the platform services."""

from collections.abc import Sequence
from typing import Protocol

from banyandale_platform import _objects as objects


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches.

    Every method raises `StoreUnavailableError` when the call had no effect.
    Writes raise `OutcomeUnknownError` when they may have taken effect.
    """

    async def get(self, *, kind: str, name: str) -> objects.StoredObject | None:
        """Returns an object, or None when it does not exist."""

    async def list(self, *, kind: str) -> objects.Listing:
        """Returns all objects of a kind."""

    async def create(
        self, *, kind: str, name: str, value: bytes
    ) -> objects.StoredObject:
        """Writes a new object.

        Raises:
            ConflictError: The object exists.
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
            kinds: Kinds of interest.
            since: Store version after which changes are wanted.
            deadline: Monotonic seconds. Without a change until then the
                result is empty.

        Raises:
            WatchExpiredError: Read the lists again.
        """


class VmList(Protocol):
    """The platform's list of VMs, which lags behind the actual state."""

    async def fetch(self) -> tuple[objects.Vm, ...]:
        """Returns all VMs.

        Raises:
            StoreUnavailableError: The platform did not answer.
        """
