"""Hands calls over to gateways that reach servers which this one does not.

Load pattern: some gateways, up to all of a zone but one, are cut from the
servers while callers still reach them. Such a gateway asks two others for their
load right before it hands a call over, like servers before a send, so that the
calls of many cut gateways spread over the rest, and a gateway that is frozen or
gone gets none. The receiver chooses the server and counts the call in its
budgets and limits. A call is handed over once at most.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import json
import random
import time

import curio

import banyandale_core as core
from banyandale_direct import _admission as admission
from banyandale_direct import _members as members
from banyandale_direct import _paths as paths
import banyandale_http as http

# Path of requests for the load of a gateway.
LOAD_PATH = "/load"
# Terms of a call that is handed over, and what a receiver's own answer means.
TERMS_HEADER = b"banyandale-handover"
REFUSAL_HEADER = b"banyandale-refusal"
RUN_HEADER = b"banyandale-run"
# Gateways that are asked for their load at once, and the timeout: one or two
# round trips of at most 8 ms.
ASKED_GATEWAYS = 2
LOAD_SECONDS = 0.06
# The same when none of them has answered: they may be busy, or gone.
ASKED_AGAIN = 4
LATE_LOAD_SECONDS = 0.25
# Extra time for the second answer after the first one.
EXTRA_SECONDS = 0.004
MAX_LOAD_BYTES = 4096
# Timeout of a connection for a call, which may take a few round trips.
CONNECT_SECONDS = 0.1
# Receivers of the own zone that are enough to leave the others alone.
MIN_LOCAL_GATEWAYS = 2
# Idle connections kept per gateway.
IDLE_CONNECTIONS = 4
OK_STATUS = 200
# Refusals after which another gateway may get the call.
NOT_TAKEN = frozenset(
    {
        admission.Refusal.STOPPING,
        admission.Refusal.NOT_CONFIGURED,
        admission.Refusal.NO_ROUTE,
    }
)


class MalformedLoadError(ValueError):
    """The answer is not the load of a gateway."""


class MalformedTermsError(ValueError):
    """The terms of a call that is handed over cannot be read."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Terms:
    """What a receiver must know about a call beyond the request.

    Attributes:
        remaining_seconds: Time until the answer is due.
        age_seconds: Time between the caller's first attempt and the handover.
        attempts: Number of servers to which the call may still be sent.
        repeat: Whether its first send there is a repeat, which is paid for.
    """

    remaining_seconds: float
    age_seconds: float
    attempts: int
    repeat: bool


def write_terms(terms: Terms) -> bytes:
    """Returns the value of `TERMS_HEADER`."""
    remaining_ms = int(terms.remaining_seconds * core.MILLISECONDS_PER_SECOND)
    age_ms = int(terms.age_seconds * core.MILLISECONDS_PER_SECOND)
    fields = (remaining_ms, age_ms, terms.attempts, int(terms.repeat))
    return ",".join(str(max(field, 0)) for field in fields).encode()


def read_terms(value: bytes) -> Terms:
    """Parses the value of `TERMS_HEADER`.

    Raises:
        MalformedTermsError: It is not four whole numbers, or out of range.
    """
    fields = value.split(b",")
    if len(fields) != 4 or not all(
        field.isdigit() and len(field) < 10 for field in fields
    ):
        raise MalformedTermsError(f"terms of a handover are {value!r}")
    remaining_ms, age_ms, attempts, repeat = (int(field) for field in fields)
    if attempts < 1 or repeat > 1:
        raise MalformedTermsError(f"terms of a handover are {value!r}")
    return Terms(
        remaining_seconds=remaining_ms / core.MILLISECONDS_PER_SECOND,
        age_seconds=age_ms / core.MILLISECONDS_PER_SECOND,
        attempts=attempts,
        repeat=bool(repeat),
    )


def take_terms(request: http.Request) -> tuple[Terms, http.Request]:
    """Returns the terms of a request, and the request without them.

    Raises:
        MalformedTermsError: The terms are missing or cannot be read.
    """
    terms = read_terms(request.header(TERMS_HEADER) or b"")
    return terms, _replace_terms(request)


