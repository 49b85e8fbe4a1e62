"""The gateway's own endpoints: address lookup and status."""

from collections.abc import Callable
from collections.abc import Mapping
import json
from typing import Any
from typing import Protocol
import urllib.parse

import banyandale_core as core
from banyandale_gateway import _callers as callers
from banyandale_gateway import _calls as calls
from banyandale_gateway import _errors as errors
from banyandale_gateway import _lookup as lookup
import banyandale_http as http


class Membership(Protocol):
    """Provides the gateways that callers may use."""

    def candidates(self, service: str) -> tuple[lookup.Candidate, ...]:
        """Returns the gateways that callers of a service may use."""


class LocalEndpoints:
    """Serves `/v1/addresses` and `/v1/status`."""

    def __init__(
        self,
        *,
        membership: Membership,
        configuration: calls.SnapshotSource,
        status: Callable[[], Mapping[str, Any]],
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._status = status
        self._clock = clock
        self._metrics = metrics

    def handle_local(self, request: http.Request, path: str) -> http.Response:
        """Returns the response to one request.

        Raises:
            CallError: The path, service or zone is unknown, a parameter is
                missing, or no configuration has been loaded yet.
        """
        if path == "/v1/addresses":
            return self._serve_addresses(request)
        if path == "/v1/status":
            return _build_response(self._status(), ())
        raise errors.UnknownServiceError(
            f"no service is named and the gateway has no endpoint {path!r}"
        )

    def _serve_addresses(self, request: http.Request) -> http.Response:
        service, zone = _read_parameters(request)
        snapshot = self._configuration.current()
        if snapshot is None:
            raise errors.NoConfigurationError(
                "the gateway has not loaded a configuration yet"
            )
        if snapshot.find_service(service) is None:
            raise errors.UnknownServiceError(f"service {service!r} is unknown")
        if zone not in snapshot.zones_by_name:
            raise errors.UnknownZoneError(
                f"availability zone {zone!r} is unknown"
            )
        addresses = lookup.order_addresses(
            self._membership.candidates(service), zone=zone, service=service
        )
        self._metrics.incr("lookup")
        body = {
            "service": service,
            "zone": zone,
            "addresses": addresses,
            "valid_until": round(
                self._clock.unix() + lookup.LOOKUP_TTL_SECONDS, 3
            ),
        }
        max_age = f"max-age={int(lookup.LOOKUP_TTL_SECONDS)}".encode()
        return _build_response(body, ((b"cache-control", max_age),))


def _read_parameters(request: http.Request) -> tuple[str, str]:
    query = urllib.parse.urlsplit(request.target.decode("latin-1")).query
    values = urllib.parse.parse_qs(query)
    missing = [name for name in ("service", "zone") if name not in values]
    if missing:
        raise errors.InvalidLookupError(
            f"lookup misses the parameter {' and '.join(missing)}"
        )
    return values["service"][0], values["zone"][0]


def _build_response(
    body: Mapping[str, Any], headers: http.Headers
) -> http.Response:
    return http.Response(
        status=200,
        headers=(callers.JSON_TYPE, *headers),
        body=json.dumps(body).encode(),
    )
