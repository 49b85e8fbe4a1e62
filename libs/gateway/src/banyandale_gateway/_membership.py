"""Determines which gateways callers and peers may connect to."""

from collections.abc import Callable
from typing import Protocol

import banyandale_config as config
from banyandale_gateway import _lookup as lookup
from banyandale_gateway import _settings as settings
import banyandale_lease as lease
import banyandale_peer as peer


class GatewayList(Protocol):
    """Provides the gateways that hold a lease."""

    def gateways(self) -> tuple[lease.GatewayInfo, ...]:
        """Returns the gateways whose leases have not expired."""


class Membership:
    """Combines leases and heartbeats into the list of usable gateways.

    A lease shows that a gateway reached the platform within the last few
    seconds; a heartbeat shows that peers can reach it now. Both may be out of
    date, so lookups exclude a gateway if either one reports that it is leaving
    or if no heartbeats arrive from it.
    """

    def __init__(
        self,
        *,
        own_settings: settings.Settings,
        leases: GatewayList,
        node: peer.PeerNode,
        own_homes: Callable[[str], frozenset[str]],
        snapshot: Callable[[], config.Snapshot | None],
    ) -> None:
        self._own_settings = own_settings
        self._leases = leases
        self._peer_node = node
        self._own_homes = own_homes
        self._snapshot = snapshot
        self.leaving = False

    def candidates(self, service: str) -> tuple[lookup.Candidate, ...]:
        """Returns the gateways that callers of a service may use.

        Gateways in zones that are out of service are excluded unless there
        are no others.
        """
        found = [self._describe_self(service)] if not self.leaving else []
        found.extend(self._describe_peers(service))
        snapshot = self._snapshot()
        in_service = tuple(
            item
            for item in found
            if snapshot is None or snapshot.is_zone_in(item.zone)
        )
        return in_service or tuple(found)

    def _describe_self(self, service: str) -> lookup.Candidate:
        return lookup.Candidate(
            gateway_id=self._own_settings.gateway_id,
            zone=self._own_settings.zone,
            address=self._own_settings.advertise,
            home_zones=self._own_homes(service),
        )

    def _describe_peers(self, service: str) -> list[lookup.Candidate]:
        heartbeats = {
            state.gateway_id: state.heartbeat
            for state in self._peer_node.peers()
            if not state.suspected and state.heartbeat is not None
        }
        found = []
        for info in self._leases.gateways():
            heartbeat = heartbeats.get(info.gateway)
            if heartbeat is None or heartbeat.leaving or info.leaving:
                continue
            zones = frozenset(
                report.zone
                for report in heartbeat.homes
                if report.service == service
            )
            found.append(
                lookup.Candidate(
                    gateway_id=info.gateway,
                    zone=info.zone,
                    address=info.http,
                    home_zones=zones,
                )
            )
        return found

    def peer_addresses(self) -> tuple[peer.PeerAddress, ...]:
        """Returns the peers to which this gateway keeps links."""
        return tuple(
            peer.PeerAddress(gateway_id=info.gateway, address=info.peer)
            for info in self._leases.gateways()
            if info.gateway != self._own_settings.gateway_id
        )
