"""Tests of the store's objects in force after the store was restored."""

import dataclasses
import types

import banyandale_core as core
from banyandale_direct import _configuration as configuration
from banyandale_direct import _registry as registry
from banyandale_direct import _store_updates as store_updates
from banyandale_direct import _versions as versions
import banyandale_platform as platform


class Documents:
    """Reads configurations whose value is their version."""

    configuration_kind = "config"
    server_kind = "servers"
    zones_out_kind = "zones"

    def read_configuration(self, stored):
        if stored.name != "main":
            return None
        return configuration.Configuration(
            version=int(stored.value),
            hosts={},
            services={},
            limits=configuration.Limits(),
        )


def make_handler():
    servers = registry.Registry()
    applied = []
    handler = store_updates.StoreUpdateHandler(
        documents=Documents(),
        servers=servers,
        loaded=types.SimpleNamespace(regions={}),
        on_configuration=lambda read: applied.append(read.version),
        events=core.EventLog(),
        metrics=core.MemoryMetrics(),
    )
    return handler, servers, applied


def make_object(kind, name, version, value=b""):
    return platform.StoredObject(
        kind=kind, name=name, version=version, value=value
    )


def make_zone_change(zone, version, change=platform.ChangeType.PUT):
    stored = make_object("zones", zone, version)
    return platform.Change(type=change, object=stored)


def list_zones(handler, zones, *, era, revision):
    handler.apply_listing(
        "zones",
        tuple(make_object("zones", zone, revision) for zone in zones),
        versions.Version(era, revision),
    )


def test_a_zone_stays_out_of_service_after_the_store_was_restored(monkeypatch):
    """Guards against calls to a zone whose removal the store forgot.

    The operators write it again, and later return it to service.
    """
    clock = types.SimpleNamespace(now=100.0)
    monkeypatch.setattr(store_updates.time, "monotonic", lambda: clock.now)
    handler, servers, _ = make_handler()
    list_zones(handler, [], era=0, revision=40)
    handler.apply_change(make_zone_change("a", 41), 0)
    list_zones(handler, [], era=1, revision=35)
    assert servers.zones_out == {"a"}
    handler.apply_change(make_zone_change("a", 36), 1)
    clock.now += store_updates.KEEP_ZONES_SECONDS
    handler.expire_kept_zones()
    assert servers.zones_out == {"a"}
    handler.apply_change(
        make_zone_change("a", 37, platform.ChangeType.DELETE), 1
    )
    assert servers.zones_out == set()


def test_a_zone_that_is_not_written_again_returns_to_service(monkeypatch):
    """Guards against a zone that stays out of service for good."""
    clock = types.SimpleNamespace(now=100.0)
    monkeypatch.setattr(store_updates.time, "monotonic", lambda: clock.now)
    handler, servers, _ = make_handler()
    list_zones(handler, ["a"], era=0, revision=40)
    list_zones(handler, ["b"], era=1, revision=35)
    assert servers.zones_out == {"a", "b"}
    clock.now += store_updates.KEEP_ZONES_SECONDS - 0.1
    handler.expire_kept_zones()
    assert servers.zones_out == {"a", "b"}
    clock.now += 0.2
    handler.expire_kept_zones()
    assert servers.zones_out == {"b"}


def test_the_newest_configuration_stays_in_force():
    """Guards against an older configuration that a restored store lists."""
    handler, _, applied = make_handler()
    held = make_object("config", "main", 43, b"9")
    handler.apply_listing("config", (held,), versions.Version(0, 43))
    listing = platform.Listing(
        version=30, objects=(make_object("config", "main", 28, b"6"),), era=1
    )
    kept = handler.reconcile("config", (held,), listing)
    assert kept.objects == (dataclasses.replace(held, version=28),)
    assert (kept.era, kept.version) == (1, 30)
    handler.apply_listing("config", kept.objects, versions.Version(1, 30))
    newer = platform.Listing(
        version=31, objects=(make_object("config", "main", 31, b"11"),), era=1
    )
    assert handler.reconcile("config", kept.objects, newer) is newer
    handler.apply_listing("config", newer.objects, versions.Version(1, 31))
    assert applied == [9, 11]
    assert handler.configuration_version() == 11


def test_a_configuration_that_the_store_has_lost_stays_in_force():
    """Guards against a gateway that starts after the loss and has no routes."""
    handler, _, _ = make_handler()
    held = make_object("config", "main", 43, b"9")
    lost = platform.Listing(version=30, objects=(), era=1)
    kept = handler.reconcile("config", (held,), lost)
    assert kept.objects == (dataclasses.replace(held, version=30),)
