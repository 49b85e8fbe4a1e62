"""Errors of the gateway and their HTTP status codes."""

import banyandale_claims as claims
import banyandale_core as core


class ListenError(core.CodedError):
    """The gateway cannot start because it cannot listen on an address."""

    code = "listen_failed"


class CallError(core.CodedError):
    """A call ended without a response from a backend server.

    Attributes:
        run: Whether the request may have run.
        status: HTTP status code of the error response.
    """

    code = "call_failed"
    status = 503

    def __init__(
        self, message: str, *, run: core.RunMark = core.RunMark.NOT_RUN
    ) -> None:
        super().__init__(message)
        self.run = run


class UnknownServiceError(CallError):
    """The request names no service, or one that is not configured."""

    code = "unknown_service"
    status = 404


class UnknownZoneError(CallError):
    """A lookup names an availability zone that is not configured."""

    code = "unknown_zone"
    status = 404


class InvalidLookupError(CallError):
    """A lookup lacks a required parameter."""

    code = "invalid_lookup"
    status = 400


class InvalidDeadlineError(CallError):
    """The `Request-Deadline` header is not a whole number."""

    code = "invalid_deadline"
    status = 400


class NoConfigurationError(CallError):
    """The gateway has not loaded a configuration yet."""

    code = "no_configuration"


class DeadlinePassedError(CallError):
    """The deadline passed before the request was sent."""

    code = "deadline_passed"
    status = 504


class NoHomeError(CallError):
    """No home of the service can be reached."""

    code = "no_home"


class HomeUnavailableError(CallError):
    """A home did not accept the request; another home may accept it."""

    code = "home_unavailable"


class NotHomeError(HomeUnavailableError):
    """A request was forwarded to a gateway that does not hold the home."""

    code = "not_home"


class HomeBusyError(HomeUnavailableError):
    """The peer that holds the home had no capacity for the request."""

    code = "home_busy"


class NoServerHereError(HomeUnavailableError):
    """The home has no backend server that can accept the request."""

    code = "no_server"


class PeerUnreachableError(HomeUnavailableError):
    """The link to the peer failed before the request was sent."""

    code = "peer_unreachable"


class LeaseExpiredError(HomeUnavailableError):
    """The lease expired before the request was sent to a cold server."""

    code = "lease_expired"


class QueueRefusedError(CallError):
    """The dispatcher of the home refused to queue the request.

    Attributes:
        code: Code of the dispatcher's error.
    """

    def __init__(self, error: core.CodedError) -> None:
        super().__init__(str(error))
        self.code = error.code


class InvalidKeyError(CallError):
    """The `Idempotency-Key` header is empty or too long."""

    code = "invalid_idempotency_key"
    status = 400


class ClaimFailedError(CallError):
    """The idempotency key could not be claimed; the request was not sent.

    Attributes:
        code: Code of the claim error.
    """

    def __init__(self, error: claims.ClaimError) -> None:
        super().__init__(str(error))
        self.code = error.code


class ClaimRefusedError(CallError):
    """A request with the same idempotency key ran, may have run or is running.

    Attributes:
        code: Code of the claim decision.
        status: HTTP status code of the claim decision.
    """

    def __init__(self, decision: claims.Refused) -> None:
        super().__init__(f"idempotency key: {decision.code}", run=decision.run)
        self.code = decision.code
        self.status = decision.http_status


class AttemptError(CallError):
    """An attempt to run the request on a backend server failed."""


class RateLimitedError(CallError):
    """The service's configured request rate is exceeded."""

    code = "rate_limited"
    status = 429


class RequestTooLargeError(CallError):
    """The request body is larger than the service allows."""

    code = "request_too_large"
    status = 413


class ShedError(AttemptError):
    """The backend server refused the request without running it."""

    code = "backend_shed"


class StaleAssignmentError(HomeUnavailableError):
    """The backend server became cold or started leaving before the send."""

    code = "stale_assignment"


class ServerLostError(AttemptError):
    """No connection to the backend server could be opened."""

    code = "backend_unreachable"


class ExchangeFailedError(AttemptError):
    """The exchange with the backend server failed after it had started.

    Attributes:
        cause: Code of the underlying error.
    """

    code = "backend_failed"
    status = 502

    def __init__(self, message: str, *, cause: str, run: core.RunMark) -> None:
        super().__init__(message, run=run)
        self.cause = cause


class ExchangeTimeoutError(ExchangeFailedError):
    """No complete response arrived before the deadline."""

    code = "backend_timeout"
    status = 504


class MixedResponseError(ExchangeFailedError):
    """The response does not carry the id of this request."""

    code = "mixed_response"


class ResponseTooLargeError(ExchangeFailedError):
    """The response body is larger than the service allows."""

    code = "response_too_large"

    def __init__(self, message: str) -> None:
        super().__init__(
            message, cause="response_too_large", run=core.RunMark.UNKNOWN
        )


class RemoteCallError(AttemptError):
    """A peer reported that the call failed.

    Attributes:
        remote_code: Error code that the peer reported.
    """

    code = "remote_error"

    def __init__(
        self, message: str, *, remote_code: str, run: core.RunMark
    ) -> None:
        super().__init__(message, run=run)
        self.remote_code = remote_code
