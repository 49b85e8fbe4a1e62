"""Tests of writes whose responses are lost."""

import curio
import pytest

import banyandale_core as core
import banyandale_platform as platform
from banyandale_platform import testing


class ScriptedStore(testing.MemoryStore):
    """Injects the next fault of a list into each create or update.

    `lost`: The write has no effect and no response.
    `early`, `late`: The write has no response and reaches the store just
        before or just after the next write.
    `down`: The store is unavailable.
    None: The write succeeds.
    """

    def __init__(self, *write_faults):
        super().__init__()
        self.write_faults = list(write_faults)
        self.early = None
        self.late = None

    async def create(self, **call):
        return await self.apply_write_fault(super().create, call)

    async def update(self, **call):
        return await self.apply_write_fault(super().update, call)

    async def apply_write_fault(self, write, call):
        fault = self.write_faults.pop(0) if self.write_faults else None
        if fault == "down":
            raise platform.StoreUnavailableError("down")
        if fault is not None:
            setattr(self, fault, call)
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
        created = await writer.create(kind="home", name="a", fields={"x": 1})
        store.faults.lose_write_responses = 1
        updated = await writer.update(
            kind="home", name="a", fields={"x": 1}, version=created.version
        )
        assert platform.decode_fields(updated)["attempt"] == 2
        assert updated == store.peek(kind="home", name="a")
        assert store.version == 2
        store.faults.lose_write_responses = 1
        await writer.delete(kind="home", name="a", version=2)
        assert store.peek(kind="home", name="a") is None

    curio.run(main)


def test_write_of_another_with_equal_fields_is_a_conflict():
    """Guards against mistaking another writer's object for one's own.

    The two objects have equal fields and differ only in the writer.
    """

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


@pytest.mark.parametrize("fault", ["early", "late", "lost"])
def test_write_without_response_takes_effect_once(fault):
    """Guards against a repeated write that takes effect twice.

    The first copy may reach the store before, after or without the second.
    """

    async def main():
        store = ScriptedStore(None, fault)
        created = await store.create(kind="home", name="a", value=b"{}")
        written = await make_writer(store).update(
            kind="home", name="a", fields={}, version=created.version
        )
        assert written.version == store.version == 2

    curio.run(main)


def test_outage_after_a_lost_response_leaves_the_outcome_unknown():
    """Guards against an error that wrongly says that a write had no effect."""

    async def main():
        store = ScriptedStore("lost", "down", "down")
        with pytest.raises(platform.OutcomeUnknownError):
            await make_writer(store).create(kind="home", name="a", fields={})
        with pytest.raises(platform.StoreUnavailableError):
            await make_writer(store).create(kind="home", name="a", fields={})
        store.write_faults = ["lost"]
        store.faults.down = True
        with pytest.raises(platform.OutcomeUnknownError):
            await make_writer(store).create(kind="home", name="a", fields={})

    curio.run(main)
