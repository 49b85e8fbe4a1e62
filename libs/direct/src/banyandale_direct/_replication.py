"""Replicates the store's objects, from the store or other gateways."""

from collections.abc import Callable
import random
import time
from urllib import parse

import curio

import banyandale_core as core
from banyandale_direct import _digests as digests
from banyandale_direct import _gossip as gossip
from banyandale_direct import _members as members
from banyandale_direct import _readers as readers
from banyandale_direct import _replicas as replicas
from banyandale_direct import _versions as versions
import banyandale_http as http
import banyandale_platform as platform

# Interval at which the gateway decides whether it reads the store; the shorter
# one applies while a kind has no replica yet.
CHECK_SECONDS = 0.2
EMPTY_CHECK_SECONDS = 0.02
# Duration of one watch. With the timeout of a call added, a watch on a
# connection that went silent ends within the required three seconds.
WATCH_SECONDS = 1.5
# Shortest interval between the starts of two watches of a kind. Hundreds of
# servers that register one after the other would otherwise cost a call each.
MIN_WATCH_INTERVAL_SECONDS = 0.25
# Pauses after failed calls double from the first to the longest, each
# multiplied by a random factor from 0.5 to 1. The first two gateways of a zone
# retry more often than the rest, since each call is paid for.
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.8
LONGEST_OTHER_PAUSE_SECONDS = 2.0
FREQUENT_RETRY_RANKS = 2
# Timeout for fetching a replica from another gateway, over a link of 5 Mbit/s
# that a few such fetches share.
FETCH_SECONDS = 2.0
# Longest error in a line of the log.
MAX_ERROR_LENGTH = 200
MAX_DELTA_BYTES = 16 * 1024 * 1024
REPLICA_PATH = "/replicas/"
MAX_VERSION_DIGITS = 20
OK_STATUS = 200
NO_CONTENT_STATUS = 204
NOT_FOUND_STATUS = 404


ListingConsumer = Callable[
    [str, tuple[platform.StoredObject, ...], versions.Version], None
]
ChangeConsumer = Callable[[platform.Change, int], None]
Reconciler = Callable[
    [str, tuple[platform.StoredObject, ...], platform.Listing], platform.Listing
]


