"""Errors of requests that were not sent to a server."""

import banyandale_core as core


class DispatchError(core.CodedError):
    """Base of all errors of this library; no server ran the request."""

    code = "not_dispatched"
    run = core.RunMark.NOT_RUN


class QueueFullError(DispatchError):
    """The queue has reached its limit."""

    code = "queue_full"


class DeadlineUnreachableError(DispatchError):
    """The request cannot get, or did not get, a slot before its deadline."""

    code = "deadline_unreachable"


class NoServerError(DispatchError):
    """No server may receive the request."""

    code = "no_server"


class DisplacedError(DispatchError):
    """A request of higher priority replaced this one in the full queue."""

    code = "displaced"
