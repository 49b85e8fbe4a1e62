"""Open-loop load tool.

The send times are drawn before the run (a Poisson process), and latency is
measured from the intended send time, so that a slow system neither slows the
load down nor hides its own latency.
"""

import dataclasses
import itertools
import json
import random
import time
from typing import Literal

import curio
import numpy
import pydantic

import banyandale_core as core
import banyandale_http as http
from banyandale_standins import _bodies as bodies
from banyandale_standins import _networks as networks
from banyandale_standins import _results as results

MAX_CALLS = 1_000_000
# A lookup is repeated in the background once this share of its validity is
# used up.
REFRESH_SHARE = 0.7
LOOKUP_TIMEOUT_SECONDS = 1.0
LOOKUP_RETRY_SECONDS = 0.1
MAX_LOOKUP_BYTES = 65536
CONNECTIONS_PER_POOL = 64


class TrafficSettings(networks.Model):
    """The calls to one service.

    Attributes:
        rate: Calls per second in a phase with factor 1.
        keyed: Whether calls carry an Idempotency-Key.
        deadline_ms: Time from the intended send time to the deadline, which
            is sent as Request-Deadline.
    """

    service: str
    rate: float = pydantic.Field(gt=0)
    method: Literal["GET", "POST", "PUT", "DELETE"] = "GET"
    body_bytes: int = pydantic.Field(default=0, ge=0, le=1 << 20)
    keyed: bool = False
    deadline_ms: int = pydantic.Field(default=2000, gt=0)
    max_response_bytes: int = 1 << 20


class PhaseSettings(networks.Model):
    """A part of the run with its own results.

    Attributes:
        factor: Multiplies the rate of all traffic.
    """

    name: str
    seconds: float = pydantic.Field(gt=0, le=600)
    factor: float = pydantic.Field(default=1.0, ge=0)


class LoadSettings(networks.Model):
    """Settings of a load run.

    Attributes:
        zone: Zone of the callers.
        source: IP address from which callers connect, or None for the
            default of the system.
        gateways: Addresses that answer lookups.
        targets: Addresses by service to use instead of lookups; each call
            goes to a random one.
        callers: Number of callers, each with its own connections.
        retries: Retries of a request that did not run, and of any failed
            idempotent request (all methods but POST).
        max_in_flight: Calls in flight above which further calls are not sent
            but counted as failed with the code `load_limit`.
        start_at: Start in Unix seconds, so that several load tools start
            together; 0 starts now.
    """

    seed: int = 1
    zone: str = ""
    source: str | None = None
    gateways: tuple[str, ...] = ()
    targets: dict[str, tuple[str, ...]] = {}
    callers: int = pydantic.Field(default=20, ge=1, le=1000)
    traffic: tuple[TrafficSettings, ...]
    phases: tuple[PhaseSettings, ...]
    retries: int = pydantic.Field(default=0, ge=0, le=5)
    max_in_flight: int = 2000
    start_at: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Arrival:
    """One planned call; `at` is in seconds from the start of the run."""

    at: float
    phase: str
    traffic: TrafficSettings


def plan_arrivals(config: LoadSettings) -> list[Arrival]:
    """Draws all calls of a run from its seed.

    Raises:
        ValueError: The run would have more than `MAX_CALLS` calls.
    """
    rng = numpy.random.default_rng(config.seed)
    rates = numpy.array([traffic.rate for traffic in config.traffic])
    arrivals = []
    begin = 0.0
    for phase in config.phases:
        mean = rates.sum() * phase.factor * phase.seconds
        if mean + len(arrivals) > MAX_CALLS:
            raise ValueError(f"the run has more than {MAX_CALLS} calls")
        # Given their number, the arrival times of a Poisson process are
        # uniformly distributed.
        count = int(rng.poisson(mean))
        times = numpy.sort(rng.uniform(0, phase.seconds, count)) + begin
        kinds = rng.choice(len(rates), size=count, p=rates / rates.sum())
        arrivals += [
            Arrival(at=at, phase=phase.name, traffic=config.traffic[kind])
            for at, kind in zip(times.tolist(), kinds.tolist(), strict=True)
        ]
        begin += phase.seconds
    return arrivals


