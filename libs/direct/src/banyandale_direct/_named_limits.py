"""Rate limits that servers name in their answers.

Load pattern: a server in trouble states how many calls per second it takes from
all gateways together, for as long as it says so in its answers.
"""

import dataclasses

from banyandale_direct import _registry as registry


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Notice:
    """What a server last said about its limit.

    Attributes:
        server_id: The server.
        started_unix_ms: Start of the process that said it.
        calls_per_second: Calls that it takes from all gateways together; None
            if it names no limit any more.
        said_at: Time of the answer, in seconds of the boot clock.
    """

    server_id: str
    started_unix_ms: int
    calls_per_second: float | None
    said_at: float


class NamedLimits:
    """The newest notice of each server that has named a limit."""

    def __init__(self) -> None:
        self._notices: dict[str, Notice] = {}

    def record(self, notice: Notice) -> bool:
        """Records a notice; returns whether the server's limit changed."""
        known = self._notices.get(notice.server_id)
        if known is None:
            if notice.calls_per_second is None:
                return False
            self._notices[notice.server_id] = notice
            return True
        if notice.said_at < known.said_at:
            return False
        self._notices[notice.server_id] = notice
        return (
            notice.calls_per_second != known.calls_per_second
            or notice.started_unix_ms != known.started_unix_ms
        )

    def find(self, server: registry.Server) -> float | None:
        """Returns the limit of a server, or None without one."""
        notice = self._notices.get(server.id)
        if notice is None or notice.started_unix_ms != server.started_unix_ms:
            return None
        return notice.calls_per_second

    def count(self) -> int:
        """Returns the number of servers that name a limit."""
        return sum(
            notice.calls_per_second is not None
            for notice in self._notices.values()
        )

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Removes servers that are gone."""
        for server_id in self._notices.keys() - server_ids:
            del self._notices[server_id]
