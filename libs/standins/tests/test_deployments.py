"""Tests that the deployments are consistent."""

import collections

import pytest

import banyandale_config as config
import banyandale_standins as standins

DEPLOYMENTS = tuple(standins.DEPLOYMENTS.values())


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda d: d.name)
def test_addresses_are_distinct_and_in_their_zone(deployment):
    """Guards against two listeners on one address and wrong delays."""
    network = deployment.build_network()
    gateways = deployment.plan_gateways()
    servers = deployment.plan_servers()
    zones = [(server.address, server.zone) for server in servers]
    for gateway in gateways:
        zones += [
            (address, gateway.zone)
            for address in (
                gateway.listen,
                gateway.peer_listen,
                gateway.peer_advertise,
            )
        ]
    for zone in network.zones:
        zones.append((deployment.backends_admin(zone), zone))
        zones.append((deployment.relay_admin(zone), zone))
    assert len({address for address, _ in zones}) == len(zones)
    assert all(network.find_zone(address) == zone for address, zone in zones)
    assert len(gateways) == 16
    counts = collections.Counter(server.zone for server in servers)
    assert max(counts.values()) - min(counts.values()) <= 1


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda d: d.name)
def test_document_is_valid_and_matches_the_stand_ins(deployment):
    """Guards against a document with servers that no process runs."""
    zone = deployment.zones[0]
    built = deployment.build_document(zones_out=[zone])
    document = config.Document.model_validate(built)
    states = {item.name: item.state for item in document.zones}
    assert [name for name in states if states[name] == "out"] == [zone]
    named = {
        (server.address, service.name, server.zone)
        for service in document.services
        for server in service.servers
    }
    run = {
        (server.address, server.service, server.zone)
        for name in deployment.zones
        for server in deployment.build_backends(name).servers
    }
    assert named == run
