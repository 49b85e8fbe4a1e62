"""Tests that accepted changes persist and rejected ones have no effect."""

import time

import curio
import pytest

import banyandale_config as config
from banyandale_config import _parts as parts
import banyandale_platform as platform
from banyandale_platform import testing

ZONES = [{"name": "za"}, {"name": "zb"}]


def make_document(**priorities):
    services = [
        {
            "name": name,
            "priority": priority,
            "servers": [{"address": f"10.0.0.{index}:80", "zone": "za"}],
        }
        for index, (name, priority) in enumerate(sorted(priorities.items()))
    ]
    document, _ = config.check({"zones": ZONES, "services": services})
    return document


def part_name(**priorities):
    names, _ = parts.split(make_document(**priorities).services)
    return names["a"]


class HookedStore(testing.MemoryStore):
    """Runs a hook once, before or after a call such as `update.config`."""

    def __init__(self):
        super().__init__()
        self.before = {}
        self.after = {}

    async def create(self, **arguments):
        return await self._hook("create", super().create, arguments)

    async def update(self, **arguments):
        return await self._hook("update", super().update, arguments)

    async def delete(self, **arguments):
        return await self._hook("delete", super().delete, arguments)

    async def _hook(self, operation, method, arguments):
        key = f"{operation}.{arguments['kind']}"
        if key in self.before:
            await self.before.pop(key)()
        written = await method(**arguments)
        if key in self.after:
            await self.after.pop(key)()
        return written


async def lose_response():
    raise platform.OutcomeUnknownError("lost")


def run(main):
    async def wrapped():
        store = HookedStore()
        return await main(store, config.Publisher(store=store, writer="w1"))

    return curio.run(wrapped)


async def apply(publisher, base, message="m", **priorities):
    return await publisher.apply(
        make_document(**priorities),
        base_generation=base,
        author="op",
        message=message,
        deadline=time.monotonic() + 2,
    )


def test_published_document_is_read_back():
    """Guards against a document that is altered by publication."""

    async def main(store, publisher):
        assert await publisher.read() is None
        assert await apply(publisher, 0, a=1, b=2) == 1
        assert await apply(publisher, 1, a=1, b=2) == 1
        assert await apply(publisher, 1, a=1, b=3) == 2
        assert store.counts["create.config_part"] == 3
        return await publisher.read()

    published = run(main)
    assert published.generation == 2
    assert published.document == make_document(a=1, b=3)
    assert (published.author, published.message) == ("op", "m")


def test_conflict_shows_both_differences():
    """Guards against overwriting the change of another operator."""

    async def main(store, publisher):
        await apply(publisher, 0, a=1, b=1)
        await apply(publisher, 1, a=2, b=1)
        with pytest.raises(config.ConfigConflictError) as caught:
            await apply(publisher, 1, a=1, b=3)
        assert (await publisher.read()).document == make_document(a=2, b=1)
        return caught.value

    error = run(main)
    assert error.generation == 2
    assert [str(change) for change in error.accepted] == [
        "~ services/a/priority: 1 -> 2"
    ]
    assert [str(change) for change in error.proposed] == [
        "~ services/a/priority: 2 -> 1",
        "~ services/b/priority: 1 -> 3",
    ]


def test_race_between_reading_and_writing_the_root_is_a_conflict():
    """Guards against updating the root without checking its version."""

    async def main(store, publisher):
        await apply(publisher, 0, a=1)
        other = config.Publisher(store=store, writer="w2")
        store.before["create.config_part"] = lambda: apply(other, 1, a=2)
        with pytest.raises(config.ConfigConflictError):
            await apply(publisher, 1, a=3)
        return (await publisher.read()).document

    assert run(main) == make_document(a=2)


@pytest.mark.parametrize(
    "call",
    [
        "create.config",
        "create.config_part",
        "create.config_history",
        "update.config",
        "update.config_part",
    ],
)
def test_lost_response_is_resolved(call):
    """Guards against reporting an accepted change as failed.

    The write takes effect, but its response is lost.
    """

    async def main(store, publisher):
        await store.create(
            kind="config_part", name=part_name(a=2), value=b"earlier"
        )
        store.after[call] = lose_response
        assert await apply(publisher, 0, a=1) == 1
        assert await apply(publisher, 1, a=2) == 2
        assert not store.after
        return await publisher.read()

    published = run(main)
    assert (published.generation, published.document) == (
        2,
        make_document(a=2),
    )


