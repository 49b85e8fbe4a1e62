"""Errors of calls to the platform."""

import banyandale_core as core
from banyandale_platform import _objects as objects


class PlatformError(core.CodedError):
    """Base class of the errors of this library."""

    code = "platform_error"


class ConflictError(PlatformError):
    """The object has another version, or already exists on creation.

    Attributes:
        current: The stored object, or None if it does not exist.
    """

    code = "store_conflict"

    def __init__(
        self, message: str, *, current: objects.StoredObject | None
    ) -> None:
        super().__init__(message)
        self.current = current


class StoreUnavailableError(PlatformError):
    """The call had no effect: not sent, refused, or answered with 503."""

    code = "store_unavailable"


class OutcomeUnknownError(PlatformError):
    """A write was sent, and it is unknown whether it took effect."""

    code = "store_outcome_unknown"


class WatchExpiredError(PlatformError):
    """The store no longer keeps the changes since the given version."""

    code = "watch_expired"


class CallBudgetError(PlatformError):
    """The call was not sent because it would exceed the call budget."""

    code = "call_budget_exceeded"


class StoreRejectedError(PlatformError):
    """The platform refused the call; a retry would be refused as well."""

    code = "store_rejected"
