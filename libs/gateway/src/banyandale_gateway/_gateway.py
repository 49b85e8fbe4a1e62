"""Construction, startup and graceful shutdown of a gateway."""

import random
import signal
import time
from typing import Any
import uuid

from absl import logging
import curio

import banyandale_claims as claims
import banyandale_config as config
import banyandale_core as core
import banyandale_dispatch as dispatch
from banyandale_gateway import _backends as backends
from banyandale_gateway import _budgets as budgets
from banyandale_gateway import _callers as callers
from banyandale_gateway import _config_peers as config_peers
from banyandale_gateway import _errors as errors
from banyandale_gateway import _handler as handler
from banyandale_gateway import _homes as homes
from banyandale_gateway import _idempotency as idempotency
from banyandale_gateway import _local as local
from banyandale_gateway import _lookup as lookup
from banyandale_gateway import _membership as membership
from banyandale_gateway import _peer_server as peer_server
from banyandale_gateway import _peers as peers
from banyandale_gateway import _prober as prober
from banyandale_gateway import _rates as rates
from banyandale_gateway import _router as router
from banyandale_gateway import _sender as sender
from banyandale_gateway import _settings as settings
from banyandale_gateway import _status as status
from banyandale_gateway import _vms as vms
import banyandale_http as http
import banyandale_lease as lease
import banyandale_peer as peer
import banyandale_platform as platform

REFRESH_INTERVAL_SECONDS = 0.25
HEARTBEAT_INTERVAL_SECONDS = 0.05
METRICS_FLUSH_SECONDS = 1.0
# A graceful shutdown keeps serving until every lookup that contains this
# gateway has expired, plus a margin for callers whose clocks are slow.
DRAIN_SECONDS = lookup.LOOKUP_TTL_SECONDS + 1.0
# Time before SIGKILL in which the links to peers are closed and the lease is
# released.
EXIT_MARGIN_SECONDS = 1.0
DRAIN_POLL_SECONDS = 0.05

POLICIES = {
    "least_loaded": dispatch.LeastLoaded,
    "random": dispatch.Random,
    "round_robin": dispatch.RoundRobin,
    "two_choices": dispatch.TwoChoices,
}


