"""Writes whose lost responses are resolved by reading back."""

from collections.abc import Mapping
import json

import banyandale_core as core
from banyandale_platform import _errors as errors
from banyandale_platform import _objects as objects
from banyandale_platform import _protocols as protocols

# Each round reads the object back and, when the write is not there, sends
# the same conditional write again.
MAX_ROUNDS = 3


def decode_fields(stored: objects.StoredObject) -> dict[str, object]:
    """Reads the JSON object in a value.

    Raises:
        StoreRejectedError: The value is not a JSON object.
    """
    try:
        fields = json.loads(stored.value)
    except ValueError as error:
        raise errors.StoreRejectedError(
            f"{stored.kind}/{stored.name}: value is not JSON: {error}"
        ) from error
    if not isinstance(fields, dict):
        raise errors.StoreRejectedError(
            f"{stored.kind}/{stored.name}: value is not a JSON object"
        )
    return fields


class Writer:
    """Writes JSON objects that name their writer and attempt.

    When the response to a write is lost, the object is read back. If it
    names this writer and attempt, the write took effect. If it still meets
    the condition of the write, the same write is sent again; the condition
    lets at most one copy take effect, even if the first arrives late. Any
    other content means that another writer was faster, or has already
    replaced this write, and is reported as a conflict.
    """

    def __init__(
        self,
        *,
        store: protocols.ObjectStore,
        writer: str,
        metrics: core.Metrics,
    ) -> None:
        """Creates a writer.

        Args:
            store: Where to write.
            writer: Identity that no other process uses, now or later. Two
                writers of one process need different identities as well.
            metrics: Receives `platform_read_back` per lost response.
        """
        self._store = store
        self._writer = writer
        self._metrics = metrics
        self._attempt = 0

    async def create(
        self, *, kind: str, name: str, fields: Mapping[str, object]
    ) -> objects.StoredObject:
        """Writes a new object.

        Raises:
            ConflictError: The object exists and is not this write.
            OutcomeUnknownError: Reading back failed as well.
        """
        return await self._write(kind, name, fields, None)

    async def update(
        self,
        *,
        kind: str,
        name: str,
        fields: Mapping[str, object],
        version: int,
    ) -> objects.StoredObject:
        """Replaces an object that has the given version.

        Raises:
            ConflictError: The object has another version and is not this
                write.
            OutcomeUnknownError: Reading back failed as well.
        """
        return await self._write(kind, name, fields, version)

    async def _write(
        self,
        kind: str,
        name: str,
        fields: Mapping[str, object],
        version: int | None,
    ) -> objects.StoredObject:
        value = self._encode(fields)
        lost: errors.OutcomeUnknownError | None = None
        for _ in range(MAX_ROUNDS):
            try:
                return await self._send(kind, name, value, version)
            except errors.ConflictError as error:
                # Without a lost response this attempt cannot be stored.
                if lost and error.current and error.current.value == value:
                    return error.current
                raise
            except errors.OutcomeUnknownError as error:
                lost = error
            except (
                errors.StoreUnavailableError,
                errors.CallBudgetError,
            ) as error:
                if lost is None:
                    raise
                raise errors.OutcomeUnknownError(str(error)) from error
            current = await self._read_back(kind, name)
            if current is not None and current.value == value:
                return current
            if (None if current is None else current.version) != version:
                raise errors.ConflictError(
                    f"{kind}/{name}: replaced by another write",
                    current=current,
                ) from lost
        raise errors.OutcomeUnknownError(f"{kind}/{name}: {lost}")

    def _encode(self, fields: Mapping[str, object]) -> bytes:
        self._attempt += 1
        return json.dumps(
            {"writer": self._writer, "attempt": self._attempt, **fields},
            separators=(",", ":"),
        ).encode()

    async def _send(
        self, kind: str, name: str, value: bytes, version: int | None
    ) -> objects.StoredObject:
        if version is None:
            return await self._store.create(kind=kind, name=name, value=value)
        return await self._store.update(
            kind=kind, name=name, value=value, version=version
        )

    async def delete(self, *, kind: str, name: str, version: int) -> None:
        """Deletes an object that has the given version.

        After a lost response an absent object counts as deleted.

        Raises:
            ConflictError: The object has another version.
            OutcomeUnknownError: Reading back failed as well.
        """
        lost = False
        for _ in range(MAX_ROUNDS):
            try:
                await self._store.delete(kind=kind, name=name, version=version)
                return
            except errors.ConflictError as error:
                if not lost or error.current is not None:
                    raise
                return
            except errors.OutcomeUnknownError:
                lost = True
            except (
                errors.StoreUnavailableError,
                errors.CallBudgetError,
            ) as error:
                if not lost:
                    raise
                raise errors.OutcomeUnknownError(str(error)) from error
            current = await self._read_back(kind, name)
            if current is None:
                return
            if current.version != version:
                raise errors.ConflictError(
                    f"{kind}/{name}: replaced by another write",
                    current=current,
                )
        raise errors.OutcomeUnknownError(f"{kind}/{name}: no response")

    async def _read_back(
        self, kind: str, name: str
    ) -> objects.StoredObject | None:
        self._metrics.incr("platform_read_back")
        try:
            return await self._store.get(kind=kind, name=name)
        except (errors.StoreUnavailableError, errors.CallBudgetError) as error:
            raise errors.OutcomeUnknownError(
                f"{kind}/{name}: reading back failed: {error}"
            ) from error
