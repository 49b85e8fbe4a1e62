"""Probes of backend servers that no response tells about."""

from collections.abc import Callable
import time

import curio

import banyandale_config as config
import banyandale_core as core
import banyandale_dispatch as dispatch
from banyandale_gateway import _homes as homes
from banyandale_gateway import _rates as rates
from banyandale_gateway import _sender as sender
import banyandale_http as http

# A server without a report for this long is probed, so that one that is
# leaving is known well before the 3 s after which it must get no new work.
SILENT_SECONDS = 1.0
# A new server gets no work before its first report, at most this long.
FIRST_REPORT_SECONDS = 0.5
PROBE_SECONDS = 0.5
CHECK_SECONDS = 0.05


class Prober:
    """Probes silent servers within the probe budget of their service.

    Servers that get requests report with each response and need no probe.
    """

    def __init__(
        self,
        *,
        home_table: homes.HomeTable,
        request_sender: sender.Sender,
        snapshot: Callable[[], config.Snapshot | None],
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._homes = home_table
        self._sender = request_sender
        self._snapshot = snapshot
        self._clock = clock
        self._metrics = metrics
        self._budgets: dict[tuple[str, str], rates.Bucket] = {}

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            snapshot = self._snapshot()
            for home in self._homes.homes() if snapshot is not None else ():
                service = snapshot.find_service(home.service)
                if service is not None and service.probe_budget_per_s > 0:
                    await self._probe_home(home, service.probe_budget_per_s)
            await curio.sleep(CHECK_SECONDS)

    async def _probe_home(self, home: homes.Home, rate: float) -> None:
        now = self._clock.monotonic()
        budget = self._budgets.setdefault(
            (home.service, home.zone), rates.Bucket(now=now)
        )
        for address in home.dispatcher.list_silent(SILENT_SECONDS):
            if not budget.take(rate=rate, now=now):
                self._metrics.incr("probe.over_budget")
                return
            home.dispatcher.note_probe(address)
            self._metrics.incr("probe.sent")
            await curio.spawn(
                self._probe, address, home.dispatcher, daemon=True
            )

    async def _probe(
        self, address: str, dispatcher: dispatch.Dispatcher
    ) -> None:
        try:
            await self._sender.probe(
                address,
                dispatcher=dispatcher,
                deadline=time.monotonic() + PROBE_SECONDS,
            )
        except http.HttpError as error:
            self._metrics.incr(f"probe.{error.code}")
