"""The gateway process: assembly, start, reload and shutdown."""

from collections.abc import Callable
import dataclasses
import random
import signal
import time

import curio

import banyandale_core as core
from banyandale_direct import _calls as calls
from banyandale_direct import _channels as channels
from banyandale_direct import _configuration as configuration
from banyandale_direct import _context as context
from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _demands as demands
from banyandale_direct import _endpoints as endpoints
from banyandale_direct import _gossip as gossip
from banyandale_direct import _handovers as handovers
from banyandale_direct import _lookups as lookups
from banyandale_direct import _members as members
from banyandale_direct import _named_limits as named_limits
from banyandale_direct import _path_checks as path_checks
from banyandale_direct import _paths as paths
from banyandale_direct import _protocols as protocols
from banyandale_direct import _quarantine as quarantine
from banyandale_direct import _registration as registration
from banyandale_direct import _registry as registry
from banyandale_direct import _rejections as rejections
from banyandale_direct import _replication as replication
from banyandale_direct import _senders as senders
from banyandale_direct import _server_health as server_health
from banyandale_direct import _stops as stops
from banyandale_direct import _store_updates as store_updates
import banyandale_http as http

NOT_FOUND_STATUS = 404
NOT_READY_STATUS = 503
# Interval between checks of the settings file and removals of state about
# servers that left.
HOUSEKEEPING_SECONDS = 1.0
# Pause before a failed background task is restarted.
RESTART_PAUSE_SECONDS = 0.2


