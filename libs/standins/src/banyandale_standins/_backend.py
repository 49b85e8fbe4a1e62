"""Simulated backend servers of several services.

One process hosts many servers, each on its own address. A server runs as many
requests at a time as it has slots, queues a limited number and sheds the
rest. It starts cold, is slowed down at times by noisy neighbours, and shows
faults that are set through the admin listener.
"""

import collections
import contextlib
import dataclasses
import json
import math
import random
import time
from typing import Literal

import curio
import curio.io
import curio.traps
import pydantic

import banyandale_core as core
import banyandale_http as http
from banyandale_standins import _admin as admin
from banyandale_standins import _bodies as bodies
from banyandale_standins import _episodes as episodes
from banyandale_standins import _networks as networks

IDLE_TIMEOUT_SECONDS = 120.0
MAX_REQUEST_BYTES = 4 << 20
# How long the design allows new requests to reach a leaving server.
LEAVING_GRACE_SECONDS = 3.0
# Keys whose executions each server counts, to detect repeated execution.
MAX_EFFECTS = 200_000
MAX_OVERRUNS = 1000
IDEMPOTENT_METHODS = frozenset({b"GET", b"HEAD", b"PUT", b"DELETE"})


class ServiceProfile(networks.Model):
    """How the servers of one service behave.

    Attributes:
        mean_ms: Mean service time of a warm server without neighbours.
        sigma: Standard deviation of the logarithm of the service time.
        min_bytes: Smallest response body.
        max_bytes: Largest response body.
    """

    mean_ms: float = pydantic.Field(default=10.0, gt=0)
    sigma: float = pydantic.Field(default=0.5, ge=0)
    min_bytes: int = 200
    max_bytes: int = 2000


class ColdSettings(networks.Model):
    """How a server behaves after its start.

    Attributes:
        limit: Requests that a cold server accepts at a time; one more makes
            it fail and restart.
        factor: How many times slower a cold server works.
        warm_requests: Completed requests after which a server is warm.
        warm_ms: Time after which a server is warm even if it completed fewer
            requests, or None for no such time.
    """

    limit: int = 1
    factor: float = 3.0
    warm_requests: int = 5
    warm_ms: float | None = None


class ServerSettings(networks.Model):
    """Settings of one server."""

    address: str
    service: str
    zone: str
    slots: int = pydantic.Field(default=2, ge=1)
    queue: int = pydantic.Field(default=4, ge=0)


class BackendsSettings(networks.Model):
    """All servers of one process.

    Attributes:
        admin: `ip:port` of the admin listener.
        load_stale_ms: Age up to which a load report is reused.
    """

    admin: str
    seed: int = 1
    network: networks.Network = networks.Network()
    services: dict[str, ServiceProfile]
    servers: tuple[ServerSettings, ...]
    cold: ColdSettings = ColdSettings()
    neighbours: episodes.EpisodeSettings = episodes.EpisodeSettings()
    load_stale_ms: float = 0.0


class ServerChange(networks.Model):
    """A change of a running server; fields that are None change nothing.

    Attributes:
        cold: True restarts the server without closing connections.
        leaving: Whether the server announces that it leaves.
        slow_factor: How many times slower the server works.
        fault: Fault in responses: `truncate` cuts the body off, `cross`
            sends the response of the previous request, `double` sends the
            response twice, `delay` sends it `delay_ms` later.
        fault_ratio: Share of responses with the fault.
        delay_ms: Delay of the fault `delay`.
        silence: `open` permanently stops all responses on the connections
            that are open now, while new ones work; `all` does so on new
            ones too; `none` lets new ones work again.
        refuse: True resets all connections and refuses new ones; False
            restarts the server.
        cancel_ms: How long a request still holds its slot after its caller
            closed the connection.
        claim_phase: Phase that the server reports instead of its actual
            one; "" reports the actual one.
    """

    cold: bool | None = None
    leaving: bool | None = None
    slow_factor: float | None = pydantic.Field(default=None, gt=0)
    fault: Literal["none", "truncate", "cross", "double", "delay"] | None = None
    fault_ratio: float | None = pydantic.Field(default=None, ge=0, le=1)
    delay_ms: float | None = pydantic.Field(default=None, ge=0)
    silence: Literal["none", "open", "all"] | None = None
    refuse: bool | None = None
    cancel_ms: float | None = pydantic.Field(default=None, ge=0)
    claim_phase: Literal["", "cold", "warm", "leaving"] | None = None


class _CallerDisconnectedError(Exception):
    """The caller closed its connection; its request is cancelled."""


class _ServerFailedError(Exception):
    """The server failed and resets this connection."""


