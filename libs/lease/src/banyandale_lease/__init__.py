"""Leases, ownership of homes and rendezvous hashing."""

from banyandale_lease._keeper import LeaseKeeper
from banyandale_lease._ownership import DesiredHomes
from banyandale_lease._ownership import Ownership
from banyandale_lease._records import GatewayInfo
from banyandale_lease._records import HomeKey
from banyandale_lease._rendezvous import choose
from banyandale_lease._rendezvous import rank

__all__ = [
    "DesiredHomes",
    "GatewayInfo",
    "HomeKey",
    "LeaseKeeper",
    "Ownership",
    "choose",
    "rank",
]
