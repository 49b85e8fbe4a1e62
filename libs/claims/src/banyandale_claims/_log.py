"""Segmented log of the records of one shard in the object store.

The log consists of objects of kind `claim`:

- `<service>.<shard>` is the head: `{"first": n}`, the number of the oldest
  segment that is kept. It is never deleted.
- `<service>.<shard>.<n>` is a segment: `{"sealed": bool, "records": {...}}`.

Only the last segment of the log changes. A segment is sealed before its
successor is created, and sealed segments never change, so the version of the
last segment identifies the state of the whole shard. A decision that is based
on the loaded state and written by a conditional update of the last segment is
therefore valid even if other gateways write at the same time.

A gateway that was paused may create a segment again that was deleted
meanwhile. To detect this, segments are created empty, the head advances before
segments are deleted, and `load` reads the head after the last segment: a
segment with a number below `first` is not part of the log.
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
# Clocks of VMs differ, so a segment is deleted this long after its retention.
DELETE_MARGIN_SECONDS = 60.0
MAX_LOAD_ROUNDS = 5

RETENTION_MS = int(RETENTION_SECONDS * core.MILLISECONDS_PER_SECOND)
DELETE_AFTER_MS = RETENTION_MS + int(
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
        """Returns the Unix time of the newest record in milliseconds."""
        return max(
            (record.recorded_ms for record in self.records.values()), default=0
        )


class ShardLog:
    """Reads and writes the records of one shard.

    Attributes:
        loaded_at: Monotonic time in seconds; the loaded state includes all
            writes completed before it. None when the state must be read
            again.
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
        # Segments that the head no longer includes and that still exist.
        self._deletable: list[_Segment] = []
        self.loaded_at: float | None = None

    @property
    def version(self) -> int:
        """Version of the last segment; 0 before the first `load`."""
        return self._last.version if self._last is not None else 0

    def find(self, key: str) -> records.Record | None:
        """Returns the record of a key, or None if it is absent or expired."""
        record = self._index.get(key)
        if record is None or record.recorded_ms < self._now_ms() - RETENTION_MS:
            return None
        return record

    def _now_ms(self) -> int:
        return int(self._clock.unix() * core.MILLISECONDS_PER_SECOND)

    def invalidate(self) -> None:
        """Makes the next `load` read the state again."""
        self.loaded_at = None

    def clear(self) -> None:
        """Clears the cached state; the next `load` reads the whole log."""
        self.loaded_at = None
        self._last = None
        self._segments.clear()
        self._index.clear()

    async def load(self) -> None:
        """Reads the changes since the state was last read.

        Raises:
            PlatformError: The store failed.
        """
        started_at = time.monotonic()
        for _ in range(MAX_LOAD_ROUNDS):
            if self._last is None:
                number = await self._read_head()
            else:
                number = self._last.number + self._last.sealed
            created = await self._read_segments(number)
            first = await self._read_head()
            if first <= self._last.number:
                self._drop_before(first)
                self.loaded_at = started_at
                return
            # The segment read last is no longer part of the log, so all of
            # the state is out of date.
            detached = self._last
            self.clear()
            if created:
                await self._delete_segment(detached)
        raise platform.StoreUnavailableError(
            f"{KIND}/{self._name}: the log kept changing while it was read"
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

    async def _read_segments(self, number: int) -> bool:
        """Reads segments up to the last; returns whether it created that."""
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
        """Adds records by a conditional update of the last segment.

        Seals the segment when it has reached its size limit; the next `load`
        then creates its successor.

        Raises:
            ConflictError: Another gateway has written since the state was
                read; load the state again.
            OutcomeUnknownError: The records may have been written.
            PlatformError: The records were not written.
        """
        last = self._last
        oldest_ms = self._now_ms() - RETENTION_MS
        merged = {
            key: record
            for key, record in last.records.items()
            if record.recorded_ms >= oldest_ms
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
            # Nothing was sent, so the state is still valid. Reading it again
            # would use more of the call budget.
            self.loaded_at = loaded_at
            raise
        last.records = merged
        last.version = stored.version
        last.size = len(stored.value)
        last.sealed = sealed
        self._index.update(changes)
        if not sealed:
            # The condition held, so nobody else has written since the state
            # was read.
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
        """Deletes segments whose retention has passed; returns the count.

        Raises:
            PlatformError: The store failed; the next call deletes the rest.
        """
        limit = self._now_ms() - DELETE_AFTER_MS
        expired = []
        for number in sorted(self._segments):
            segment = self._segments[number]
            if not segment.sealed or segment.newest_ms() >= limit:
                break
            expired.append(segment)
        if not expired:
            return await self._delete_segments()
        await self._advance_head(expired[-1].number + 1)
        self._drop_before(expired[-1].number + 1)
        self._deletable += expired
        return await self._delete_segments()

    async def _delete_segments(self) -> int:
        count = 0
        while self._deletable:
            await self._delete_segment(self._deletable[-1])
            self._deletable.pop()
            count += 1
        return count

    async def _advance_head(self, first: int) -> None:
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
            # Another gateway has already deleted it.
            pass
