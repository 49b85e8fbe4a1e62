"""A gateway that places every call itself.

It knows the servers from the platform's registry, asks a few of them for
their load right before each send, and shares limits with other gateways
without a word between them. A platform's adapter provides `Platform`.
"""

from banyandale_direct._admission import Refusal
from banyandale_direct._configuration import Configuration
from banyandale_direct._configuration import Limits
from banyandale_direct._configuration import Route
from banyandale_direct._configuration import Service
from banyandale_direct._configuration import Share
from banyandale_direct._gateway import Gateway
from banyandale_direct._members import Member
from banyandale_direct._placement import LoadReport
from banyandale_direct._protocols import AnswerKind
from banyandale_direct._protocols import Call
from banyandale_direct._protocols import CallerDialect
from banyandale_direct._protocols import Lookup
from banyandale_direct._protocols import MalformedCallError
from banyandale_direct._protocols import MalformedEntryError
from banyandale_direct._protocols import Platform
from banyandale_direct._protocols import ServerDialect
from banyandale_direct._protocols import StoreDialect
from banyandale_direct._registry import Server
from banyandale_direct._settings import Settings

__all__ = [
    "AnswerKind",
    "Call",
    "CallerDialect",
    "Configuration",
    "Gateway",
    "Limits",
    "LoadReport",
    "Lookup",
    "MalformedCallError",
    "MalformedEntryError",
    "Member",
    "Platform",
    "Refusal",
    "Route",
    "Server",
    "ServerDialect",
    "Service",
    "Settings",
    "Share",
    "StoreDialect",
]
