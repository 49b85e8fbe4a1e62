"""A gateway that chooses a backend server for every call itself.

It learns the servers from the platform's registry, requests load reports from a
few of them right before each send, and enforces limits over all gateways
without coordination. A platform's adapter implements `Platform`.
"""

from banyandale_direct._admission import Refusal
from banyandale_direct._configuration import Configuration
from banyandale_direct._configuration import Limits
from banyandale_direct._configuration import Route
from banyandale_direct._configuration import Service
from banyandale_direct._configuration import Share
from banyandale_direct._crash_records import Crash
from banyandale_direct._crash_records import CrashRecord
from banyandale_direct._fingerprints import FINGERPRINT_BYTES
from banyandale_direct._gateway import Gateway
from banyandale_direct._members import Member
from banyandale_direct._placement import LoadReport
from banyandale_direct._protocols import AnswerKind
from banyandale_direct._protocols import Call
from banyandale_direct._protocols import CallerCodec
from banyandale_direct._protocols import Lookup
from banyandale_direct._protocols import MalformedCallError
from banyandale_direct._protocols import MalformedEntryError
from banyandale_direct._protocols import MalformedLimitError
from banyandale_direct._protocols import Platform
from banyandale_direct._protocols import ServerCodec
from banyandale_direct._protocols import StoreCodec
from banyandale_direct._registry import Server
from banyandale_direct._settings import Settings

__all__ = [
    "FINGERPRINT_BYTES",
    "AnswerKind",
    "Call",
    "CallerCodec",
    "Configuration",
    "Crash",
    "CrashRecord",
    "Gateway",
    "Limits",
    "LoadReport",
    "Lookup",
    "MalformedCallError",
    "MalformedEntryError",
    "MalformedLimitError",
    "Member",
    "Platform",
    "Refusal",
    "Route",
    "Server",
    "ServerCodec",
    "Service",
    "Settings",
    "Share",
    "StoreCodec",
]
