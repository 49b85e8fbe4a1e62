"""Follows the objects of one kind."""

from collections.abc import Callable
import random
import time

import curio

from banyandale_platform import _errors as errors
from banyandale_platform import _objects as objects
from banyandale_platform import _protocols as protocols

# How long one watch waits for a change. A connection that went silent is
# noticed after it at the latest.
WAIT_SECONDS = 10.0
# Pauses after failed calls double from the first to the longest; each is
# spread over 50% to 100%. The longest keeps the time from the end of an
# outage to the first good call well below the users' three seconds.
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.8


class Watcher:
    """Reads the list of a kind and then watches its changes, for ever."""

    def __init__(
        self,
        *,
        store: protocols.ObjectStore,
        kind: str,
        on_listing: Callable[[objects.Listing], None],
        on_change: Callable[[objects.Change], None],
        on_state: Callable[[bool, str], None],
        wait_seconds: float = WAIT_SECONDS,
        random_source: random.Random | None = None,
    ) -> None:
        """Creates a watcher.

        Args:
            store: Where to read.
            kind: Kind of the objects.
            on_listing: Gets each complete list.
            on_change: Gets each change, in order.
            on_state: Gets whether the store answers, when that changes, with
                the reason.
            wait_seconds: How long one watch waits.
            random_source: Source of the spread of pauses.
        """
        self._store = store
        self._kind = kind
        self._on_listing = on_listing
        self._on_change = on_change
        self._on_state = on_state
        self._wait = wait_seconds
        self._random = random_source or random.Random()
        self._version: int | None = None
        self._pause = FIRST_PAUSE_SECONDS
        self._available = True

    async def run(self) -> None:
        """Follows the kind until cancelled."""
        while True:
            try:
                await self._step()
            except errors.WatchExpiredError as error:
                self._version = None
                self._set_available(False, f"{error.code}: {error}")
                # A store that keeps few changes is not called in a loop.
                await curio.sleep(FIRST_PAUSE_SECONDS)
            except errors.PlatformError as error:
                self._set_available(False, f"{error.code}: {error}")
                await curio.sleep(self._pause * self._random.uniform(0.5, 1.0))
                self._pause = min(self._pause * 2, LONGEST_PAUSE_SECONDS)
            else:
                self._pause = FIRST_PAUSE_SECONDS
                self._set_available(True, "answered")

    async def _step(self) -> None:
        if self._version is None:
            listing = await self._store.list(kind=self._kind)
            self._on_listing(listing)
            self._version = listing.version
            return
        changes = await self._store.watch(
            kinds=(self._kind,),
            since=self._version,
            deadline=time.monotonic() + self._wait,
        )
        for change in changes.changes:
            self._on_change(change)
        self._version = changes.version

    def _set_available(self, available: bool, reason: str) -> None:
        if available != self._available:
            self._available = available
            self._on_state(available, reason)
