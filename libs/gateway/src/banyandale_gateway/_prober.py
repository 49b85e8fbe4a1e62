"""Probes backend servers for load reports within the probe budget."""

import time

import curio

import banyandale_config as config
import banyandale_core as core
import banyandale_dispatch as dispatch
from banyandale_gateway import _backends as backends
from banyandale_gateway import _homes as homes
import banyandale_http as http

CHECK_INTERVAL_SECONDS = 0.05
PROBE_TIMEOUT_SECONDS = 0.5
MAX_REPORT_BYTES = 4096
# A server is probed when its last report is older than this. A server that
# starts leaving must get no new work after 3 s and is detected well before.
MAX_REPORT_AGE_SECONDS = 1.0
# A new server gets no work until its first report or this timeout: it may
# have told the previous holder of the home that it is leaving.
FIRST_REPORT_TIMEOUT_SECONDS = 0.5
# During a handover, the old and the new holder of a home may both probe its
# servers. Each uses half of the budget, so that together they stay within it.
MAX_CONCURRENT_HOLDERS = 2


class Prober:
    """Probes servers whose state is not known from recent responses.

    The holder of a home learns the state of its servers from their responses.
    It probes only servers that have no requests in flight and are unknown or
    down, and servers without a recent report, which may have started leaving.

    With `probe_all`, it probes all servers and the gateways share the budget:
    without homes, each gateway sees only a part of the responses.
    """

    def __init__(
        self,
        *,
        home_table: homes.HomeTable | homes.DirectTable,
        protocol: backends.BackendProtocol,
        source: str | None,
        metrics: core.Metrics,
        probe_all: bool,
    ) -> None:
        self._homes = home_table
        self._protocol = protocol
        self._source = source
        self._metrics = metrics
        self._probe_all = probe_all
        self._budget_shares = MAX_CONCURRENT_HOLDERS
        self._next_probe_at: dict[str, float] = {}

    def set_gateways(self, count: int) -> None:
        """Sets the number of gateways that share the probe budget."""
        if self._probe_all:
            self._budget_shares = max(count, 1)

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            now = time.monotonic()
            for home in self._homes.homes():
                if home.built_from is not None:
                    await self._probe_home(home, home.built_from[0], now)
            await curio.sleep(CHECK_INTERVAL_SECONDS)

    async def _probe_home(
        self, home: homes.Home, service: config.Service, now: float
    ) -> None:
        if service.probe_budget_per_s <= 0:
            return
        interval = self._budget_shares / service.probe_budget_per_s
        for state in home.dispatcher.list_states():
            if not self._needs_probe(state, now):
                continue
            # The first probe of a server waits for a whole interval, because
            # the previous holder may have just probed it.
            next_probe_at = self._next_probe_at.setdefault(
                state.address, now + interval
            )
            if now >= next_probe_at:
                self._next_probe_at[state.address] = now + interval
                await curio.spawn(self._probe, home, state, daemon=True)

    def _needs_probe(self, state: dispatch.ServerState, now: float) -> bool:
        if self._probe_all:
            return True
        if state.server.leaving:
            return False
        if not state.in_flight and state.phase in (
            dispatch.Phase.UNKNOWN,
            dispatch.Phase.DOWN,
        ):
            return True
        return now >= state.last_report_at + MAX_REPORT_AGE_SECONDS

    async def _probe(
        self, home: homes.Home, state: dispatch.ServerState
    ) -> None:
        self._metrics.incr("probe.sent")
        try:
            response = await self._exchange(state.address)
        except http.HttpError as error:
            self._metrics.incr(f"probe.failed.{error.code}")
            return
        report = self._protocol.read_probe(response)
        if report is not None:
            home.dispatcher.record_load_report(state.address, report)

    async def _exchange(self, address: str) -> http.Response:
        deadline = time.monotonic() + PROBE_TIMEOUT_SECONDS
        connection = await http.ClientConnection.open(
            address=address, source=self._source, deadline=deadline
        )
        try:
            return await connection.exchange(
                self._protocol.build_probe(),
                limit=MAX_REPORT_BYTES,
                deadline=deadline,
            )
        finally:
            await connection.close()
