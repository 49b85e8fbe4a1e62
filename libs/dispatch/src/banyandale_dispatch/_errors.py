"""Errors of requests that were not dispatched."""

import banyandale_core as core


class DispatchError(core.CodedError):
    """Base of all errors of this library; the request was not run."""

    code = "not_dispatched"
    run = core.RunMark.NOT_RUN


class QueueFullError(DispatchError):
    """The queue holds as many requests as allowed."""

    code = "queue_full"


class DeadlineUnreachableError(DispatchError):
    """No slot can be, or was, free in time for the request's deadline."""

    code = "deadline_unreachable"


class NoServerError(DispatchError):
    """No server may receive the request."""

    code = "no_server"


class DisplacedError(DispatchError):
    """A request of higher priority took the place in the full queue."""

    code = "displaced"