class Replicator:
    """Replicas of the given kinds, and the tasks that update them."""

    def __init__(
        self,
        *,
        store: platform.ObjectStore,
        kinds: tuple[str, ...],
        table: members.MemberTable,
        peer_port: int,
        is_seed: bool,
        on_listing: ListingConsumer,
        on_change: ChangeConsumer,
        reconcile: Reconciler,
        configuration_version: Callable[[], int],
        events: core.EventLog,
        metrics: core.Metrics,
        random_source: random.Random,
    ) -> None:
        """Creates empty replicas.

        Args:
            store: The platform's store.
            kinds: Kinds to replicate; the first one is tried first after a
                store outage.
            table: Membership of the gateways.
            peer_port: TCP port from which gateways serve replicas.
            is_seed: Whether the other gateways have this gateway's address in
                their settings.
            on_listing: Called with kind, all objects and version of a replaced
                replica.
            on_change: Called with each change of a replica and its era.
            reconcile: Called with kind, held objects and a listing that is not
                of an earlier era; returns it with what stays in force.
            configuration_version: Returns the version that operators gave the
                configuration in force.
            events: Log of the process.
            metrics: Counters of the process.
            random_source: Source of the jitter of pauses.
        """
        self._store = store
        self._table = table
        self._peer_port = peer_port
        self._on_listing = on_listing
        self._on_change = on_change
        self._reconcile = reconcile
        self._configuration_version = configuration_version
        # Newest configuration fetched from a gateway that held nothing newer.
        self._fetched_configuration = 0
        self._events = events
        self._metrics = metrics
        self._random = random_source
        self._replicas = {kind: replicas.Replica(kind=kind) for kind in kinds}
        self._first_kind = kinds[0]
        self._election = readers.ReaderElection(
            started_at=time.monotonic(), immediately=is_seed
        )
        self._reading: set[str] = set()
        self._fetching: set[str] = set()
        # Kinds whose watch expired, so that they must be listed again.
        self._expired: set[str] = set()
        # Monotonic time from which the next watch of a kind may start.
        self._watch_at: dict[str, float] = {}
        self._store_answers = True
        self._answered_at = 0.0
        self._pause = FIRST_PAUSE_SECONDS
        self._retry_at = 0.0
        # Monotonic time from which a kind may be read again whose reading
        # ended with an unexpected error.
        self._retry_kind_at: dict[str, float] = {}
        self.gossip: gossip.Gossip | None = None

    def held(self) -> dict[str, versions.Version]:
        """Returns the store version of each kind that has a replica."""
        return {
            kind: replica.version
            for kind, replica in self._replicas.items()
            if replica.version is not None
        }

    def should_read(self) -> bool:
        """Returns whether this gateway should read the store now."""
        now = time.monotonic()
        return self._election.should_read(
            now=now,
            rank=self._table.rank(now=now),
            alone=self._table.is_alone(now=now),
        )

    async def run(self) -> None:
        """Decides periodically whether to read the store, and starts reads."""
        notified_at = 0.0
        while True:
            now = time.monotonic()
            reads = self.should_read()
            if reads:
                await self._start_reading()
            answered = bool(self._reading) and self._store_answers
            self.gossip.reading = reads and answered and self._answered_at > 0
            if (
                self.gossip.reading
                and now >= notified_at + readers.NOTIFY_SECONDS
            ):
                notified_at = now
                await self.gossip.notify_zone()
            empty = len(self.held()) < len(self._replicas)
            await curio.sleep(EMPTY_CHECK_SECONDS if empty else CHECK_SECONDS)

    async def _start_reading(self) -> None:
        for kind in self._replicas:
            if kind in self._reading:
                continue
            if not self._store_answers and kind != self._first_kind:
                # During an outage one kind is enough to detect that the store
                # is back.
                continue
            retry_at = max(self._retry_at, self._retry_kind_at.get(kind, 0.0))
            if time.monotonic() < retry_at:
                continue
            self._reading.add(kind)
            await curio.spawn(self._read, kind, daemon=True)

    async def _read(self, kind: str) -> None:
        try:
            while self.should_read():
                await self._read_once(self._replicas[kind])
                self._record_answer()
        except platform.WatchExpiredError as error:
            self._events.write("watch_expired", kind=kind, reason=str(error))
            self._metrics.incr(f"watch_expired:{kind}")
            self._expired.add(kind)
            self._retry_at = time.monotonic() + FIRST_PAUSE_SECONDS
        except platform.PlatformError as error:
            self._record_failure(kind, error)
        except Exception as error:  # Must not end the following of the kind.
            self._metrics.incr("internal_error")
            self._events.write_state(
                "read_failed", kind=kind, error=repr(error)[:MAX_ERROR_LENGTH]
            )
            # What was not applied is listed again.
            self._expired.add(kind)
            self._retry_kind_at[kind] = time.monotonic() + LONGEST_PAUSE_SECONDS
        finally:
            self._reading.discard(kind)

    async def _read_once(self, replica: replicas.Replica) -> None:
        if replica.version is None or replica.kind in self._expired:
            listing = await self._store.list(kind=replica.kind)
            self._metrics.incr(f"store_calls:list.{replica.kind}")
            self._expired.discard(replica.kind)
            if self._apply_listing(replica, listing):
                await self.gossip.notify_zone(remote=True)
            else:
                self._metrics.incr(f"listing_ignored:{replica.kind}")
                self._events.write(
                    "listing_ignored",
                    kind=replica.kind,
                    store_era=listing.era,
                    store_version=listing.version,
                    held=replica.version,
                )
            return
        now = time.monotonic()
        watch_at = max(now, self._watch_at.get(replica.kind, 0.0))
        self._watch_at[replica.kind] = watch_at + MIN_WATCH_INTERVAL_SECONDS
        await curio.sleep(watch_at - now)
        self._metrics.incr(f"store_calls:watch.{replica.kind}")
        since = replica.version
        changes = await self._store.watch(
            kinds=(replica.kind,),
            since=since.revision,
            deadline=time.monotonic() + WATCH_SECONDS,
        )
        if changes.era != since.era:
            raise platform.WatchExpiredError(
                f"the store is in era {changes.era}, the watch of"
                f" {replica.kind!r} began in era {since.era}"
            )
        new_changes = replica.apply_changes(changes)
        for change in new_changes:
            self._on_change(change, changes.era)
        if new_changes:
            delta = replica.delta(since)
            if delta is not None:
                await self.gossip.notify_zone((delta,), remote=True)

    def _apply_listing(
        self, replica: replicas.Replica, listing: platform.Listing
    ) -> bool:
        """Applies a listing; returns whether it replaced the objects."""
        known = replica.version
        if known is not None and listing.era >= known.era:
            if listing.era > known.era:
                self._start_era(listing, kind=replica.kind)
            listing = self._reconcile(replica.kind, replica.objects(), listing)
        if not replica.apply_listing(listing):
            return False
        self._expired.discard(replica.kind)
        self._on_listing(replica.kind, listing.objects, replica.version)
        return True

    def _start_era(self, listing: platform.Listing, *, kind: str) -> None:
        """Marks all kinds as outdated, as the store came back from a copy."""
        self._metrics.gauge("store_era", listing.era)
        self._expired.update(
            other
            for other, version in self.held().items()
            if version.era < listing.era
        )
        self._events.write_state(
            "store_restored",
            kind=kind,
            store_era=listing.era,
            store_version=listing.version,
            held=self.held(),
        )

    def _record_answer(self) -> None:
        self._pause = FIRST_PAUSE_SECONDS
        self._retry_at = 0.0
        self._answered_at = time.monotonic()
        if not self._store_answers:
            self._store_answers = True
            self._metrics.incr("store_regained")
            self._events.write_state("store_regained", held=self.held())

    def _record_failure(self, kind: str, error: platform.PlatformError) -> None:
        now = time.monotonic()
        self._metrics.incr(f"store_failed:{error.code}")
        self._retry_at = now + self._pause * self._random.uniform(0.5, 1.0)
        retries_often = self._table.rank(now=now) < FREQUENT_RETRY_RANKS
        self._pause = min(
            self._pause * 2,
            LONGEST_PAUSE_SECONDS
            if retries_often
            else LONGEST_OTHER_PAUSE_SECONDS,
        )
        if self._store_answers:
            self._store_answers = False
            self._events.write_state(
                "store_lost",
                kind=kind,
                reason=error.code,
                error=str(error),
                answered_seconds_ago=round(now - self._answered_at, 3),
            )

    async def handle_digest(self, digest: digests.Digest) -> None:
        """Applies the deltas of a digest and fetches what is missing."""
        now = time.monotonic()
        is_local = self._table.is_live_in_zone(digest.sender, now=now)
        if is_local:
            own_key = members.rank_key(self._table.own.ip)
            self._election.record_digest(
                now=now,
                ahead=members.rank_key(digest.sender) < own_key,
                reading=digest.reading,
            )
        relay = not is_local
        for delta in digest.deltas:
            await self._apply(delta, relay=relay)
        for kind, version in digest.held.items():
            replica = self._replicas.get(kind)
            if replica is None or kind in self._fetching:
                continue
            behind = replica.version is None or version > replica.version
            if behind or self._lacks_configuration(digest, kind):
                self._fetching.add(kind)
                await curio.spawn(
                    self._fetch, kind, digest, behind, relay, daemon=True
                )

    def _lacks_configuration(self, digest: digests.Digest, kind: str) -> bool:
        """Returns whether a gateway with the same replica has a newer one.

        That is so while the store, back from a copy, lacks a configuration that
        the other gateway has seen before.
        """
        newest = max(self._configuration_version(), self._fetched_configuration)
        return (
            kind == self._first_kind
            and digest.configuration > newest
            and digest.held[kind] == self._replicas[kind].version
        )

    async def _apply(
        self, delta: replicas.Delta, *, relay: bool, again: bool = False
    ) -> None:
        replica = self._replicas.get(delta.kind)
        if replica is None or not (again or replica.can_apply(delta)):
            return
        since = replica.version
        era, revision = delta.version
        if delta.complete:
            listing = platform.Listing(
                version=revision,
                objects=tuple(change.object for change in delta.changes),
                era=era,
            )
            if not self._apply_listing(replica, listing):
                return
        else:
            changes = platform.Changes(
                version=revision, changes=delta.changes, era=era
            )
            for change in replica.apply_changes(changes):
                self._on_change(change, era)
        if relay:
            relayed = replica.delta(since)
            await self.gossip.notify_zone((relayed,) if relayed else ())

    async def _fetch(
        self, kind: str, digest: digests.Digest, behind: bool, relay: bool
    ) -> None:
        """Fetches objects from the sender of a digest.

        Args:
            kind: Kind of the objects.
            digest: The digest.
            behind: Whether the replica is behind; otherwise all objects are
                fetched and replace those of the same store version.
            relay: Whether to pass on what is new.
        """
        deadline = time.monotonic() + FETCH_SECONDS
        ip = digest.sender
        since = self._replicas[kind].version if behind else None
        target = f"{REPLICA_PATH}{kind}"
        if since is not None:
            target += f"?era={since.era}&since={since.revision}"
        connection = None
        try:
            connection = await http.ClientConnection.open(
                address=f"{ip}:{self._peer_port}", deadline=deadline
            )
            response = await connection.exchange(
                http.Request(method=b"GET", target=target.encode()),
                limit=MAX_DELTA_BYTES,
                deadline=deadline,
            )
            if response.status == OK_STATUS:
                delta = digests.decode_delta(response.body)
                await self._apply(delta, relay=relay, again=not behind)
                await self.gossip.notify_peers()
            if not behind:
                self._fetched_configuration = digest.configuration
            self._metrics.incr("copies_fetched")
        except (http.HttpError, digests.MalformedDigestError) as error:
            self._metrics.incr("copies_not_fetched")
            self._events.write(
                "copy_not_fetched", kind=kind, ip=ip, error=str(error)
            )
        finally:
            self._fetching.discard(kind)
            if connection is not None:
                await connection.close()

    def serve_delta(self, request: http.Request) -> http.Response:
        """Serves another gateway's request for a delta of a replica."""
        path, _, query = request.target.decode("latin-1").partition("?")
        replica = self._replicas.get(path.removeprefix(REPLICA_PATH))
        if replica is None or not path.startswith(REPLICA_PATH):
            return http.Response(status=NOT_FOUND_STATUS)
        delta = replica.delta(_parse_version(query))
        if delta is None:
            return http.Response(status=NO_CONTENT_STATUS)
        return http.Response(status=OK_STATUS, body=digests.encode_delta(delta))


def _parse_version(query: str) -> versions.Version | None:
    fields = parse.parse_qs(query)
    era = fields.get("era", ["0"])[0]
    revision = fields.get("since", [""])[0]
    if not all(
        field.isdecimal() and len(field) <= MAX_VERSION_DIGITS
        for field in (era, revision)
    ):
        return None
    return versions.Version(int(era), int(revision))
