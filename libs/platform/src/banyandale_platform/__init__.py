"""Clients of the platform's object store and VM list.

`banyandale_platform.testing` has in-memory implementations for tests, and
`banyandale_platform.wire` encodes and parses the messages of the HTTP API.
"""

import importlib
from typing import Any

from banyandale_platform._calls import ApiClient
from banyandale_platform._counting import CallBudget
from banyandale_platform._counting import MeteredStore
from banyandale_platform._errors import CallBudgetError
from banyandale_platform._errors import ConflictError
from banyandale_platform._errors import OutcomeUnknownError
from banyandale_platform._errors import PlatformError
from banyandale_platform._errors import StoreRejectedError
from banyandale_platform._errors import StoreUnavailableError
from banyandale_platform._errors import WatchExpiredError
from banyandale_platform._objects import Change
from banyandale_platform._objects import Changes
from banyandale_platform._objects import ChangeType
from banyandale_platform._objects import Listing
from banyandale_platform._objects import StoredObject
from banyandale_platform._objects import Vm
from banyandale_platform._protocols import ObjectStore
from banyandale_platform._protocols import VmList
from banyandale_platform._writes import decode_fields
from banyandale_platform._writes import Writer

__all__ = [
    "ApiClient",
    "CallBudget",
    "CallBudgetError",
    "Change",
    "ChangeType",
    "Changes",
    "ConflictError",
    "HttpObjectStore",
    "HttpVmList",
    "Listing",
    "MeteredStore",
    "ObjectStore",
    "OutcomeUnknownError",
    "PlatformError",
    "StoreRejectedError",
    "StoreUnavailableError",
    "StoredObject",
    "Vm",
    "VmList",
    "WatchExpiredError",
    "Writer",
    "decode_fields",
]


def __getattr__(name: str) -> Any:
    # Imported on first use: pydantic and the models of the HTTP API take 40%
    # of the start of a gateway on another platform, which uses neither.
    if name in ("HttpObjectStore", "HttpVmList"):
        client = importlib.import_module("banyandale_platform._client")
        return getattr(client, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
