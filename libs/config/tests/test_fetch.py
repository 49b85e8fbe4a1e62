"""Tests that fetching parts either returns all that exist or fails."""

import curio
import pytest

from banyandale_config import _fetch as fetch
import banyandale_platform as platform
from banyandale_platform import testing


def test_failed_call_is_not_a_missing_part():
    """Guards against reporting parts as missing during an outage."""

    async def main():
        store = testing.MemoryStore()
        names = [f"{number:02}" for number in range(30)]
        for name in names[1:]:
            await store.create(
                kind="config_part", name=name, value=name.encode()
            )
        found = await fetch.fetch_parts(store, names)
        assert found == {name: name.encode() for name in names[1:]}
        store.faults.down = True
        with pytest.raises(platform.StoreUnavailableError):
            await fetch.fetch_parts(store, names)
        assert await fetch.fetch_parts(store, []) == {}

    curio.run(main)
