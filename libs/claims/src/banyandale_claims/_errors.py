"""Errors of claims."""

import banyandale_core as core


class ClaimError(core.CodedError):
    """Base of all errors of this library.

    Attributes:
        run: Always NOT_RUN: without a grant the request was not sent.
    """

    code = "claim_error"
    run = core.RunMark.NOT_RUN


class ClaimsUnavailableError(ClaimError):
    """The claim could not be stored, so the request must not be sent."""

    code = "claims_unavailable"


class ClaimsBusyError(ClaimError):
    """Too many claims wait for one shard."""

    code = "claims_busy"
