"""Tests of the registry of servers."""

from banyandale_direct import _registry as registry
from banyandale_direct import _versions as versions


def at(revision, era=0):
    return versions.Version(era, revision)


def make_server(name, **fields):
    return registry.Server(
        id=name,
        address="127.0.0.1:80",
        service="s",
        zone=fields.pop("zone", "a"),
        slots=2,
        **fields,
    )


def find(servers, now=0.0):
    return sorted(e.server.id for e in servers.find("s", now=now))


def test_leaving_servers_and_zones_out_get_nothing():
    """Guards against calls to leaving servers and to zones out of service."""
    servers = registry.Registry()
    servers.put(make_server("1"), version=at(1), now=0.0)
    servers.put(make_server("2", zone="b"), version=at(2), now=0.0)
    servers.put(make_server("1", leaving=True), version=at(3), now=0.0)
    assert find(servers) == ["2"]
    assert not servers.is_usable("1")
    servers.set_zones_out({"b"})
    assert find(servers) == []
    assert not servers.is_usable("2")


def test_an_older_version_does_not_come_back():
    """Guards against outdated data that reactivates a leaving server."""
    servers = registry.Registry()
    servers.put(make_server("1", leaving=True), version=at(5), now=0.0)
    assert not servers.put(make_server("1"), version=at(4), now=0.0)
    assert find(servers) == []


def test_vanished_servers_are_a_last_resort_for_a_short_time():
    """Guards against an outage when all entries expire with the store."""
    servers = registry.Registry()
    servers.replace(
        [(make_server("1"), at(1)), (make_server("2"), at(1))],
        version=at(1),
        now=0.0,
    )
    servers.remove("1", version=at(2), now=10.0)
    assert find(servers, 10.0) == ["2"]
    servers.replace([], version=at(3), now=10.1)
    assert find(servers, 10.5) == ["1", "2"]
    late = 10.1 + registry.VANISHED_GRACE_SECONDS
    assert find(servers, late) == []
    servers.put(make_server("1"), version=at(4), now=late)
    assert find(servers, late) == ["1"]


def make_restored(*servers):
    """Returns a registry whose store came back from a copy with `servers`."""
    known = registry.Registry()
    known.put(make_server("1", report=3), version=at(30), now=0.0)
    known.put(make_server("1", report=4, leaving=True), version=at(41), now=0.0)
    known.put(make_server("2", report=5), version=at(31), now=0.0)
    known.remove("2", version=at(42), now=0.0)
    assert find(known, now=5.0) == []
    known.replace(
        [(server, at(30 + n, era=1)) for n, server in enumerate(servers)],
        version=at(35, era=1),
        now=5.0,
    )
    return known


def test_a_restored_store_does_not_bring_back_servers_that_left():
    """Guards against calls to servers whose departure the store forgot."""
    known = make_restored(
        make_server("1", report=3), make_server("2", report=5)
    )
    assert find(known, now=5.0) == []
    assert not known.is_usable("1")
    assert not known.is_usable("2")


def test_a_newer_report_counts_after_the_store_was_restored():
    """Guards against servers that stay unused although they are back."""
    known = make_restored(
        make_server("1", report=3), make_server("2", report=5)
    )
    later = [
        make_server("1", report=1, started_unix_ms=7),
        make_server("2", report=6),
    ]
    for number, server in enumerate(later):
        known.put(server, version=at(40 + number, era=1), now=6.0)
    assert find(known, now=6.0) == ["1", "2"]


def test_an_entry_that_stays_in_a_restored_store_is_used():
    """Guards against a server that is alive and unused for good."""
    known = make_restored(make_server("2", report=5))
    assert find(known, now=5.0 + registry.HOLD_BACK_SECONDS - 0.1) == []
    assert find(known, now=5.0 + registry.HOLD_BACK_SECONDS) == ["2"]
    gone = make_restored(make_server("2", report=5))
    gone.remove("2", version=at(36, era=1), now=9.0)
    assert find(gone, now=5.0 + registry.HOLD_BACK_SECONDS) == []


def test_entries_that_a_restored_store_lacks_return_when_written_again():
    """Guards against servers lost because they registered after the copy."""
    known = registry.Registry()
    known.put(make_server("1", report=1), version=at(40), now=0.0)
    known.replace([], version=at(35, era=1), now=5.0)
    assert find(known, now=5.1) == ["1"]
    known.put(make_server("1", report=1), version=at(36, era=1), now=7.0)
    assert find(known, now=9.0) == ["1"]


def test_changes_of_an_earlier_era_are_ignored():
    """Guards against a gateway that was away and brings old entries back."""
    known = make_restored(make_server("3"))
    assert not known.put(
        make_server("3", leaving=True), version=at(50), now=6.0
    )
    assert not known.remove("3", version=at(60), now=6.0)
    assert find(known, now=6.0) == ["3"]
