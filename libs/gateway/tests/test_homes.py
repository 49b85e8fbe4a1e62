"""Tests of the table of homes that a gateway holds."""

import pytest

import banyandale_config as config
import banyandale_core as core
import banyandale_dispatch as dispatch
from banyandale_gateway import _homes as homes

ADDRESS = "127.0.1.1:80"
WARM = dispatch.LoadReport(boot="1", phase=dispatch.Phase.WARM)


class Clock:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


class Ownership:
    def __init__(self):
        self.homes = {("s", "a")}

    def held(self):
        return tuple(self.homes)

    def holds(self, *, service, zone):
        return (service, zone) in self.homes


class Vms:
    leaving = frozenset()


def make_snapshot(zone_state="in"):
    document = config.Document.model_validate(
        {
            "zones": [{"name": "a", "state": zone_state}],
            "services": [
                {
                    "name": "s",
                    "cold_min_ms": 10_000,
                    "servers": [{"address": ADDRESS, "zone": "a"}],
                }
            ],
        }
    )
    return config.build_snapshot(document, generation=1)


class Table:
    """A home table whose only server is known to be warm."""

    def __init__(self):
        self.clock = Clock()
        self.ownership = Ownership()
        self.vms = Vms()
        self.table = homes.HomeTable(
            ownership=self.ownership,
            build_dispatcher=lambda service: dispatch.Dispatcher(
                clock=self.clock
            ),
            vms=self.vms,
            clock=self.clock,
            metrics=core.MemoryMetrics(),
        )
        self.refresh()
        self.dispatcher.record_load_report(ADDRESS, WARM)
        self.clock.now += 10.0
        self.refresh()
        self.dispatcher.record_load_report(ADDRESS, WARM)
        assert self.is_warm()

    @property
    def dispatcher(self):
        return self.table.find("s", "a").dispatcher

    def refresh(self, zone_state="in"):
        self.table.refresh(make_snapshot(zone_state))

    def is_warm(self):
        return self.dispatcher.is_warm(ADDRESS)


@pytest.mark.parametrize(("seconds", "warm"), [(1.0, True), (60.0, False)])
def test_home_that_comes_back_soon_keeps_warm_servers(seconds, warm):
    """Guards against warm servers that count as cold after a short outage.

    Also guards against full load on a server before it has reported that it
    is still warm.
    """
    table = Table()
    table.ownership.homes.clear()
    table.refresh()
    assert table.table.homes_of("s") == ()
    table.clock.now += seconds
    table.ownership.homes.add(("s", "a"))
    table.refresh()
    assert not table.is_warm()
    table.dispatcher.record_load_report(ADDRESS, WARM)
    assert table.is_warm() is warm


def test_servers_of_a_returning_zone_count_as_cold():
    """Guards against full load on servers that were out of service."""
    table = Table()
    table.refresh(zone_state="out")
    assert table.table.homes_of("s") == ()
    table.refresh(zone_state="in")
    assert not table.is_warm()


def test_server_on_a_leaving_vm_gets_no_work():
    """Guards against new work for a VM that the platform is removing."""
    table = Table()
    table.vms.leaving = frozenset({"127.0.1.1"})
    table.refresh()
    assert table.dispatcher.try_acquire() is None


def test_a_stopping_gateway_allows_no_cold_servers():
    """Guards against cold servers that get work until the lease is gone."""
    table = Table()
    home = table.table.find("s", "a")
    assert table.table.allows_cold(home)
    table.table.stop_cold_requests()
    assert not home.dispatcher.allow_cold
    assert table.table.has_lease(home)
    assert not table.table.allows_cold(home)
