"""Fetches parts from the object store."""

from collections.abc import Iterable

import curio

from banyandale_config import _parts as parts
import banyandale_platform as platform

# A gateway that starts without a configuration fetches one part per service.
# Sequential calls would take seconds at 350 services.
MAX_PARALLEL_CALLS = 8


async def fetch_parts(
    store: platform.ObjectStore, names: Iterable[str]
) -> dict[str, bytes]:
    """Returns the named parts that exist.

    Raises:
        PlatformError: A call failed.
    """
    remaining = list(names)
    found: dict[str, bytes] = {}
    failures: list[platform.PlatformError] = []

    async def fetch_remaining() -> None:
        while remaining:
            name = remaining.pop()
            try:
                part = await store.get(kind=parts.PART_KIND, name=name)
            except platform.PlatformError as error:
                failures.append(error)
                remaining.clear()
                return
            if part is not None:
                found[name] = part.value

    async with curio.TaskGroup() as tasks:
        for _ in range(min(len(remaining), MAX_PARALLEL_CALLS)):
            await tasks.spawn(fetch_remaining)
    if failures:
        raise failures[0]
    return found
