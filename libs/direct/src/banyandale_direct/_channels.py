"""Connections to servers, and the load reports read over them."""

from collections.abc import Mapping
import dataclasses
import time

import curio

import banyandale_core as core
from banyandale_direct import _configuration as configuration
from banyandale_direct import _paths as paths
from banyandale_direct import _placement as placement
from banyandale_direct import _protocols as protocols
from banyandale_direct import _registry as registry
from banyandale_direct import _server_health as server_health
import banyandale_http as http

# Idle connections kept per server. A gateway rarely has more concurrent calls
# at one server, which runs two at a time.
IDLE_CONNECTIONS = 3
# Timeout of a load report. Servers answer within 6 ms of the request's arrival,
# after one or two round trips of at most 8 ms; a server that takes longer is no
# better than one of another zone.
REPORT_TIMEOUT_SECONDS = 0.12
# Longest wait of a call for the reports of servers that accept connections and
# are slow to report, for example because their machine is busy.
LATE_REPORT_SECONDS = 0.5
# Extra time for the remaining reports after the first one arrived.
EXTRA_REPORT_SECONDS = 0.012
MAX_REPORT_BYTES = 65536
# Calls reuse a report up to this age. Without this, many calls that wait for a
# free slot would each open connections to all servers.
REPORT_REUSE_SECONDS = 0.015


@dataclasses.dataclass(kw_only=True, slots=True)
class Probe:
    """A load report with the connection that carried it.

    Attributes:
        candidate: The server and its report.
        connection: Connection that has just carried the report, or None.
        reported_at: Monotonic seconds when the report arrived.
        late: Whether there was a connection, but no report in time.
    """

    candidate: placement.Candidate
    connection: http.ClientConnection | None
    reported_at: float
    late: bool = False

    def describe(self, *, now: float) -> dict[str, object]:
        """Returns the log fields of a decision based on this report."""
        entry = self.candidate.entry
        fields: dict[str, object] = {
            "server": entry.server.id,
            "zone": entry.server.zone,
            "entry_version": entry.version.revision,
        }
        report = self.candidate.report
        if report is not None:
            fields |= {
                "running": report.running,
                "waiting": report.waiting,
                "slowness": report.slowness,
                "cold_seconds": report.cold_seconds,
                "report_age": round(now - self.reported_at, 4),
            }
        return fields


@dataclasses.dataclass(kw_only=True, slots=True)
class _LastReport:
    """The last report of a server.

    Attributes:
        report: The report, or None when the server did not answer.
        at: Monotonic seconds when it arrived.
        sent_since: Calls that this gateway has sent to the server since.
        late: Whether the server accepted a connection, but did not answer.
    """

    report: placement.LoadReport | None
    at: float
    sent_since: int = 0
    late: bool = False


