"""Checks, publishes and distributes the configuration document."""

from banyandale_config._changes import Change
from banyandale_config._changes import compare
from banyandale_config._document import check
from banyandale_config._document import dump_json
from banyandale_config._document import dump_schema
from banyandale_config._document import dump_yaml
from banyandale_config._document import load
from banyandale_config._document import read_text
from banyandale_config._errors import ConfigConflictError
from banyandale_config._errors import ConfigError
from banyandale_config._errors import ConfigOutcomeUnknownError
from banyandale_config._errors import DamagedConfigError
from banyandale_config._errors import GenerationNotFoundError
from banyandale_config._errors import InvalidDocumentError
from banyandale_config._follower import Follower
from banyandale_config._follower import Peer
from banyandale_config._models import check_address
from banyandale_config._models import Document
from banyandale_config._models import NAME_PATTERN
from banyandale_config._models import ServerModel
from banyandale_config._models import ServiceModel
from banyandale_config._models import ZoneModel
from banyandale_config._problems import format_path
from banyandale_config._problems import Path
from banyandale_config._problems import Problem
from banyandale_config._problems import Severity
from banyandale_config._publisher import HistoryEntry
from banyandale_config._publisher import KEPT_GENERATIONS
from banyandale_config._publisher import Published
from banyandale_config._publisher import Publisher
from banyandale_config._rollout import GatewayStatus
from banyandale_config._rollout import read_statuses
from banyandale_config._rollout import Rollout
from banyandale_config._snapshot import build_snapshot
from banyandale_config._snapshot import Server
from banyandale_config._snapshot import Service
from banyandale_config._snapshot import Snapshot
from banyandale_config._snapshot import Zone

__all__ = [
    "KEPT_GENERATIONS",
    "NAME_PATTERN",
    "Change",
    "ConfigConflictError",
    "ConfigError",
    "ConfigOutcomeUnknownError",
    "DamagedConfigError",
    "Document",
    "Follower",
    "GatewayStatus",
    "GenerationNotFoundError",
    "HistoryEntry",
    "InvalidDocumentError",
    "Path",
    "Peer",
    "Problem",
    "Published",
    "Publisher",
    "Rollout",
    "Server",
    "ServerModel",
    "Service",
    "ServiceModel",
    "Severity",
    "Snapshot",
    "Zone",
    "ZoneModel",
    "build_snapshot",
    "check",
    "check_address",
    "compare",
    "dump_json",
    "dump_schema",
    "dump_yaml",
    "format_path",
    "load",
    "read_statuses",
    "read_text",
]
