"""Keeps contents that crash servers away from them, over all gateways.

`_crash_records` decides; this module finds out which servers have ended, asks
for permission to send a suspect, and keeps what must outlast all gateways in
the store.
"""

import collections
from collections.abc import Callable
import dataclasses
import functools
import json
import time

import curio

import banyandale_core as core
from banyandale_direct import _admission as admission
from banyandale_direct import _configuration as configuration
from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _digests as digests
from banyandale_direct import _fingerprints as fingerprints
from banyandale_direct import _gossip as gossip
from banyandale_direct import _members as members
from banyandale_direct import _protocols as protocols
from banyandale_direct import _registry as registry
from banyandale_direct import _rejections as rejections
from banyandale_direct import _rendezvous as rendezvous
from banyandale_direct import _turns as turns
import banyandale_http as http
import banyandale_platform as platform

# Path of requests for permission to send a suspect.
TRIAL_PATH = "/trials/"
# Path of the list of contents at the metrics address.
LIST_PATH = "/crashing-calls"
OK_STATUS = 200
NO_CONTENT_STATUS = 204
NOT_FOUND_STATUS = 404
BUSY_STATUS = 409
# Timeout of a request for permission, and of the check whether a server has
# ended. Both take a round trip or two of at most 8 ms.
ASK_SECONDS = 0.25
CHECK_SECONDS = 0.12
MAX_ANSWER_BYTES = 65536
# Interval between requests for permission while another send is in progress.
RETRY_SECONDS = 0.03
# Number of gateways that are asked, the first reachable one decides.
DECIDING_GATEWAYS = 2
# After a trial that broke its connection, the next one waits this long, or
# until the server is known to have ended.
HOLD_SECONDS = 1.5
# Longest lease. A trial that takes longer has not crashed its server quickly.
MAX_LEASE_SECONDS = 10.0
# Longest wait for the other gateways' records after a suspension.
CATCH_UP_SECONDS = 0.6
# Shortest interval between two messages to the zone.
TELL_INTERVAL_SECONDS = 0.05
# Interval of the comparison with the registry and the store.
SETTLE_SECONDS = 0.5
# A server that is still registered and accepts connections this long after they
# broke has not ended. The users' platform removes entries after 4.5 s of
# silence.
ALIVE_SECONDS = 8.0
# Breaks that are not explained yet are kept for this long.
UNEXPLAINED_SECONDS = 15.0
MAX_UNEXPLAINED = 1024
# Contents with this number of crashes are kept in the store.
STORED_CRASHES = 2
# A stored record is written again when its expiry has moved by this.
REWRITE_SECONDS = 300.0
# Time to hear the records from other gateways before the store is read for
# them by a gateway that does not read it otherwise.
LISTEN_SECONDS = 1.0
LOAD_CHECK_SECONDS = 0.02
# Pause after a failed call to the store.
STORE_PAUSE_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """Permission to send a call now.

    Attributes:
        fingerprint: Content of the call; empty if nothing speaks against it.
        order: Number of breaks in a row that are known of it.
        holder: Identifies the send of a suspect; empty for others.
        decider: IP address of the gateway that gave the permission.
    """

    fingerprint: bytes = b""
    order: int = 0
    holder: str = ""
    decider: str = ""


UNSUSPECTED = Permit()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Break:
    """A connection that ended under a call, for a reason not known yet."""

    fingerprint: bytes
    crash: crash_records.Crash