class Channels:
    """Connection pools by server address, and the last load reports."""

    def __init__(
        self,
        *,
        codec: protocols.ServerCodec,
        monitor: paths.PathMonitor,
        events: core.EventLog,
        metrics: core.Metrics,
    ) -> None:
        """Creates channels without connections.

        Args:
            codec: Format of the servers' reports.
            monitor: Gets the outcome of each request for a report.
            events: Log of the process.
            metrics: Counters of the process.
        """
        self._codec = codec
        self._monitor = monitor
        self._events = events
        self._metrics = metrics
        self._pools: dict[str, http.Pool] = {}
        self._last: dict[str, _LastReport] = {}
        self._pending: dict[str, curio.Event] = {}

    def record_send(self, server_id: str) -> None:
        """Counts a call that is not included in the last report."""
        last = self._last.get(server_id)
        if last is not None:
            last.sent_since += 1

    def pool(self, address: str) -> http.Pool:
        """Returns the pool of a server address."""
        pool = self._pools.get(address)
        if pool is None:
            pool = http.Pool(address=address, limit=IDLE_CONNECTIONS)
            self._pools[address] = pool
        return pool

    async def keep_only(self, servers: Mapping[str, str]) -> None:
        """Removes servers that are gone and closes their connections.

        Args:
            servers: Address of each server id that is still known.
        """
        for server_id in self._last.keys() - servers.keys():
            del self._last[server_id]
        for address in self._pools.keys() - set(servers.values()):
            await self._pools.pop(address).retire()

    async def acquire_answering(
        self,
        server: registry.Server,
        service: configuration.Service,
        *,
        key: str,
        deadline: float,
    ) -> http.ClientConnection:
        """Returns a connection that has just carried an answer.

        Args:
            server: Server to connect to.
            service: Its service.
            key: Key of the exchange, as for `http.Pool.acquire`.
            deadline: Monotonic seconds.

        Raises:
            HttpError: There was none before the deadline. Nothing but a
                request for a report was sent.
        """
        pool = self.pool(server.address)
        connection = await pool.acquire(
            deadline=deadline, verified=True, key=key
        )
        if connection.has_answered:
            return connection
        try:
            await connection.exchange_matching(
                self._codec.write_probe(service),
                matches=self._codec.is_report,
                limit=MAX_REPORT_BYTES,
                deadline=deadline,
            )
        except BaseException:
            await pool.discard(connection)
            raise
        return connection

    async def release(self, probe: Probe) -> None:
        """Returns the connection of a probe that was not chosen to its pool."""
        if probe.connection is not None:
            connection, probe.connection = probe.connection, None
            await self.pool(connection.address).release(connection)

    async def probe(
        self,
        entry: registry.Entry,
        service: configuration.Service,
        *,
        local: bool,
        avoided: bool,
        deadline: float,
    ) -> Probe:
        """Fetches a server's load report, or reuses one just fetched.

        If a pooled connection turns out to be closed, the request is retried
        once on a new one.
        """
        server_id = entry.server.id
        candidate = placement.Candidate(
            entry=entry, report=None, local=local, avoided=avoided
        )
        pending = self._pending.get(server_id)
        if pending is not None:
            async with curio.ignore_after(
                max(deadline - time.monotonic(), 0.0)
            ):
                await pending.wait()
        last = self._last.get(server_id)
        now = time.monotonic()
        # A longer wait may get the report that a shorter one of another call
        # did not get.
        waits_longer = deadline - now >= REPORT_TIMEOUT_SECONDS
        if (
            last is not None
            and now - last.at <= REPORT_REUSE_SECONDS
            and not (last.late and waits_longer)
        ):
            self._metrics.incr("probes_shared")
            return _reuse_report(last, candidate)
        if now >= deadline:
            # Another call is still waiting for the report.
            return Probe(
                candidate=candidate, connection=None, reported_at=now, late=True
            )
        pending = curio.Event()
        self._pending[server_id] = pending
        try:
            probe = await self._fetch_report(candidate, service, deadline)
            self._monitor.record(
                entry.server.service,
                server_id,
                reached=probe.candidate.report is not None,
                now=probe.reported_at,
            )
            self._last[server_id] = _LastReport(
                report=probe.candidate.report,
                at=probe.reported_at,
                late=probe.late,
            )
            return probe
        finally:
            if self._pending.get(server_id) is pending:
                del self._pending[server_id]
            await pending.set()

    async def _fetch_report(
        self,
        candidate: placement.Candidate,
        service: configuration.Service,
        deadline: float,
    ) -> Probe:
        entry = candidate.entry
        request = self._codec.write_probe(service)
        pool = self.pool(entry.server.address)
        report = None
        connection = None
        late = False
        for _ in range(2):
            try:
                connection = await pool.acquire(deadline=deadline)
            except http.ConnectError as error:
                self._metrics.incr(f"probe_failed:{error.code}")
                break
            try:
                response = await connection.exchange_matching(
                    request,
                    matches=self._codec.is_report,
                    limit=MAX_REPORT_BYTES,
                    deadline=deadline,
                )
            except http.HttpError as error:
                self._metrics.incr(f"probe_failed:{error.code}")
                late = isinstance(error, http.ResponseTimeoutError)
                await pool.discard(connection)
                await pool.clear()
                connection = None
            except BaseException:
                await pool.discard(connection)
                raise
            else:
                self._metrics.incr("probes")
                report = self._read_report(entry, response)
                break
        if connection is not None and not connection.is_reusable:
            await pool.discard(connection)
            connection = None
        return Probe(
            candidate=dataclasses.replace(candidate, report=report),
            connection=connection,
            reported_at=time.monotonic(),
            late=late,
        )

    def _read_report(
        self, entry: registry.Entry, response: http.Response
    ) -> placement.LoadReport:
        report = self._codec.read_report(response)
        if report.unreadable:
            self._metrics.incr("report_unreadable")
            self._events.write(
                "report_unreadable",
                server=entry.server.id,
                fields=report.unreadable,
            )
        if report.server_id not in ("", entry.server.id):
            # Another server has this address; it tells nothing about this one.
            self._metrics.incr("report_of_another")
            return dataclasses.replace(report, healthy=False)
        return report


