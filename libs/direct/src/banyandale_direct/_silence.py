"""Asks servers whether one of them has gone silent under a call."""

import time

import curio

from banyandale_direct import _channels as channels
from banyandale_direct import _configuration as configuration
from banyandale_direct import _context as context
from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _placement as placement
from banyandale_direct import _registry as registry

# Servers of the same service that are asked when one has gone silent.
COMPARED_SERVERS = 3
# Longest time to find out that a server is silent and that others are not, and
# to tell it.
CHECK_SECONDS = 2 * channels.REPORT_TIMEOUT_SECONDS + 0.3


class SilenceCheck:
    """Checks the servers of one service."""

    def __init__(
        self, *, shared: context.Shared, service: configuration.Service
    ) -> None:
        """Creates a check.

        Args:
            shared: State shared by all calls.
            service: Service of the servers.
        """
        self._shared = shared
        self._service = service

    async def is_silent(
        self, entry: registry.Entry, report: placement.LoadReport | None
    ) -> bool:
        """Returns whether a call may have silenced its server.

        Args:
            entry: The server.
            report: Its report right before the call was sent, or None.
        """
        reports = await self._reports(entry)
        return crash_records.has_silenced(
            reported_before=report is not None,
            reports=reports,
            others_report=not reports
            and await self._others_report(entry.server),
        )

    async def _reports(self, entry: registry.Entry) -> bool:
        """Returns whether a server reports to this gateway now."""
        probe = await self._shared.channels.probe(
            entry,
            self._service,
            local=False,
            avoided=False,
            deadline=time.monotonic() + channels.REPORT_TIMEOUT_SECONDS,
        )
        await self._shared.channels.release(probe)
        report = probe.candidate.report
        return report is not None and (
            report.server_id in ("", entry.server.id)
        )

    async def _others_report(self, server: registry.Server) -> bool:
        """Returns whether another server of the service reports now."""
        now = time.monotonic()
        others = {
            entry.server.id: entry
            for entry in self._shared.registry.find(self._service.name, now=now)
            if entry.server.id != server.id
        }
        for server_id in self._shared.paths.list_unreached(
            self._service.name, others, now=now
        ):
            del others[server_id]
        asked = self._shared.random.sample(
            list(others.values()), min(len(others), COMPARED_SERVERS)
        )
        async with curio.TaskGroup() as group:
            for entry in asked:
                await group.spawn(self._reports, entry)
            async for task in group:
                if task.result:
                    await group.cancel_remaining()
                    return True
        return False
