"""Connections to servers, and load reports read over them."""

import dataclasses
import time

import curio

import banyandale_core as core
from banyandale_direct import _beliefs as beliefs
from banyandale_direct import _configuration as configuration
from banyandale_direct import _placement as placement
from banyandale_direct import _protocols as protocols
from banyandale_direct import _registry as registry
import banyandale_http as http

# Idle connections kept to one server. A gateway rarely has more calls than
# this at one server, which runs two at a time.
IDLE_CONNECTIONS = 3
# A report has to arrive within this time. Reports come within 6 ms of their
# arrival, after one or two round trips of at most 8 ms; a server that takes
# longer is no better than one of another zone.
REPORT_SECONDS = 0.12
# After the first report, the others get this much longer.
SETTLE_SECONDS = 0.012
MAX_REPORT_BYTES = 65536


@dataclasses.dataclass(kw_only=True, slots=True)
class Probe:
    """A load report with the connection that carried it.

    Attributes:
        candidate: The server and its report.
        connection: Connection that has just proved to work, or None.
        reported_at: Monotonic seconds of the report.
    """

    candidate: placement.Candidate
    connection: http.ClientConnection | None
    reported_at: float


class Channels:
    """Keeps a pool of connections per server address."""

    def __init__(
        self, *, dialect: protocols.ServerDialect, metrics: core.Metrics
    ) -> None:
        self._dialect = dialect
        self._metrics = metrics
        self._pools: dict[str, http.Pool] = {}

    def pool(self, address: str) -> http.Pool:
        """Returns the pool of a server address."""
        pool = self._pools.get(address)
        if pool is None:
            pool = http.Pool(address=address, limit=IDLE_CONNECTIONS)
            self._pools[address] = pool
        return pool

    async def keep_only(self, addresses: frozenset[str]) -> None:
        """Closes idle connections to addresses that are no longer used."""
        for address in self._pools.keys() - addresses:
            await self._pools.pop(address).retire()

    async def release(self, probe: Probe) -> None:
        """Puts the connection of a probe that was not chosen back."""
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
        """Asks a server for its load.

        A connection that turns out to be closed is replaced once.
        """
        request = self._dialect.write_probe(service)
        pool = self.pool(entry.server.address)
        report = None
        connection = None
        for _ in range(2):
            try:
                connection = await pool.acquire(deadline=deadline)
            except http.ConnectError as error:
                self._metrics.incr(f"probe_failed:{error.code}")
                break
            try:
                response = await connection.exchange_own(
                    request,
                    is_own=self._dialect.is_report,
                    limit=MAX_REPORT_BYTES,
                    deadline=deadline,
                )
            except http.HttpError as error:
                self._metrics.incr(f"probe_failed:{error.code}")
                await pool.discard(connection)
                await pool.clear()
                connection = None
            except BaseException:
                await pool.discard(connection)
                raise
            else:
                self._metrics.incr("probes")
                report = self._dialect.read_report(response)
                break
        if connection is not None and not connection.is_reusable:
            await pool.discard(connection)
            connection = None
        return Probe(
            candidate=placement.Candidate(
                entry=entry, report=report, local=local, avoided=avoided
            ),
            connection=connection,
            reported_at=time.monotonic(),
        )


class ProbeRound:
    """Asks several servers at once and stops waiting when it can choose."""

    def __init__(
        self,
        *,
        channels: Channels,
        service: configuration.Service,
        known: beliefs.Beliefs,
        zone: str,
    ) -> None:
        self._channels = channels
        self._service = service
        self._known = known
        self._zone = zone
        self._closed = False
        self._arrived: curio.Queue = curio.Queue()

    async def ask(self, entries: list[registry.Entry]) -> list[Probe]:
        """Returns the probes that arrived in time.

        The first server that is idle, normal and in the own zone ends the
        wait; else the others get a little longer than the first.
        """
        now = time.monotonic()
        deadline = now + REPORT_SECONDS
        for entry in entries:
            await curio.spawn(self._ask_one, entry, now, deadline, daemon=True)
        probes: list[Probe] = []
        until = deadline
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
                until = min(until, time.monotonic() + SETTLE_SECONDS)
        return probes

    async def _ask_one(
        self, entry: registry.Entry, now: float, deadline: float
    ) -> None:
        server = entry.server
        probe = await self._channels.probe(
            entry,
            self._service,
            local=server.zone == self._zone,
            avoided=self._known.is_avoided(server, now=now),
            deadline=deadline,
        )
        if probe.candidate.report is None:
            self._known.record_failure(server.id, now=time.monotonic())
        if self._closed:
            await self._channels.release(probe)
        else:
            await self._arrived.put(probe)

    async def close(self) -> None:
        """Puts the connections of all unused probes back."""
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
