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
