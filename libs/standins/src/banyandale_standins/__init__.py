"""Stand-ins for the outside of the system, load tool and demo."""

from banyandale_standins._backend import BackendsSettings
from banyandale_standins._backend import ColdSettings
from banyandale_standins._backend import serve_backends
from banyandale_standins._backend import ServerChange
from banyandale_standins._backend import ServerSettings
from banyandale_standins._backend import ServiceProfile
from banyandale_standins._bodies import Bodies
from banyandale_standins._bodies import find_fault
from banyandale_standins._episodes import Episodes
from banyandale_standins._episodes import EpisodeSettings
from banyandale_standins._networks import Network
from banyandale_standins._platform import serve_platform
from banyandale_standins._relay import LinkChange
from banyandale_standins._relay import RelaySettings
from banyandale_standins._relay import RouteSettings
from banyandale_standins._relay import serve_relay
from banyandale_standins._timing import FineSelector

__all__ = [
    "BackendsSettings",
    "Bodies",
    "ColdSettings",
    "EpisodeSettings",
    "Episodes",
    "FineSelector",
    "LinkChange",
    "Network",
    "RelaySettings",
    "RouteSettings",
    "ServerChange",
    "ServerSettings",
    "ServiceProfile",
    "find_fault",
    "serve_backends",
    "serve_platform",
    "serve_relay",
]
