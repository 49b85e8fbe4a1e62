"""Tests of routing, with fakes for homes, peers and attempts."""

import dataclasses
import time

import curio
import pytest

import banyandale_core as core
from banyandale_gateway import _budgets as budgets
from banyandale_gateway import _calls as calls
from banyandale_gateway import _errors as errors
from banyandale_gateway import _homes as homes
from banyandale_gateway import _router as router
import banyandale_http as http
import banyandale_retry as retry

OK = calls.CallResponse(head=http.ResponseHead(status=200), body=b"")
UNKNOWN = core.RunMark.UNKNOWN


@dataclasses.dataclass
class Service:
    name: str = "s"
    priority: int = 1
    retry_ratio: float = 0.0
    hedge_ratio: float = 0.0


class Times:
    p95 = 100.0


class Dispatcher:
    """Fake that assigns every request and reports a fixed wait."""

    times = Times()
    allow_cold = True

    def __init__(self, wait):
        self.wait = wait
        self.excluded = []

    def estimate_wait(self):
        return self.wait

    def is_warm(self, address):
        return True

    async def acquire(self, *, deadline, priority, exclude):
        self.excluded.append(exclude)
        return dataclasses.make_dataclass("A", ["address"])(
            f"server-{len(self.excluded)}"
        )


class HomeTable:
    handing_over = False

    def __init__(self, *found):
        self.found = found

    def homes_of(self, service):
        return self.found

    def find(self, service, zone):
        return next((item for item in self.found if item.zone == zone), None)

    def has_lease(self, home):
        return True

    def allows_cold(self, home):
        return not self.handing_over


class Peers:
    def __init__(self, *found, error=None):
        self.found = found
        self.error = error
        self.forwarded = []

    def homes_of(self, service):
        return self.found

    async def forward(self, call, home):
        self.forwarded.append(home.peer_id)
        if self.error is not None:
            error, self.error = self.error, None
            raise error
        return OK


class Attempt:
    def __init__(self, address, error):
        self.address = address
        self.error = error

    async def start(self, may_send):
        assert may_send()

    async def wait_readable(self, *, deadline):
        return True

    async def finish(self):
        if self.error is not None:
            raise self.error
        return OK


class Sender:
    """Creates attempts that fail with the given errors, then succeed."""

    def __init__(self, *failures):
        self.failures = list(failures)
        self.count = 0

    def prepare(self, call, *, assignment, dispatcher):
        self.count += 1
        error = self.failures.pop(0) if self.failures else None
        return Attempt(assignment.address, error)


def build_router(found=(), peers=None, sender=None):
    return router.Router(
        home_table=HomeTable(*found),
        peers=peers or Peers(),
        request_sender=sender or Sender(),
        service_budgets=budgets.ServiceBudgets(),
        metrics=core.MemoryMetrics(),
    )


def make_home(wait=0.0):
    return homes.Home(service="s", zone="a", dispatcher=Dispatcher(wait))


def make_call(*, idempotent=True, attempt=1, seconds=5.0):
    return calls.Call(
        id="1",
        service=Service(),
        request=http.Request(method=b"GET", target=b"/"),
        deadline=time.monotonic() + seconds,
        idempotent=idempotent,
        attempt=attempt,
    )


def make_remote_home(peer_id, cost):
    return router.RemoteHome(peer_id=peer_id, zone="b", cost=cost)


def make_failure(run=core.RunMark.NOT_RUN):
    return errors.ExchangeFailedError("x", cause="x", run=run)


def test_free_local_home_is_used_without_a_hop():
    """Guards against forwarding while the local home has a free slot."""
    peers = Peers(make_remote_home("p", 0.0))
    curio.run(build_router([make_home()], peers).route, make_call())
    assert peers.forwarded == []


def test_busy_home_overflows_to_a_home_that_is_faster():
    """Guards against queueing locally while a remote home is faster."""
    peers = Peers(make_remote_home("p", 0.008))
    curio.run(build_router([make_home(wait=0.05)], peers).route, make_call())
    assert peers.forwarded == ["p"]


