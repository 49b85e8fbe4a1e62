"""Tests of the identity of a call's content."""

import dataclasses

import pytest

from banyandale_direct import _fingerprints as fingerprints
from banyandale_direct import _protocols as protocols
import banyandale_http as http


def make_call(*, host="h", **fields):
    request = http.Request(
        **{"method": b"POST", "target": b"/a?b=1", "body": b"x", **fields}
    )
    return protocols.Call(
        id="1", host=host, path="/a", remaining_seconds=1.0, request=request
    )


def test_attempts_of_one_caller_share_their_fingerprint():
    first = make_call(headers=((b"x-request-id", b"1"),))
    second = make_call(headers=((b"x-request-id", b"2"),))
    second = dataclasses.replace(second, id="2", remaining_seconds=0.5)
    assert fingerprints.compute_fingerprint(
        first
    ) == fingerprints.compute_fingerprint(second)


@pytest.mark.parametrize(
    "other",
    [
        {"host": "h2"},
        {"method": b"PUT"},
        {"target": b"/a?b=2"},
        {"body": b"y"},
        {"headers": ((b"authorization", b"z"),)},
        {"target": b"/a?b=", "body": b"1x"},
    ],
)
def test_other_content_has_another_fingerprint(other):
    assert fingerprints.compute_fingerprint(
        make_call(**other)
    ) != fingerprints.compute_fingerprint(make_call())


def test_the_size_does_not_grow_with_the_body():
    fingerprint = fingerprints.compute_fingerprint(make_call(body=b"x" * 10**7))
    assert len(fingerprint) == fingerprints.FINGERPRINT_BYTES
