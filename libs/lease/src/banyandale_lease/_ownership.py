"""Assignment of homes to gateways.

A home is the exclusive right to dispatch the requests of one service to its
servers in one zone. One gateway at a time holds it.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import random

from absl import logging
import curio

import banyandale_core as core
from banyandale_lease import _keeper as keepers
from banyandale_lease import _records as records
from banyandale_lease import _rendezvous as rendezvous
from banyandale_lease import _view as views
import banyandale_platform as platform
import banyandale_retry as retry

# Pause between two watch calls, so that one call returns many renewals.
POLL_SECONDS = 0.5
# Maximum duration of a watch call. It is limited because leases also end
# without a change in the store.
WATCH_SECONDS = 1.0
HANDOVER_SECONDS = 1.0
# Maximum time between two scans. Lease renewals alone do not start a scan,
# because a scan visits every home.
SCAN_SECONDS = 1.0
MAX_WRITES_PER_SCAN = 32
# Revoked leases are kept this long so that operators can see them.
REVOKED_SECONDS = 60.0

HomeListener = Callable[[str, str], None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DesiredHomes:
    """The homes that should exist.

    Attributes:
        homes: All homes as (service, zone).
        zones_in_service: Zones that are in service. Only their gateways hold
            homes, and only their homes are assigned.
    """

    homes: Sequence[records.HomeKey]
    zones_in_service: frozenset[str]


class _ScanStoppedError(core.CodedError):
    """The scan stops early; the next scan does the rest."""

    code = "ownership_scan_ended"


def _ignore_home(service: str, zone: str) -> None:
    pass


def _is_always_idle(service: str, zone: str) -> bool:
    return True


class Ownership:
    """Acquires and releases homes and tracks their holders.

    This gateway holds a home only while the home's object names the gateway
    and its current boot id, and while its lease is valid. After the gateway
    has released a home, it holds it again only once a later version of the
    object says so, because the write that releases the home may still be in
    flight.
    """

    def __init__(
        self,
        *,
        store: platform.ObjectStore,
        keeper: keepers.LeaseKeeper,
        clock: core.Clock,
        metrics: core.Metrics,
        rng: random.Random,
        get_desired_homes: Callable[[], DesiredHomes | None],
        is_idle: Callable[[str, str], bool] = _is_always_idle,
        on_gained: HomeListener = _ignore_home,
        on_lost: HomeListener = _ignore_home,
        lease_seconds: float = keepers.LEASE_SECONDS,
        margin_seconds: float = keepers.MARGIN_SECONDS,
        handover_seconds: float = HANDOVER_SECONDS,
        poll_seconds: float = POLL_SECONDS,
        watch_seconds: float = WATCH_SECONDS,
    ) -> None:
        """Creates an ownership without homes.

        Args:
            store: Stores leases and homes.
            keeper: Keeper of this gateway's lease.
            clock: Source of the time by which the age of leases is measured.
            metrics: Receives `home_*` counters.
            rng: Source of jitter.
            get_desired_homes: Returns the homes that should exist, or None
                while they are unknown. Should return the same object until it
                changes.
            is_idle: Whether a home (service, zone) is idle enough to be
                handed over.
            on_gained: Called with (service, zone) when this gateway starts to
                hold a home.
            on_lost: Called with (service, zone) when this gateway stops
                holding a home, before another gateway can hold it. Not called
                when the lease merely expires; see `holds`.
            lease_seconds: Duration of every lease.
            margin_seconds: Added to the duration before a lease is revoked.
            handover_seconds: Minimum time between two handovers.
            poll_seconds: Pause between two watch calls.
            watch_seconds: Maximum duration of a watch call.
        """
        self._store = store
        self._keeper = keeper
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._get_desired_homes = get_desired_homes
        self._is_idle = is_idle
        self._on_gained = on_gained
        self._on_lost = on_lost
        self._revoke_seconds = lease_seconds + margin_seconds
        self._handover_seconds = handover_seconds
        self._poll_seconds = poll_seconds
        self._watch_seconds = watch_seconds
        self._view = views.View()
        # Object version by held home.
        self._held: dict[records.HomeKey, int] = {}
        # Object version by home at which this gateway released the home.
        self._released: dict[records.HomeKey, int] = {}
        self._handover_at = -handover_seconds
        self._writes_in_scan = 0
        self._gateways: tuple[records.GatewayInfo, ...] = ()
        self._placement = _Placement(desired=None, candidates=())
        self._writer_boot = ""
        self._writer: platform.Writer | None = None
        keeper.add_listener(self._stop_holding_all)

    # Queries. None of these methods waits.

    def holds(self, *, service: str, zone: str) -> bool:
        """Whether this gateway holds the home and its lease is valid now.

        Call this immediately before each send, without an await in between.
        """
        return (service, zone) in self._held and self._keeper.is_valid()

    def held(self) -> tuple[records.HomeKey, ...]:
        """Returns the homes of this gateway, even if its lease has expired."""
        return tuple(self._held)

    def holder(self, *, service: str, zone: str) -> str | None:
        """Returns the last known holder of a home, or None.

        During an outage of the store the last known holder stays the same.
        """
        entry = self._view.homes.get((service, zone))
        if entry is None or entry.record is None:
            return None
        record = entry.record
        if self._has_ended(record):
            return None
        return record.gateway

    def gateways(self) -> tuple[records.GatewayInfo, ...]:
        """Returns all gateways whose leases may be valid, by id."""
        return self._gateways

    def rank(self, *, service: str, zone: str) -> list[str]:
        """Orders gateways by preference; the first should hold the home."""
        return self._placement.rank((service, zone))

    # Background task.

    async def run(self) -> None:
        """Watches the store and runs scans until the task is cancelled."""
        backoff = retry.Backoff(rng=self._rng, base=self._poll_seconds)
        scan_at = self._clock.monotonic()
        while True:
            delay = self._poll_seconds
            try:
                changed = await self.poll(
                    deadline=self._clock.monotonic() + self._watch_seconds
                )
                now = self._clock.monotonic()
                if changed or now >= scan_at:
                    scan_at = now
                    if await self.scan():
                        scan_at += SCAN_SECONDS
                backoff.reset()
            except platform.PlatformError as error:
                self._metrics.incr(f"home_failed.{error.code}")
                delay += backoff.next_delay()
            await curio.sleep(delay)

    async def poll(self, *, deadline: float) -> bool:
        """Waits for changes in the store until the deadline and applies them.

        Returns:
            Whether a home or the preferred holders may have changed.

        Raises:
            PlatformError: The store could not be read.
        """
        try:
            if self._view.version is None:
                await self._load()
                self._apply_home_changes(tuple(self._view.homes))
            changes = await self._store.watch(
                kinds=(records.HOME_KIND, records.LEASE_KIND),
                since=self._view.version or 0,
                deadline=deadline,
            )
        except platform.WatchExpiredError:
            self._view.invalidate()
            raise
        except platform.PlatformError:
            self._view.mark_disconnected()
            raise
        changed = self._view.apply(changes, now=self._clock.monotonic())
        self._apply_home_changes(changed)
        placement = self._placement
        self._refresh_placement()
        return bool(changed) or placement is not self._placement

    async def _load(self) -> None:
        homes = await self._store.list(kind=records.HOME_KIND)
        leases = await self._store.list(kind=records.LEASE_KIND)
        self._view.load(homes=homes, leases=leases, now=self._clock.monotonic())

    def _apply_home_changes(self, keys: Iterable[records.HomeKey]) -> None:
        """Starts or stops holding homes whose objects have changed."""
        for key in keys:
            entry = self._view.homes.get(key)
            held = self._held.get(key)
            if entry is None:
                if held is not None:
                    self._stop_holding(key, held, "home_deleted")
            elif not self._is_mine(entry):
                if held is not None and entry.version > held:
                    self._stop_holding(key, entry.version, "home_taken")
            elif held is None and entry.version > self._released.get(key, 0):
                self._start_holding(key, entry.version, "home_received")

    def _is_mine(self, entry: views.HomeEntry) -> bool:
        return (
            entry.record is not None
            and entry.record.gateway == self._keeper.gateway
            and entry.record.boot == self._keeper.boot
        )

    def _refresh_placement(self) -> None:
        """Recomputes the live gateways and the placement of homes."""
        now = self._clock.monotonic()
        others = [
            info
            for info in self._view.list_gateways(
                now=now, max_age=self._revoke_seconds
            )
            if info.gateway != self._keeper.gateway
        ]
        if self._keeper.is_valid():
            others.append(self._keeper.describe())
        self._gateways = tuple(sorted(others, key=lambda info: info.gateway))
        self._placement = self._placement.replace(
            desired=self._get_desired_homes(), gateways=self._gateways
        )

    # Scan of all homes.

    async def scan(self) -> bool:
        """Takes over, hands over and deletes homes as needed, once.

        Also revokes overdue leases and deletes old revoked ones.

        Returns:
            Whether the scan was completed.

        Raises:
            PlatformError: The store could not be written.
        """
        self._refresh_placement()
        self._writes_in_scan = 0
        desired = self._placement.desired
        if desired is None or self._view.version is None:
            return True
        try:
            for key in desired.homes:
                if (
                    key[1] in desired.zones_in_service
                    and not self._is_held_by_preferred(key)
                ):
                    await self._reconcile_home(key)
            await self._delete_undesired()
            await self._collect_garbage()
        except _ScanStoppedError as error:
            self._metrics.incr(error.code)
            return False
        return True

    def _is_held_by_preferred(self, key: records.HomeKey) -> bool:
        """Whether the preferred gateway already holds the home."""
        entry = self._view.homes.get(key)
        preferred = self._placement.preferred(key)
        if entry is None or entry.record is None or preferred is None:
            return False
        gateway = entry.record.gateway
        if gateway != preferred.gateway:
            return False
        return gateway != self._keeper.gateway or key in self._held

    async def _reconcile_home(self, key: records.HomeKey) -> None:
        preferred = self._placement.preferred(key)
        if preferred is None:
            return
        entry = self._view.homes.get(key)
        mine = entry is not None and self._is_mine(entry)
        if preferred.gateway == self._keeper.gateway:
            if (
                entry is None
                or (mine and key not in self._held)
                or (not mine and await self._is_free(entry))
            ):
                await self._take_over(key, entry)
        elif mine and self._may_hand_over(key):
            await self._hand_over(key, entry, preferred)

    async def _is_free(self, entry: views.HomeEntry) -> bool:
        """Whether the home's holder has ended.

        Revokes the holder's lease if it is overdue.
        """
        record = entry.record
        if record is None:
            self._metrics.incr("home_unreadable")
            return False
        if self._has_ended(record):
            return True
        if record.gateway == self._keeper.gateway:
            return False
        lease = self._view.leases[record.gateway]
        age = self._view.age(lease, now=self._clock.monotonic())
        if age < self._revoke_seconds:
            return False
        await self._revoke(record.gateway, lease)
        return self._has_ended(record)

    def _has_ended(self, record: records.HomeRecord) -> bool:
        if record.gateway == self._keeper.gateway:
            return record.boot != self._keeper.boot
        return self._view.has_ended(record.gateway, record.boot)

    async def _revoke(self, gateway: str, lease: views.LeaseEntry) -> None:
        """Revokes the last known version of another gateway's lease.

        On success and on a conflict, updates the view from the store.
        """
        fields: dict[str, object] = {}
        if lease.record is not None:
            fields = lease.record.to_fields()
        fields["state"] = records.LeaseState.REVOKED.value
        writer = self._start_write()
        now = self._clock.monotonic()
        try:
            written = await writer.update(
                kind=records.LEASE_KIND,
                name=gateway,
                fields=fields,
                version=lease.version,
            )
        except platform.ConflictError as error:
            self._metrics.incr("home_revoke_conflict")
            if error.current is not None:
                self._view.put_lease(error.current, now=now)
            return
        self._metrics.incr("home_lease_revoked")
        logging.warning(
            "revoked lease of gateway %s: it was not renewed", gateway
        )
        self._view.put_lease(written, now=now)

    async def _take_over(
        self, key: records.HomeKey, entry: views.HomeEntry | None
    ) -> None:
        """Writes this gateway as the holder of the home."""
        boot = self._keeper.boot
        written = await self._write_home(key, entry, self._keeper.gateway, boot)
        if written is None or boot != self._keeper.boot:
            return
        self._view.put_home(written)
        self._start_holding(key, written.version, "home_taken_over")

    def _may_hand_over(self, key: records.HomeKey) -> bool:
        if self._keeper.is_leaving or key not in self._held:
            return True
        now = self._clock.monotonic()
        if now < self._handover_at + self._handover_seconds:
            return False
        return self._is_idle(*key)

    async def _hand_over(
        self,
        key: records.HomeKey,
        entry: views.HomeEntry,
        receiver: records.GatewayInfo,
    ) -> None:
        """Stops holding a home, then writes another gateway as its holder."""
        self._check_may_write()
        self._handover_at = self._clock.monotonic()
        self._stop_holding(key, entry.version, "home_handed_over")
        written = await self._write_home(
            key, entry, receiver.gateway, receiver.boot
        )
        if written is not None:
            self._view.put_home(written)

    async def _write_home(
        self,
        key: records.HomeKey,
        entry: views.HomeEntry | None,
        gateway: str,
        boot: str,
    ) -> platform.StoredObject | None:
        """Writes the holder of a home; returns None on a conflict."""
        epoch = 0
        if entry is not None and entry.record is not None:
            epoch = entry.record.epoch
        fields = records.HomeRecord(
            gateway=gateway, boot=boot, epoch=epoch + 1
        ).to_fields()
        name = records.home_name(key)
        writer = self._start_write()
        try:
            if entry is None:
                return await writer.create(
                    kind=records.HOME_KIND, name=name, fields=fields
                )
            return await writer.update(
                kind=records.HOME_KIND,
                name=name,
                fields=fields,
                version=entry.version,
            )
        except platform.ConflictError:
            self._metrics.incr("home_conflict")
            return None

    def _check_may_write(self) -> None:
        if (
            self._writes_in_scan >= MAX_WRITES_PER_SCAN
            or not self._keeper.is_valid()
        ):
            raise _ScanStoppedError(
                "write limit of the scan reached or lease invalid"
            )

    def _start_write(self) -> platform.Writer:
        """Counts a write and returns the writer.

        Raises:
            _ScanStoppedError: This scan must not write any more.
        """
        self._check_may_write()
        self._writes_in_scan += 1
        if self._writer is None or self._writer_boot != self._keeper.boot:
            self._writer_boot = self._keeper.boot
            self._writer = platform.Writer(
                store=self._store,
                writer=f"{self._keeper.gateway}/{self._writer_boot}/homes",
                metrics=self._metrics,
            )
        return self._writer

    async def _delete_undesired(self) -> None:
        """Deletes this gateway's homes that the configuration has removed."""
        for key in sorted(self._held.keys() - self._placement.homes):
            entry = self._view.homes.get(key)
            if entry is not None and self._is_mine(entry):
                self._check_may_write()
                self._stop_holding(key, entry.version, "home_dropped")
                await self._delete_home(key, entry)

    async def _delete_home(
        self, key: records.HomeKey, entry: views.HomeEntry
    ) -> None:
        await self._delete(
            records.HOME_KIND, records.home_name(key), entry.version
        )
        self._view.remove_home(key)

    async def _collect_garbage(self) -> None:
        """Removes what ended gateways have left in the store.

        Revokes overdue leases, and deletes old revoked leases and unneeded
        homes. Only the gateway with the lowest id does this.
        """
        first = min((info.gateway for info in self._gateways), default=None)
        if first != self._keeper.gateway:
            return
        now = self._clock.monotonic()
        for gateway, lease in tuple(self._view.leases.items()):
            age = self._view.age(lease, now=now)
            if gateway == self._keeper.gateway:
                continue
            revoked = (
                lease.record is not None
                and lease.record.state is records.LeaseState.REVOKED
            )
            if revoked and age >= REVOKED_SECONDS:
                await self._delete(records.LEASE_KIND, gateway, lease.version)
            elif not revoked and age >= self._revoke_seconds:
                await self._revoke(gateway, lease)
        for key in sorted(self._view.homes.keys() - self._placement.homes):
            entry = self._view.homes[key]
            if entry.record is not None and self._has_ended(entry.record):
                await self._delete_home(key, entry)

    async def _delete(self, kind: str, name: str, version: int) -> None:
        try:
            await self._start_write().delete(
                kind=kind, name=name, version=version
            )
        except platform.ConflictError:
            self._metrics.incr("home_conflict")

    # Changes of the held homes.

    def _start_holding(
        self, key: records.HomeKey, version: int, reason: str
    ) -> None:
        self._metrics.incr(reason)
        self._held[key] = version
        self._metrics.gauge("homes_held", len(self._held))
        logging.info("%s: service %s, zone %s", reason, *key)
        self._on_gained(*key)

    def _stop_holding(
        self, key: records.HomeKey, version: int, reason: str
    ) -> None:
        self._released[key] = version
        if self._held.pop(key, None) is None:
            return
        self._metrics.incr(reason)
        self._metrics.gauge("homes_held", len(self._held))
        logging.info("%s: service %s, zone %s", reason, *key)
        self._on_lost(*key)

    def _stop_holding_all(self) -> None:
        for key, version in tuple(self._held.items()):
            self._stop_holding(key, version, "home_ended")
        self._released.clear()