def add_terms(request: http.Request, terms: Terms) -> http.Request:
    """Returns a request with the terms under which it is handed over."""
    return _replace_terms(request, (TERMS_HEADER, write_terms(terms)))


def _replace_terms(
    request: http.Request, *headers: tuple[bytes, bytes]
) -> http.Request:
    kept = [pair for pair in request.headers if pair[0] != TERMS_HEADER]
    return dataclasses.replace(request, headers=(*kept, *headers))


def list_receivers(
    live: Iterable[members.Member],
    *,
    service: str,
    zone: str,
    server_zones: Collection[str],
    allowed_zones: Collection[str],
) -> list[members.Member]:
    """Returns the gateways that may get a call of a service.

    Those of the own zone come alone if there are enough, else with those of the
    zones in which the service has servers.

    Args:
        live: Other gateways that are alive.
        service: Service of the call.
        zone: Own zone.
        server_zones: Zones of the servers.
        allowed_zones: Zones to which the call may be sent.
    """
    mask = paths.group_mask(service)
    able = [
        member
        for member in live
        if member.ready
        and not member.impaired & mask
        and member.zone in allowed_zones
    ]
    local = [member for member in able if member.zone == zone]
    if len(local) >= MIN_LOCAL_GATEWAYS:
        return local
    near = [m for m in able if m.zone == zone or m.zone in server_zones]
    return near or able


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Receiver:
    """A gateway that takes a call.

    Attributes:
        ip: Its address.
        open_calls: Calls that it was serving when it was asked.
    """

    ip: str
    open_calls: int


class Handovers:
    """Chooses receivers, and keeps the connections to them."""

    def __init__(
        self,
        *,
        table: members.MemberTable,
        peer_port: int,
        handover_port: int,
        random_source: random.Random,
        metrics: core.Metrics,
    ) -> None:
        """Creates handovers without connections.

        Args:
            table: Membership of the gateways.
            peer_port: Port at which gateways tell their load.
            handover_port: Port at which they take calls.
            random_source: Draws the gateways that are asked.
            metrics: Counters of the process.
        """
        self._table = table
        self._peer_port = peer_port
        self._handover_port = handover_port
        self._random = random_source
        self._metrics = metrics
        self._pools: dict[str, http.Pool] = {}

    def list_receivers(
        self,
        *,
        service: str,
        server_zones: Collection[str],
        allowed_zones: Collection[str],
    ) -> list[members.Member]:
        """Returns the gateways that may get a call of a service."""
        return list_receivers(
            self._table.live(now=time.monotonic())[1:],
            service=service,
            zone=self._table.own.zone,
            server_zones=server_zones,
            allowed_zones=allowed_zones,
        )

    async def choose(
        self, receivers: Sequence[members.Member], *, service: str
    ) -> Receiver | None:
        """Returns the less loaded of two gateways that reach a service."""
        ips = [member.ip for member in receivers]
        self._random.shuffle(ips)
        for count, timeout_seconds in (
            (ASKED_GATEWAYS, LOAD_SECONDS),
            (ASKED_AGAIN, LATE_LOAD_SECONDS),
        ):
            answers = await self._ask_all(
                ips[:count], service, timeout_seconds=timeout_seconds
            )
            if answers:
                return min(answers, key=lambda answer: answer.open_calls)
        self._metrics.incr("handovers:no_receiver")
        return None

    async def _ask_all(
        self, ips: list[str], service: str, *, timeout_seconds: float
    ) -> list[Receiver]:
        """Returns the answers that came at nearly the same time."""
        arrived: curio.Queue = curio.Queue()

        async def ask(ip: str) -> None:
            await arrived.put(await self._ask(ip, service, deadline))

        deadline = until = time.monotonic() + timeout_seconds
        for ip in ips:
            await curio.spawn(ask, ip, daemon=True)
        answers: list[Receiver] = []
        for _ in ips:
            try:
                async with core.timeout_at(until):
                    answer = await arrived.get()
            except curio.TaskTimeout:
                break
            if answer is not None:
                answers.append(answer)
                until = min(until, time.monotonic() + EXTRA_SECONDS)
        return answers

    async def _ask(
        self, ip: str, service: str, deadline: float
    ) -> Receiver | None:
        """Asks a gateway for its load; None if it cannot take a call."""
        pool = self.pool(f"{ip}:{self._peer_port}")
        try:
            connection = await pool.acquire(deadline=deadline, verified=True)
        except http.ConnectError:
            return None
        try:
            response = await connection.exchange(
                http.Request(method=b"GET", target=LOAD_PATH.encode()),
                limit=MAX_LOAD_BYTES,
                deadline=deadline,
            )
        except http.HttpError:
            await pool.discard(connection)
            return None
        except BaseException:
            await pool.discard(connection)
            raise
        await pool.release(connection)
        try:
            open_calls = read_load(response.body, service=service)
        except MalformedLoadError:
            self._metrics.incr("handovers:load_unreadable")
            return None
        if open_calls is None:
            return None
        return Receiver(ip=ip, open_calls=open_calls)

    def pool(self, address: str) -> http.Pool:
        """Returns the pool of connections to a port of a gateway."""
        pool = self._pools.get(address)
        if pool is None:
            pool = http.Pool(address=address, limit=IDLE_CONNECTIONS)
            self._pools[address] = pool
        return pool

    def call_pool(self, receiver: Receiver) -> http.Pool:
        """Returns the pool of connections for calls to a gateway."""
        return self.pool(f"{receiver.ip}:{self._handover_port}")

    async def keep_only(self, ips: Collection[str]) -> None:
        """Closes the connections to gateways that are gone."""
        for address in list(self._pools):
            if http.parse_address(address)[0] not in ips:
                await self._pools.pop(address).retire()


