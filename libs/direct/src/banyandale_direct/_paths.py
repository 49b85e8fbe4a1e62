"""Tells a lost path to the servers from servers that are gone.

Load pattern: a gateway is cut from some or all servers while callers, the store
and the other gateways still reach it. Its connections hang, are reset or
refused, or old ones live on while new ones are refused. A service is impaired
at a gateway while half of its registered servers did not answer lately. Whether
the servers or the path are at fault is seen by comparing gateways, so each one
tells the others which of its services are impaired.
"""

from collections.abc import Collection
import dataclasses
import hashlib
import math

# A service is impaired while this share of its servers is not reached.
IMPAIRED_SHARE = 0.5
# A failure counts for this long, unless the server answers earlier. Impaired
# services are checked more often.
FAILURE_SECONDS = 5.0
# Servers none of which has answered for this long are not waited for.
HANGING_SECONDS = 2.0
# Number of groups of services that gateways tell apart.
GROUPS = 8
ALL_GROUPS = (1 << GROUPS) - 1


def group_mask(service: str) -> int:
    """Returns the bit of the group to which a service belongs."""
    digest = hashlib.blake2b(service.encode(), digest_size=1).digest()
    return 1 << digest[0] % GROUPS


@dataclasses.dataclass(kw_only=True, slots=True)
class _Reach:
    """What this gateway knows about its path to one service.

    Attributes:
        reached_at: Monotonic seconds when a server last answered.
        failing_since: When a server first failed after that.
        failed_at: Last failure of each server since its last answer.
    """

    reached_at: float = -math.inf
    failing_since: float = math.inf
    failed_at: dict[str, float] = dataclasses.field(default_factory=dict)


class PathMonitor:
    """The servers that this gateway reaches.

    Attributes:
        cut: Whether no server of any service is reached.
    """

    def __init__(self) -> None:
        self.cut = False
        self._reach: dict[str, _Reach] = {}
        self._reached_at = -math.inf

    def record(
        self, service: str, server_id: str, *, reached: bool, now: float
    ) -> None:
        """Records whether a server answered this gateway.

        Args:
            service: Service of the server.
            server_id: The server.
            reached: Whether it answered.
            now: Monotonic seconds.
        """
        reach = self._reach.setdefault(service, _Reach())
        if reached:
            reach.reached_at = self._reached_at = now
            self.cut = False
            reach.failing_since = math.inf
            reach.failed_at.pop(server_id, None)
        else:
            reach.failed_at[server_id] = now
            reach.failing_since = min(reach.failing_since, now)

    def has_failures(self, service: str) -> bool:
        """Returns whether a server has failed since it last answered."""
        reach = self._reach.get(service)
        return reach is not None and bool(reach.failed_at)

    def list_unreached(
        self, service: str, server_ids: Collection[str], *, now: float
    ) -> list[str]:
        """Returns those of the servers that did not answer lately."""
        reach = self._reach.get(service)
        if reach is None or not reach.failed_at:
            return []
        since = now - FAILURE_SECONDS
        failed_at = reach.failed_at
        return [
            server_id
            for server_id in server_ids
            if failed_at.get(server_id, -math.inf) >= since
        ]

    def is_impaired(
        self, service: str, server_ids: Collection[str], *, now: float
    ) -> bool:
        """Returns whether half of a service's servers are not reached."""
        if self.cut:
            return True
        unreached = self.list_unreached(service, server_ids, now=now)
        return bool(unreached) and (
            len(unreached) >= IMPAIRED_SHARE * len(server_ids)
        )

    def failed_at(self, service: str, server_id: str) -> float:
        """Returns when a server last failed to answer; 0 if it did not."""
        reach = self._reach.get(service)
        return 0.0 if reach is None else reach.failed_at.get(server_id, 0.0)

    def update_cut(self, service: str, server_ids: Collection[str]) -> None:
        """Records a cut if a service suggests that all of them are lost.

        That is so if half of its servers failed since any server answered. The
        cut ends with the next answer.
        """
        reach = self._reach.get(service)
        if reach is None or not server_ids:
            return
        failed = sum(
            reach.failed_at.get(server_id, -math.inf) > self._reached_at
            for server_id in server_ids
        )
        self.cut = self.cut or failed >= IMPAIRED_SHARE * len(server_ids)

    def may_answer_late(self, service: str, *, now: float) -> bool:
        """Returns whether to wait for the servers of a service.

        Not if none has answered for so long that they hang.
        """
        reach = self._reach.get(service)
        return reach is None or now < reach.failing_since + HANGING_SECONDS

    def reached_seconds_ago(self, service: str, *, now: float) -> float | None:
        """Returns the time since a server of a service answered."""
        reach = self._reach.get(service)
        if reach is None or reach.reached_at == -math.inf:
            return None
        return now - reach.reached_at

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Removes servers that are gone."""
        for reach in self._reach.values():
            for server_id in reach.failed_at.keys() - set(server_ids):
                del reach.failed_at[server_id]