class _Placement:
    """Maps homes to their preferred gateways for one set of candidates."""

    def __init__(
        self,
        *,
        desired: DesiredHomes | None,
        candidates: tuple[records.GatewayInfo, ...],
    ) -> None:
        self.desired = desired
        self.homes = frozenset(() if desired is None else desired.homes)
        self._candidates = candidates
        self._by_id = {info.gateway: info for info in candidates}
        self._all = {info.gateway: info.weight for info in candidates}
        self._by_zone: dict[str, dict[str, float]] = {}
        for info in candidates:
            zone = self._by_zone.setdefault(info.zone, {})
            zone[info.gateway] = info.weight
        self._preferred: dict[records.HomeKey, str | None] = {}

    def replace(
        self,
        *,
        desired: DesiredHomes | None,
        gateways: tuple[records.GatewayInfo, ...],
    ) -> "_Placement":
        """Returns this placement if nothing changed, else a new one."""
        zones = frozenset() if desired is None else desired.zones_in_service
        candidates = tuple(
            info for info in gateways if info.zone in zones and not info.leaving
        )
        if candidates == self._candidates and desired == self.desired:
            return self
        return _Placement(desired=desired, candidates=candidates)

    def _weights(self, key: records.HomeKey) -> dict[str, float]:
        return self._by_zone.get(key[1]) or self._all

    def preferred(self, key: records.HomeKey) -> records.GatewayInfo | None:
        """Returns the gateway that should hold a home."""
        if key not in self._preferred:
            name = records.home_name(key)
            self._preferred[key] = rendezvous.choose(name, self._weights(key))
        chosen = self._preferred[key]
        return None if chosen is None else self._by_id[chosen]

    def rank(self, key: records.HomeKey) -> list[str]:
        """Orders candidates: first those of the zone, then all others."""
        name = records.home_name(key)
        local = self._by_zone.get(key[1], {})
        others = {
            gateway: weight
            for gateway, weight in self._all.items()
            if gateway not in local
        }
        return rendezvous.rank(name, local) + rendezvous.rank(name, others)
