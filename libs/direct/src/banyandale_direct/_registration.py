"""Discovery of gateways through the store.

Gateways usually discover each other through the seed addresses in their
settings. These may be stale, so the first gateway of each zone also writes an
entry to the store, and a gateway that hears no other one reads the entries.
"""

import random
import time

import curio

import banyandale_core as core
from banyandale_direct import _members as members
from banyandale_direct import _protocols as protocols
from banyandale_direct import _rejections as rejections
import banyandale_platform as platform

# Time allowed for the seed addresses to answer.
LISTEN_SECONDS = 1.0
# Interval at which the first gateway of a zone reads the entries, so that
# groups of gateways that do not know each other merge.
READ_SECONDS = 10.0
# Pauses between attempts double from the first to the longest.
FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 4.0


class Registration:
    """Writes this gateway's entry and reads those of the others."""

    def __init__(
        self,
        *,
        store: platform.ObjectStore,
        documents: protocols.StoreCodec,
        table: members.MemberTable,
        events: core.EventLog,
        metrics: core.Metrics,
        random_source: random.Random,
    ) -> None:
        self._store = store
        self._documents = documents
        self._table = table
        self._events = events
        self._metrics = metrics
        self._random = random_source
        self._rejections = rejections.Rejections(events=events, metrics=metrics)

    async def run(self) -> None:
        """Writes and reads the entries in an endless loop."""
        await curio.sleep(LISTEN_SECONDS)
        pause = FIRST_PAUSE_SECONDS
        while True:
            now = time.monotonic()
            alone = self._table.is_alone(now=now)
            if not alone and self._table.rank(now=now) > 0:
                await curio.sleep(LISTEN_SECONDS)
                continue
            try:
                await self._exchange_entries()
            except platform.PlatformError as error:
                self._metrics.incr(f"register_failed:{error.code}")
                self._events.write(
                    "register_failed", reason=error.code, error=str(error)
                )
                await curio.sleep(pause * self._random.uniform(0.5, 1.0))
                pause = min(pause * 2, LONGEST_PAUSE_SECONDS)
                continue
            if alone:
                await curio.sleep(pause)
                pause = min(pause * 2, READ_SECONDS)
            else:
                pause = FIRST_PAUSE_SECONDS
                await curio.sleep(READ_SECONDS)

    async def _exchange_entries(self) -> None:
        listing = await self._store.list(kind=self._documents.member_kind)
        self._metrics.incr(f"store_calls:list.{self._documents.member_kind}")
        names = {stored.name for stored in listing.objects}
        if self._table.own.ip not in names:
            # Not written yet, or lost by the store.
            await self._write_entry()
        self._rejections.keep_only(self._documents.member_kind, names)
        read = [
            self._rejections.read(stored, self._documents.read_member)
            for stored in listing.objects
        ]
        others = [member for member in read if member is not None]
        self._table.add_unconfirmed(others, now=time.monotonic())
        self._events.write_state(
            "registered", gateways=len(others), store_version=listing.version
        )

    async def _write_entry(self) -> None:
        kind = self._documents.member_kind
        own = self._table.own
        value = self._documents.write_member(own)
        self._metrics.incr(f"store_calls:create.{kind}")
        try:
            await self._store.create(kind=kind, name=own.ip, value=value)
        except platform.ConflictError:
            # A write whose response was lost; the content is the same.
            return
