"""The gateway: address lookup, routing, retries and cluster membership."""

from banyandale_gateway._gateway import Gateway
from banyandale_gateway._gateway import run_gateway
from banyandale_gateway._settings import Routing
from banyandale_gateway._settings import Settings

__all__ = [
    "Gateway",
    "Routing",
    "Settings",
    "run_gateway",
]