def _reuse_report(last: _LastReport, candidate: placement.Candidate) -> Probe:
    report = last.report
    if report is not None:
        report = dataclasses.replace(
            report, running=report.running + last.sent_since
        )
    return Probe(
        candidate=dataclasses.replace(candidate, report=report),
        connection=None,
        reported_at=last.at,
        late=last.late,
    )


class ProbeRound:
    """Probes several servers concurrently until it has enough reports."""

    def __init__(
        self,
        *,
        channels: Channels,
        service: configuration.Service,
        health: server_health.ServerHealthTable,
        zone: str,
    ) -> None:
        self._channels = channels
        self._service = service
        self._server_health = health
        self._zone = zone
        self._closed = False
        self._arrived: curio.Queue = curio.Queue()

    async def collect(
        self,
        entries: list[registry.Entry],
        *,
        timeout_seconds: float = REPORT_TIMEOUT_SECONDS,
    ) -> list[Probe]:
        """Returns the probes that arrived in time.

        Waiting ends with the first report of an idle server of normal speed in
        the own zone. Otherwise it ends at most `EXTRA_REPORT_SECONDS` after the
        first report.

        Args:
            entries: The servers.
            timeout_seconds: Longest wait for a report.
        """
        now = time.monotonic()
        deadline = now + timeout_seconds
        for entry in entries:
            await curio.spawn(
                self._probe_one, entry, now, deadline, daemon=True
            )
        probes: list[Probe] = []
        # A task whose report is overdue ends a moment later.
        until = deadline + EXTRA_REPORT_SECONDS
        while len(probes) < len(entries):
            try:
                async with core.timeout_at(until):
                    probe = await self._arrived.get()
            except curio.TaskTimeout:
                break
            probes.append(probe)
            if _is_ideal(probe.candidate):
                break
            if probe.candidate.report is not None:
                until = min(until, time.monotonic() + EXTRA_REPORT_SECONDS)
        return probes

    async def _probe_one(
        self, entry: registry.Entry, now: float, deadline: float
    ) -> None:
        server = entry.server
        probe = await self._channels.probe(
            entry,
            self._service,
            local=server.zone == self._zone,
            avoided=self._server_health.is_avoided(server, now=now),
            deadline=deadline,
        )
        report = probe.candidate.report
        if report is None or report.server_id not in ("", server.id):
            self._server_health.record_failure(server.id, now=time.monotonic())
        if self._closed:
            await self._channels.release(probe)
        else:
            await self._arrived.put(probe)

    async def close(self) -> None:
        """Returns the connections of all unused probes to their pools."""
        self._closed = True
        while not self._arrived.empty():
            await self._channels.release(await self._arrived.get())


def _is_ideal(candidate: placement.Candidate) -> bool:
    report = candidate.report
    return (
        report is not None
        and candidate.local
        and not candidate.avoided
        and report.healthy
        and report.running == 0
        and report.waiting == 0
        and report.slowness <= placement.NORMAL_SLOWNESS
        and report.cold_seconds <= 0
    )