class _Connection:
    """One connection of a caller."""

    def __init__(self, *, sock: curio.io.Socket, zone: str | None) -> None:
        self.sock = sock
        self.zone = zone
        self.http = http.ServerConnection(sock=sock)
        self.silent = False
        self.task: curio.Task | None = None

    def has_disconnected(self) -> bool:
        return self.http.has_caller_disconnected()

    async def wait_until(self, at: float) -> None:
        """Waits until a monotonic time.

        Raises:
            _CallerDisconnectedError: The caller closed the connection.
        """
        while (remaining := at - time.monotonic()) > 0:
            try:
                async with curio.timeout_after(remaining):
                    await curio.traps._read_wait(self.sock._fileno)
            except curio.TaskTimeout:
                return
            if self.has_disconnected():
                raise _CallerDisconnectedError
            # The caller has already sent its next request, so the socket
            # stays readable and no longer shows that the caller closes it.
            await curio.sleep(max(at - time.monotonic(), 0.0))


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _Waiter:
    """A request in the queue for a slot."""

    connection: _Connection
    event: curio.Event
    granted: bool = False


class _Slots:
    """The slots of a server and the queue behind them."""

    def __init__(self, *, count: int, queue: int) -> None:
        self._count = count
        self._queue = queue
        self.running = 0
        self.waiting: collections.deque[_Waiter] = collections.deque()

    def in_flight(self) -> int:
        return self.running + len(self.waiting)

    async def acquire(self, connection: _Connection, deadline: float) -> bool:
        """Waits for a slot.

        Returns:
            False when the queue is full or the deadline passes.

        Raises:
            _CallerDisconnectedError: The caller closed the connection.
        """
        if self.running < self._count and not self.waiting:
            self.running += 1
            return True
        self._drop_disconnected()
        if len(self.waiting) >= self._queue:
            return False
        waiter = _Waiter(connection=connection, event=curio.Event())
        self.waiting.append(waiter)
        try:
            async with core.timeout_at(deadline):
                await waiter.event.wait()
        except curio.TaskTimeout:
            if not waiter.granted:
                self.waiting.remove(waiter)
                return False
        except curio.CancelledError:
            await self._cancel_wait(waiter)
            raise
        if connection.has_disconnected():
            await self.release()
            raise _CallerDisconnectedError
        return True

    def _drop_disconnected(self) -> None:
        for waiter in tuple(self.waiting):
            if waiter.connection.has_disconnected():
                self.waiting.remove(waiter)

    async def _cancel_wait(self, waiter: _Waiter) -> None:
        if waiter.granted:
            await self.release()
        elif waiter in self.waiting:
            self.waiting.remove(waiter)

    async def release(self) -> None:
        """Passes the slot to the next request in the queue, or frees it."""
        if not self.waiting:
            self.running -= 1
            return
        waiter = self.waiting.popleft()
        waiter.granted = True
        await waiter.event.set()


