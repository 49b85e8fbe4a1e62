"""Publishes configuration documents.

A change is accepted when the conditional update of the root takes effect. A
change is published in these steps:

1. Read the root. Its generation must be the base of the document.
2. Write the history object of the base, in case its publisher stopped before
   writing it.
3. Write the parts that the base does not name. A part that already exists is
   written again, which gives it a new version.
4. Update the root on condition that it has the version read in step 1.

Unused parts are deleted in a sweep: parts and history are listed between steps
2 and 3, and after step 4 each part that neither the new root nor the kept
history names is deleted on condition that it has the listed version. A
concurrent publisher that relies on such a part either wrote it again after
reading the new root, so that the deletion conflicts, or read an older root, so
that its own step 4 conflicts.
"""

import dataclasses
import random
import time
import uuid

import curio

from banyandale_config import _changes as changes
from banyandale_config import _errors as errors
from banyandale_config import _fetch as fetch
from banyandale_config import _models as models
from banyandale_config import _parts as parts
from banyandale_config import _rollout as rollout
import banyandale_core as core
import banyandale_platform as platform
import banyandale_retry as retry

KEPT_GENERATIONS = 50
# Number of generations between sweeps. A sweep lists all parts, which are
# several megabytes at 350 services, so it does not run after each change.
SWEEP_INTERVAL_GENERATIONS = 10
APPLY_TIMEOUT_SECONDS = 20.0
CLEANUP_TIMEOUT_SECONDS = 5.0
MAX_AUTHOR_CHARACTERS = 100
MAX_MESSAGE_CHARACTERS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Published:
    """A published generation with its document.

    Attributes:
        generation: Number of the generation, starting at 1.
        document: The document, with services sorted by name.
        author: Name of the author.
        message: Description of the change by the author.
        accepted_unix_ms: Unix time of publication in milliseconds, by the
            publisher's clock.
    """

    generation: int
    document: models.Document
    author: str
    message: str
    accepted_unix_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class HistoryEntry:
    """A generation in the history, without its document."""

    generation: int
    author: str
    message: str
    accepted_unix_ms: int


@dataclasses.dataclass(kw_only=True)
class _Attempt:
    """State of one call of `apply`, shared by all its retries."""

    document: models.Document
    base_generation: int
    author: str
    message: str
    accepted_unix_ms: int
    identity: str
    # Whether an update of the root may have reached the platform.
    root_sent: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sweep:
    """Parts and history listed before the root was updated."""

    parts: tuple[platform.StoredObject, ...]
    history: tuple[platform.StoredObject, ...]


