"""Tests of writes whose responses are lost."""

import curio
import pytest

import banyandale_core as core
import banyandale_platform as platform
from banyandale_platform import testing


class ScriptedStore(testing.MemoryStore):
    """Gives each create or update the next fate of a list.

    `lost`: no effect and no response. `early`, `late`: no response, takes
    effect before or after the next write. `down`: unavailable.
    """

    def __init__(self, *fates):
        super().__init__()
        self.fates = list(fates)
        self.early = None
        self.late = None

    async def create(self, **call):
        return await self.apply_fate(super().create, call)

    async def update(self, **call):
        return await self.apply_fate(super().update, call)

    async def apply_fate(self, write, call):
        fate = self.fates.pop(0) if self.fates else None
        if fate == "down":
            raise platform.StoreUnavailableError("down")
        if fate is not None:
            setattr(self, fate, call)
            raise platform.OutcomeUnknownError("no response")
        if self.early:
            await write(**self.early)
        written = await write(**call)
        if self.late:
            with pytest.raises(platform.ConflictError):
                await write(**self.late)
        return written


def make_writer(store, name="gw-1"):
    return platform.Writer(
        store=store, writer=name, metrics=core.MemoryMetrics()
    )


def test_lost_response_is_resolved_by_reading_back():
    """Guards against a write that took effect being reported as failed."""

    async def main():
        store = testing.MemoryStore()
        writer = make_writer(store)
        store.faults.lose_write_responses = 1
        made = await writer.create(kind="home", name="a", fields={"x": 1})
        store.faults.lose_write_responses = 1
        changed = await writer.update(
            kind="home", name="a", fields={"x": 1}, version=made.version
        )
        assert platform.decode_fields(changed)["attempt"] == 2
        assert changed == store.peek(kind="home", name="a")
        assert store.version == 2
        store.faults.lose_write_responses = 1
        await writer.delete(kind="home", name="a", version=2)
        assert store.peek(kind="home", name="a") is None

    curio.run(main)


def test_write_of_another_with_equal_fields_is_a_conflict():
    """Guards against taking another writer's object for one's own."""

    async def main():
        store = ScriptedStore(None, "lost")
        first = await make_writer(store).create(
            kind="home", name="a", fields={"x": 1}
        )
        with pytest.raises(platform.ConflictError) as raised:
            await make_writer(store, "gw-2").create(
                kind="home", name="a", fields={"x": 1}
            )
        assert raised.value.current == first

    curio.run(main)


@pytest.mark.parametrize("fate", ["early", "late", "lost"])
def test_write_without_response_takes_effect_once(fate):
    """Guards against two versions when the first copy arrives later."""

    async def main():
        store = ScriptedStore(None, fate)
        made = await store.create(kind="home", name="a", value=b"{}")
        written = await make_writer(store).update(
            kind="home", name="a", fields={}, version=made.version
        )
        assert written.version == store.version == 2

    curio.run(main)


def test_outage_after_a_lost_response_leaves_the_outcome_unknown():
    """Guards against calling a write that may have run 'not run'."""

    async def main():
        store = ScriptedStore("lost", "down", "down")
        with pytest.raises(platform.OutcomeUnknownError):
            await make_writer(store).create(kind="home", name="a", fields={})
        with pytest.raises(platform.StoreUnavailableError):
            await make_writer(store).create(kind="home", name="a", fields={})
        store.fates = ["lost"]
        store.faults.down = True
        with pytest.raises(platform.OutcomeUnknownError):
            await make_writer(store).create(kind="home", name="a", fields={})

    curio.run(main)