class BackendServer:
    """One simulated server.

    Attributes:
        settings: Its settings.
        counters: Counts since the start of the process.
        effects: How often each non-idempotent request was started, by its
            idempotency key (its request id if it has no key) and by its
            Effect-Id header, which distinguishes requests with the same
            key.
        overruns: The latest requests that exceeded the limit of the cold
            server.
        max_cold_in_flight: Highest number of requests in flight while cold.
    """

    def __init__(
        self,
        *,
        settings: ServerSettings,
        config: BackendsSettings,
        body_generator: bodies.BodyGenerator,
        neighbours: episodes.Episodes,
        seed: int,
    ) -> None:
        self.settings = settings
        self.counters: collections.Counter[str] = collections.Counter()
        self.effects: collections.Counter[str] = collections.Counter()
        self.last_request_at = 0.0
        self.overruns: collections.deque[dict[str, object]] = collections.deque(
            maxlen=MAX_OVERRUNS
        )
        self.max_cold_in_flight = 0
        self._first_response_at: float | None = None
        self._config = config
        self._body_generator = body_generator
        self._neighbours = neighbours
        self._rng = random.Random(seed)
        profile = config.services[settings.service]
        mean = profile.mean_ms / core.MILLISECONDS_PER_SECOND
        self._sigma = profile.sigma
        # The mean of a log-normal variable is exp(mu + sigma^2 / 2).
        self._mu = math.log(mean) - profile.sigma**2 / 2
        self._connections: set[_Connection] = set()
        self._accept_task: curio.Task | None = None
        self._listener: curio.io.Socket | None = None
        self._leaving_since: float | None = None
        self._slow_factor = 1.0
        self._fault = "none"
        self._fault_ratio = 1.0
        self._delay_ms = 0.0
        self._cancel_ms = 0.0
        self._all_silent = False
        self._claimed_phase = ""
        self._previous_response: http.Response | None = None
        self._cached_load = (0, 0.0)
        self._boots = 0
        self._start_cold()

    def _start_cold(self) -> None:
        self._boots += 1
        self.boot = f"{self._rng.getrandbits(48):012x}-{self._boots}"
        self._phase = "cold"
        self._booted_at = time.monotonic()
        self._first_response_at = None
        self._completed = 0
        self._slots = _Slots(
            count=self.settings.slots, queue=self.settings.queue
        )

    @property
    def phase(self) -> str:
        """The actual phase: cold, warm or leaving."""
        if self._leaving_since is not None:
            return "leaving"
        self._update_phase()
        return self._phase

    def _update_phase(self) -> None:
        if self._phase == "warm":
            return
        cold = self._config.cold
        age_ms = (time.monotonic() - self._booted_at) * 1000
        if self._completed >= cold.warm_requests or (
            cold.warm_ms is not None and age_ms >= cold.warm_ms
        ):
            self._phase = "warm"

    async def open(self) -> None:
        """Starts listening."""
        if self._listener is None:
            self._listener = http.open_listener(self.settings.address)
            self._accept_task = await curio.spawn(
                self._accept, self._listener, daemon=True
            )

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._listener is not None:
            await self._accept_task.cancel()
            await self._listener.close()
            self._listener = None
        await self._reset_connections()

    async def _accept(self, listener: curio.io.Socket) -> None:
        while True:
            sock, address = await listener.accept()
            zone = self._config.network.find_zone(address[0])
            connection = _Connection(sock=sock, zone=zone)
            connection.silent = self._all_silent
            connection.task = await curio.spawn(
                self._serve, connection, daemon=True
            )

    async def _serve(self, connection: _Connection) -> None:
        self.counters["connections"] += 1
        self._connections.add(connection)
        is_reset = True
        try:
            await self._delay_handshake(connection)
            while connection.http.is_reusable and await self._serve_request(
                connection
            ):
                pass
            is_reset = False
        except (http.HttpError, _ServerFailedError, _CallerDisconnectedError):
            pass
        finally:
            self._connections.discard(connection)
            await (
                connection.http.abort() if is_reset else connection.http.close()
            )

    async def _delay_handshake(self, connection: _Connection) -> None:
        delay = self._config.network.connect_ms / core.MILLISECONDS_PER_SECOND
        delay += self._draw_network_delay(
            connection
        ) + self._draw_network_delay(connection)
        # The kernel has already completed the handshake, so its delay is
        # added before the first request is read.
        await curio.sleep(delay)

    def _draw_network_delay(self, connection: _Connection) -> float:
        return self._config.network.draw_delay(
            source=connection.zone, target=self.settings.zone, rng=self._rng
        )

    async def _serve_request(self, connection: _Connection) -> bool:
        request = await connection.http.read_request(
            limit=MAX_REQUEST_BYTES,
            idle_deadline=time.monotonic() + IDLE_TIMEOUT_SECONDS,
        )
        if request is None:
            return False
        await self._wait_network_delay(connection)
        await self._wait_while_silent(connection)
        if request.target == b"/load":
            response = self._report_load(request)
        else:
            response = await self._handle(connection, request)
        await self._wait_network_delay(connection)
        await self._wait_while_silent(connection)
        return await self._send(connection, response)

    async def _wait_network_delay(self, connection: _Connection) -> None:
        if delay := self._draw_network_delay(connection):
            await connection.wait_until(time.monotonic() + delay)

    async def _wait_while_silent(self, connection: _Connection) -> None:
        while connection.silent:
            await connection.wait_until(time.monotonic() + IDLE_TIMEOUT_SECONDS)

    def _report_load(self, request: http.Request) -> http.Response:
        self.counters["load_requests"] += 1
        load = self._get_load()
        body = {
            "boot": self.boot,
            "phase": self._claimed_phase or self.phase,
            "in_flight": load,
            "slots": self.settings.slots,
        }
        return http.Response(
            status=200,
            headers=(
                (b"content-type", b"application/json"),
                *self._make_headers(),
                *_echo_id(request),
            ),
            body=json.dumps(body).encode(),
        )

    def _get_load(self) -> int:
        now = time.monotonic()
        load, read_at = self._cached_load
        if (now - read_at) * 1000 >= self._config.load_stale_ms:
            load = self._slots.in_flight()
            self._cached_load = (load, now)
        return load

    def _make_headers(self) -> http.Headers:
        phase = self._claimed_phase or self.phase
        load = f"{self._get_load()}/{self.settings.slots}"
        return (
            (b"server-boot", self.boot.encode()),
            (b"server-phase", phase.encode()),
            (b"server-load", load.encode()),
        )

    async def _handle(
        self, connection: _Connection, request: http.Request
    ) -> http.Response:
        self._count_arrival()
        slots = self._slots
        if self.phase == "cold" and (
            slots.in_flight() >= self._config.cold.limit
        ):
            await self._fail(connection)
        if self.phase == "cold":
            in_flight = slots.in_flight() + 1
            self.max_cold_in_flight = max(self.max_cold_in_flight, in_flight)
        deadline = self._read_deadline(request)
        if not await slots.acquire(connection, deadline):
            is_late = time.monotonic() >= deadline
            reason = "shed_deadline" if is_late else "shed_full"
            return self._shed(request, reason)
        try:
            if time.monotonic() >= deadline:
                return self._shed(request, "shed_deadline")
            self._record_execution(request)
            await connection.wait_until(self._draw_end_time())
        except _CallerDisconnectedError:
            self.counters["cancelled"] += 1
            await curio.sleep(self._cancel_ms / core.MILLISECONDS_PER_SECOND)
            raise
        finally:
            await slots.release()
        self._completed += 1
        self.counters["completed"] += 1
        return self._make_response(request)

    def _count_arrival(self) -> None:
        self.counters["requests"] += 1
        self.last_request_at = time.time()
        if self._leaving_since is not None:
            self.counters["requests_while_leaving"] += 1
            age = time.monotonic() - self._leaving_since
            if age > LEAVING_GRACE_SECONDS:
                self.counters["late_requests_while_leaving"] += 1

    async def _fail(self, connection: _Connection) -> None:
        """Fails and restarts, as a cold server does above its limit."""
        self.counters["cold_overruns"] += 1
        now = time.time()
        first_response_at = self._first_response_at
        self.overruns.append(
            {
                "at": now,
                "boot": self.boot,
                "signal_age": None
                if first_response_at is None
                else now - first_response_at,
            }
        )
        self._start_cold()
        await self._reset_connections(excluding=connection)
        raise _ServerFailedError

    async def _reset_connections(
        self, excluding: _Connection | None = None
    ) -> None:
        for connection in tuple(self._connections):
            if connection is not excluding:
                await connection.task.cancel(blocking=False)

    def _read_deadline(self, request: http.Request) -> float:
        value = request.header(b"request-deadline")
        if value is None:
            return time.monotonic() + IDLE_TIMEOUT_SECONDS
        return core.deadline_from_unix_ms(int(value), core.SystemClock())

    def _shed(self, request: http.Request, counter: str) -> http.Response:
        self.counters[counter] += 1
        return http.Response(
            status=503,
            headers=(
                (b"server-shed", b"not-run"),
                *self._make_headers(),
                *_echo_id(request),
            ),
        )

    def _record_execution(self, request: http.Request) -> None:
        self.counters["executed"] += 1
        if request.method in IDEMPOTENT_METHODS:
            return
        if len(self.effects) >= MAX_EFFECTS:
            self.counters["unrecorded_effects"] += 1
            return
        key = request.header(b"idempotency-key")
        name = key or request.header(b"request-id") or b"unnamed"
        self.effects[name.decode("latin-1")] += 1
        if (effect_id := request.header(b"effect-id")) is not None:
            self.effects[effect_id.decode("latin-1")] += 1

    def _draw_end_time(self) -> float:
        work = self._rng.lognormvariate(self._mu, self._sigma)
        work *= self._slow_factor
        if self._phase == "cold":
            work *= self._config.cold.factor
        return self._neighbours.compute_end_time(
            start=time.monotonic(), work=work
        )

    def _make_response(self, request: http.Request) -> http.Response:
        return http.Response(
            status=200,
            headers=(
                (b"content-type", b"application/octet-stream"),
                *self._make_headers(),
                *_echo_id(request),
            ),
            body=self._body_generator.make(request.target, self._rng),
        )

    async def _send(
        self, connection: _Connection, response: http.Response
    ) -> bool:
        """Sends a response; returns whether the connection stays open."""
        previous, self._previous_response = self._previous_response, response
        if self._first_response_at is None:
            self._first_response_at = time.time()
        fault = self._fault
        if fault == "none" or self._rng.random() >= self._fault_ratio:
            await connection.http.send_response(response)
            return True
        self.counters[f"fault_{fault}"] += 1
        if fault == "delay":
            delay = self._delay_ms / core.MILLISECONDS_PER_SECOND
            await connection.wait_until(time.monotonic() + delay)
        if fault == "cross" and previous is not None:
            response = previous
        if fault in ("delay", "cross"):
            await connection.http.send_response(response)
            return True
        data = _encode(response)
        data = data * 2 if fault == "double" else data[: -1 - len(data) // 4]
        with contextlib.suppress(OSError):
            await connection.sock.sendall(data)
        return False

    async def change(self, change: ServerChange) -> None:
        """Applies a change that came through the admin listener."""
        if change.cold:
            self._start_cold()
        if change.leaving is not None:
            now = time.monotonic()
            self._leaving_since = now if change.leaving else None
        if change.slow_factor is not None:
            self._slow_factor = change.slow_factor
        if change.fault is not None:
            self._fault = change.fault
        if change.fault_ratio is not None:
            self._fault_ratio = change.fault_ratio
        if change.delay_ms is not None:
            self._delay_ms = change.delay_ms
        if change.cancel_ms is not None:
            self._cancel_ms = change.cancel_ms
        if change.claim_phase is not None:
            self._claimed_phase = change.claim_phase
        if change.silence is not None:
            self._all_silent = change.silence == "all"
            for connection in self._connections:
                connection.silent = (
                    connection.silent or change.silence != "none"
                )
        if change.refuse:
            await self.close()
        elif change.refuse is False and self._listener is None:
            self._start_cold()
            await self.open()

    def describe(self) -> dict[str, object]:
        """Returns the server's state and counters as JSON values."""
        return {
            "address": self.settings.address,
            "service": self.settings.service,
            "zone": self.settings.zone,
            "boot": self.boot,
            "phase": self.phase,
            "in_flight": self._slots.in_flight(),
            "open_connections": len(self._connections),
            "last_request_at": self.last_request_at,
            "overruns": list(self.overruns),
            "max_cold_in_flight": self.max_cold_in_flight,
            "counters": dict(self.counters),
        }


def _echo_id(request: http.Request) -> http.Headers:
    request_id = request.header(b"request-id")
    return () if request_id is None else ((b"request-id", request_id),)


def _encode(response: http.Response) -> bytes:
    """Encodes a response without HTTP state, so that it can be sent wrongly."""
    lines = [b"HTTP/1.1 %d OK" % response.status]
    lines += [b"%s: %s" % header for header in response.headers]
    lines.append(b"content-length: %d" % len(response.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body


class Backends:
    """All servers of one process, and the handler of their admin requests."""

    def __init__(self, *, config: BackendsSettings) -> None:
        generators = {
            name: bodies.BodyGenerator(
                min_bytes=profile.min_bytes,
                max_bytes=profile.max_bytes,
                seed=config.seed,
            )
            for name, profile in config.services.items()
        }
        self.servers = []
        start = time.monotonic()
        for index, settings in enumerate(config.servers):
            # Each server has separate seeds for its service times and its
            # slow episodes.
            seed = (config.seed * len(config.servers) + index) * 2
            server = BackendServer(
                settings=settings,
                config=config,
                body_generator=generators[settings.service],
                neighbours=episodes.Episodes(
                    settings=config.neighbours, start=start, seed=seed + 1
                ),
                seed=seed,
            )
            self.servers.append(server)

    async def handle_admin_request(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> object:
        """Returns the response to one request of the admin listener."""
        servers = self._select(query)
        if (method, path) == ("GET", "/counters"):
            return {"servers": [server.describe() for server in servers]}
        if (method, path) == ("GET", "/effects"):
            effects: collections.Counter[str] = collections.Counter()
            for server in servers:
                effects.update(server.effects)
            return {"effects": dict(effects)}
        if (method, path) == ("PUT", "/servers"):
            change = ServerChange.model_validate_json(body)
            for server in servers:
                await server.change(change)
            return {"changed": len(servers)}
        return None

    def _select(self, query: dict[str, str]) -> list[BackendServer]:
        return [
            server
            for server in self.servers
            if all(
                getattr(server.settings, key, None) == value
                for key, value in query.items()
            )
        ]


async def serve_backends(*, config: BackendsSettings) -> None:
    """Serves all servers of `config` and the admin listener until cancelled.

    The admin listener has `GET /counters`, `GET /effects` (how often the work
    behind each idempotency key was started) and `PUT /servers` with a
    `ServerChange`. The query parameters address, service and zone select
    servers; without any, a request applies to all.
    """
    backends = Backends(config=config)
    for server in backends.servers:
        await server.open()
    try:
        await admin.serve_admin(
            address=config.admin, handler=backends.handle_admin_request
        )
    finally:
        for server in backends.servers:
            await server.close()
