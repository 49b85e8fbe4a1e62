"""Tests of stored objects that cannot be used."""

import pytest

import banyandale_core as core
from banyandale_direct import _protocols as protocols
from banyandale_direct import _rejections as rejections
import banyandale_platform as platform


class Events:
    """Records log lines."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


def make_rejections():
    events, metrics = Events(), core.MemoryMetrics()
    return (
        rejections.Rejections(events=events, metrics=metrics),
        events.lines,
        metrics,
    )


def make_object(name="n", version=1, kind="k"):
    return platform.StoredObject(
        kind=kind, name=name, version=version, value=b""
    )


def refuse(_):
    raise protocols.MalformedEntryError("x" * 5000)


def test_each_version_of_an_object_is_logged_once():
    """Guards against a log line each time that an odd entry is read."""
    rejected, lines, metrics = make_rejections()
    for version in (1, 1, 2, 2, 2):
        assert rejected.read(make_object(version=version), refuse) is None
    assert [fields["version"] for _, fields in lines] == [1, 2]
    assert {len(fields["error"]) for _, fields in lines} == {200}
    assert metrics.counters["entry_rejected:k"] == 2
    assert metrics.gauges["rejected_entries.k"] == 1


def test_the_end_of_an_odd_object_is_logged():
    """Guards against an operator who cannot tell whether it is gone."""
    rejected, lines, metrics = make_rejections()
    for name in ("a", "b", "c"):
        rejected.read(make_object(name), refuse)
    rejected.read(make_object("a", kind="other"), refuse)
    rejected.keep_only("k", {"b", "c"})
    rejected.forget("k", "b")
    rejected.forget("k", "b")
    assert rejected.read(make_object("c", version=2), lambda s: s.name) == "c"
    assert [
        (fields["name"], fields["reason"])
        for event, fields in lines
        if event == "rejected_entry_gone"
    ] == [("a", "deleted"), ("b", "deleted"), ("c", "readable")]
    assert metrics.gauges["rejected_entries.k"] == 0
    assert metrics.gauges["rejected_entries.other"] == 1


@pytest.mark.parametrize(
    "error",
    [RecursionError, MemoryError, OverflowError, ValueError, UnicodeError],
)
def test_any_error_of_one_object_is_a_rejection(error):
    """Guards against one object that keeps all others from use."""
    rejected, lines, metrics = make_rejections()

    def fail(_):
        raise error

    assert rejected.read(make_object(), fail) is None
    assert error.__name__ in lines[0][1]["error"]
    assert metrics.counters["internal_error"] == 1


def test_what_is_remembered_is_bounded():
    """Guards against memory that grows with the names of odd objects."""
    rejected, _, metrics = make_rejections()
    for number in range(rejections.MAX_REMEMBERED + 50):
        rejected.read(make_object(f"n{number}"), refuse)
    assert metrics.gauges["rejected_entries.k"] == rejections.MAX_REMEMBERED