class Quarantine:
    """Decides whether a call may be sent, by what its content did to servers.

    Attributes:
        gossip: Exchange with the other gateways.
    """

    def __init__(
        self,
        *,
        crashes: crash_records.CrashTable,
        table: members.MemberTable,
        servers: registry.Registry,
        store: platform.ObjectStore,
        documents: protocols.StoreCodec,
        codec: protocols.ServerCodec,
        find_service: Callable[[str], configuration.Service | None],
        peer_port: int,
        reads_store: Callable[[], bool],
        events: core.EventLog,
        metrics: core.Metrics,
    ) -> None:
        """Creates the quarantine.

        Args:
            crashes: Evidence about contents.
            table: Membership of the gateways.
            servers: The registered servers.
            store: The platform's store.
            documents: Format of the stored records.
            codec: Format of the servers' reports.
            find_service: Returns a service in the configuration in force.
            peer_port: TCP port at which other gateways decide.
            reads_store: Returns whether this gateway reads the store.
            events: Log of the process.
            metrics: Counters of the process.
        """
        self._crashes = crashes
        self._table = table
        self._servers = servers
        self._store = store
        self._documents = documents
        self._codec = codec
        self._find_service = find_service
        self._peer_port = peer_port
        self._reads_store = reads_store
        self._events = events
        self._metrics = metrics
        self._rejections = rejections.Rejections(events=events, metrics=metrics)
        self._leases = crash_records.TrialLeases()
        self._breaks = crash_records.BreakWindow()
        self._unexplained: collections.deque[_Break] = collections.deque(
            maxlen=MAX_UNEXPLAINED
        )
        # Suspects whose send broke its connection for a reason not known.
        self._unexplained_trials: set[bytes] = set()
        # Crashes and expiry of the records in the store, by fingerprint.
        self._stored: dict[bytes, tuple[int, float]] = {}
        # Records in the store that no longer hold.
        self._to_delete: set[bytes] = set()
        self._sends = 0
        self._turns = turns.Turns()
        self._tell = curio.Event()
        self.gossip: gossip.Gossip | None = None

    @property
    def loaded(self) -> bool:
        """Whether the records of earlier processes are known."""
        return self.gossip.records_loaded

    def suspicion(self, call: protocols.Call) -> crash_records.Suspicion:
        """Returns how a call must be treated."""
        if len(self._crashes) == 0:
            return crash_records.Suspicion.NONE
        return self._crashes.suspicion(fingerprints.compute_fingerprint(call))

    def find_refusal(self, call: protocols.Call) -> admission.Refusal:
        """Returns why a call gets no permission."""
        if self.suspicion(call) is crash_records.Suspicion.CERTAIN:
            return admission.Refusal.CRASHES_SERVERS
        return admission.Refusal.SUSPECT_BUSY

    def describe(self, call: protocols.Call) -> dict[str, object]:
        """Returns the log fields of the refusal of a call."""
        fingerprint = fingerprints.compute_fingerprint(call)
        record = self._crashes.find(fingerprint)
        fields: dict[str, object] = {"content": fingerprint.hex()}
        return fields if record is None else fields | record.describe()

    async def acquire(
        self, call: protocols.Call, *, lease_seconds: float, deadline: float
    ) -> Permit | None:
        """Waits for permission to send a call.

        Args:
            call: The call.
            lease_seconds: Time after which another send of the same content
                may begin, if this one has not ended.
            deadline: Monotonic seconds until when to wait.

        Returns:
            The permission, or None if the content is certain to crash servers
            or another send of it takes too long.
        """
        fingerprint = fingerprints.compute_fingerprint(call)
        # One call of each content asks for all that wait here.
        if not await self._turns.take(fingerprint, deadline=deadline):
            return None
        try:
            return await self._acquire_in_turn(
                fingerprint, lease_seconds, deadline
            )
        finally:
            await self._turns.end(fingerprint)

    async def _acquire_in_turn(
        self, fingerprint: bytes, lease_seconds: float, deadline: float
    ) -> Permit | None:
        while True:
            suspicion = self._crashes.suspicion(fingerprint)
            if suspicion is crash_records.Suspicion.NONE:
                return UNSUSPECTED
            if suspicion is crash_records.Suspicion.CERTAIN:
                self._crashes.renew(fingerprint, now=core.boot_seconds())
                return None
            if self._crashes.find(fingerprint).is_unexplained:
                return None
            permit = await self._ask(fingerprint, lease_seconds)
            if permit is not None:
                # The decider's records have come with its answer.
                record = self._crashes.find(fingerprint)
                if record.suspicion is suspicion and not record.is_unexplained:
                    return dataclasses.replace(permit, order=record.next_order)
                await self.release(permit)
                if record.suspicion is not suspicion:
                    continue
            if time.monotonic() + RETRY_SECONDS >= deadline:
                return None
            await curio.sleep(RETRY_SECONDS)

    async def catch_up(self) -> None:
        """Waits for other gateways' records after this one was suspended.

        The membership does not count the time of a suspension, the boot clock
        does.
        """
        silent_since = core.boot_seconds() - members.SILENT_SECONDS
        if self.gossip.heard_at >= silent_since:
            return
        if self._table.is_alone(now=time.monotonic()):
            return
        until = time.monotonic() + CATCH_UP_SECONDS
        while self.gossip.heard_at < silent_since and time.monotonic() < until:
            await curio.sleep(LOAD_CHECK_SECONDS)

    async def _ask(
        self, fingerprint: bytes, lease_seconds: float
    ) -> Permit | None:
        self._sends += 1
        holder = f"{self._table.own.ip}-{self._sends}"
        lease_seconds = min(lease_seconds, MAX_LEASE_SECONDS)
        for ip in self._list_deciders(fingerprint)[:DECIDING_GATEWAYS]:
            permit = Permit(fingerprint=fingerprint, holder=holder, decider=ip)
            granted = await self._ask_decider(permit, lease_seconds)
            if granted is None:
                continue
            self._metrics.incr(f"trials:{'granted' if granted else 'busy'}")
            return permit if granted else None
        self._metrics.incr("trials:nobody")
        return None

    async def _ask_decider(
        self, permit: Permit, lease_seconds: float
    ) -> bool | None:
        """Asks for or extends a lease; None without an answer."""
        if permit.decider == self._table.own.ip:
            return self._grant(permit.fingerprint, permit.holder, lease_seconds)
        return await self._ask_remote(
            permit.decider, permit.fingerprint, permit.holder, lease_seconds
        )

    def _list_deciders(self, fingerprint: bytes) -> list[str]:
        """Returns the gateways in the order in which they decide."""
        live = [
            member.ip
            for member in self._table.live(now=time.monotonic())
            if member.ready or member.ip == self._table.own.ip
        ]
        name = fingerprint.hex()
        live.sort(key=lambda ip: rendezvous.weigh(ip, name), reverse=True)
        return live

    def _decides(self, fingerprint: bytes) -> bool:
        return self._list_deciders(fingerprint)[0] == self._table.own.ip

    def _grant(
        self, fingerprint: bytes, holder: str, lease_seconds: float
    ) -> bool:
        now = core.boot_seconds()
        return self._leases.try_grant(
            fingerprint, holder=holder, until=now + lease_seconds, now=now
        )

    async def _ask_remote(
        self, ip: str, fingerprint: bytes, holder: str, lease_seconds: float
    ) -> bool | None:
        """Asks another gateway; None if it does not answer."""
        lease_ms = int(lease_seconds * core.MILLISECONDS_PER_SECOND)
        try:
            response = await self._exchange(
                ip, b"POST", f"{fingerprint.hex()}/{holder}/{lease_ms}"
            )
            if response.status not in (OK_STATUS, BUSY_STATUS):
                return None
            self.gossip.merge_records(response.body)
        except (http.HttpError, digests.MalformedDigestError) as error:
            self._events.write("trial_unasked", ip=ip, error=str(error))
            return None
        return response.status == OK_STATUS

    async def _exchange(
        self, ip: str, method: bytes, path: str, body: bytes = b""
    ) -> http.Response:
        deadline = time.monotonic() + ASK_SECONDS
        connection = await http.ClientConnection.open(
            address=f"{ip}:{self._peer_port}", deadline=deadline
        )
        try:
            return await connection.exchange(
                http.Request(
                    method=method,
                    target=f"{TRIAL_PATH}{path}".encode(),
                    body=body,
                ),
                limit=MAX_ANSWER_BYTES,
                deadline=deadline,
            )
        finally:
            await connection.close()

    async def release(self, permit: Permit) -> None:
        """Ends the send of a suspect, after its outcome was recorded."""
        if not permit.holder:
            return
        if permit.fingerprint in self._unexplained_trials:
            self._unexplained_trials.discard(permit.fingerprint)
            await self._ask_decider(permit, HOLD_SECONDS)
            return
        if permit.decider == self._table.own.ip:
            self._leases.release(permit.fingerprint, holder=permit.holder)
            return
        try:
            await self._exchange(
                permit.decider,
                b"DELETE",
                f"{permit.fingerprint.hex()}/{permit.holder}",
                self.gossip.encode_records(),
            )
        except http.HttpError as error:
            # The lease ends by itself.
            self._events.write(
                "trial_unasked", ip=permit.decider, error=str(error)
            )

    def serve(self, request: http.Request) -> http.Response:
        """Decides about another gateway's send of a suspect."""
        path = request.target.decode("latin-1").removeprefix(TRIAL_PATH)
        name, holder, *lease_ms = [*path.split("/"), ""][:3]
        try:
            fingerprint = bytes.fromhex(name)
            if request.method == b"DELETE":
                self.gossip.merge_records(request.body)
                self._leases.release(fingerprint, holder=holder)
                return http.Response(status=NO_CONTENT_STATUS)
            seconds = int(lease_ms[0]) / core.MILLISECONDS_PER_SECOND
        except (ValueError, IndexError, OverflowError):
            return http.Response(status=NOT_FOUND_STATUS)
        granted = self._grant(
            fingerprint, holder, min(seconds, MAX_LEASE_SECONDS)
        )
        return http.Response(
            status=OK_STATUS if granted else BUSY_STATUS,
            body=self.gossip.encode_records(),
        )

    async def record_break(
        self,
        call: protocols.Call,
        server: registry.Server,
        *,
        permit: Permit,
        answers: bool,
    ) -> None:
        """Finds out whether a call ended its server.

        Args:
            call: The call.
            server: The server that was running it.
            permit: Permission with which it was sent.
            answers: Whether the server may still answer, so that only its
                entry tells.
        """
        if not self._servers.is_registered(server):
            # It has announced its departure.
            return
        now = core.boot_seconds()
        fingerprint = fingerprints.compute_fingerprint(call)
        crash = crash_records.Crash(
            server_id=server.id,
            started_unix_ms=server.started_unix_ms,
            broke_at=now,
            order=permit.order,
        )
        ended = False
        if not answers and not self._breaks.is_path_lost(server.id, now=now):
            ended = await self._has_ended(server)
        if ended is not False:
            if ended is None:
                crash = dataclasses.replace(
                    crash, state=crash_records.CrashState.BROKEN
                )
            await self._count(fingerprint, crash, request=call.id)
        if not ended:
            # Its entry may still tell that it has started anew.
            self._unexplained.append(
                _Break(fingerprint=fingerprint, crash=crash)
            )
            if permit.holder and not answers:
                self._unexplained_trials.add(fingerprint)

    async def record_silence(
        self,
        call: protocols.Call,
        server: registry.Server,
        *,
        permit: Permit,
        sent_at: float,
        waiting: bool,
    ) -> None:
        """Records that a call seems to have silenced its server.

        The entry tells later whether the server has ended. Until then this
        counts for nothing, but the content is sent once at a time.

        Args:
            call: The call.
            server: The server that was running it.
            permit: Permission with which it was sent. It is held for a while
                and needs no release.
            sent_at: Monotonic seconds when it was sent.
            waiting: Whether it still waits for its answer.
        """
        if not self._servers.is_registered(server):
            # It has announced its departure.
            return
        fingerprint = fingerprints.compute_fingerprint(call)
        crash = crash_records.Crash(
            server_id=server.id,
            started_unix_ms=server.started_unix_ms,
            broke_at=core.boot_seconds(),
            order=permit.order,
            state=crash_records.CrashState.BROKEN,
        )
        self._metrics.incr(f"silences:{'waiting' if waiting else 'ended'}")
        await self._count(
            fingerprint,
            crash,
            request=call.id,
            call="waiting" if waiting else "ended",
            sent_seconds_ago=round(time.monotonic() - sent_at, 4),
        )
        self._unexplained.append(_Break(fingerprint=fingerprint, crash=crash))
        # Another break in a row changes no count yet.
        await self._tell.set()
        await self.extend(permit, HOLD_SECONDS)

    async def extend(self, permit: Permit, seconds: float) -> None:
        """Keeps other sends of a suspect away for some time from now."""
        if permit.holder:
            await self._ask_decider(permit, min(seconds, MAX_LEASE_SECONDS))

    async def _has_ended(self, server: registry.Server) -> bool | None:
        """Returns whether a server has ended; None if that is not known.

        A connection alone does not tell: something else may accept it.
        """
        service = self._find_service(server.service)
        if service is None:
            return None
        deadline = time.monotonic() + CHECK_SECONDS
        try:
            connection = await http.ClientConnection.open(
                address=server.address, deadline=deadline
            )
        except http.ConnectError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return True if refused else None
        try:
            response = await connection.exchange_matching(
                self._codec.write_probe(service),
                matches=self._codec.is_report,
                limit=MAX_ANSWER_BYTES,
                deadline=deadline,
            )
        except http.HttpError:
            return None
        finally:
            await connection.close()
        found_id = self._codec.read_report(response).server_id
        return found_id != server.id if found_id else None

    async def _count(
        self,
        fingerprint: bytes,
        crash: crash_records.Crash,
        *,
        request: str,
        **fields: object,
    ) -> None:
        if not self._crashes.record_crash(fingerprint, crash):
            return
        self._metrics.incr(f"crashes:{crash.state.name.lower()}")
        record = self._crashes.find(fingerprint)
        self._events.write_state(
            "crash_counted",
            request=request,
            content=fingerprint.hex(),
            server=crash.server_id,
            evidence=crash.state.name.lower(),
            suspicion=record.suspicion.value,
            order=crash.order,
            **fields,
            **record.describe(),
        )
        await self._tell.set()

    async def record_answer(self, call: protocols.Call) -> None:
        """Records that a server has run a call and lives."""
        if len(self._crashes) == 0:
            return
        fingerprint = fingerprints.compute_fingerprint(call)
        if self._crashes.record_answer(fingerprint, now=core.boot_seconds()):
            self._events.write_state(
                "suspect_cleared", request=call.id, content=fingerprint.hex()
            )
            self._metrics.incr("crashes:cleared")
            await self._tell.set()

    async def run(self) -> None:
        """Loads the stored records, then keeps both in line."""
        await self._load()
        while True:
            await curio.sleep(SETTLE_SECONDS)
            await self._settle()
            self._crashes.forget_expired(now=core.boot_seconds())
            self._metrics.gauge(
                "suspects",
                self._crashes.count(crash_records.Suspicion.SUSPECT),
            )
            self._metrics.gauge(
                "refused_contents",
                self._crashes.count(crash_records.Suspicion.CERTAIN),
            )
            try:
                await self._store_records()
            except platform.PlatformError as error:
                self._metrics.incr(f"crash_store_failed:{error.code}")
                self._events.write(
                    "crash_store_failed", reason=error.code, error=str(error)
                )

    async def tell(self) -> None:
        """Tells the other gateways about changes in an endless loop."""
        while True:
            await self._tell.wait()
            self._tell.clear()
            await self.gossip.notify_zone(remote=True)
            await curio.sleep(TELL_INTERVAL_SECONDS)

    async def _load(self) -> None:
        listen_until = time.monotonic() + LISTEN_SECONDS
        kind = self._documents.crash_kind
        while not self.loaded:
            if not self._reads_store() and time.monotonic() < listen_until:
                await curio.sleep(LOAD_CHECK_SECONDS)
                continue
            self._metrics.incr(f"store_calls:list.{kind}")
            try:
                listing = await self._store.list(kind=kind)
            except platform.PlatformError as error:
                self._metrics.incr(f"crash_store_failed:{error.code}")
                await curio.sleep(STORE_PAUSE_SECONDS)
                continue
            self._apply_listing(listing)
            self.gossip.records_loaded = True
            await self._tell.set()

    def _apply_listing(self, listing: platform.Listing) -> None:
        now = core.boot_seconds()
        decode = functools.partial(
            self._documents.read_crash_record, unix_offset=time.time() - now
        )
        for stored in listing.objects:
            record = self._rejections.read(stored, decode)
            if record is None:
                continue
            if record.expires_at <= now:
                self._to_delete.add(record.fingerprint)
                continue
            # No gateway writes a record that is kept for longer.
            record = dataclasses.replace(
                record,
                expires_at=min(
                    record.expires_at, now + crash_records.KEEP_SECONDS
                ),
            )
            self._crashes.merge(record, now=now)
            self._stored[record.fingerprint] = record.count, record.expires_at
        self._events.write_state(
            "crash_records_loaded",
            contents=len(listing.objects),
            store_version=listing.version,
        )

    async def _settle(self) -> None:
        """Compares the evidence with the registry."""
        now = core.boot_seconds()
        for record in self._crashes.records():
            for crash in record.crashes:
                if crash.state >= crash_records.CrashState.ALIVE:
                    continue
                state = await self._find_state(record.fingerprint, crash, now)
                self._crashes.settle(record.fingerprint, crash.process, state)
        for _ in range(len(self._unexplained)):
            found = self._unexplained.popleft()
            if self._servers.find_process(*found.crash.process) is None:
                await self._count(
                    found.fingerprint,
                    dataclasses.replace(
                        found.crash, state=crash_records.CrashState.CONFIRMED
                    ),
                    request="",
                )
            elif now < found.crash.broke_at + UNEXPLAINED_SECONDS:
                self._unexplained.append(found)

    async def _find_state(
        self, fingerprint: bytes, crash: crash_records.Crash, now: float
    ) -> crash_records.CrashState:
        """Returns what is known now about a server that seems to have ended."""
        server = self._servers.find_process(*crash.process)
        if server is None:
            return crash_records.CrashState.CONFIRMED
        if now <= crash.broke_at + ALIVE_SECONDS:
            return crash.state
        if not self._decides(fingerprint):
            return crash.state
        if crash.state is crash_records.CrashState.BROKEN and (
            await self._is_in_store(server)
        ):
            return crash_records.CrashState.ALIVE
        # The entry alone says little while the store is down.
        if await self._has_ended(server) is False:
            return crash_records.CrashState.ALIVE
        return crash.state

    async def _is_in_store(self, server: registry.Server) -> bool:
        """Returns whether the store has the server's entry now."""
        kind = self._documents.server_kind
        self._metrics.incr(f"store_calls:get.{kind}")
        try:
            found = await self._store.get(kind=kind, name=server.id)
        except platform.PlatformError as error:
            self._metrics.incr(f"crash_store_failed:{error.code}")
            return False
        return found is not None

    async def _store_records(self) -> None:
        """Writes the records for whose contents this gateway decides."""
        for fingerprint in tuple(self._to_delete):
            await self._delete(fingerprint)
            self._to_delete.discard(fingerprint)
        for record in self._crashes.records():
            count, expires_at = self._stored.get(record.fingerprint, (0, 0.0))
            lacking = record.count >= STORED_CRASHES and (
                record.count > count
                or record.expires_at > expires_at + REWRITE_SECONDS
            )
            if lacking and self._decides(record.fingerprint):
                await self._write(record)
        for fingerprint in tuple(self._stored):
            record = self._crashes.find(fingerprint)
            if record is None or record.count < STORED_CRASHES:
                if self._decides(fingerprint):
                    await self._delete(fingerprint)
                del self._stored[fingerprint]

    async def _write(self, record: crash_records.CrashRecord) -> None:
        kind, name = self._documents.crash_kind, record.fingerprint.hex()
        value = self._documents.write_crash_record(
            record, unix_offset=time.time() - core.boot_seconds()
        )
        self._metrics.incr(f"store_calls:write.{kind}")
        try:
            await self._store.create(kind=kind, name=name, value=value)
        except platform.ConflictError as error:
            if error.current is not None:
                await self._store.update(
                    kind=kind,
                    name=name,
                    value=value,
                    version=error.current.version,
                )
        self._stored[record.fingerprint] = record.count, record.expires_at

    async def _delete(self, fingerprint: bytes) -> None:
        kind, name = self._documents.crash_kind, fingerprint.hex()
        self._metrics.incr(f"store_calls:delete.{kind}")
        stored = await self._store.get(kind=kind, name=name)
        if stored is not None:
            await self._store.delete(
                kind=kind, name=name, version=stored.version
            )

    def serve_list(self, request: http.Request) -> http.Response | None:
        """Answers operators; None for requests that are not about contents.

        GET lists the records, DELETE of one lifts it.
        """
        path = request.target.partition(b"?")[0].decode("latin-1")
        if path == LIST_PATH and request.method == b"GET":
            body = json.dumps(
                [
                    {
                        "content": record.fingerprint.hex(),
                        "suspicion": record.suspicion.value,
                        "expires_seconds": round(
                            record.expires_at - core.boot_seconds(), 1
                        ),
                        **record.describe(),
                    }
                    for record in self._crashes.records()
                ]
            )
            return http.Response(
                status=OK_STATUS,
                headers=((b"content-type", b"application/json"),),
                body=body.encode(),
            )
        if path.startswith(f"{LIST_PATH}/") and request.method == b"DELETE":
            return self._lift(path.removeprefix(f"{LIST_PATH}/"))
        return None

    def _lift(self, name: str) -> http.Response:
        try:
            fingerprint = bytes.fromhex(name)
        except ValueError:
            return http.Response(status=NOT_FOUND_STATUS)
        if not self._crashes.record_answer(
            fingerprint, now=core.boot_seconds()
        ):
            return http.Response(status=NOT_FOUND_STATUS)
        self._to_delete.add(fingerprint)
        self._events.write_state("crash_record_lifted", content=name)
        return http.Response(status=NO_CONTENT_STATUS)
