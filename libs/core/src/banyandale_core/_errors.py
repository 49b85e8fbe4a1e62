"""Base class of all errors and the run mark of a refused request."""

import enum
from typing import ClassVar


class RunMark(enum.Enum):
    """Says whether a failed request may have run on a backend server."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class CodedError(Exception):
    """An error with a stable code.

    Attributes:
        code: Stable identifier in snake case. It is also the name of the
            counter and the value of the `Banyandale-Reason` header.
    """

    code: ClassVar[str] = "internal_error"
