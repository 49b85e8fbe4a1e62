"""Writes that read the object back when the response is lost."""

from collections.abc import Mapping
import json

import banyandale_core as core
from banyandale_platform import _errors as errors
from banyandale_platform import _objects as objects
from banyandale_platform import _protocols as protocols

# Maximum number of times that one write is sent. After each lost response
# the object is read back; if the write is not there, it is sent again.
MAX_SENDS = 3


def decode_fields(stored: objects.StoredObject) -> dict[str, object]:
    """Parses the JSON object in a stored value.

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
    """Writes JSON objects that contain the writer's id and attempt number.

    If the response to a write is lost, the object is read back. If it
    contains this writer and attempt, the write took effect. If it still has
    the expected version, the same write is sent again; because the write is
    conditional, at most one copy takes effect, even if the first arrives
    late. Otherwise another writer was first, or has already replaced this
    write, and a conflict is raised.
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
            store: Store to write to.
            writer: Id that no other writer uses, now or later, in this or
                another process.
            metrics: Counts lost responses as `platform_read_back`.
        """
        self._store = store
        self._writer = writer
        self._metrics = metrics
        self._attempt = 0

    async def create(
        self, *, kind: str, name: str, fields: Mapping[str, object]
    ) -> objects.StoredObject:
        """Creates an object.

        Raises:
            ConflictError: The object exists and this write did not create it.
            OutcomeUnknownError: A response was lost, and whether the write
                took effect could not be determined.
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
            ConflictError: The object has another version, which this write
                did not create.
            OutcomeUnknownError: A response was lost, and whether the write
                took effect could not be determined.
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
        lost_response: errors.OutcomeUnknownError | None = None
        for _ in range(MAX_SENDS):
            try:
                return await self._send(kind, name, value, version)
            except errors.ConflictError as error:
                # The conflict is with an earlier copy of this very write. That
                # is possible only after a lost response.
                if (
                    lost_response
                    and error.current
                    and error.current.value == value
                ):
                    return error.current
                raise
            except errors.OutcomeUnknownError as error:
                lost_response = error
            except (
                errors.StoreUnavailableError,
                errors.CallBudgetError,
            ) as error:
                if lost_response is None:
                    raise
                raise errors.OutcomeUnknownError(str(error)) from error
            current = await self._read_back(kind, name)
            if current is not None and current.value == value:
                return current
            if (None if current is None else current.version) != version:
                raise errors.ConflictError(
                    f"{kind}/{name}: replaced by another write",
                    current=current,
                ) from lost_response
        raise errors.OutcomeUnknownError(f"{kind}/{name}: {lost_response}")

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

        If a response was lost and the object is absent, it counts as deleted.

        Raises:
            ConflictError: The object has another version.
            OutcomeUnknownError: A response was lost, and whether the write
                took effect could not be determined.
        """
        response_lost = False
        for _ in range(MAX_SENDS):
            try:
                await self._store.delete(kind=kind, name=name, version=version)
                return
            except errors.ConflictError as error:
                if not response_lost or error.current is not None:
                    raise
                return
            except errors.OutcomeUnknownError:
                response_lost = True
            except (
                errors.StoreUnavailableError,
                errors.CallBudgetError,
            ) as error:
                if not response_lost:
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
        raise errors.OutcomeUnknownError(
            f"{kind}/{name}: no response to delete"
        )

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
