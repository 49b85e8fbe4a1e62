"""Tests of the evidence about servers under which a connection broke."""

import random
import time
import types

import curio
import pytest

import banyandale_core as core
from banyandale_direct import _configuration as configuration
from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _digests as digests
from banyandale_direct import _members as members
from banyandale_direct import _placement as placement
from banyandale_direct import _protocols as protocols
from banyandale_direct import _quarantine as quarantine
from banyandale_direct import _registry as registry
from banyandale_direct import _versions as versions
import banyandale_http as http
import banyandale_platform as platform

CALL = protocols.Call(
    id="1",
    host="h",
    path="/",
    remaining_seconds=1.0,
    request=http.Request(method=b"GET", target=b"/"),
)
SUSPECT = crash_records.Suspicion.SUSPECT
NONE = crash_records.Suspicion.NONE


class Events:
    def write_state(self, event, **_):
        pass


class Codec:
    def write_probe(self, service):
        return http.Request(method=b"GET", target=service.health_path.encode())

    def is_report(self, head):
        return True

    def read_report(self, response):
        server_id = response.header(b"id").decode()
        return placement.LoadReport(healthy=True, server_id=server_id)


class Store:
    """The platform's store, which has the entry of the server.

    Attributes:
        down: Whether it answers no call.
    """

    down = False

    async def get(self, *, kind, name):
        if self.down:
            raise platform.StoreUnavailableError("down")
        return platform.StoredObject(
            kind=kind, name=name, version=1, value=b"{}"
        )


class Listener:
    """A server's port, which answers while it is open.

    Attributes:
        address: Its address, also after it was closed.
        server_id: Server that it answers as; None for no answer.
    """

    async def __aenter__(self):
        self.server_id = "i"
        self._listener = http.open_listener("127.0.0.1:0")
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._task = await curio.spawn(self._accept, daemon=True)
        return self

    async def _accept(self):
        while True:
            sock, _ = await self._listener.accept()
            connection = http.ServerConnection(sock=sock)
            await connection.read_request(
                limit=1000, idle_deadline=time.monotonic() + 1.0
            )
            if self.server_id is not None:
                headers = ((b"id", self.server_id.encode()),)
                await connection.send_response(
                    http.Response(status=200, headers=headers)
                )
            await connection.close()

    async def close(self):
        await self._task.cancel()
        await self._listener.close()

    async def __aexit__(self, *_):
        await self.close()


class World:
    """A gateway's quarantine with one registered server."""

    def __init__(self, address):
        self.crashes = crash_records.CrashTable()
        self.servers = registry.Registry()
        self.server = registry.Server(
            id="i",
            address=address,
            service="s",
            zone="a",
            slots=2,
            started_unix_ms=1,
        )
        self.put()
        self.store = Store()
        self.quarantine = quarantine.Quarantine(
            crashes=self.crashes,
            table=members.MemberTable(
                own=members.Member(
                    ip="127.0.0.1",
                    zone="a",
                    started_unix_ms=1,
                    beat=0,
                    ready=True,
                ),
                random_source=random.Random(1),
            ),
            servers=self.servers,
            store=self.store,
            documents=types.SimpleNamespace(server_kind="servers"),
            codec=Codec(),
            find_service=lambda name: configuration.Service(
                name=name, health_path="/h", cold_calls_per_second=1.0
            ),
            peer_port=1,
            reads_store=lambda: False,
            events=Events(),
            metrics=core.MemoryMetrics(),
        )

    def put(self, **fields):
        server = registry.Server(
            **{
                name: getattr(self.server, name)
                for name in ("id", "address", "service", "zone", "slots")
            }
            | {"started_unix_ms": 1}
            | fields
        )
        self.servers.put(
            server, version=versions.Version(0, len(fields) + 1), now=0.0
        )

    async def record_break(self, **fields):
        await self.quarantine.record_break(
            CALL,
            self.server,
            **{"permit": quarantine.UNSUSPECTED, "answers": False} | fields,
        )

    async def record_silence(self, permit=quarantine.UNSUSPECTED):
        await self.quarantine.record_silence(
            CALL,
            self.server,
            permit=permit,
            sent_at=time.monotonic(),
            waiting=True,
        )

    async def acquire(self):
        return await self.quarantine.acquire(
            CALL, lease_seconds=0.01, deadline=time.monotonic() + 0.2
        )

    def suspicion(self):
        return self.quarantine.suspicion(CALL)