class Gateway:
    """A gateway and its components."""

    def __init__(
        self,
        *,
        own_settings: settings.Settings,
        store: platform.ObjectStore,
        vm_list: platform.VmList,
        metrics: core.MemoryMetrics,
        clock: core.Clock,
    ) -> None:
        self._settings = own_settings
        self._metrics = metrics
        self._clock = clock
        self._boot = uuid.uuid4().hex
        self._wanted_homes: lease.DesiredHomes | None = None
        self._build_control_plane(store, vm_list)
        self._build_claims(store)
        self._build_data_plane()

    def _build_control_plane(
        self, store: platform.ObjectStore, vm_list: platform.VmList
    ) -> None:
        own_settings = self._settings
        self._peer_node = peer.PeerNode(
            gateway_id=own_settings.gateway_id,
            secret=own_settings.peer_secret.encode(),
            listen_address=own_settings.peer_listen,
            source=own_settings.source,
            address=own_settings.peer_advertise,
            seeds=own_settings.peers,
            state=self,
            metrics=self._metrics,
            clock=self._clock,
        )
        config_server = config_peers.ConfigServer(
            node=self._peer_node, metrics=self._metrics
        )
        self._follower = config.Follower(
            store=store,
            gateway=own_settings.gateway_id,
            boot=self._boot,
            peers=config_server.list_peers,
            on_change=self._on_configuration,
            metrics=self._metrics,
            clock=self._clock,
        )
        config_server.attach(self._follower)
        self._vms = vms.VmWatcher(
            vm_list=vm_list,
            on_change=self._refresh_homes,
            metrics=self._metrics,
        )
        self._lease_keeper = lease.LeaseKeeper(
            store=store,
            clock=self._clock,
            metrics=self._metrics,
            rng=random.Random(),
            gateway=own_settings.gateway_id,
            zone=own_settings.zone,
            http=own_settings.advertise,
            peer=own_settings.peer_advertise,
        )
        self._ownership = lease.Ownership(
            store=store,
            keeper=self._lease_keeper,
            clock=self._clock,
            metrics=self._metrics,
            rng=random.Random(),
            get_desired_homes=lambda: self._wanted_homes,
            is_idle=self._is_idle,
            on_gained=self._on_home_change,
            on_lost=self._on_home_change,
        )

    def _build_claims(self, store: platform.ObjectStore) -> None:
        self._claims = claims.ClaimRouter(
            store=claims.ClaimStore(
                store=store,
                writer=f"{self._settings.gateway_id}/{self._boot}/claims",
                is_active=self._is_active,
                metrics=self._metrics,
                clock=self._clock,
                rng=random.Random(),
            ),
            gateway_id=self._settings.gateway_id,
            boot=lambda: self._boot,
            owner_of=self._find_claim_owner,
            send_request=self._peer_node.request,
            metrics=self._metrics,
            clock=self._clock,
        )
        self._peer_node.on_request(claims.REQUEST_KIND, self._serve_claim)

    async def _serve_claim(self, request: peer.ControlRequest) -> bytes:
        return await self._claims.handle_request(request.payload)

    def _find_claim_owner(self, service: str, shard: int) -> str | None:
        """Returns the gateway that writes the claims of a shard.

        Gateways may temporarily disagree about it and write to the same
        shard; conditional updates keep this safe.
        """
        weights = {
            info.gateway: info.weight
            for info in self._ownership.gateways()
            if not info.leaving
        }
        return lease.choose(f"{service}.{shard}", weights)

    def _is_active(self, gateway_id: str, boot: str) -> bool:
        """Whether a gateway may still report the outcome of its claims.

        A gateway without a heartbeat so far counts as active: it may have
        just started, and its claims end with the deadlines of their requests.
        """
        if gateway_id == self._settings.gateway_id:
            return boot == self._boot
        for state in self._peer_node.peers():
            if state.gateway_id == gateway_id and state.heartbeat is not None:
                return not state.suspected and state.heartbeat.boot == boot
        return True

    def _build_data_plane(self) -> None:
        own_settings = self._settings
        if own_settings.routing is settings.Routing.HOME:
            self._homes = homes.HomeTable(
                ownership=self._ownership,
                build_dispatcher=self._build_dispatcher,
                vms=self._vms,
                clock=self._clock,
                metrics=self._metrics,
            )
        else:
            self._homes = homes.DirectTable(
                build_dispatcher=self._build_dispatcher,
                vms=self._vms,
            )
        self._membership = membership.Membership(
            own_settings=own_settings,
            leases=self._ownership,
            node=self._peer_node,
            own_homes=self._list_own_home_zones,
            snapshot=self._follower.current,
        )
        protocol = backends.HeaderProtocol()
        self._prober = prober.Prober(
            home_table=self._homes,
            protocol=protocol,
            source=own_settings.source,
            metrics=self._metrics,
            probe_all=own_settings.policy == "two_choices",
        )
        self._sender = sender.Sender(
            protocol=protocol,
            source=own_settings.source,
            clock=self._clock,
        )
        self._router = router.Router(
            home_table=self._homes,
            peers=peers.PeerHomes(node=self._peer_node, metrics=self._metrics),
            request_sender=self._sender,
            service_budgets=budgets.ServiceBudgets(),
            metrics=self._metrics,
        )
        self._peer_node.on_call(
            peer_server.PeerCallServer(
                configuration=self._follower, call_router=self._router
            ).serve
        )
        self._limits = rates.RateLimits(clock=self._clock)
        self._callers = callers.CallerServer(
            address=own_settings.listen,
            calls_handler=handler.Handler(
                configuration=self._follower,
                router=idempotency.IdempotentRouter(
                    router=self._router, claim_router=self._claims
                ),
                limits=self._limits,
                clock=self._clock,
                metrics=self._metrics,
            ),
            local_handler=local.LocalEndpoints(
                membership=self._membership,
                configuration=self._follower,
                status=self.describe_status,
                clock=self._clock,
                metrics=self._metrics,
            ),
            metrics=self._metrics,
        )

    def _build_dispatcher(self, service: config.Service) -> dispatch.Dispatcher:
        is_home = self._settings.routing is settings.Routing.HOME
        return dispatch.Dispatcher(
            clock=self._clock,
            metrics=self._metrics,
            policy=POLICIES[self._settings.policy](),
            queue_limit=service.queue_limit,
            cold_limit=service.cold_limit,
            cold_min_seconds=service.cold_min_ms / core.MILLISECONDS_PER_SECOND,
            limit_slots=is_home,
            first_report_seconds=prober.FIRST_REPORT_TIMEOUT_SECONDS
            if is_home
            else 0,
        )

    def describe(self) -> peer.Heartbeat:
        """Returns the contents of this gateway's heartbeats."""
        return peer.Heartbeat(
            gateway_id=self._settings.gateway_id,
            boot=self._boot,
            generation=self._follower.generation,
            http_address=self._settings.advertise,
            leaving=self._membership.leaving,
            homes=tuple(
                _build_home_report(home) for home in self._homes.homes()
            ),
        )

    def describe_status(self) -> dict[str, Any]:
        """Returns the contents of `/v1/status`."""
        return {
            "gateway": self._settings.gateway_id,
            "zone": self._settings.zone,
            "boot": self._boot,
            "generation": self._follower.generation,
            "leaving": self._membership.leaving,
            "lease": self._lease_keeper.is_valid(),
            "homes": [
                status.describe_home(
                    home, has_lease=self._homes.has_lease(home)
                )
                for home in self._homes.homes()
            ],
            "peers": [
                {"gateway": state.gateway_id, "suspected": state.suspected}
                for state in self._peer_node.peers()
            ],
            "counters": status.sort_counters(self._metrics),
        }

    def _list_own_home_zones(self, service: str) -> frozenset[str]:
        return frozenset(home.zone for home in self._homes.homes_of(service))

    def _is_idle(self, service: str, zone: str) -> bool:
        """Whether a home has no request in flight at a possibly cold server.

        The next holder of the home could not count such a request against the
        cold limit.
        """
        home = self._homes.find(service, zone)
        return home is None or not _has_cold_requests(home)

    def _on_configuration(self, snapshot: config.Snapshot) -> None:
        logging.info(
            "applying configuration generation %d", snapshot.generation
        )
        self._wanted_homes = _find_wanted_homes(snapshot)
        self._refresh_homes()

    def _on_home_change(self, service: str, zone: str) -> None:
        del service, zone
        self._refresh_homes()

    def _refresh_homes(self) -> None:
        snapshot = self._follower.current()
        if snapshot is not None:
            self._homes.refresh(snapshot)

    async def _close_unused_connections(self) -> None:
        """Closes connections to servers that are no longer configured."""
        snapshot = self._follower.current()
        if snapshot is not None:
            await self._sender.close_pools_except(snapshot.server_addresses)

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully.

        Raises:
            ListenError: The gateway cannot listen on an address.
        """
        self._listen()
        loops = (
            self._lease_keeper.run,
            self._follower.run,
            self._ownership.run,
            self._vms.run,
            self._prober.run,
            self._peer_node.run,
            self._callers.run,
            self._run_refresh,
            self._run_heartbeats,
            self._run_metrics_flush,
        )
        tasks = [await curio.spawn(loop, daemon=True) for loop in loops]
        core.tune_garbage_collector()
        logging.info("gateway %s started", self._settings.gateway_id)
        await core.wait_for_signal(signal.SIGTERM, signal.SIGINT)
        await self._drain()
        for task in tasks:
            await task.cancel(blocking=False)

    def _listen(self) -> None:
        try:
            self._callers.listen()
            self._peer_node.listen()
        except OSError as error:
            raise errors.ListenError(
                f"cannot listen on {self._settings.listen} or"
                f" {self._settings.peer_listen}: {error}"
            ) from error

    async def _run_refresh(self) -> None:
        while True:
            self._refresh_homes()
            await self._close_unused_connections()
            addresses = self._membership.peer_addresses()
            await self._peer_node.update_peers(addresses)
            gateways = len(self._peer_node.peers()) + 1
            self._limits.set_gateways(gateways)
            self._prober.set_gateways(gateways)
            for state in self._peer_node.peers():
                if state.heartbeat is not None:
                    self._follower.note_peer_generation(
                        state.heartbeat.generation
                    )
            await curio.sleep(REFRESH_INTERVAL_SECONDS)

    async def _run_heartbeats(self) -> None:
        while True:
            await self._peer_node.announce_loads()
            await curio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def _run_metrics_flush(self) -> None:
        while isinstance(self._metrics, core.StatsdMetrics):
            self._metrics.flush()
            await curio.sleep(METRICS_FLUSH_SECONDS)

    async def _drain(self) -> None:
        """Hands over homes, finishes active calls and releases the lease."""
        logging.info("gateway %s is leaving", self._settings.gateway_id)
        self._membership.leaving = True
        signalled_at = time.monotonic()
        exit_at = (
            signalled_at + self._settings.grace_seconds - EXIT_MARGIN_SECONDS
        )
        until = min(signalled_at + DRAIN_SECONDS, exit_at)
        await self._wait_for_cold_requests(until)
        await self._lease_keeper.leave()
        while time.monotonic() < until:
            await curio.sleep(DRAIN_POLL_SECONDS)
        self._callers.drain()
        while not self._callers.is_drained and time.monotonic() < exit_at:
            await curio.sleep(DRAIN_POLL_SECONDS)
        self._callers.log_cut_calls()
        await self._peer_node.stop(deadline=exit_at)
        async with curio.ignore_after(EXIT_MARGIN_SECONDS / 2):
            await self._lease_keeper.release()
        logging.info("gateway %s stopped", self._settings.gateway_id)

    async def _wait_for_cold_requests(self, until: float) -> None:
        """Waits for requests at cold servers before homes are handed over."""
        self._homes.stop_cold_requests()
        while time.monotonic() < until and any(
            _has_cold_requests(home) for home in self._homes.homes()
        ):
            await curio.sleep(DRAIN_POLL_SECONDS)


def _build_home_report(home: homes.Home) -> peer.HomeReport:
    load = home.dispatcher.load()
    return peer.HomeReport(
        service=home.service,
        zone=home.zone,
        free_slots=load.free_slots,
        queued=load.queued,
        wait=load.wait_estimate,
    )


def _has_cold_requests(home: homes.Home) -> bool:
    return any(
        state.in_flight and state.phase is not dispatch.Phase.WARM
        for state in home.dispatcher.list_states()
    )


def _find_wanted_homes(snapshot: config.Snapshot) -> lease.DesiredHomes:
    """Returns the homes that the configuration requires."""
    pairs = {
        (service.name, server.zone)
        for service in snapshot.services
        for server in service.servers
    }
    return lease.DesiredHomes(
        homes=tuple(sorted(pairs)),
        zones_in_service=frozenset(
            zone.name for zone in snapshot.zones if zone.in_service
        ),
    )


async def run_gateway(own_settings: settings.Settings) -> int:
    """Runs a gateway until it is stopped; returns the exit status 0."""
    clock = core.SystemClock()
    metrics = _build_metrics(own_settings)
    store = platform.MeteredStore(
        store=platform.HttpObjectStore(
            address=own_settings.platform, source=own_settings.source
        ),
        metrics=metrics,
        clock=clock,
        budget=platform.CallBudget(),
    )
    gateway = Gateway(
        own_settings=own_settings,
        store=store,
        vm_list=platform.HttpVmList(
            address=own_settings.platform, source=own_settings.source
        ),
        metrics=metrics,
        clock=clock,
    )
    await gateway.run()
    return 0


def _build_metrics(own_settings: settings.Settings) -> core.MemoryMetrics:
    if own_settings.statsd is None:
        return core.MemoryMetrics()
    host, port = http.parse_address(own_settings.statsd)
    return core.StatsdMetrics(
        host=host, port=port, prefix=f"banyandale.{own_settings.gateway_id}"
    )
