"""Fetching of parts from the object store."""

from collections.abc import Iterable

import curio

from banyandale_config import _parts as parts
import banyandale_platform as platform

# A first start fetches one part per service; one after the other would take
# seconds at 350 services.
PARALLEL_CALLS = 8


async def fetch_parts(
    store: platform.ObjectStore, names: Iterable[str]
) -> dict[str, bytes]:
    """Returns those of the named parts that exist.

    Raises:
        PlatformError: A call failed.
    """
    waiting = list(names)
    found: dict[str, bytes] = {}
    failures: list[platform.PlatformError] = []

    async def fetch_waiting() -> None:
        while waiting:
            name = waiting.pop()
            try:
                part = await store.get(kind=parts.PART_KIND, name=name)
            except platform.PlatformError as error:
                failures.append(error)
                waiting.clear()
                return
            if part is not None:
                found[name] = part.value

    async with curio.TaskGroup() as tasks:
        for _ in range(min(len(waiting), PARALLEL_CALLS)):
            await tasks.spawn(fetch_waiting)
    if failures:
        raise failures[0]
    return found