def run_world(scenario, *, ended, server_id="i"):
    async def main():
        async with Listener() as listener:
            listener.server_id = server_id
            if ended:
                await listener.close()
            world = World(listener.address)
            world.listener = listener
            await scenario(world)

    curio.run(main)


@pytest.mark.parametrize("ended", [True, False])
def test_only_a_server_that_has_ended_is_evidence(ended):
    async def scenario(world):
        await world.record_break()
        assert world.suspicion() is (SUSPECT if ended else NONE)

    run_world(scenario, ended=ended)


def test_another_server_at_the_address_is_evidence():
    """Guards against an address that is given to another server at once."""

    async def scenario(world):
        await world.record_break()
        assert world.suspicion() is SUSPECT

    run_world(scenario, ended=False, server_id="j")


def test_a_connection_without_an_answer_does_not_count():
    """Guards against a proxy that accepts connections for an ended server."""

    async def scenario(world):
        await world.record_break()
        record = world.crashes.records()[0]
        assert (record.count, record.suspicion) == (0, SUSPECT)
        world.put(started_unix_ms=2)
        await world.quarantine._settle()
        assert world.crashes.records()[0].count == 1

    run_world(scenario, ended=False, server_id=None)


def test_a_server_that_starts_anew_at_once_counts_by_its_entry():
    """Guards against a restart that is faster than the check."""

    async def scenario(world):
        await world.record_break()
        assert world.suspicion() is NONE
        world.put(started_unix_ms=2)
        await world.quarantine._settle()
        assert world.suspicion() is SUSPECT

    run_world(scenario, ended=False)


def test_a_server_that_leaves_is_no_evidence():
    async def scenario(world):
        world.put(leaving=True)
        await world.record_break()
        assert world.suspicion() is NONE

    run_world(scenario, ended=True)


def test_a_call_without_an_answer_counts_once_the_server_is_gone():
    """Guards against servers that end silently, and ones that only hang."""

    async def scenario(world):
        await world.record_break(answers=True)
        await world.quarantine._settle()
        assert world.suspicion() is NONE
        world.put(started_unix_ms=2)
        await world.quarantine._settle()
        assert world.suspicion() is SUSPECT

    run_world(scenario, ended=False)


def test_a_call_that_silences_its_server_is_a_suspect_at_once():
    """Guards against sends that go on until the entry of the server is gone."""

    async def scenario(world):
        await world.record_silence()
        record = world.crashes.records()[0]
        assert (record.count, record.suspicion) == (0, SUSPECT)
        world.put(started_unix_ms=2)
        await world.quarantine._settle()
        assert world.crashes.records()[0].count == 1

    run_world(scenario, ended=False, server_id=None)


def test_a_silent_server_that_stays_registered_is_no_evidence(monkeypatch):
    """Guards against a verdict that rests on one gateway's path."""
    now = core.boot_seconds()
    clock = [now]
    monkeypatch.setattr(core, "boot_seconds", lambda: clock[0])

    async def scenario(world):
        await world.record_silence()
        clock[0] = now + quarantine.ALIVE_SECONDS - 0.1
        await world.quarantine._settle()
        assert world.suspicion() is SUSPECT
        clock[0] = now + quarantine.ALIVE_SECONDS + 0.1
        await world.quarantine._settle()
        assert world.suspicion() is NONE

    run_world(scenario, ended=False, server_id=None)


