"""Errors raised when a key cannot be claimed."""

import banyandale_core as core


class ClaimError(core.CodedError):
    """Base class of the errors of this library.

    Attributes:
        run: Always NOT_RUN, because a request is sent only after a grant.
    """

    code = "claim_error"
    run = core.RunMark.NOT_RUN


class ClaimsUnavailableError(ClaimError):
    """The claim could not be stored, so the request must not be sent."""

    code = "claims_unavailable"


class ClaimsBusyError(ClaimError):
    """The queue of claims of one shard is full."""

    code = "claims_busy"
