"""What a gateway believes about a server from the outcomes of its calls.

Load pattern: servers that fail, hang or reset part of their calls while their
health report is good, or whose report is bad while they serve well. Outcomes
of real calls count; reports only break ties.
"""

import dataclasses

from banyandale_direct import _registry as registry

# A failing server is left alone for this long after its first failure, twice
# as long after each further one. The first figure is short because one
# failure in a few hundred is normal (the users' services fail up to 0.4%).
FIRST_PAUSE_SECONDS = 0.5
# Longest pause: the users' servers recover within seconds, and a server that
# is never tried is never found well again.
LONGEST_PAUSE_SECONDS = 4.0
# A server that sheds although its report shows free slots is busy for a
# reason that the report does not show.
SHED_PAUSE_SECONDS = 0.3
# After this many failures in a row a server that does not even report its load
# gets no call; one whose report is late for once does.
UNREACHABLE_FAILURES = 2
# A call without an answer after this multiple of what was expected speaks
# against its server; routes with short time limits end calls sooner.
OVERDUE_FACTOR = 2.5


def is_overdue(seconds: float, *, expected_seconds: float) -> bool:
    """Whether a call took so long that its server may be at fault."""
    return seconds >= expected_seconds * OVERDUE_FACTOR


@dataclasses.dataclass(kw_only=True, slots=True)
class ServerHealth:
    """Recent failures of one server.

    Attributes:
        failures: Failures since the last success.
        avoid_until: Monotonic seconds until which others are preferred.
        in_flight: Calls that this gateway has at the server.
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
        """Whether other servers are preferred to this one."""
        health = self.find(server.id, started_unix_ms=server.started_unix_ms)
        return health.avoid_until > now

    def record_success(self, server_id: str) -> None:
        """Counts an answered call."""
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
        """Counts a call that the server rejected for lack of room."""
        health = self._by_id.setdefault(server_id, ServerHealth())
        health.avoid_until = max(health.avoid_until, now + SHED_PAUSE_SECONDS)

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Forgets servers that are gone and have no call in flight."""
        for server_id in self._by_id.keys() - server_ids:
            if self._by_id[server_id].in_flight == 0:
                del self._by_id[server_id]
