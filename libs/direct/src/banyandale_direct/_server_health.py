"""Tracks the health of servers by the outcomes of the gateway's calls.

Load pattern: servers that fail, hang or reset some of their calls although
their health report is good, or serve well although it is bad. Outcomes of real
calls take precedence; reports only break ties.
"""

import dataclasses

from banyandale_direct import _registry as registry

# A failing server is avoided for this long after its first failure, and twice
# as long after each further one. The first pause is short because one failure
# in a few hundred calls is normal (the users' services fail up to 0.4%).
FIRST_PAUSE_SECONDS = 0.5
# Longest pause. The users' servers recover within seconds, and the recovery of
# a server that gets no calls would go unnoticed.
LONGEST_PAUSE_SECONDS = 4.0
# Pause after a server sheds a call although its report shows free slots: it is
# busy for a reason that the report does not show.
SHED_PAUSE_SECONDS = 0.3
# A server that does not return a load report gets no calls after this many
# consecutive failures. A single late report does not exclude it.
UNREACHABLE_FAILURES = 2
# A call that is unanswered after this multiple of the expected time counts as a
# failure of its server. A call that the short time limit of its route ends
# earlier does not.
OVERDUE_FACTOR = 2.5


def is_overdue(seconds: float, *, expected_seconds: float) -> bool:
    """Returns whether a call took long enough to be the server's fault."""
    return seconds >= expected_seconds * OVERDUE_FACTOR


def find_overdue_at(sent_at: float, *, expected_seconds: float) -> float:
    """Returns when an unanswered call becomes overdue, in monotonic seconds."""
    return sent_at + expected_seconds * OVERDUE_FACTOR


@dataclasses.dataclass(kw_only=True, slots=True)
class ServerHealth:
    """Recent failures of one server.

    Attributes:
        failures: Failures since the last success.
        avoid_until: Monotonic seconds until which other servers are preferred.
        in_flight: Calls from this gateway that the server has not answered yet.
        started_unix_ms: Start of the process that the failures belong to.
    """

    failures: int = 0
    avoid_until: float = 0.0
    in_flight: int = 0
    started_unix_ms: int = 0


class ServerHealthTable:
    """Recent failures of all servers."""

    def __init__(self) -> None:
        self._by_id: dict[str, ServerHealth] = {}

    def find(self, server_id: str, *, started_unix_ms: int = 0) -> ServerHealth:
        """Returns the health of a server; starts anew after its restart."""
        health = self._by_id.get(server_id)
        if health is None:
            health = ServerHealth(started_unix_ms=started_unix_ms)
            self._by_id[server_id] = health
        elif started_unix_ms != health.started_unix_ms:
            health.failures = 0
            health.avoid_until = 0.0
            health.started_unix_ms = started_unix_ms
        return health

    def is_avoided(self, server: registry.Server, *, now: float) -> bool:
        """Returns whether other servers are preferred to this one."""
        health = self.find(server.id, started_unix_ms=server.started_unix_ms)
        return health.avoid_until > now

    def record_success(self, server_id: str) -> None:
        """Clears a server's failures after an answered call."""
        health = self._by_id.get(server_id)
        if health is not None:
            health.failures = 0
            health.avoid_until = 0.0

    def record_failure(self, server_id: str, *, now: float) -> float:
        """Counts a failed call; returns until when the server is avoided."""
        health = self._by_id.setdefault(server_id, ServerHealth())
        health.failures += 1
        pause = min(
            FIRST_PAUSE_SECONDS * 2 ** (health.failures - 1),
            LONGEST_PAUSE_SECONDS,
        )
        health.avoid_until = max(health.avoid_until, now + pause)
        return health.avoid_until

    def record_shed(self, server_id: str, *, now: float) -> None:
        """Records a call that the server shed."""
        health = self._by_id.setdefault(server_id, ServerHealth())
        health.avoid_until = max(health.avoid_until, now + SHED_PAUSE_SECONDS)

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Removes servers that are gone and have no call in flight."""
        for server_id in self._by_id.keys() - server_ids:
            if self._by_id[server_id].in_flight == 0:
                del self._by_id[server_id]
