"""Base class of all errors, and the run mark of failed requests."""

import enum
from typing import ClassVar


class RunMark(enum.Enum):
    """Whether a failed request may have run on a backend server.

    Attributes:
        NOT_RUN: The request has not run.
        UNKNOWN: The request may have run.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class CodedError(Exception):
    """An error with a stable code.

    Attributes:
        code: Stable identifier in snake case, also used in counter names and
            in the `Banyandale-Reason` header.
    """

    code: ClassVar[str] = "internal_error"
