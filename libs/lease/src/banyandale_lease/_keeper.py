"""Registration of this gateway and renewal of its lease."""

from collections.abc import Callable
import math
import random
import secrets

from absl import logging
import curio

import banyandale_core as core
from banyandale_lease import _records as records
import banyandale_platform as platform
import banyandale_retry as retry

LEASE_SECONDS = 3.0
RENEW_SECONDS = 1.0
# Added to the lease duration by every process that waits for another's lease
# to end, because clocks run at slightly different rates.
MARGIN_SECONDS = 0.5
FIRST_RETRY_SECONDS = 0.05


def _new_boot() -> str:
    return secrets.token_hex(8)


class LeaseKeeper:
    """Registers this gateway and renews its lease.

    On this process's monotonic clock, the lease ends `lease_seconds` after a
    time taken just before the last confirmed renewal was sent. Other gateways
    revoke it only after they have seen its version unchanged for longer. They
    use an update that is conditional on that version, so a renewal conflicts
    with a revocation. Each registration has a new boot id. A home belongs to
    one boot id of its holder and ends with it.
    """

    def __init__(
        self,
        *,
        store: platform.ObjectStore,
        clock: core.Clock,
        metrics: core.Metrics,
        rng: random.Random,
        gateway: str,
        zone: str,
        http: str,
        peer: str,
        weight: float = 1.0,
        lease_seconds: float = LEASE_SECONDS,
        renew_seconds: float = RENEW_SECONDS,
        margin_seconds: float = MARGIN_SECONDS,
        new_boot: Callable[[], str] = _new_boot,
    ) -> None:
        """Creates a keeper without a lease.

        Args:
            store: Stores the leases.
            clock: Source of the time by which the lease is valid or not.
            metrics: Receives `lease_*` counters.
            rng: Source of jitter.
            gateway: Gateway id.
            zone: Availability zone.
            http: Address for callers as `ip:port`.
            peer: Address for other gateways as `ip:port`.
            weight: Share of homes relative to other gateways.
            lease_seconds: Duration of the lease.
            renew_seconds: Time between renewals.
            margin_seconds: Added to the duration when waiting for the end
                of the lease of another process with the same gateway id.
            new_boot: Returns a boot id that no process has used before.
        """
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._gateway = gateway
        self._zone = zone
        self._http = http
        self._peer = peer
        self._weight = weight
        self._lease_seconds = lease_seconds
        self._renew_seconds = renew_seconds
        self._margin_seconds = margin_seconds
        self._new_boot = new_boot
        self._state = records.LeaseState.LIVE
        self._released = False
        self._version: int | None = None
        self._deadline = -math.inf
        self._listeners: list[Callable[[], None]] = []
        # Version of a lease that another process holds with this gateway id,
        # and the time when this version was first seen.
        self._other_holder: tuple[int, float] | None = None
        self._previous_boot = ""
        self._assign_new_boot()

    def _assign_new_boot(self) -> None:
        self._boot = self._new_boot()
        self._writer = platform.Writer(
            store=self._store,
            writer=f"{self._gateway}/{self._boot}",
            metrics=self._metrics,
        )

    @property
    def gateway(self) -> str:
        """Gateway id."""
        return self._gateway

    @property
    def boot(self) -> str:
        """Boot id of the current or next registration."""
        return self._boot

    @property
    def deadline(self) -> float:
        """Monotonic seconds until which the lease is valid."""
        return self._deadline

    @property
    def is_leaving(self) -> bool:
        """Whether this gateway is shutting down."""
        return self._state is records.LeaseState.LEAVING

    def is_valid(self) -> bool:
        """Whether the lease is valid now.

        Call this immediately before each send, without an await in between.
        """
        return self._clock.monotonic() < self._deadline

    def describe(self) -> records.GatewayInfo:
        """Returns this gateway's description as other gateways see it."""
        return records.GatewayInfo(
            gateway=self._gateway,
            boot=self._boot,
            zone=self._zone,
            http=self._http,
            peer=self._peer,
            leaving=self.is_leaving,
            weight=self._weight,
        )

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Adds a function to call whenever the current boot id has ended."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Renews the lease until the task is cancelled or it is released."""
        backoff = retry.Backoff(
            rng=self._rng, base=FIRST_RETRY_SECONDS, limit=self._renew_seconds
        )
        while not self._released:
            due = self._clock.monotonic() + self._renew_seconds
            if await self.renew():
                backoff.reset()
                delay = max(due - self._clock.monotonic(), 0.0)
            else:
                delay = backoff.next_delay()
            await curio.sleep(delay)

    async def renew(self) -> bool:
        """Renews the lease, or registers when there is none.

        Returns:
            Whether the store confirmed the lease. Failures of the store are
            counted as `lease_failed.<code>`.
        """
        if self._released:
            return False
        try:
            if self._version is not None and self.is_valid():
                return await self._extend(self._version)
            return await self._register()
        except platform.PlatformError as error:
            self._metrics.incr(f"lease_failed.{error.code}")
            return False

    async def _extend(self, version: int) -> bool:
        boot = self._boot
        while True:
            sent_at = self._clock.monotonic()
            try:
                written = await self._writer.update(
                    kind=records.LEASE_KIND,
                    name=self._gateway,
                    fields=self._build_fields(),
                    version=version,
                )
            except platform.ConflictError as error:
                if boot != self._boot or self._released:
                    return False
                if error.current is None or not self._is_own(error.current):
                    self._end_registration("lease_revoked")
                    return False
                # An earlier renewal succeeded, but its response was lost.
                version = error.current.version
                continue
            return self._confirm(boot, written.version, sent_at)

    async def _register(self) -> bool:
        current = await self._store.get(
            kind=records.LEASE_KIND, name=self._gateway
        )
        # Not before the store has answered: during an outage of the store a
        # gateway keeps its homes after its lease expired, to send requests to
        # warm servers.
        if self._version is not None:
            self._end_registration("lease_expired")
        if self._released or self._must_wait_for_other_holder(current):
            return False
        boot = self._boot
        sent_at = self._clock.monotonic()
        if current is None:
            written = await self._writer.create(
                kind=records.LEASE_KIND,
                name=self._gateway,
                fields=self._build_fields(),
            )
        else:
            written = await self._writer.update(
                kind=records.LEASE_KIND,
                name=self._gateway,
                fields=self._build_fields(),
                version=current.version,
            )
        self._other_holder = None
        self._metrics.incr("lease_registered")
        logging.info(
            "registered lease of gateway %s, boot id %s", self._gateway, boot
        )
        return self._confirm(boot, written.version, sent_at)

    def _must_wait_for_other_holder(
        self, current: platform.StoredObject | None
    ) -> bool:
        """Whether another process may still hold a lease with this id."""
        if current is None or self._is_own(current):
            return False
        record = records.parse_lease(current)
        if record is not None and (
            record.state is records.LeaseState.REVOKED
            or record.boot == self._previous_boot
        ):
            return False
        now = self._clock.monotonic()
        if (
            self._other_holder is None
            or self._other_holder[0] != current.version
        ):
            self._other_holder = (current.version, now)
            self._metrics.incr("lease_held_by_other_process")
        waited = now - self._other_holder[1]
        return waited < self._lease_seconds + self._margin_seconds

    def _is_own(self, stored: platform.StoredObject) -> bool:
        record = records.parse_lease(stored)
        return (
            record is not None
            and record.boot == self._boot
            and record.state is not records.LeaseState.REVOKED
        )

    def _confirm(self, boot: str, version: int, sent_at: float) -> bool:
        if self._released or boot != self._boot:
            return False
        self._version = version
        self._deadline = max(self._deadline, sent_at + self._lease_seconds)
        return True

    def _build_fields(self) -> dict[str, object]:
        return records.LeaseRecord(
            boot=self._boot,
            zone=self._zone,
            http=self._http,
            peer=self._peer,
            state=self._state,
            weight=self._weight,
        ).to_fields()

    def _end_registration(self, reason: str) -> None:
        """Ends the current boot id and with it all its homes."""
        self._metrics.incr(reason)
        logging.warning(
            "%s: gateway %s, boot id %s", reason, self._gateway, self._boot
        )
        self._deadline = -math.inf
        self._version = None
        self._previous_boot = self._boot
        self._assign_new_boot()
        for listener in self._listeners:
            listener()

    async def leave(self) -> None:
        """Announces in the lease that this gateway is shutting down.

        The lease stays valid while homes are handed over to other gateways.
        """
        self._state = records.LeaseState.LEAVING
        await self.renew()

    async def release(self) -> None:
        """Ends the lease at once and deletes it from the store.

        Other gateways then need not wait for it to expire. Failures of the
        store are counted; the lease then expires.
        """
        version = self._version
        self._released = True
        self._end_registration("lease_released")
        previous = self._previous_boot
        while version is not None:
            try:
                await self._writer.delete(
                    kind=records.LEASE_KIND, name=self._gateway, version=version
                )
                return
            except platform.ConflictError as error:
                version = _find_version_of_boot(error.current, previous)
            except platform.PlatformError as error:
                self._metrics.incr(f"lease_failed.{error.code}")
                return


def _find_version_of_boot(
    current: platform.StoredObject | None, boot: str
) -> int | None:
    if current is None:
        return None
    record = records.parse_lease(current)
    if record is None or record.boot != boot:
        return None
    return current.version
