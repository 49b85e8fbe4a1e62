"""Tests of requests to backend servers and of their responses."""

import pytest

import banyandale_adapter as adapter
import banyandale_direct as direct
from banyandale_direct import _placement as placement
import banyandale_http as http

CODEC = adapter.ServerCodec()
KIND = direct.AnswerKind


def make_call(**headers):
    request = http.Request(
        method=b"POST",
        target=b"/x/1?y=2",
        headers=(
            (b"host", b"h.example"),
            (b"x-request-id", b"ab"),
            (b"x-deadline-ms", b"2500"),
            (b"x-expect-instance", b"forged"),
        ),
        body=b"body",
    )
    return adapter.CallerCodec().read_call(request)


def test_a_call_names_its_server_and_the_time_left():
    """Guards against a caller that overrides the server id or the deadline."""
    request = CODEC.write_call(
        make_call(), server_id="i-1", remaining_seconds=1.2345
    )
    assert request.header(b"x-deadline-ms") == b"1234"
    assert request.header(b"x-expect-instance") == b"i-1"
    names = [name for name, _ in request.headers]
    assert len(names) == len(set(names))
    assert (request.target, request.body) == (b"/x/1?y=2", b"body")


@pytest.mark.parametrize(
    ("headers", "limit"),
    [
        ((), None),
        (((b"server-limit", b"1.5"),), 1.5),
        (((b"server-limit", b"0"),), 0.0),
    ],
)
def test_the_limit_that_a_server_names_is_read(headers, limit):
    """Guards against a limit that goes unnoticed."""
    response = http.Response(status=200, headers=headers)
    assert CODEC.read_limit(response) == limit


@pytest.mark.parametrize("value", [b"", b"many", b"-1", b"nan", b"inf"])
def test_an_unreadable_limit_is_not_taken_for_none(value):
    """Guards against a malformed limit that lifts the one in force."""
    response = http.Response(status=200, headers=((b"server-limit", value),))
    with pytest.raises(direct.MalformedLimitError):
        CODEC.read_limit(response)


@pytest.mark.parametrize(
    ("status", "headers", "kind"),
    [
        (200, (b"x-response-seal",), KIND.SERVED),
        (200, (), KIND.INVALID),
        (500, (b"x-response-seal",), KIND.FAILED),
        (503, (), KIND.FAILED),
        (503, (b"x-not-executed",), KIND.SHED),
        (429, (b"x-not-executed",), KIND.SHED),
        (400, (b"x-not-executed",), KIND.EXPIRED),
        (421, (), KIND.MISDIRECTED),
    ],
)
def test_responses_are_classified(status, headers, kind):
    """Guards against executing a request twice.

    Only status 421 and the header `x-not-executed` guarantee that a request
    was not executed.
    """
    response = http.Response(
        status=status,
        headers=((b"x-request-id", b"ab"), *((name, b"1") for name in headers)),
    )
    assert CODEC.read_answer(make_call(), response) is kind


@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_a_response_without_the_id_proves_nothing(status):
    """Guards against a late copy for an earlier request.

    Taken for the answer, it would be another caller's, or state that a call
    that runs was not executed.
    """
    response = http.Response(
        status=status,
        headers=((b"x-response-seal", b"1"), (b"x-not-executed", b"1")),
    )
    assert CODEC.read_answer(make_call(), response) is KIND.INVALID


def test_responses_to_other_requests_do_not_match():
    """Guards against a late response that completes another call."""
    call = make_call()
    own_response = http.ResponseHead(
        status=200, headers=((b"x-request-id", b"ab"),)
    )
    other_response = http.ResponseHead(
        status=200, headers=((b"x-request-id", b"cd"),)
    )
    assert CODEC.matches_call(call, own_response)
    assert not CODEC.matches_call(call, other_response)
    assert not CODEC.is_report(other_response)


@pytest.mark.parametrize("names", [(b"ab", b"cd"), (b"cd", b"ab")])
def test_a_response_that_names_two_requests_does_not_match(names):
    """Guards against a refusal of another request beside the id of this one."""
    headers = tuple((b"x-request-id", name) for name in names)
    head = http.ResponseHead(status=503, headers=headers)
    assert not CODEC.matches_call(make_call(), head)


def test_an_id_may_be_repeated_in_a_response():
    """Guards against a response that is skipped although it is the own one."""
    head = http.ResponseHead(
        status=200, headers=((b"x-request-id", b"ab"),) * 2
    )
    assert CODEC.matches_call(make_call(), head)


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        (b"3,1,8", (3, 1, 8, 1.0)),
        (b"3,1,8,400", (3, 1, 8, 4.0)),
        (b"three", (0, 0, 1, 1.0)),
        (b"", (0, 0, 1, 1.0)),
        (b"nan,1,8", (0, 0, 1, 1.0)),
        (b"3,1,inf", (0, 0, 1, 1.0)),
    ],
)
def test_reports_are_read(load, expected):
    """Guards against an exception for a report that cannot be parsed."""
    report = CODEC.read_report(
        http.Response(
            status=503,
            headers=(
                (b"x-server-load", load),
                (b"x-warmup-ms", b"1500"),
                (b"x-instance-id", b"i-1"),
            ),
        )
    )
    assert not report.healthy
    assert (report.server_id, report.cold_seconds) == ("i-1", 1.5)
    found = (report.running, report.waiting, report.slots, report.slowness)
    assert found == expected


@pytest.mark.parametrize(
    ("load", "warmup", "count"),
    [
        (b"3,1,8,400", b"1500", 0),
        (b"", b"", 0),
        (b"three", b"1500", 1),
        (b"3,1", b"soon", 2),
        (b"nan,1,8", b"inf", 2),
    ],
)
def test_unreadable_fields_of_a_report_are_listed(load, warmup, count):
    """Guards against silently replacing invalid fields by defaults."""
    headers = ((b"x-server-load", load), (b"x-warmup-ms", warmup))
    report = CODEC.read_report(http.Response(status=200, headers=headers))
    assert len(report.unreadable) == count


@pytest.mark.parametrize(
    "load", [b"1e308,1e308,1", b"0,0,1e308", b"0,0,1,1e308"]
)
def test_a_load_out_of_range_counts_as_normal(load):
    """Guards against a number of a server that ends the calls near it."""
    report = adapter.ServerCodec().read_report(
        http.Response(status=200, headers=((b"x-server-load", load),))
    )
    assert report.unreadable
    assert report.slots < 100
    placement.estimate_seconds(report, 0.1)
