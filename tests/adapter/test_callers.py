"""Tests of the HTTP format of callers' requests and lookups."""

import json

import pytest

import banyandale_adapter as adapter
import banyandale_direct as direct
import banyandale_http as http

CODEC = adapter.CallerCodec()


def make_request(target=b"/x/1?y=2", **headers):
    return http.Request(
        method=b"GET",
        target=target,
        headers=tuple(
            (name.replace("_", "-").encode(), value)
            for name, value in headers.items()
        ),
    )


def test_a_call_is_read_whole():
    """Guards against routing by the port, the query or letter case."""
    call = CODEC.read_call(
        make_request(
            host=b"H.example:80", x_request_id=b"ab", x_deadline_ms=b"2500"
        )
    )
    assert (call.id, call.host, call.path) == ("ab", "h.example", "/x/1")
    assert call.remaining_seconds == 2.5
    assert CODEC.read_call(make_request()).remaining_seconds is None


@pytest.mark.parametrize("value", [b"soon", b"-1", b"nan", b"inf"])
def test_wrong_deadlines_are_refused(value):
    """Guards against a deadline that lets a call wait for ever."""
    with pytest.raises(direct.MalformedCallError):
        CODEC.read_call(make_request(x_deadline_ms=value))


def test_a_refusal_has_a_reason_and_a_retry_delay():
    """Guards against callers that retry immediately."""
    response = CODEC.write_refusal(
        call_id="ab",
        status=503,
        refusal=direct.Refusal.NO_ROOM,
        retry_after_seconds=0.25,
    )
    assert response.header(b"retry-after") == b"0.250"
    assert response.header(b"x-request-id") == b"ab"
    assert json.loads(response.body) == {"error": "no_room"}
    without_delay = CODEC.write_refusal(
        call_id="",
        status=404,
        refusal=direct.Refusal.NO_ROUTE,
        retry_after_seconds=None,
    )
    assert without_delay.header(b"retry-after") is None


def test_lookups_are_read_and_answered():
    """Guards against lookups that return addresses for the wrong zone."""
    target = b"/banyandale/resolve?name=h.example&region=r&zone=a"
    lookup = CODEC.read_lookup(make_request(target))
    assert (lookup.host, lookup.zone) == ("h.example", "a")
    assert CODEC.read_lookup(make_request(b"/other")) is None
    response = CODEC.write_lookup(["10.0.0.1:80"], valid_seconds=1.5)
    assert json.loads(response.body) == {
        "addresses": ["10.0.0.1:80"],
        "ttlS": 1.5,
    }
    assert CODEC.is_readiness_check(make_request(b"/banyandale/ready"))
