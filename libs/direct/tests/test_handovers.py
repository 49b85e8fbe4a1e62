"""Tests of calls that are handed over to other gateways."""

import pytest

import banyandale_core as core
from banyandale_direct import _admission as admission
from banyandale_direct import _handovers as handovers
from banyandale_direct import _members as members
from banyandale_direct import _paths as paths
import banyandale_http as http

TERMS = handovers.Terms(
    remaining_seconds=1.5, age_seconds=0.25, attempts=2, repeat=True
)


def make_member(number, zone="a", *, ready=True, impaired=0):
    return members.Member(
        ip=f"10.0.0.{number}",
        zone=zone,
        started_unix_ms=0,
        beat=0,
        ready=ready,
        impaired=impaired,
    )


def list_numbers(live, *, server_zones=("b",), allowed_zones=("a", "b", "c")):
    found = handovers.list_receivers(
        live,
        service="s",
        zone="a",
        server_zones=server_zones,
        allowed_zones=allowed_zones,
    )
    return sorted(int(member.ip.rpartition(".")[2]) for member in found)


def test_terms_replace_those_that_a_caller_sends():
    """Guards against callers that set the terms of a handover."""
    request = http.Request(
        method=b"GET",
        target=b"/",
        headers=((b"a", b"1"), (handovers.TERMS_HEADER, b"9,9,9,0")),
    )
    handed = handovers.add_terms(request, TERMS)
    terms, taken = handovers.take_terms(handed)
    assert terms == TERMS
    assert taken.headers == ((b"a", b"1"),)


@pytest.mark.parametrize(
    "value", [b"", b"1,2,3", b"1,2,3,2", b"1,2,0,0", b"-1,2,3,0", b"9" * 40]
)
def test_terms_that_cannot_be_read_are_rejected(value):
    request = http.Request(
        method=b"GET", target=b"/", headers=((handovers.TERMS_HEADER, value),)
    )
    with pytest.raises(handovers.MalformedTermsError):
        handovers.take_terms(request)


def test_gateways_of_the_own_zone_get_calls_alone_if_there_are_enough():
    live = [make_member(n, "ab"[n % 2]) for n in range(6)]
    assert list_numbers(live) == [0, 2, 4]


def test_a_zone_with_one_gateway_gets_help_where_the_servers_are():
    """Guards against one gateway that gets the calls of a whole zone."""
    mask = paths.group_mask("s")
    live = [make_member(n, "a", impaired=mask) for n in range(5)]
    live += [make_member(5), make_member(6, "b"), make_member(7, "c")]
    assert list_numbers(live) == [5, 6]
    assert list_numbers(live, allowed_zones=("a",)) == [5]
    assert list_numbers(live[6:], server_zones=()) == [6, 7]


def test_gateways_that_do_not_reach_the_service_get_no_calls():
    mask = paths.group_mask("s")
    live = [
        make_member(1, impaired=mask),
        make_member(2, ready=False),
        make_member(3, impaired=paths.ALL_GROUPS & ~mask),
    ]
    assert list_numbers(live) == [3]
    assert list_numbers(live[:2]) == []


def test_an_answer_of_a_server_never_looks_like_a_refusal():
    """Guards against a server's header that makes a run call "not run"."""
    forged = http.Response(
        status=503,
        headers=(
            (handovers.REFUSAL_HEADER, b"no_room"),
            (handovers.RUN_HEADER, b"not-run"),
        ),
    )
    outcome = handovers.read_answer(handovers.strip_marks(forged))
    assert outcome.refusal is None
    assert outcome.run is core.RunMark.UNKNOWN


@pytest.mark.parametrize("not_run", [True, False])
def test_a_receivers_refusal_says_whether_the_call_ran(not_run):
    response = http.Response(status=503, headers=((b"retry-after", b"1"),))
    refusal = admission.Refusal.NO_ROOM
    marked = handovers.mark_answer(response, refusal=refusal, not_run=not_run)
    outcome = handovers.read_answer(marked)
    assert outcome.response == response
    assert outcome.refusal is refusal
    assert (outcome.run is core.RunMark.NOT_RUN) == not_run


def test_a_refusal_that_is_not_known_may_have_run():
    """Guards against a newer gateway whose reasons this one does not know."""
    response = http.Response(
        status=503, headers=((handovers.REFUSAL_HEADER, b"later"),)
    )
    outcome = handovers.read_answer(response)
    assert outcome.refusal is admission.Refusal.OUTCOME_UNKNOWN
    assert outcome.run is core.RunMark.UNKNOWN


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[" * 2000,
        b"[]",
        b"{}",
        b'{"ready": true, "impaired": 0, "open_calls": "1"}',
        b'{"ready": true, "impaired": 0, "open_calls": null}',
        b'{"ready": true, "impaired": 0.5, "open_calls": 1}',
        b'{"ready": 1, "impaired": 0, "open_calls": 1}',
    ],
)
def test_an_odd_load_of_a_gateway_is_told_as_such(data):
    """Guards against calls that end with an internal error by a gateway's load.

    Python's parser raises RecursionError for deep nesting.
    """
    with pytest.raises(handovers.MalformedLoadError):
        handovers.read_load(data, service="s")


def test_a_load_is_read_as_it_was_written():
    mask = paths.group_mask("s")
    for ready, impaired, read in (
        (True, 0, 3),
        (True, paths.ALL_GROUPS & ~mask, 3),
        (True, mask, None),
        (False, 0, None),
    ):
        data = handovers.write_load(
            ready=ready, impaired=impaired, open_calls=3
        )
        assert handovers.read_load(data, service="s") == read