def read_load(data: bytes, *, service: str) -> int | None:
    """Returns the open calls of a gateway; None if it takes none of a service.

    Raises:
        MalformedLoadError: The bytes are not what `write_load` returns.
    """
    try:
        state = json.loads(data)
        ready, impaired = state["ready"], state["impaired"]
        open_calls = state["open_calls"]
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise MalformedLoadError(repr(error)) from error
    if (type(ready), type(impaired), type(open_calls)) != (bool, int, int):
        raise MalformedLoadError(f"load of a gateway is {data[:80]!r}")
    able = ready and not impaired & paths.group_mask(service)
    return open_calls if able else None


def write_load(*, ready: bool, impaired: int, open_calls: int) -> bytes:
    """Returns the answer to a request for the load."""
    return json.dumps(
        {"ready": ready, "impaired": impaired, "open_calls": open_calls}
    ).encode()


def mark_answer(
    response: http.Response, *, refusal: admission.Refusal, not_run: bool
) -> http.Response:
    """Marks a receiver's own answer, unlike that of a server."""
    run = core.RunMark.NOT_RUN if not_run else core.RunMark.UNKNOWN
    return dataclasses.replace(
        response,
        headers=(
            *response.headers,
            (REFUSAL_HEADER, refusal.value.encode()),
            (RUN_HEADER, run.value.encode()),
        ),
    )


def strip_marks(response: http.Response) -> http.Response:
    """Returns a server's answer, which must not look like a receiver's own."""
    marks = (REFUSAL_HEADER, RUN_HEADER)
    return dataclasses.replace(
        response,
        headers=tuple(
            pair for pair in response.headers if pair[0] not in marks
        ),
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """A receiver's answer.

    Attributes:
        response: The response for the caller.
        refusal: Why the receiver refused the call, or None if a server
            answered.
        run: Whether a server may have run it.
    """

    response: http.Response
    refusal: admission.Refusal | None
    run: core.RunMark


def read_answer(response: http.Response) -> Outcome:
    """Reads a receiver's answer; one that cannot be read may have run."""
    value = response.header(REFUSAL_HEADER)
    if value is None:
        return Outcome(
            response=response, refusal=None, run=core.RunMark.UNKNOWN
        )
    try:
        refusal = admission.Refusal(value.decode("latin-1"))
    except ValueError:
        refusal = admission.Refusal.OUTCOME_UNKNOWN
    not_run = response.header(RUN_HEADER) == core.RunMark.NOT_RUN.value.encode()
    return Outcome(
        response=strip_marks(response),
        refusal=refusal,
        run=core.RunMark.NOT_RUN if not_run else core.RunMark.UNKNOWN,
    )