def test_a_silent_server_counts_while_the_store_cannot_tell(monkeypatch):
    """Guards against entries that stay since nobody could remove them."""
    now = core.boot_seconds()
    clock = [now]
    monkeypatch.setattr(core, "boot_seconds", lambda: clock[0])

    async def scenario(world):
        world.store.down = True
        await world.record_silence()
        clock[0] = now + 2 * quarantine.ALIVE_SECONDS
        await world.quarantine._settle()
        assert world.suspicion() is SUSPECT
        world.listener.server_id = "i"
        await world.quarantine._settle()
        assert world.suspicion() is NONE

    run_world(scenario, ended=False, server_id=None)


def test_a_silent_server_that_leaves_is_no_evidence():
    async def scenario(world):
        world.put(leaving=True)
        await world.record_silence()
        assert world.suspicion() is NONE

    run_world(scenario, ended=False, server_id=None)


def test_a_trial_that_silences_its_server_holds_the_next():
    """Guards against trials in a row that end before the first is explained."""

    async def scenario(world):
        await world.record_silence()
        permit = await world.acquire()
        assert permit.order == 1
        await world.record_silence(permit=permit)
        assert await world.acquire() is None

    run_world(scenario, ended=False, server_id=None)


@pytest.mark.parametrize("ended", [True, False])
def test_a_lost_path_is_told_from_the_end_of_a_server(ended, monkeypatch):
    """Guards against refused connections of a cut, and a store that is down."""
    now = core.boot_seconds()
    clock = [now]
    monkeypatch.setattr(core, "boot_seconds", lambda: clock[0])

    async def scenario(world):
        world.crashes.record_crash(
            quarantine.fingerprints.compute_fingerprint(CALL),
            crash_records.Crash(
                server_id="i", started_unix_ms=1, broke_at=now, order=0
            ),
        )
        await world.quarantine._settle()
        assert world.suspicion() is SUSPECT
        clock[0] = now + quarantine.ALIVE_SECONDS + 1.0
        await world.quarantine._settle()
        # The entry is still there in both cases.
        assert world.suspicion() is (SUSPECT if ended else NONE)

    run_world(scenario, ended=ended)


def test_a_stored_record_is_kept_no_longer_than_others(monkeypatch):
    """Guards against an expiry that cannot be told to other gateways.

    Gateways tell it in milliseconds of 32 bits.
    """
    monkeypatch.setattr(core, "boot_seconds", lambda: 100.0)

    class Documents:
        def read_crash_record(self, stored, *, unix_offset):
            return crash_records.CrashRecord(
                fingerprint=b"f" * 16,
                crashes=(
                    crash_records.Crash(
                        server_id="i",
                        started_unix_ms=1,
                        broke_at=-1e11,
                        order=0,
                    ),
                ),
                expires_at=1e11,
            )

    world = World("127.0.0.1:1")
    world.quarantine._documents = Documents()
    stored = platform.StoredObject(
        kind="crashes", name="n", version=1, value=b"{}"
    )
    world.quarantine._apply_listing(
        platform.Listing(version=1, objects=(stored,))
    )
    (record,) = world.crashes.records()
    assert record.expires_at == 100.0 + crash_records.KEEP_SECONDS
    digest = digests.Digest(
        sender="10.0.0.1",
        reading=True,
        members=members.MemberBlock.from_members([], zones=("a",)),
        held={},
        crashes=(record,),
    )
    read = digests.decode_digest(digests.encode_digest(digest), zones=("a",))
    assert len(read.crashes) == 1


def test_a_lease_of_many_digits_is_refused():
    """Guards against a request of another gateway that ends its connection."""
    world = World("127.0.0.1:1")
    request = http.Request(
        method=b"POST",
        target=f"{quarantine.TRIAL_PATH}{'ab' * 16}/h/{'7' * 400}".encode(),
    )
    assert world.quarantine.serve(request).status == 404