class Gateway:
    """A gateway that chooses a backend server for every call itself."""

    def __init__(
        self,
        *,
        adapter: protocols.Platform,
        events: core.EventLog,
        metrics: core.PrometheusMetrics,
    ) -> None:
        """Creates a gateway.

        Args:
            adapter: Adapter of the platform on which it runs.
            events: Log of the process.
            metrics: Counters of the process.

        Raises:
            ValueError: The settings are invalid.
        """
        self._adapter = adapter
        self._events = events
        self._metrics = metrics
        self._random = random.Random()
        # What the gateway waited for in the last line about it.
        self._reported_missing: list[str] | None = None
        self._settings = adapter.read_settings()
        self._reloading = curio.Lock()
        loaded = self._settings
        events.identify(node=loaded.node)
        self._table = members.MemberTable(
            own=members.Member(
                ip=http.parse_address(loaded.peer_address)[0],
                zone=loaded.zone,
                started_unix_ms=int(time.time() * core.MILLISECONDS_PER_SECOND),
                beat=0,
                ready=False,
            ),
            random_source=self._random,
        )
        self._registry = registry.Registry()
        election = senders.SenderElection(own_ip=self._table.own.ip)
        send_times = senders.SendTimes()
        limits = named_limits.NamedLimits(election=election, times=send_times)
        store = adapter.open_store(loaded)
        crashes = crash_records.CrashTable()
        peer_port = http.parse_address(loaded.peer_address)[1]
        self._quarantine = quarantine.Quarantine(
            crashes=crashes,
            table=self._table,
            servers=self._registry,
            store=store,
            documents=adapter.documents,
            codec=adapter.servers,
            find_service=self._find_service,
            peer_port=peer_port,
            reads_store=self._reads_store,
            events=events,
            metrics=metrics,
        )
        monitor = paths.PathMonitor()
        self._shared = context.Shared(
            registry=self._registry,
            server_health=server_health.ServerHealthTable(),
            demands=demands.DemandTracker(),
            call_ages=demands.CallAgeTracker(),
            election=election,
            send_times=send_times,
            named_limits=limits,
            quarantine=self._quarantine,
            paths=monitor,
            handovers=handovers.Handovers(
                table=self._table,
                peer_port=peer_port,
                handover_port=http.parse_address(loaded.handover_address)[1],
                random_source=self._random,
                metrics=metrics,
            ),
            channels=channels.Channels(
                codec=adapter.servers,
                monitor=monitor,
                events=events,
                metrics=metrics,
            ),
            members=self._table,
            settings=loaded,
            codec=adapter.servers,
            metrics=metrics,
            events=events,
            random=self._random,
        )
        self._calls = calls.CallServer(
            shared=self._shared, codec=adapter.callers
        )
        self._path_checker = path_checks.PathChecker(
            monitor=monitor,
            servers=self._registry,
            asked=self._shared.channels,
            current=self._current_configuration,
            on_change=self._tell_impaired,
            events=events,
            metrics=metrics,
        )
        self._store_updates = store_updates.StoreUpdateHandler(
            documents=adapter.documents,
            servers=self._registry,
            loaded=loaded,
            on_configuration=self._calls.set_configuration,
            events=events,
            metrics=metrics,
        )
        self._replicator = replication.Replicator(
            store=store,
            kinds=self._store_updates.kinds(),
            table=self._table,
            peer_port=peer_port,
            is_seed=self._table.own.ip in loaded.seed_ips,
            on_listing=self._store_updates.apply_listing,
            on_change=self._store_updates.apply_change,
            reconcile=self._store_updates.reconcile,
            configuration_version=self._store_updates.configuration_version,
            events=events,
            metrics=metrics,
            random_source=self._random,
        )
        self._gossip = gossip.Gossip(
            table=self._table,
            address=loaded.peer_address,
            zones=tuple(sorted(loaded.regions)),
            seeds=loaded.seed_ips,
            is_ready=self.is_ready,
            held=self._replicator.held,
            configuration_version=self._store_updates.configuration_version,
            on_digest=self._replicator.handle_digest,
            election=election,
            limits=limits,
            crashes=crashes,
            events=events,
            metrics=metrics,
        )
        self._replicator.gossip = self._gossip
        self._quarantine.gossip = self._gossip
        self._registration = registration.Registration(
            store=store,
            documents=adapter.documents,
            table=self._table,
            events=events,
            metrics=metrics,
            random_source=self._random,
        )

    def is_ready(self) -> bool:
        """Returns whether this gateway may be listed to callers."""
        return not self._list_missing()

    def _list_missing(self) -> list[str]:
        """Returns what this gateway waits for before it is ready."""
        available = {
            "running": self._shared.stop is None,
            "configuration": self._calls.configuration is not None,
            "servers": self._registry.loaded,
            "crash_records": self._quarantine.loaded,
        }
        return [name for name, there in available.items() if not there]

    def _report_readiness(self) -> None:
        missing = self._list_missing()
        if missing != self._reported_missing:
            self._reported_missing = missing
            self._events.write_state(
                "readiness", ready=not missing, missing=missing
            )

    def _current_configuration(self) -> configuration.Configuration | None:
        return self._calls.configuration

    def _find_service(self, name: str) -> configuration.Service | None:
        current = self._calls.configuration
        return None if current is None else current.services.get(name)

    async def _tell_impaired(self, groups: int) -> None:
        self._table.set_impaired(groups)
        await self._gossip.notify_zone(remote=True)

    def _reads_store(self) -> bool:
        return self._replicator.should_read()

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then finishes the open calls."""
        loaded = self._settings
        self._events.write_state(
            "start",
            zone=loaded.zone,
            call_address=loaded.call_address,
            store=loaded.store_address,
        )
        async with core.SignalReceiver(
            signal.SIGTERM, signal.SIGHUP, signal.SIGINT
        ) as signals:
            await self._start_tasks()
            while True:
                number = await signals.receive()
                if number == signal.SIGHUP:
                    await self._spawn("reload", self._reload, "SIGHUP")
                    continue
                break
            await self._stop(number)

    async def _start_tasks(self) -> None:
        loaded = self._settings
        for address, serve in (
            (loaded.call_address, self._calls.serve),
            (loaded.handover_address, self._calls.serve_handed_over),
            (loaded.ready_address, endpoints.Endpoint(self._serve_ready).serve),
            (
                loaded.lookup_address,
                endpoints.Endpoint(self._serve_lookup).serve,
            ),
            (
                loaded.metrics_address,
                endpoints.Endpoint(self._serve_metrics).serve,
            ),
            (
                loaded.peer_address,
                endpoints.Endpoint(self._serve_peer).serve,
            ),
        ):
            await self._spawn(
                f"listener {address}", self._accept, address, serve
            )
        await self._spawn("gossip receiver", self._gossip.receive)
        await self._spawn("gossip sender", self._gossip.send)
        await self._spawn("following", self._replicator.run)
        await self._spawn("registration", self._registration.run)
        await self._spawn("paths", self._path_checker.run)
        await self._spawn("quarantine", self._quarantine.run)
        await self._spawn("quarantine messages", self._quarantine.tell)
        await self._spawn("housekeeping", self._run_housekeeping)

    async def _accept(self, address: str, serve: Callable) -> None:
        await endpoints.accept_connections(
            address, serve, events=self._events, metrics=self._metrics
        )

    async def _spawn(self, name: str, task: Callable, *args: object) -> None:
        await curio.spawn(self._keep_running, name, task, args, daemon=True)

    async def _keep_running(
        self, name: str, task: Callable, args: tuple[object, ...]
    ) -> None:
        while True:
            try:
                await task(*args)
                return
            except Exception as error:  # Must not end the process.
                self._metrics.incr("internal_error")
                self._events.write_state(
                    "part_failed", part=name, error=repr(error)
                )
                await curio.sleep(RESTART_PAUSE_SECONDS)

    def _serve_ready(self, request: http.Request) -> http.Response:
        if not self._adapter.callers.is_readiness_check(request):
            return http.Response(status=NOT_FOUND_STATUS)
        status = 200 if self.is_ready() else NOT_READY_STATUS
        return http.Response(status=status)

    def _serve_lookup(self, request: http.Request) -> http.Response:
        lookup = self._adapter.callers.read_lookup(request)
        if lookup is None:
            return http.Response(status=NOT_FOUND_STATUS)
        # The own entry's `ready` is otherwise updated only once per gossip
        # round (0.5 s).
        self._table.set_ready(self.is_ready())
        addresses = lookups.choose_addresses(
            self._table.live(now=time.monotonic()),
            zone=lookup.zone,
            zones_out=self._registry.zones_out,
            regions=self._settings.regions,
            port=http.parse_address(self._settings.call_address)[1],
            random_source=self._random,
        )
        if not addresses:
            self._metrics.incr("lookups:none")
            return http.Response(status=NOT_READY_STATUS)
        self._metrics.incr("lookups:answered")
        serving = stops.SERVING_FRACTION * self._settings.grace_seconds
        return self._adapter.callers.write_lookup(
            addresses,
            valid_seconds=lookups.find_valid_seconds(
                serving_seconds=serving,
                longest_seconds=self._settings.longest_valid_seconds,
            ),
        )

    def _serve_peer(self, request: http.Request) -> http.Response:
        if request.target == handovers.LOAD_PATH.encode():
            return http.Response(
                status=200,
                body=handovers.write_load(
                    ready=self.is_ready(),
                    impaired=self._table.own.impaired,
                    open_calls=self._calls.open_calls,
                ),
            )
        if request.target.startswith(quarantine.TRIAL_PATH.encode()):
            return self._quarantine.serve(request)
        return self._replicator.serve_delta(request)

    def _serve_metrics(self, request: http.Request) -> http.Response:
        listed = self._quarantine.serve_list(request)
        if listed is not None:
            return listed
        path = request.target.partition(b"?")[0].decode("latin-1")
        if path != self._settings.metrics_path:
            return http.Response(status=NOT_FOUND_STATUS)
        self._metrics.gauge("open_calls", self._calls.open_calls)
        self._metrics.gauge("open_connections", self._calls.open_connections)
        self._metrics.gauge("log_lines_dropped", self._events.dropped)
        self._metrics.gauge(
            "limited_servers", self._shared.named_limits.count()
        )
        return http.Response(
            status=200,
            headers=((b"content-type", b"text/plain; version=0.0.4"),),
            body=self._metrics.render(),
        )

    async def _run_housekeeping(self) -> None:
        while True:
            await curio.sleep(HOUSEKEEPING_SECONDS)
            if self._adapter.has_new_settings():
                await self._reload("file")
            self._report_readiness()
            self._events.flush()
            self._store_updates.expire_kept_zones()
            addresses = self._registry.addresses()
            known = frozenset(addresses)
            self._shared.server_health.keep_only(known)
            self._shared.paths.keep_only(known)
            self._shared.send_times.forget_gone(known, now=time.monotonic())
            self._shared.named_limits.forget_gone(
                known, boot_now=core.boot_seconds()
            )
            await self._shared.channels.keep_only(addresses)
            await self._shared.handovers.keep_only(
                {member.ip for member in self._table.known()}
            )

    async def _reload(self, cause: str) -> None:
        """Applies settings that may change while the process runs."""
        async with self._reloading:
            await self._apply_settings(cause)

    async def _apply_settings(self, cause: str) -> None:
        try:
            # Parsing an odd file can take seconds.
            loaded = await curio.run_in_thread(self._adapter.read_settings)
        except Exception as error:  # Must not end the process.
            self._metrics.incr("reload:rejected")
            self._events.write(
                "reload",
                cause=cause,
                outcome="rejected",
                error=str(error)[: rejections.MAX_REASON_LENGTH],
            )
            return
        if loaded == self._settings and cause == "file":
            return
        changed = [
            field.name
            for field in dataclasses.fields(loaded)
            if getattr(loaded, field.name)
            != getattr(self._settings, field.name)
        ]
        self._settings = loaded
        self._shared.settings = loaded
        if {"repeat_ratio", "repeat_slack", "repeat_window_seconds"} & set(
            changed
        ):
            self._shared.repeat_budgets.clear()
        self._events.write_state(
            "reload", cause=cause, outcome="taken", changed=changed
        )

    async def _stop(self, number: signal.Signals) -> None:
        plan = stops.StopPlan(
            signalled_at=self._gossip.life_signs.find_signal_time(
                now=time.monotonic(), boot_now=core.boot_seconds()
            ),
            boot_offset=core.boot_seconds() - time.monotonic(),
            grace_seconds=self._settings.grace_seconds,
        )
        self._shared.stop = plan
        self._events.write_state(
            "stop",
            signal=number.name,
            open_calls=self._calls.open_calls,
            exit_seconds=round(plan.exit_at - time.monotonic(), 3),
        )
        await self._calls.stop_reading()
        await self._gossip.send_round()
        await self._wait_for_calls(plan, until=lambda: plan.answer_by)
        await self._calls.reject_waiting()
        await self._wait_for_calls(plan, until=lambda: plan.close_at)
        await self._calls.close(deadline=plan.exit_at)
        self._events.write_state(
            "end",
            open_calls=self._calls.open_calls,
            open_connections=self._calls.open_connections,
        )
        self._events.flush()

    async def _wait_for_calls(
        self, plan: stops.StopPlan, *, until: Callable[[], float]
    ) -> None:
        """Waits until no call is open and callers have had time to leave."""
        while (now := time.monotonic()) < until():
            if now >= plan.serve_until and self._calls.open_calls == 0:
                return
            await curio.sleep(stops.CHECK_SECONDS)
            plan.follow(now=time.monotonic(), boot_now=core.boot_seconds())
