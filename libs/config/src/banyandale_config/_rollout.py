"""Reports which gateways have a generation in force.

Each gateway writes a status object of kind `status` that is named by its id:
`{writer, attempt, boot, generation, unix_ms}`.
"""

import dataclasses
import json
import random
import time

import curio
import pydantic

import banyandale_core as core
import banyandale_platform as platform
import banyandale_retry as retry

STATUS_KIND = "status"
LEASE_KIND = "lease"


class StatusModel(pydantic.BaseModel):
    """Value of a status object."""

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")

    writer: str
    attempt: int
    boot: str
    generation: int
    unix_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayStatus:
    """Reported state of a gateway.

    Attributes:
        gateway: Id of the gateway.
        generation: Generation in force, or None if it reported none.
        live: Whether the gateway has a lease and is not leaving.
    """

    gateway: str
    generation: int | None
    live: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rollout:
    """Which gateways have a generation in force.

    Attributes:
        generation: The generation that was waited for.
        in_force: Live gateways that have this or a later generation in force.
        behind: All other live gateways, including those that have not
            reported yet.
    """

    generation: int
    in_force: tuple[str, ...]
    behind: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Whether no live gateway is behind."""
        return not self.behind


async def read_statuses(
    store: platform.ObjectStore,
) -> tuple[GatewayStatus, ...]:
    """Returns all gateways with a lease or a status, sorted by id."""
    leases = await store.list(kind=LEASE_KIND)
    statuses = await store.list(kind=STATUS_KIND)
    live = {entry.name for entry in leases.objects if _is_live(entry.value)}
    generations = {
        entry.name: _read_generation(entry.value) for entry in statuses.objects
    }
    return tuple(
        GatewayStatus(
            gateway=name, generation=generations.get(name), live=name in live
        )
        for name in sorted(live | generations.keys())
    )


def _is_live(lease: bytes) -> bool:
    # A leaving gateway may end before it reports, so it is not waited for.
    try:
        return json.loads(lease).get("state") != "leaving"
    except (ValueError, AttributeError):
        return True


def _read_generation(status: bytes) -> int | None:
    try:
        return StatusModel.model_validate_json(status).generation
    except pydantic.ValidationError:
        return None


async def wait_in_force(
    store: platform.ObjectStore, generation: int, *, deadline: float
) -> Rollout:
    """Waits until every live gateway has the generation in force."""
    state = Rollout(generation=generation, in_force=(), behind=())
    backoff = retry.Backoff(rng=random.Random())
    try:
        async with core.timeout_at(deadline):
            while True:
                try:
                    version = (await store.list(kind=STATUS_KIND)).version
                    state = await _read_rollout(store, generation)
                    if state.is_complete:
                        return state
                    await store.watch(
                        kinds=[STATUS_KIND, LEASE_KIND],
                        since=version,
                        deadline=min(deadline, time.monotonic() + 1),
                    )
                    backoff.reset()
                except platform.PlatformError:
                    await curio.sleep(backoff.next_delay())
    except curio.TaskTimeout:
        return state


async def _read_rollout(
    store: platform.ObjectStore, generation: int
) -> Rollout:
    live = [status for status in await read_statuses(store) if status.live]
    done = [
        status.gateway
        for status in live
        if status.generation is not None and status.generation >= generation
    ]
    return Rollout(
        generation=generation,
        in_force=tuple(done),
        behind=tuple(
            status.gateway for status in live if status.gateway not in done
        ),
    )


async def delete_old_statuses(
    store: platform.ObjectStore, generation: int
) -> None:
    """Deletes statuses with a generation at or below `generation`.

    Gateways report each generation, so such a status belongs to a gateway that
    has ended or will report again.
    """
    for entry in (await store.list(kind=STATUS_KIND)).objects:
        reported = _read_generation(entry.value)
        if reported is not None and reported > generation:
            continue
        try:
            await store.delete(
                kind=entry.kind, name=entry.name, version=entry.version
            )
        except platform.ConflictError:
            pass
