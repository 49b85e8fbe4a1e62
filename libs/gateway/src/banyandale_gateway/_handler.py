"""Converts requests from callers to calls and routes them."""

import time
import uuid

import banyandale_config as config
import banyandale_core as core
from banyandale_gateway import _backends as backends
from banyandale_gateway import _calls as calls
from banyandale_gateway import _errors as errors
from banyandale_gateway import _rates as rates
import banyandale_http as http

SERVICE = b"service"
HOST = b"host"


class Handler:
    """Builds calls from requests and enforces the limits of the service."""

    def __init__(
        self,
        *,
        configuration: calls.SnapshotSource,
        router: calls.CallRouter,
        limits: rates.RateLimits,
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._configuration = configuration
        self._router = router
        self._limits = limits
        self._clock = clock
        self._metrics = metrics

    def names_service(self, request: http.Request) -> bool:
        """Whether the request names a configured service."""
        snapshot = self._configuration.current()
        return snapshot is not None and (
            snapshot.find_service(read_service_name(request)) is not None
        )

    async def handle_call(self, request: http.Request) -> calls.CallResponse:
        """Runs a caller's request.

        Raises:
            CallError: The request was refused or failed.
        """
        started_at = time.monotonic()
        call = self._build_call(request)
        self._metrics.incr(f"request.{call.service.name}")
        response = await self._router.route(call)
        elapsed = time.monotonic() - started_at
        self._metrics.timing(f"latency.{call.service.name}", elapsed * 1000)
        return response

    def _build_call(self, request: http.Request) -> calls.Call:
        service = self._find_service(request)
        if len(request.body) > service.max_request_bytes:
            raise errors.RequestTooLargeError(
                f"request body for service {service.name!r} exceeds"
                f" {service.max_request_bytes} bytes"
            )
        if not self._limits.allow(service):
            raise errors.RateLimitedError(
                f"service {service.name!r} exceeds its request rate limit"
            )
        return calls.Call(
            id=uuid.uuid4().hex,
            service=service,
            request=request,
            deadline=read_deadline(request, service, self._clock),
            idempotent=request.method.decode() in service.idempotent_methods,
            attempt=read_attempt(request),
        )

    def _find_service(self, request: http.Request) -> config.Service:
        snapshot = self._configuration.current()
        if snapshot is None:
            raise errors.NoConfigurationError(
                "the gateway has not loaded a configuration yet"
            )
        name = read_service_name(request)
        service = snapshot.find_service(name)
        if service is None:
            raise errors.UnknownServiceError(f"service {name!r} is unknown")
        return service


def read_service_name(request: http.Request) -> str:
    """Returns the `Service` header or the first label of the `Host` header."""
    name = request.header(SERVICE)
    if name is None:
        name = (request.header(HOST) or b"").split(b".")[0].split(b":")[0]
    return name.decode("latin-1").lower()


def read_deadline(
    request: http.Request, service: config.Service, clock: core.Clock
) -> float:
    """Returns the deadline of a call in monotonic seconds.

    The caller may set it in the `Request-Deadline` header, up to the maximum
    of the service. The default is the timeout of the service.

    Raises:
        InvalidDeadlineError: The header is not a whole number.
        DeadlinePassedError: The deadline has already passed.
    """
    now = clock.monotonic()
    text = request.header(backends.DEADLINE)
    if text is None:
        return now + service.timeout_ms / core.MILLISECONDS_PER_SECOND
    try:
        deadline = core.deadline_from_unix_ms(int(text), clock)
    except ValueError as error:
        raise errors.InvalidDeadlineError(
            f"Request-Deadline {text!r} is not a whole number"
        ) from error
    if deadline <= now:
        raise errors.DeadlinePassedError("the request's deadline has passed")
    longest = now + service.max_timeout_ms / core.MILLISECONDS_PER_SECOND
    return min(deadline, longest)


def read_attempt(request: http.Request) -> int:
    """Returns the `Request-Attempt` header, or 1 if missing or invalid."""
    text = request.header(backends.ATTEMPT) or b"1"
    return max(1, int(text)) if text.isdigit() else 1
