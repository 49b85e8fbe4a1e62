"""Tests of forwarding a call to its final answer."""

import dataclasses
import random
import types

import curio
import pytest

import banyandale_core as core
from banyandale_direct import _admission as admission
from banyandale_direct import _channels as channels
from banyandale_direct import _configuration as configuration
from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _forwarding as forwarding
from banyandale_direct import _handovers as handovers
from banyandale_direct import _placement as placement
from banyandale_direct import _protocols as protocols
from banyandale_direct import _registry as registry
from banyandale_direct import _selection as selection
from banyandale_direct import _versions as versions
import banyandale_http as http

ROUTE = configuration.Route(
    name="r",
    path_prefix="/",
    shares=(configuration.Share(service="s", weight=1.0),),
    repeatable=False,
    wait_seconds=1.0,
    target_seconds=0.5,
    max_attempts=2,
)


class Connection:
    """Records whether a request was sent."""

    sent = False

    def has_carried(self, key):
        return False

    async def exchange_matching(self, request, **_):
        self.sent = True
        return http.Response(status=200)


class Pool:
    async def release(self, connection):
        self.released = connection


class Quarantine:
    """Knows nothing against any content."""

    async def catch_up(self):
        pass

    def suspicion(self, call):
        return crash_records.Suspicion.NONE


def make_exchange(pool):
    shared = types.SimpleNamespace(
        stop=None,
        channels=types.SimpleNamespace(
            pool=lambda address: pool, record_send=lambda server_id: None
        ),
        registry=types.SimpleNamespace(is_usable=lambda server_id: True),
        codec=types.SimpleNamespace(
            write_call=lambda *_, **__: None,
            read_answer=lambda call, response: protocols.AnswerKind.SERVED,
        ),
        quarantine=Quarantine(),
        budget=lambda service: types.SimpleNamespace(
            record_call=lambda now: None
        ),
        metrics=core.MemoryMetrics(),
        random=random.Random(1),
    )
    return forwarding.Exchange(
        shared=shared,
        call=protocols.Call(
            id="a", host="h", path="/", remaining_seconds=None, request=None
        ),
        route=ROUTE,
        service=types.SimpleNamespace(name="s"),
        started_at=0.0,
        age_seconds=0.0,
        version=1,
    )


def test_nothing_is_sent_after_the_call_was_given_up():
    """Guards against a refusal "not run" of a call that is sent afterwards.

    The attempt is cancelled only after the answer was chosen and may continue
    to run in between.
    """

    async def main():
        pool, connection = Pool(), Connection()
        exchange = make_exchange(pool)
        server = types.SimpleNamespace(id="i", address="127.0.0.1:1")
        probe = types.SimpleNamespace(
            connection=connection,
            candidate=types.SimpleNamespace(
                entry=types.SimpleNamespace(server=server)
            ),
        )

        async def send(attempt):
            await exchange._send(attempt, probe)

        async def give_up():
            return exchange._time_out()

        exchange._attempt = send
        exchange._finish = give_up
        final = await exchange.run()
        assert final.refusal is admission.Refusal.TIMED_OUT
        assert final.status == forwarding.NOT_RUN_STATUS
        assert not connection.sent
        assert pool.released is connection

    curio.run(main)


@pytest.mark.parametrize("named", [True, False])
def test_a_receivers_refusal_without_the_id_proves_nothing(named):
    """Guards against a late refusal of another call that was handed over."""

    class Receiver:
        async def exchange_matching(self, request, **_):
            return handovers.mark_answer(
                http.Response(
                    status=503, headers=((b"id", b"a"),) if named else ()
                ),
                refusal=admission.Refusal.NO_ROOM,
                not_run=True,
            )

    class ReceiverPool(Pool):
        discarded = released = None

        async def discard(self, connection):
            self.discarded = connection

    def read_answer(call, response):
        if response.header(b"id") is None:
            return protocols.AnswerKind.INVALID
        return protocols.AnswerKind.FAILED

    async def main():
        pool, connection = ReceiverPool(), Receiver()
        exchange = make_exchange(pool)
        exchange._shared.codec.read_answer = read_answer
        exchange._call = dataclasses.replace(
            exchange._call, request=http.Request(method=b"POST", target=b"/")
        )
        exchange._make_terms = lambda: handovers.Terms(
            remaining_seconds=1.0, age_seconds=0.0, attempts=1, repeat=True
        )
        exchange._log_handed_over = lambda receiver, terms: None
        attempt = forwarding._Attempt()
        exchange._attempts.append(attempt)
        receiver = handovers.Receiver(ip="127.0.0.1", open_calls=0)
        await exchange._exchange_over(attempt, receiver, pool, connection)
        if named:
            assert pool.released is connection
            assert attempt.run is core.RunMark.NOT_RUN
            assert attempt.refusal is admission.Refusal.NO_ROOM
        else:
            assert pool.discarded is connection
            assert attempt.run is core.RunMark.UNKNOWN
            assert exchange._choose_answer().status == forwarding.UNKNOWN_STATUS

    curio.run(main)


def test_a_call_that_may_have_run_is_not_refused_as_not_run():
    """Guards against callers that repeat a deposit that was already made."""
    exchange = make_exchange(Pool())
    sent = forwarding._Attempt(sent=True, run=core.RunMark.UNKNOWN)
    exchange._attempts.append(sent)
    assert exchange._time_out().status == forwarding.TIMED_OUT_STATUS
    shed = dataclasses.replace(
        sent, run=core.RunMark.NOT_RUN, kind=protocols.AnswerKind.SHED
    )
    exchange._attempts = [shed]
    assert exchange._time_out().status == forwarding.NOT_RUN_STATUS


def test_a_refusal_is_logged_with_the_report_that_it_rests_on():
    """Guards against a rejection whose cause is missing from the log."""
    entry = registry.Entry(
        server=registry.Server(
            id="i", address="127.0.0.1:1", service="s", zone="z", slots=2
        ),
        version=versions.Version(0, 4),
        cold_until=0.0,
    )
    report = placement.LoadReport(healthy=True, running=2, slots=2, slowness=4)
    best = channels.Probe(
        candidate=placement.Candidate(entry=entry, report=report, local=True),
        connection=None,
        reported_at=0.0,
    )

    class Selection:
        async def choose(self, **_):
            return selection.Choice(
                refusal=admission.Refusal.NO_ROOM, asked=3, best=best
            )

    exchange = make_exchange(Pool())
    exchange._selection = Selection()
    attempt = forwarding._Attempt()
    exchange._attempts.append(attempt)
    curio.run(exchange._attempt, attempt)
    (logged,) = exchange.attempts
    assert (logged["outcome"], logged["asked"]) == ("no_room", 3)
    found = logged["best"]
    assert (found["server"], found["entry_version"]) == ("i", 4)
    assert (found["running"], found["slowness"]) == (2, 4)
    assert found["report_age"] > 0
