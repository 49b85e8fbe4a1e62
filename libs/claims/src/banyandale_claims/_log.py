"""The records of one shard as a chain of segments in the object store.

Objects of kind `claim`:

- `<service>.<shard>` is the head: `{"first": n}`, the number of the oldest
  segment that is kept. It is never deleted.
- `<service>.<shard>.<n>` is a segment: `{"sealed": bool, "records": {...}}`.

Only the last segment of the chain changes. A segment is sealed before its
successor is created, and sealed segments never change, so the version of the
last segment stands for the state of the whole shard. A decision that was
taken on a loaded state and is written by a conditional update of the last
segment therefore holds, whoever else writes.

A segment is created empty, and the head is read after the last segment. As
the head moves on before segments are deleted, this tells a segment of the
chain from one that a paused gateway created anew after its deletion.
"""

import dataclasses
import time
from typing import Any

from banyandale_claims import _records as records
import banyandale_core as core
import banyandale_platform as platform

KIND = "claim"
SEGMENT_BYTES = 64 * 1024
RETENTION_SECONDS = 600.0
# Clocks of VMs differ; a segment is deleted this much after its retention.
DELETE_MARGIN_SECONDS = 60.0
MAX_LOAD_ROUNDS = 5

RETENTION_MS = int(RETENTION_SECONDS * core.MILLISECONDS_PER_SECOND)
DELETE_MS = RETENTION_MS + int(
    DELETE_MARGIN_SECONDS * core.MILLISECONDS_PER_SECOND
)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Segment:
    number: int
    version: int
    sealed: bool
    records: dict[str, records.Record]
    size: int

    def newest_ms(self) -> int:
        """Returns the time of the newest record in Unix milliseconds."""
        return max(
            (record.at_ms for record in self.records.values()), default=0
        )