class AddressLookup:
    """Addresses of one service, cached for as long as the gateways allow."""

    def __init__(
        self, *, service: str, config: LoadSettings, result: results.RunResult
    ) -> None:
        self._service = service
        self._config = config
        self._result = result
        self._addresses = config.targets.get(service, ())
        self._refresh_at = 0.0
        self._valid_until = float("inf") if self._addresses else 0.0
        self._lock = curio.Lock()
        self._is_refreshing = False
        self._rng = random.Random(config.seed)
        self._is_fixed = bool(self._addresses)

    async def find_addresses(self, deadline: float) -> tuple[str, ...]:
        """Returns the addresses to try in order; empty when there are none."""
        if self._is_fixed:
            return (self._rng.choice(self._addresses),)
        now = time.time()
        if now >= self._valid_until:
            async with self._lock:
                await self._refresh_until(deadline)
        elif now >= self._refresh_at and not self._is_refreshing:
            self._is_refreshing = True
            await curio.spawn(self._refresh_early, daemon=True)
        return self._addresses

    async def _refresh_until(self, deadline: float) -> None:
        while time.time() >= self._valid_until:
            if await self._refresh():
                return
            if time.monotonic() + LOOKUP_RETRY_SECONDS >= deadline:
                self._addresses = ()
                return
            await curio.sleep(LOOKUP_RETRY_SECONDS)

    async def _refresh_early(self) -> None:
        async with self._lock:
            if not await self._refresh():
                self._refresh_at = time.time() + LOOKUP_RETRY_SECONDS
        self._is_refreshing = False

    async def _refresh(self) -> bool:
        gateways = list(self._config.gateways)
        self._rng.shuffle(gateways)
        for address in dict.fromkeys([*self._addresses, *gateways]):
            try:
                await self._query_gateway(address)
            except (http.HttpError, ValueError, KeyError):
                self._result.counters["failed_lookups"] += 1
                continue
            return True
        return False

    async def _query_gateway(self, address: str) -> None:
        target = f"/v1/addresses?service={self._service}"
        target += f"&zone={self._config.zone}"
        deadline = time.monotonic() + LOOKUP_TIMEOUT_SECONDS
        self._result.counters["lookups"] += 1
        connection = await http.ClientConnection.open(
            address=address, source=self._config.source, deadline=deadline
        )
        try:
            response = await connection.exchange(
                http.Request(method=b"GET", target=target.encode()),
                limit=MAX_LOOKUP_BYTES,
                deadline=deadline,
            )
        finally:
            await connection.close()
        if response.status != 200:
            raise ValueError(
                f"{address}: lookup failed with status {response.status}"
            )
        page = json.loads(response.body)
        addresses = tuple(page["addresses"])
        if not addresses:
            raise ValueError(f"{address}: lookup returned no addresses")
        now = time.time()
        self._addresses = addresses
        self._valid_until = float(page["valid_until"])
        validity = self._valid_until - now
        self._refresh_at = now + REFRESH_SHARE * validity


@dataclasses.dataclass(kw_only=True, slots=True)
class _Outcome:
    """Outcome of one attempt.

    Attributes:
        kind: "ok", or the counter of `ServiceResult` that the call adds to.
        reason: Key of that counter.
        run: "ok", or whether the request may have run: "not-run" or
            "unknown".
    """

    kind: str
    reason: str
    run: str


_OK = _Outcome(kind="ok", reason="", run="ok")


