"""Dispatch of requests to the slots of a service's servers."""

from banyandale_dispatch._dispatcher import Dispatcher
from banyandale_dispatch._errors import DeadlineUnreachableError
from banyandale_dispatch._errors import DispatchError
from banyandale_dispatch._errors import DisplacedError
from banyandale_dispatch._errors import NoServerError
from banyandale_dispatch._errors import QueueFullError
from banyandale_dispatch._policies import LeastLoaded
from banyandale_dispatch._policies import Policy
from banyandale_dispatch._policies import Random
from banyandale_dispatch._policies import RoundRobin
from banyandale_dispatch._policies import TwoChoices
from banyandale_dispatch._states import Assignment
from banyandale_dispatch._states import HomeLoad
from banyandale_dispatch._states import LoadReport
from banyandale_dispatch._states import Outcome
from banyandale_dispatch._states import OutcomeKind
from banyandale_dispatch._states import Phase
from banyandale_dispatch._states import Server
from banyandale_dispatch._states import ServerState
from banyandale_dispatch._statistics import ServiceTimes

__all__ = [
    "Assignment",
    "DeadlineUnreachableError",
    "DispatchError",
    "Dispatcher",
    "DisplacedError",
    "HomeLoad",
    "LeastLoaded",
    "LoadReport",
    "NoServerError",
    "Outcome",
    "OutcomeKind",
    "Phase",
    "Policy",
    "QueueFullError",
    "Random",
    "RoundRobin",
    "Server",
    "ServerState",
    "ServiceTimes",
    "TwoChoices",
]