class ShardLog:
    """Reads and writes the records of one shard.

    Attributes:
        loaded_at: Monotonic seconds before which the state was read, or None
            when it must be read again.
    """

    def __init__(
        self,
        *,
        store: platform.ObjectStore,
        writer: platform.Writer,
        name: str,
        clock: core.Clock,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self._store = store
        self._writer = writer
        self._name = name
        self._clock = clock
        self._segment_bytes = segment_bytes
        self._segments: dict[int, _Segment] = {}
        self._last: _Segment | None = None
        self._index: dict[str, records.Record] = {}
        # Segments behind the head that are not deleted yet.
        self._condemned: list[_Segment] = []
        self.loaded_at: float | None = None

    @property
    def version(self) -> int:
        """Version of the last segment."""
        return self._last.version if self._last is not None else 0

    def find(self, key: str) -> records.Record | None:
        """Returns what is known about a key, unless it has expired."""
        record = self._index.get(key)
        if record is None or record.at_ms < self._now_ms() - RETENTION_MS:
            return None
        return record

    def _now_ms(self) -> int:
        return int(self._clock.unix() * core.MILLISECONDS_PER_SECOND)

    def invalidate(self) -> None:
        """Makes the next `load` read the state again."""
        self.loaded_at = None

    def forget(self) -> None:
        """Drops the state from memory; the next `load` reads all of it."""
        self.loaded_at = None
        self._last = None
        self._segments.clear()
        self._index.clear()

    async def load(self) -> None:
        """Reads what has changed since the state was last read.

        Raises:
            PlatformError: The store failed.
        """
        started_at = time.monotonic()
        for _ in range(MAX_LOAD_ROUNDS):
            if self._last is None:
                number = await self._read_head()
            else:
                number = self._last.number + self._last.sealed
            created = await self._walk(number)
            first = await self._read_head()
            if first <= self._last.number:
                self._drop_before(first)
                self.loaded_at = started_at
                return
            # The walk ended behind the chain. Nothing of it is valid.
            stray = self._last
            self.forget()
            if created:
                await self._delete_segment(stray)
        raise platform.StoreUnavailableError(
            f"{KIND}/{self._name}: the chain changes all the time"
        )

    async def _read_head(self) -> int:
        stored = await self._store.get(kind=KIND, name=self._name)
        if stored is None:
            try:
                await self._writer.create(
                    kind=KIND, name=self._name, fields={"first": 0}
                )
            except platform.ConflictError:
                return await self._read_head()
            return 0
        return platform.decode_fields(stored)["first"]

    async def _walk(self, number: int) -> bool:
        """Reads segments up to the last; returns whether it was created."""
        while True:
            created = False
            name = f"{self._name}.{number}"
            stored = await self._store.get(kind=KIND, name=name)
            if stored is None:
                stored = await self._create_segment(name)
                created = True
            segment = self._decode_segment(number, stored)
            self._segments[number] = segment
            self._index.update(segment.records)
            self._last = segment
            if not segment.sealed:
                return created
            number += 1

    async def _create_segment(self, name: str) -> platform.StoredObject:
        try:
            return await self._writer.create(
                kind=KIND, name=name, fields={"sealed": False, "records": {}}
            )
        except platform.ConflictError as error:
            if error.current is None:
                raise
            return error.current

    @staticmethod
    def _decode_segment(number: int, stored: platform.StoredObject) -> _Segment:
        fields = platform.decode_fields(stored)
        try:
            return _Segment(
                number=number,
                version=stored.version,
                sealed=fields["sealed"],
                records={
                    key: records.decode_record(record)
                    for key, record in fields["records"].items()
                },
                size=len(stored.value),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise platform.StoreRejectedError(
                f"{stored.kind}/{stored.name}: malformed: {error!r}"
            ) from error

    def _drop_before(self, first: int) -> None:
        for number in [n for n in self._segments if n < first]:
            segment = self._segments.pop(number)
            for key, record in segment.records.items():
                if self._index.get(key) is record:
                    del self._index[key]

    async def append(self, changes: dict[str, records.Record]) -> None:
        """Adds records, if nobody has written since the state was read.

        Seals the segment when it has reached its size, and then opens the
        next one when the state is loaded again.

        Raises:
            ConflictError: Somebody has; load the state again.
            OutcomeUnknownError: The records may have been written.
            PlatformError: The records were not written.
        """
        last = self._last
        oldest_ms = self._now_ms() - RETENTION_MS
        merged = {
            key: record
            for key, record in last.records.items()
            if record.at_ms >= oldest_ms
        }
        merged.update(changes)
        fields = self._encode_segment(merged, sealed=False)
        sealed = last.size >= self._segment_bytes
        if sealed:
            fields["sealed"] = True
        started_at = time.monotonic()
        loaded_at = self.loaded_at
        self.invalidate()
        try:
            stored = await self._writer.update(
                kind=KIND,
                name=f"{self._name}.{last.number}",
                fields=fields,
                version=last.version,
            )
        except platform.CallBudgetError:
            # Nothing was sent, and reading again would cost more calls.
            self.loaded_at = loaded_at
            raise
        last.records = merged
        last.version = stored.version
        last.size = len(stored.value)
        last.sealed = sealed
        self._index.update(changes)
        if not sealed:
            # Nobody else has written between the state and this write.
            self.loaded_at = started_at

    @staticmethod
    def _encode_segment(
        segment: dict[str, records.Record], *, sealed: bool
    ) -> dict[str, Any]:
        return {
            "sealed": sealed,
            "records": {
                key: records.encode_record(record)
                for key, record in segment.items()
            },
        }

    async def clean(self) -> int:
        """Deletes segments after their retention; returns their number.

        Raises:
            PlatformError: The store failed; the rest is left for next time.
        """
        limit = self._now_ms() - DELETE_MS
        expired = []
        for number in sorted(self._segments):
            segment = self._segments[number]
            if not segment.sealed or segment.newest_ms() >= limit:
                break
            expired.append(segment)
        if not expired:
            return await self._delete_condemned()
        await self._move_head(expired[-1].number + 1)
        self._drop_before(expired[-1].number + 1)
        self._condemned += expired
        return await self._delete_condemned()

    async def _delete_condemned(self) -> int:
        count = 0
        while self._condemned:
            await self._delete_segment(self._condemned[-1])
            self._condemned.pop()
            count += 1
        return count

    async def _move_head(self, first: int) -> None:
        stored = await self._store.get(kind=KIND, name=self._name)
        if platform.decode_fields(stored)["first"] >= first:
            return
        await self._writer.update(
            kind=KIND,
            name=self._name,
            fields={"first": first},
            version=stored.version,
        )

    async def _delete_segment(self, segment: _Segment) -> None:
        name = f"{self._name}.{segment.number}"
        try:
            await self._writer.delete(
                kind=KIND, name=name, version=segment.version
            )
        except platform.ConflictError:
            # Another gateway has deleted it.
            pass