class LoadTool:
    """One load run."""

    def __init__(self, *, config: LoadSettings) -> None:
        self.result = results.RunResult()
        self._config = config
        self._arrivals = plan_arrivals(config)
        self._pools: dict[tuple[int, str], http.Pool] = {}
        self._lookups = {
            traffic.service: AddressLookup(
                service=traffic.service, config=config, result=self.result
            )
            for traffic in config.traffic
        }
        self._bodies = {
            traffic.service: b"x" * traffic.body_bytes
            for traffic in config.traffic
        }
        self._in_flight = 0
        self._all_done = curio.Event()

    async def run(self) -> results.RunResult:
        """Sends all calls and waits for their responses."""
        await self._prefetch()
        if self._config.start_at:
            await curio.sleep(max(self._config.start_at - time.time(), 0.0))
        cpu_before = time.process_time()
        start = time.monotonic()
        for number, arrival in enumerate(self._arrivals):
            intended_at = start + arrival.at
            if (delay := intended_at - time.monotonic()) > 0:
                await curio.sleep(delay)
            await self._start_call(number, arrival, intended_at)
        while self._in_flight:
            self._all_done.clear()
            await self._all_done.wait()
        self.result.cpu_seconds = time.process_time() - cpu_before
        for pool in self._pools.values():
            await pool.clear()
        return self.result

    async def _prefetch(self) -> None:
        for lookup in self._lookups.values():
            await lookup.find_addresses(
                time.monotonic() + LOOKUP_TIMEOUT_SECONDS
            )

    async def _start_call(
        self, number: int, arrival: Arrival, intended_at: float
    ) -> None:
        self.result.lateness.record(time.monotonic() - intended_at)
        service = self.result.get_or_create(
            arrival.phase, arrival.traffic.service
        )
        service.sent += 1
        if self._in_flight >= self._config.max_in_flight:
            service.failed["load_limit"] += 1
            return
        self._in_flight += 1
        await curio.spawn(
            self._run_call, number, arrival, intended_at, service, daemon=True
        )

    async def _run_call(
        self,
        number: int,
        arrival: Arrival,
        intended_at: float,
        service: results.ServiceResult,
    ) -> None:
        traffic = arrival.traffic
        deadline = (
            intended_at + traffic.deadline_ms / core.MILLISECONDS_PER_SECOND
        )
        try:
            outcome = await self._call_with_retries(number, traffic, deadline)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                await self._all_done.set()
        if outcome is _OK:
            service.ok += 1
            service.latency.record(time.monotonic() - intended_at)
        else:
            getattr(service, outcome.kind)[outcome.reason] += 1
        if traffic.keyed:
            key = self._make_key(number, traffic)
            self.result.keys[outcome.run].append(key.decode())

    def _make_key(self, number: int, traffic: TrafficSettings) -> bytes:
        return b"%s-%d-%d" % (
            traffic.service.encode(),
            self._config.seed,
            number,
        )

    def _make_request(
        self, number: int, traffic: TrafficSettings, deadline: float
    ) -> http.Request:
        service = traffic.service.encode()
        unix_ms = core.deadline_to_unix_ms(deadline, core.SystemClock())
        headers = [
            (b"host", service),
            (b"request-id", b"%d-%d" % (self._config.seed, number)),
            (b"request-deadline", b"%d" % unix_ms),
        ]
        if traffic.keyed:
            key = self._make_key(number, traffic)
            headers.append((b"idempotency-key", key))
        return http.Request(
            method=traffic.method.encode(),
            target=b"/%s/%d-%d" % (service, self._config.seed, number),
            headers=tuple(headers),
            body=self._bodies[traffic.service],
        )

    async def _call_with_retries(
        self, number: int, traffic: TrafficSettings, deadline: float
    ) -> _Outcome:
        request = self._make_request(number, traffic, deadline)
        for attempt in itertools.count():
            outcome = await self._try_addresses(
                number, traffic, request, deadline
            )
            if attempt >= self._config.retries or not _may_retry(
                outcome, traffic
            ):
                return outcome
            self.result.counters["retries"] += 1
        raise AssertionError("unreachable")

    async def _try_addresses(
        self,
        number: int,
        traffic: TrafficSettings,
        request: http.Request,
        deadline: float,
    ) -> _Outcome:
        lookup = self._lookups[traffic.service]
        outcome = _Outcome(kind="failed", reason="no_address", run="not-run")
        for address in await lookup.find_addresses(deadline):
            try:
                return await self._exchange(
                    number, traffic, request, address, deadline
                )
            except http.HttpError as error:
                outcome = _Outcome(
                    kind="failed", reason=error.code, run=error.run.value
                )
                if error.run is not core.RunMark.NOT_RUN:
                    return outcome
                self.result.counters["fallbacks"] += 1
        return outcome

    async def _exchange(
        self,
        number: int,
        traffic: TrafficSettings,
        request: http.Request,
        address: str,
        deadline: float,
    ) -> _Outcome:
        pool = self._get_pool(number % self._config.callers, address)
        connection = await pool.acquire(
            deadline=deadline, verified=traffic.method == "POST"
        )
        try:
            response = await connection.exchange(
                request, limit=traffic.max_response_bytes, deadline=deadline
            )
        except BaseException:
            await connection.close()
            raise
        await pool.release(connection)
        return classify_response(request, response)

    def _get_pool(self, caller: int, address: str) -> http.Pool:
        key = (caller, address)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = http.Pool(
                address=address,
                limit=CONNECTIONS_PER_POOL,
                source=self._config.source,
            )
        return pool


def classify_response(
    request: http.Request, response: http.Response
) -> _Outcome:
    """Classifies a response as ok, wrong, rejected or failed."""
    if response.status == 200:
        fault = bodies.find_fault(request.target, response.body)
        if fault is None:
            return _OK
        return _Outcome(kind="wrong", reason=fault, run="unknown")
    reason = response.header(b"banyandale-reason")
    if reason is not None:
        run = (response.header(b"banyandale-run") or b"unknown").decode()
        run = "not-run" if run == "not-run" else "unknown"
        return _Outcome(
            kind="rejected", reason=f"{reason.decode()}:{run}", run=run
        )
    if response.header(b"server-shed") == b"not-run":
        return _Outcome(
            kind="rejected", reason="server_shed:not-run", run="not-run"
        )
    reason = f"status_{response.status}"
    return _Outcome(kind="failed", reason=reason, run="unknown")


def _may_retry(outcome: _Outcome, traffic: TrafficSettings) -> bool:
    if outcome.run == "ok":
        return False
    return outcome.run == "not-run" or traffic.method != "POST"


async def run_load(*, config: LoadSettings) -> results.RunResult:
    """Carries out one load run and returns its results."""
    return await LoadTool(config=config).run()