def test_refused_forward_waits_locally():
    """Guards against calls that are rerouted between busy homes."""
    peers = Peers(
        make_remote_home("p", 0.008), error=errors.HomeBusyError("busy")
    )
    home = make_home(wait=0.05)
    answer = curio.run(build_router([home], peers).route, make_call())
    assert answer is OK
    assert len(home.dispatcher.excluded) == 1


def test_a_call_during_a_stop_does_not_allow_cold_servers():
    """Guards against cold requests that delay the hand-over of homes.

    The gateway still holds the lease of its homes while it waits for their
    requests at cold servers to end.
    """
    home = make_home()
    built = build_router([home])
    built._homes.handing_over = True
    home.dispatcher.allow_cold = False
    curio.run(built.route, make_call())
    assert not home.dispatcher.allow_cold


def test_forwarded_call_is_not_forwarded_again():
    """Guards against forwarding loops between gateways."""
    peers = Peers(make_remote_home("p", 0.0))
    call = make_call()
    call.zone = "a"
    with pytest.raises(errors.NotHomeError):
        curio.run(build_router([], peers).serve_peer, call)
    assert peers.forwarded == []


def test_retry_avoids_the_server_that_failed():
    """Guards against a retry on the server that failed."""
    home = make_home()
    sender = Sender(make_failure())
    curio.run(build_router([home], sender=sender).route, make_call())
    assert home.dispatcher.excluded == [frozenset(), frozenset({"server-1"})]


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (make_call(idempotent=False), make_failure(UNKNOWN)),
        (make_call(attempt=2), make_failure()),
        (make_call(), errors.QueueRefusedError(errors.CallError("full"))),
    ],
)
def test_unsafe_or_repeated_calls_are_not_retried(call, error):
    """Guards against requests that run twice and against retry cascades."""
    sender = Sender(error)
    with pytest.raises(type(error)):
        curio.run(build_router([make_home()], sender=sender).route, call)
    assert sender.count == 1


def test_retries_end_with_the_budget():
    """Guards against unlimited retries when all attempts fail."""
    sender = Sender(*[make_failure() for _ in range(50)])
    with pytest.raises(errors.ExchangeFailedError):
        curio.run(build_router([make_home()], sender=sender).route, make_call())
    reserve = retry.RetryBudget(ratio=0.0).tokens
    assert sender.count == 1 + reserve


def test_call_without_any_home_ends_at_its_deadline():
    """Guards against calls that wait for a home indefinitely."""
    with pytest.raises(errors.NoHomeError) as caught:
        curio.run(build_router().route, make_call(seconds=0.2))
    assert caught.value.run is core.RunMark.NOT_RUN


def test_refused_retry_keeps_an_earlier_unknown_outcome():
    """Guards against an error marked not-run after an attempt may have run."""
    sheds = [errors.ShedError("full") for _ in range(10)]
    sender = Sender(make_failure(UNKNOWN), *sheds)
    with pytest.raises(errors.CallError) as caught:
        curio.run(build_router([make_home()], sender=sender).route, make_call())
    assert sender.count > 1
    assert caught.value.run is UNKNOWN


def test_failed_hedge_keeps_an_unknown_outcome_of_the_other_attempt():
    """Guards against an error marked not-run if one attempt may have run."""
    sender = Sender(make_failure(UNKNOWN), errors.ShedError("full"))

    async def main():
        hedging_router = build_router([make_home()], sender=sender)
        assignments = [
            await make_home().dispatcher.acquire(
                deadline=0.0, priority=1, exclude=frozenset()
            )
            for _ in range(2)
        ]
        second, first = [
            sender.prepare(None, assignment=item, dispatcher=None)
            for item in assignments
        ]
        await hedging_router._await_first_response(first, second)

    with pytest.raises(errors.CallError) as caught:
        curio.run(main)
    assert caught.value.run is UNKNOWN