class Publisher:
    """Publishes documents and reads published documents.

    Attributes:
        writer: Identity of this publisher, unique among all writers.
    """

    def __init__(
        self,
        *,
        store: platform.ObjectStore,
        writer: str | None = None,
        clock: core.Clock | None = None,
        metrics: core.Metrics | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.writer = writer or f"publisher-{uuid.uuid4().hex}"
        self._store = store
        self._clock = clock or core.SystemClock()
        self._metrics = metrics or core.MemoryMetrics()
        self._rng = rng or random.Random()

    async def read(self) -> Published | None:
        """Returns the newest generation, or None if none is published."""
        while (root := await self._read_root()) is not None:
            try:
                return await self._read_published(root[1])
            except errors.DamagedConfigError:
                # If the root was replaced meanwhile, a sweep may have deleted
                # parts of the old root.
                latest = await self._read_root()
                if latest is None or latest[0].version == root[0].version:
                    raise
        return None

    async def read_generation(self, generation: int) -> Published:
        """Returns a generation of the history.

        Raises:
            GenerationNotFoundError: The generation is no longer kept or never
                existed.
        """
        published = await self._find_generation(generation)
        if published is None:
            raise errors.GenerationNotFoundError(
                f"generation {generation} is not in the history"
            )
        return published

    async def history(self) -> tuple[HistoryEntry, ...]:
        """Returns the last `KEPT_GENERATIONS` generations, newest first."""
        listing = await self._store.list(kind=parts.HISTORY_KIND)
        roots = [parts.read_root(entry.value) for entry in listing.objects]
        current = await self._read_root()
        if current is not None:
            roots.append(current[1])
        by_generation = {root.generation: root for root in roots}
        newest = sorted(by_generation, reverse=True)[:KEPT_GENERATIONS]
        return tuple(
            HistoryEntry(
                generation=generation,
                author=by_generation[generation].author,
                message=by_generation[generation].message,
                accepted_unix_ms=by_generation[generation].accepted_unix_ms,
            )
            for generation in newest
        )

    async def check_base(
        self, document: models.Document, *, base_generation: int
    ) -> Published | None:
        """Returns the newest generation if it is the base of a document.

        Changes nothing; it reports a conflict before `apply` is called.

        Raises:
            ConfigConflictError: The base is no longer the newest generation.
        """
        newest = await self.read()
        if (newest.generation if newest else 0) != base_generation:
            raise await self._build_conflict(document, base_generation)
        return newest

    async def restore(
        self,
        generation: int,
        *,
        base_generation: int,
        author: str,
        message: str = "",
        deadline: float | None = None,
    ) -> int:
        """Publishes an old document as a new generation.

        Raises:
            GenerationNotFoundError: The old document is no longer kept.
            ConfigError: See `apply`.
        """
        old = await self.read_generation(generation)
        return await self.apply(
            old.document,
            base_generation=base_generation,
            author=author,
            message=message or f"restore generation {generation}",
            deadline=deadline,
        )

    async def apply(
        self,
        document: models.Document,
        *,
        base_generation: int,
        author: str,
        message: str,
        deadline: float | None = None,
    ) -> int:
        """Publishes a document.

        Args:
            document: The checked document.
            base_generation: Generation that the document is based on; 0 if
                none was published.
            author: Name of the author.
            message: Description of the change.
            deadline: Deadline in monotonic seconds; by default
                `APPLY_TIMEOUT_SECONDS` from now.

        Returns:
            The accepted generation, or the base if the document does not
            differ from it.

        Raises:
            ConfigConflictError: The base is no longer the newest generation.
            ConfigOutcomeUnknownError: The deadline passed after the update of
                the root was sent; the change may have taken effect.
            StoreUnavailableError: The deadline passed before the update was
                sent; nothing took effect.
        """
        attempt = _Attempt(
            document=document,
            base_generation=base_generation,
            author=author[:MAX_AUTHOR_CHARACTERS],
            message=message[:MAX_MESSAGE_CHARACTERS],
            accepted_unix_ms=int(
                self._clock.unix() * core.MILLISECONDS_PER_SECOND
            ),
            identity=uuid.uuid4().hex,
        )
        if deadline is None:
            deadline = time.monotonic() + APPLY_TIMEOUT_SECONDS
        try:
            async with core.timeout_at(deadline):
                generation, sweep = await self._apply_with_retries(attempt)
        except curio.TaskTimeout as error:
            if attempt.root_sent:
                raise errors.ConfigOutcomeUnknownError(
                    "the platform did not confirm or reject the change"
                ) from error
            raise platform.StoreUnavailableError(
                "the platform did not answer; nothing was changed"
            ) from error
        if generation != base_generation:
            self._metrics.incr("config_accepted")
            await self._try_cleanup(generation, sweep)
        return generation

    async def _apply_with_retries(
        self, attempt: _Attempt
    ) -> tuple[int, _Sweep | None]:
        backoff = retry.Backoff(rng=self._rng)
        while True:
            try:
                return await self._try_apply(attempt)
            except platform.StoreRejectedError:
                raise
            except platform.ConflictError:
                # The root or a part has changed. The next try reads the root
                # and finds out whether this change was accepted.
                continue
            except platform.PlatformError as error:
                self._metrics.incr(error.code)
                await curio.sleep(backoff.next_delay())

    async def _try_apply(self, attempt: _Attempt) -> tuple[int, _Sweep | None]:
        current = await self._read_root()
        if current is None and attempt.base_generation == 0:
            return await self._write(attempt, None)
        if current is None:
            raise errors.DamagedConfigError(
                "the platform has no configuration root"
            )
        found, root = current
        if root.attempt == attempt.identity:
            return root.generation, None
        if root.generation == attempt.base_generation:
            return await self._write(attempt, (found, root))
        if attempt.root_sent and await self._was_superseded(attempt):
            return attempt.base_generation + 1, None
        raise await self._build_conflict(
            attempt.document, attempt.base_generation
        )

    async def _was_superseded(self, attempt: _Attempt) -> bool:
        # A publisher writes the history object of a root before replacing the
        # root, so an accepted change is in the history.
        entry = await self._store.get(
            kind=parts.HISTORY_KIND,
            name=parts.history_name(attempt.base_generation + 1),
        )
        if entry is None:
            return False
        return parts.read_root(entry.value).attempt == attempt.identity

    async def _write(
        self,
        attempt: _Attempt,
        base: tuple[platform.StoredObject, models.ConfigRoot] | None,
    ) -> tuple[int, _Sweep | None]:
        names, values = parts.split(attempt.document.services)
        base_names: set[str] = set()
        if base is not None:
            base_names = set(base[1].parts.values())
            if (
                base[1].parts == names
                and base[1].zones == attempt.document.zones
            ):
                return attempt.base_generation, None
        generation = attempt.base_generation + 1
        if base is not None:
            await self._write_history(attempt.base_generation, base[0].value)
        sweep = await self._list_for_sweep(generation)
        for name in sorted(values.keys() - base_names):
            await self._write_part(name, values[name])
        value = parts.encode(
            models.ConfigRoot(
                writer=self.writer,
                attempt=attempt.identity,
                generation=generation,
                zones=attempt.document.zones,
                parts=names,
                author=attempt.author,
                message=attempt.message,
                accepted_unix_ms=attempt.accepted_unix_ms,
            ).model_dump(mode="json")
        )
        await self._write_root(attempt, value, base and base[0].version)
        return generation, sweep

    async def _write_root(
        self, attempt: _Attempt, value: bytes, version: int | None
    ) -> None:
        attempt.root_sent = True
        if version is None:
            await self._store.create(
                kind=parts.ROOT_KIND, name=parts.ROOT_NAME, value=value
            )
        else:
            await self._store.update(
                kind=parts.ROOT_KIND,
                name=parts.ROOT_NAME,
                value=value,
                version=version,
            )

    async def _write_part(self, name: str, value: bytes) -> None:
        try:
            await self._store.create(
                kind=parts.PART_KIND, name=name, value=value
            )
        except platform.ConflictError as error:
            if error.current is None:
                raise
            await self._store.update(
                kind=parts.PART_KIND,
                name=name,
                value=value,
                version=error.current.version,
            )

    async def _write_history(self, generation: int, value: bytes) -> None:
        try:
            await self._store.create(
                kind=parts.HISTORY_KIND,
                name=parts.history_name(generation),
                value=value,
            )
        except platform.ConflictError:
            pass

    async def _list_for_sweep(self, generation: int) -> _Sweep | None:
        if generation % SWEEP_INTERVAL_GENERATIONS:
            return None
        listed = await self._store.list(kind=parts.PART_KIND)
        history = await self._store.list(kind=parts.HISTORY_KIND)
        return _Sweep(parts=listed.objects, history=history.objects)

    async def _try_cleanup(self, generation: int, sweep: _Sweep | None) -> None:
        """Writes the history object and deletes objects no longer needed.

        A failure does not affect the accepted change: the next publisher
        writes the history object, and the next sweep deletes the objects.
        """
        try:
            async with core.timeout_at(
                time.monotonic() + CLEANUP_TIMEOUT_SECONDS
            ):
                await self._clean_up(generation, sweep)
        except (platform.PlatformError, errors.DamagedConfigError) as error:
            self._metrics.incr(error.code)
        except curio.TaskTimeout:
            self._metrics.incr("config_cleanup_timeout")

    async def _clean_up(self, generation: int, sweep: _Sweep | None) -> None:
        current = await self._read_root()
        if current is None or current[1].generation != generation:
            return
        root = current[1]
        await self._write_history(generation, current[0].value)
        if sweep is None:
            return
        oldest = generation - KEPT_GENERATIONS
        kept = set(root.parts.values())
        expired = []
        for entry in sweep.history:
            old = parts.read_root(entry.value)
            if old.generation <= oldest:
                expired.append(entry)
            else:
                kept.update(old.parts.values())
        unused = [part for part in sweep.parts if part.name not in kept]
        for entry in (*expired, *unused):
            await self._try_delete(entry)
        await rollout.delete_old_statuses(self._store, oldest)

    async def _try_delete(self, entry: platform.StoredObject) -> None:
        try:
            await self._store.delete(
                kind=entry.kind, name=entry.name, version=entry.version
            )
        except platform.ConflictError:
            # Another publisher has written it again or deleted it.
            self._metrics.incr("config_sweep_conflict")

    async def _read_root(
        self,
    ) -> tuple[platform.StoredObject, models.ConfigRoot] | None:
        found = await self._store.get(
            kind=parts.ROOT_KIND, name=parts.ROOT_NAME
        )
        return None if found is None else (found, parts.read_root(found.value))

    async def _read_published(self, root: models.ConfigRoot) -> Published:
        values = await fetch.fetch_parts(self._store, set(root.parts.values()))
        return Published(
            generation=root.generation,
            document=parts.join(root, values),
            author=root.author,
            message=root.message,
            accepted_unix_ms=root.accepted_unix_ms,
        )

    async def _find_generation(self, generation: int) -> Published | None:
        entry = await self._store.get(
            kind=parts.HISTORY_KIND, name=parts.history_name(generation)
        )
        if entry is not None:
            root = parts.read_root(entry.value)
        else:
            current = await self._read_root()
            if current is None or current[1].generation != generation:
                return None
            root = current[1]
        try:
            return await self._read_published(root)
        except errors.DamagedConfigError:
            return None

    async def _build_conflict(
        self, document: models.Document, base_generation: int
    ) -> errors.ConfigConflictError:
        current = await self.read()
        if current is None:
            raise errors.DamagedConfigError(
                "the platform has no configuration root"
            )
        base = None
        if base_generation:
            base = await self._find_generation(base_generation)
        accepted: tuple[changes.Change, ...] = ()
        if base is not None or base_generation == 0:
            accepted = changes.compare(base and base.document, current.document)
        return errors.ConfigConflictError(
            generation=current.generation,
            author=current.author,
            message=current.message,
            accepted=accepted,
            proposed=changes.compare(current.document, document),
        )

    async def wait_in_force(
        self, generation: int, *, deadline: float
    ) -> rollout.Rollout:
        """Waits until every live gateway has the generation in force.

        Args:
            generation: The accepted generation.
            deadline: Monotonic seconds; after it the last known state is
                returned.
        """
        return await rollout.wait_in_force(
            self._store, generation, deadline=deadline
        )
