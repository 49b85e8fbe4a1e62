"""Tests of the object store's client against a stand-in."""

import time

import curio
import pytest
import standin

import banyandale_adapter as adapter
import banyandale_platform as platform


def run(scenario):
    async def main():
        store = standin.StoreStandin()
        await store.start("127.0.0.1:0")
        client = adapter.ObjectStore(address=store.address)
        try:
            await scenario(store, client)
        finally:
            await client.close()
            await store.stop()

    curio.run(main)


def watch(client, since, seconds=2.0):
    return client.watch(
        kinds=("k",), since=since, deadline=time.monotonic() + seconds
    )


def test_objects_are_written_under_a_condition():
    """Guards against a write that replaces a newer one."""

    async def scenario(_, client):
        first = await client.create(kind="k", name="n", value=b'{"a": 1}')
        second = await client.update(
            kind="k", name="n", value=b'{"a": 2}', version=first.version
        )
        with pytest.raises(platform.ConflictError) as caught:
            await client.update(
                kind="k", name="n", value=b'{"a": 3}', version=first.version
            )
        assert caught.value.current.version == second.version
        with pytest.raises(platform.ConflictError):
            await client.create(kind="k", name="n", value=b"{}")
        assert (await client.get(kind="k", name="n")).value == b'{"a": 2}'
        await client.delete(kind="k", name="n", version=second.version)
        assert await client.get(kind="k", name="n") is None

    run(scenario)


def test_lists_are_read_over_all_pages():
    """Guards against losing the servers that are not on the first page."""

    async def scenario(store, client):
        names = [f"n{number}" for number in range(3 * standin.PAGE_SIZE + 1)]
        for name in names:
            await store.put("k", name, {"specification": {}})
        listing = await client.list(kind="k")
        assert [stored.name for stored in listing.objects] == names
        assert listing.version == store.store.version

    run(scenario)


def test_watches_return_changes_and_continue():
    """Guards against missing a change between two watches."""

    async def scenario(store, client):
        await store.put("k", "a", {"specification": 1})
        listing = await client.list(kind="k")
        await store.put("k", "b", {"specification": 2})
        await store.delete("k", "a")
        changes = await watch(client, listing.version)
        assert [c.object.name for c in changes.changes] == ["b", "a"]
        assert changes.changes[1].type is platform.ChangeType.DELETE
        empty = await watch(client, changes.version, 0.05)
        assert empty.changes == ()
        with pytest.raises(platform.WatchExpiredError):
            await watch(client, 10_000)

    run(scenario)


def test_failures_say_whether_the_call_took_effect():
    """Guards against repeating a write that took effect.

    Also guards against reporting a write that failed as done.
    """

    async def scenario(store, client):
        store.store.faults.down = True
        with pytest.raises(platform.StoreUnavailableError):
            await client.create(kind="k", name="n", value=b"{}")
        with pytest.raises(platform.StoreUnavailableError):
            await client.list(kind="k")
        store.store.faults.down = False
        store.store.faults.lose_write_responses = 1
        with pytest.raises(platform.OutcomeUnknownError):
            await client.create(kind="k", name="n", value=b"{}")
        assert await client.get(kind="k", name="n") is not None

    run(scenario)


def test_listings_and_watches_carry_the_era():
    """Guards against versions of two histories that look comparable."""

    async def scenario(store, client):
        await store.put("k", "a", {"specification": 1})
        copy = store.store.copy()
        assert (await client.list(kind="k")).era == 0
        await store.restore(copy)
        listing = await client.list(kind="k")
        assert (listing.era, listing.version) == (1, copy.version)
        await store.put("k", "b", {"specification": 2})
        assert (await watch(client, listing.version)).era == 1

    run(scenario)


def test_a_listing_of_two_eras_is_refused():
    """Guards against pages of which some are from another history."""

    async def scenario(store, client):
        for number in range(2 * standin.PAGE_SIZE):
            await store.put("k", f"n{number}", {"specification": {}})
        copy = store.store.copy()
        handle = store.handle

        async def restore_after_first_page(request, sock):
            response = await handle(request, sock)
            if store.store.era == 0:
                await store.restore(copy)
            return response

        store.handle = restore_after_first_page
        with pytest.raises(platform.StoreUnavailableError):
            await client.list(kind="k")
        assert (await client.list(kind="k")).era == 1

    run(scenario)


@pytest.mark.parametrize("era", ["", "x", "-1", "1.5", str(2**64)])
def test_a_malformed_era_is_no_answer(era):
    """Guards against a restored store that passes for an older one."""

    async def scenario(store, client):
        store.store.era = era
        with pytest.raises(platform.StoreUnavailableError):
            await client.list(kind="k")

    run(scenario)
