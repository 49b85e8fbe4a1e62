"""Tests of the HTTP clients against the platform stand-in."""

import time

import curio
import pytest

import banyandale_http as http
import banyandale_platform as platform
import banyandale_standins as standins


async def start(**options):
    ready = []
    await curio.spawn(
        lambda: standins.serve_platform(
            address="127.0.0.1:0", on_ready=ready.append, **options
        ),
        daemon=True,
    )
    while not ready:
        await curio.sleep(0)
    return ready[0]


async def send(address, method, target, body=b""):
    deadline = time.monotonic() + 2
    connection = await http.ClientConnection.open(
        address=address, deadline=deadline
    )
    request = http.Request(method=method, target=target, body=body)
    response = await connection.exchange(
        request, limit=100_000, deadline=deadline
    )
    await connection.close()
    return response


def run_with_store(check):
    async def main():
        address = await start()
        store = platform.HttpObjectStore(address=address)
        await check(address, store)
        await store.close()

    curio.run(main)


def test_objects_keep_versions_and_conditions():
    """Guards against overwriting another writer's change."""

    async def check(_, store):
        name = "catalogue.gt/1 ä"
        created = await store.create(kind="home", name=name, value=b"\x00one")
        assert await store.get(kind="home", name=name) == created
        with pytest.raises(platform.ConflictError) as raised:
            await store.create(kind="home", name=name, value=b"two")
        assert raised.value.current == created
        changed = await store.update(
            kind="home", name=name, value=b"two", version=created.version
        )
        with pytest.raises(platform.ConflictError):
            await store.update(
                kind="home", name=name, value=b"3", version=created.version
            )
        listing = await store.list(kind="home")
        assert listing.objects == (changed,)
        with pytest.raises(platform.ConflictError):
            await store.delete(kind="home", name=name, version=created.version)
        await store.delete(kind="home", name=name, version=changed.version)
        assert await store.get(kind="home", name=name) is None
        with pytest.raises(platform.ConflictError) as raised:
            await store.update(kind="home", name=name, value=b"", version=2)
        assert raised.value.current is None

    run_with_store(check)


def test_watch_waits_and_filters_kinds():
    """Guards against missed changes and changes of kinds not watched."""

    async def check(_, store):
        deadline = time.monotonic() + 5
        task = await curio.spawn(
            lambda: store.watch(kinds=("lease",), since=0, deadline=deadline)
        )
        await curio.sleep(0.02)
        await store.create(kind="status", name="a", value=b"")
        created = await store.create(kind="lease", name="a", value=b"")
        changes = await task.join()
        assert [change.object for change in changes.changes] == [created]
        assert changes.version == 2
        empty = await store.watch(kinds=("lease",), since=2, deadline=0.0)
        assert empty.changes == ()
        await store.delete(kind="lease", name="a", version=2)
        (change,) = (
            await store.watch(kinds=("lease",), since=2, deadline=deadline)
        ).changes
        assert change.type is platform.ChangeType.DELETE
        with pytest.raises(platform.WatchExpiredError):
            await store.watch(kinds=("lease",), since=99, deadline=deadline)

    run_with_store(check)


def test_faults_cause_the_matching_errors():
    """Guards against a lost response being reported as not run."""

    async def check(address, store):
        await send(address, b"POST", b"/faults", b'{"down":true}')
        with pytest.raises(platform.StoreUnavailableError):
            await store.create(kind="home", name="a", value=b"")
        body = b'{"down":false,"lose_write_responses":1}'
        await send(address, b"POST", b"/faults", body)
        assert await store.get(kind="home", name="a") is None
        with pytest.raises(platform.OutcomeUnknownError):
            await store.create(kind="home", name="a", value=b"x")
        stored = await store.get(kind="home", name="a")
        assert stored.value == b"x"
        counts = (await send(address, b"GET", b"/counts")).body
        assert b'"create.home": 2' in counts
        response = await send(address, b"POST", b"/faults", b'{"dwon":true}')
        assert response.status == 400

    run_with_store(check)


def test_slow_store_times_out_with_unknown_outcome():
    """Guards against calls without a timeout or reported as not run."""

    async def check(address, _):
        store = platform.HttpObjectStore(address=address, call_timeout=0.03)
        await send(address, b"POST", b"/faults", b'{"slow_ms":150}')
        with pytest.raises(platform.OutcomeUnknownError):
            await store.create(kind="home", name="a", value=b"")
        with pytest.raises(platform.StoreUnavailableError):
            await store.get(kind="home", name="a")

    run_with_store(check)


def test_outage_ends_waiting_watches():
    """Guards against a follower that notices an outage only much later."""

    async def check(address, store):
        deadline = time.monotonic() + 60
        task = await curio.spawn(
            lambda: store.watch(kinds=("lease",), since=0, deadline=deadline)
        )
        await curio.sleep(0.02)
        await send(address, b"POST", b"/faults", b'{"down":true}')
        with pytest.raises(curio.TaskError) as raised:
            await task.join()
        cause = raised.value.__cause__
        assert isinstance(cause, platform.StoreUnavailableError)

    run_with_store(check)


def test_refused_connection_means_not_sent():
    """Guards against an unknown outcome after a refused connection."""

    async def main():
        listener = http.open_listener("127.0.0.1:0")
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        await listener.close()
        store = platform.HttpObjectStore(address=address)
        with pytest.raises(platform.StoreUnavailableError):
            await store.create(kind="home", name="a", value=b"")

    curio.run(main)


def test_vm_list_is_set_and_fetched():
    """Guards against losing the `leaving` field of a VM."""

    async def check(address, _):
        body = b'{"vms":[{"address":"10.0.0.1","zone":"z1","leaving":true}]}'
        await send(address, b"PUT", b"/v1/vms", body)
        vms = platform.HttpVmList(address=address)
        expected = platform.Vm(address="10.0.0.1", zone="z1", leaving=True)
        assert await vms.fetch() == (expected,)
        await vms.close()

    run_with_store(check)
