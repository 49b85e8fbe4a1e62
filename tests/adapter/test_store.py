"""Tests of the object store's client against a stand-in."""

import itertools
import time

import curio
import odd_entries
import pytest
import standin

import banyandale_adapter as adapter
import banyandale_http as http
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


async def put_around(store, data):
    """Writes an odd object between two others."""
    await store.put("k", "a", {"specification": 1})
    await store.put_bytes("k", odd_entries.NAME, data)
    await store.put("k", "b", {"specification": 2})


def find_values(objects):
    return {stored.name: stored.value for stored in objects}


@pytest.mark.parametrize("odd", odd_entries.ODD)
def test_one_unreadable_object_leaves_the_others_readable(odd):
    """Guards against one object that makes a whole response unreadable."""
    data = odd_entries.make_entry(*odd_entries.ODD[odd])

    async def scenario(store, client):
        await store.put("k", "0", {})
        before = await client.list(kind="k")
        await put_around(store, data)
        expected = {
            "a": b'{"specification": 1}',
            "b": b'{"specification": 2}',
            # As it was written, for its reader to reject.
            odd_entries.NAME: data,
        }
        listing = await client.list(kind="k")
        assert find_values(listing.objects) == {"0": b"{}", **expected}
        changes = await watch(client, before.version)
        assert find_values(c.object for c in changes.changes) == expected
        await store.delete("k", odd_entries.NAME)
        (change,) = (await watch(client, changes.version)).changes
        assert change.type is platform.ChangeType.DELETE
        assert change.object.name == odd_entries.NAME

    run(scenario)


@pytest.mark.parametrize("odd", odd_entries.ODD_METADATA)
def test_an_object_without_a_readable_revision_has_no_value(odd):
    """Guards against a revision that ends the reading of all objects."""

    async def scenario(store, client):
        key = ("k", odd_entries.NAME)
        store.odd_metadata[key] = odd_entries.ODD_METADATA[odd]
        await store.put("k", "0", {})
        before = await client.list(kind="k")
        await put_around(store, b"{}")
        listing = await client.list(kind="k")
        listed = {stored.name: stored for stored in listing.objects}
        assert listed.keys() == {"0", "a", "b", odd_entries.NAME}
        assert listed[odd_entries.NAME].value == b""
        assert listed[odd_entries.NAME].version == listing.version
        changes = await watch(client, before.version)
        first, second, third = (change.object for change in changes.changes)
        assert (first.name, third.name) == ("a", "b")
        assert second.value == b""
        # Every later change of the object has a higher version.
        assert first.version < second.version < third.version
        del store.odd_metadata[key]
        await store.put_bytes("k", odd_entries.NAME, b'{"specification": 3}')
        (change,) = (await watch(client, changes.version)).changes
        assert change.object.value == b'{"specification": 3}'
        assert change.object.version > listed[odd_entries.NAME].version

    run(scenario)


def test_a_revision_beyond_that_of_the_store_hides_no_later_change():
    """Guards against an object whose later changes and deletion are ignored.

    Also guards against losing one that was changed while it was listed.
    """

    async def scenario(store, client):
        await put_around(store, b'{"specification": 3}')
        key = ("k", odd_entries.NAME)
        store.odd_metadata[key] = b'{"name": "another-writer", "revision": %d}'
        store.odd_metadata[key] %= 2**62
        before = await client.list(kind="k")
        listed = {stored.name: stored for stored in before.objects}
        found = listed[odd_entries.NAME]
        assert found.value == b'{"specification": 3}'
        assert found.version == before.version
        del store.odd_metadata[key]
        await store.delete("k", odd_entries.NAME)
        (change,) = (await watch(client, before.version)).changes
        assert change.type is platform.ChangeType.DELETE

    run(scenario)


@pytest.mark.parametrize("odd", odd_entries.NO_NAME)
def test_an_object_without_a_readable_name_leaves_the_others(odd):
    """Guards against a name that ends the reading of all objects."""

    async def scenario(store, client):
        await store.put("k", "0", {})
        before = await client.list(kind="k")
        await put_around(store, b"{}")
        metadata = odd_entries.NO_NAME[odd]
        store.odd_metadata["k", odd_entries.NAME] = metadata
        listing = await client.list(kind="k")
        assert {s.name for s in listing.objects} == {"0", "a", "", "b"}
        # Nobody can tell which object has changed: all are listed again.
        with pytest.raises(platform.WatchExpiredError):
            await watch(client, before.version)

    run(scenario)


@pytest.mark.parametrize("odd", odd_entries.UNREAD_METADATA)
def test_metadata_that_nobody_reads_changes_nothing(odd):
    """Guards against metadata of no use that hides an object."""

    async def scenario(store, client):
        await put_around(store, b'{"specification": 3}')
        version = store.store.peek(kind="k", name=odd_entries.NAME).version
        metadata = odd_entries.UNREAD_METADATA[odd] % version
        store.odd_metadata["k", odd_entries.NAME] = metadata
        listing = await client.list(kind="k")
        (found,) = [s for s in listing.objects if s.name == odd_entries.NAME]
        assert (found.version, found.value) == (
            version,
            b'{"specification": 3}',
        )

    run(scenario)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"\xff",
        b"{}",
        b'{"items": [], "hasMore": false}',
        b'{"items": 5, "asOf": 5}',
        b'{"items": [], "asOf": "5"}',
        b'{"items": [], "asOf": -5}',
        b'{"items": [], "asOf": 1e400}',
        b'{"items": [}, "asOf": 5}',
        b'{"items": [{"metadata": {"name": "a]}, "asOf": 5}',
        b'{"items": [{]}, "asOf": 5}',
        b'{"items": [{},], "asOf": 5}',
        b'{"items": [{} {}], "asOf": 5}',
        b'{"items": [], "asOf": 5} 5',
        b'{"items": [], "asOf": 5',
        b'{"items": [%s, "asOf": 5}' % (b"[" * 100_000),
    ],
)
def test_a_response_that_is_no_list_is_no_answer(body):
    """Guards against a broken response that passes for an empty list."""

    async def scenario(store, client):
        async def respond(request, _):
            return http.Response(status=200, body=body)

        store.handle = respond
        with pytest.raises(platform.StoreUnavailableError):
            await client.list(kind="k")
        with pytest.raises(platform.StoreUnavailableError):
            await watch(client, 1, 0.05)
        with pytest.raises(platform.StoreUnavailableError):
            await client.get(kind="k", name="n")

    run(scenario)


@pytest.mark.parametrize("names", [(b"a",), (b"a", b"b")])
def test_a_list_that_does_not_continue_is_no_answer(names):
    """Guards against pages that are read without end."""
    pages = itertools.cycle(names)

    async def scenario(store, client):
        async def respond(request, _):
            metadata = b'{"name": "%s", "revision": 1}' % next(pages)
            items = b'[{"metadata": %s}]' % metadata
            return http.Response(
                status=200, body=b'{"items":%s,"hasMore":true,"asOf":5}' % items
            )

        store.handle = respond
        with pytest.raises(platform.StoreUnavailableError):
            await client.list(kind="k")

    run(scenario)
