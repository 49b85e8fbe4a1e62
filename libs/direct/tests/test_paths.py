"""Tests of the difference between a lost path and servers that are gone."""

from banyandale_direct import _paths as paths

SERVERS = [f"i{number}" for number in range(6)]


def fail(monitor, servers, *, now, service="s"):
    for server in servers:
        monitor.record(service, server, reached=False, now=now)


def test_a_service_is_impaired_while_half_of_its_servers_do_not_answer():
    monitor = paths.PathMonitor()
    assert not monitor.is_impaired("s", SERVERS, now=0.0)
    fail(monitor, SERVERS[:2], now=0.0)
    assert not monitor.is_impaired("s", SERVERS, now=0.0)
    fail(monitor, SERVERS[2:3], now=0.1)
    assert monitor.is_impaired("s", SERVERS, now=0.1)
    assert not monitor.is_impaired("t", SERVERS, now=0.1)
    monitor.record("s", SERVERS[0], reached=True, now=0.2)
    assert not monitor.is_impaired("s", SERVERS, now=0.2)


def test_failures_are_forgotten():
    """Guards against single late reports that add up over time."""
    monitor = paths.PathMonitor()
    for number, server in enumerate(SERVERS):
        now = number * paths.FAILURE_SECONDS
        fail(monitor, [server], now=now)
        assert not monitor.is_impaired("s", SERVERS, now=now + 0.1)


def test_servers_that_are_gone_do_not_count():
    monitor = paths.PathMonitor()
    fail(monitor, SERVERS[:3], now=0.0)
    assert not monitor.is_impaired("s", SERVERS[3:], now=0.1)
    monitor.keep_only(SERVERS[3:])
    assert monitor.list_unreached("s", SERVERS, now=0.1) == []


def test_a_gateway_is_cut_when_no_service_answers():
    """Guards against a verdict that each service has to find by itself."""
    monitor = paths.PathMonitor()
    monitor.record("t", "j", reached=True, now=0.0)
    fail(monitor, SERVERS, now=1.0)
    monitor.update_cut("t", ["j"])
    assert not monitor.cut
    monitor.update_cut("s", SERVERS)
    assert monitor.cut
    monitor.record("t", "j", reached=True, now=1.1)
    assert not monitor.cut
    monitor.update_cut("s", SERVERS)
    assert not monitor.cut


def test_services_share_few_groups():
    masks = {paths.group_mask(f"service-{number}") for number in range(1000)}
    assert masks == {1 << bit for bit in range(paths.GROUPS)}
