"""Simulations of the system's environment, a load tool and a demo."""

from banyandale_standins._admin import call as call_admin
from banyandale_standins._backend import BackendsSettings
from banyandale_standins._backend import ColdSettings
from banyandale_standins._backend import serve_backends
from banyandale_standins._backend import ServerChange
from banyandale_standins._backend import ServerSettings
from banyandale_standins._backend import ServiceProfile
from banyandale_standins._bodies import BodyGenerator
from banyandale_standins._bodies import find_fault
from banyandale_standins._deployments import Deployment
from banyandale_standins._deployments import DEPLOYMENTS
from banyandale_standins._deployments import GatewayPlan
from banyandale_standins._deployments import ServicePlan
from banyandale_standins._episodes import Episodes
from banyandale_standins._episodes import EpisodeSettings
from banyandale_standins._load import LoadSettings
from banyandale_standins._load import PhaseSettings
from banyandale_standins._load import run_load
from banyandale_standins._load import TrafficSettings
from banyandale_standins._networks import Network
from banyandale_standins._platform import serve_platform
from banyandale_standins._relay import LinkChange
from banyandale_standins._relay import RelaySettings
from banyandale_standins._relay import RouteSettings
from banyandale_standins._relay import serve_relay
from banyandale_standins._results import merge
from banyandale_standins._results import RunResult
from banyandale_standins._results import ServiceResult
from banyandale_standins._system import System
from banyandale_standins._system import Variant
from banyandale_standins._timing import HighResolutionSelector

__all__ = [
    "DEPLOYMENTS",
    "BackendsSettings",
    "BodyGenerator",
    "ColdSettings",
    "Deployment",
    "EpisodeSettings",
    "Episodes",
    "GatewayPlan",
    "HighResolutionSelector",
    "LinkChange",
    "LoadSettings",
    "Network",
    "PhaseSettings",
    "RelaySettings",
    "RouteSettings",
    "RunResult",
    "ServerChange",
    "ServerSettings",
    "ServicePlan",
    "ServiceProfile",
    "ServiceResult",
    "System",
    "TrafficSettings",
    "Variant",
    "call_admin",
    "find_fault",
    "merge",
    "run_load",
    "serve_backends",
    "serve_platform",
    "serve_relay",
]