def test_lost_response_of_a_replaced_root_is_resolved():
    """Guards against reporting an accepted change as a conflict.

    The response is lost, and another publisher replaces the root before the
    retry.
    """

    async def main(store, publisher):
        await apply(publisher, 0, a=1)
        other = config.Publisher(store=store, writer="w2")

        async def replace():
            await apply(other, 2, a=3)
            await lose_response()

        store.after["update.config"] = replace
        assert await apply(publisher, 1, message="mine", a=2) == 2
        assert (await publisher.read()).generation == 3
        return await publisher.read_generation(2)

    published = run(main)
    assert (published.message, published.document) == (
        "mine",
        make_document(a=2),
    )


@pytest.mark.parametrize(
    ("sent", "error"),
    [
        (False, platform.StoreUnavailableError),
        (True, config.ConfigOutcomeUnknownError),
    ],
)
def test_outage_says_whether_the_change_may_be_accepted(sent, error):
    """Guards against reporting no change after the root was sent."""

    async def main(store, publisher):
        await apply(publisher, 0, a=1)

        async def go_down():
            store.faults.down = True
            await lose_response()

        if sent:
            store.after["update.config"] = go_down
        store.faults.down = not sent
        with pytest.raises(error):
            await publisher.apply(
                make_document(a=2),
                base_generation=1,
                author="op",
                message="m",
                deadline=time.monotonic() + 0.1,
            )

    run(main)


def test_history_keeps_fifty_generations_and_restores_one():
    """Guards against losing kept generations and keeping old ones."""

    async def main(store, publisher):
        for generation in range(70):
            priority = generation % 10
            assert await apply(
                publisher, generation, a=priority, b=(priority + 5) % 10
            ) == (generation + 1)
        entries = await publisher.history()
        assert [entry.generation for entry in entries] == [*range(70, 20, -1)]
        restored = await publisher.restore(25, base_generation=70, author="op")
        assert restored == 71
        assert (await publisher.read()).document == make_document(a=4, b=9)
        with pytest.raises(config.GenerationNotFoundError):
            await publisher.read_generation(20)
        with pytest.raises(config.GenerationNotFoundError):
            await publisher.read_generation(72)

    run(main)


def test_unused_parts_are_swept(monkeypatch):
    """Guards against parts that stay in the platform forever."""
    monkeypatch.setattr("banyandale_config._publisher.KEPT_GENERATIONS", 2)

    async def main(store, publisher):
        for generation in range(10):
            await apply(publisher, generation, a=generation, b=1)
        listing = await store.list(kind="config_part")
        # The parts of a in generations 9 and 10, and the one of b.
        assert len(listing.objects) == 3
        return await publisher.read_generation(9)

    assert run(main).document == make_document(a=8, b=1)


def test_sweep_spares_parts_of_a_concurrent_change(monkeypatch):
    """Guards against a sweep that deletes parts of a newer root."""
    monkeypatch.setattr("banyandale_config._publisher.KEPT_GENERATIONS", 1)
    monkeypatch.setattr(
        "banyandale_config._publisher.SWEEP_INTERVAL_GENERATIONS", 2
    )

    async def main(store, publisher):
        await apply(publisher, 0, a=1, b=1)
        await apply(publisher, 1, a=1, b=2)
        await apply(publisher, 2, a=2, b=3)
        other = config.Publisher(store=store, writer="w2")
        # Generation 4 runs a sweep. Just before it deletes the first part, the
        # other publisher publishes a document that uses both unused parts.
        store.before["delete.config_part"] = lambda: apply(other, 4, a=1, b=2)
        assert await apply(publisher, 3, a=3, b=3) == 4
        return await publisher.read()

    published = run(main)
    assert published.generation == 5
    assert published.document == make_document(a=1, b=2)


def test_rollout_names_gateways_that_are_behind():
    """Guards against reporting a rollout as complete too early."""

    async def main(store, publisher):
        await apply(publisher, 0, a=1)
        for name in ("g1", "g2", "g3", "g4"):
            state = b"leaving" if name == "g4" else b"live"
            value = b'{"state":"%s"}' % state
            await store.create(kind="lease", name=name, value=value)
        for name, generation in (("g1", 1), ("g2", 0), ("gone", 0)):
            value = (
                '{"writer":"w","attempt":1,"boot":"b","unix_ms":0,'
                f'"generation":{generation}}}'
            )
            await store.create(kind="status", name=name, value=value.encode())
        return await publisher.wait_in_force(
            1, deadline=time.monotonic() + 0.05
        )

    rollout = run(main)
    assert rollout.in_force == ("g1",)
    assert rollout.behind == ("g2", "g3")
    assert not rollout.is_complete
