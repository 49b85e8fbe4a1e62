"""Calls an HTTP API of the platform and maps failures to errors."""

import time

import banyandale_core as core
import banyandale_http as http
from banyandale_platform import _errors as errors

MAX_IDLE_CONNECTIONS = 16
# Statuses that guarantee that the call had no effect and may be retried.
UNAVAILABLE_STATUSES = frozenset({503})


class ApiClient:
    """Sends requests over a connection pool and maps failures to errors."""

    def __init__(
        self,
        *,
        address: str,
        call_timeout: float,
        handled_statuses: frozenset[int],
        unavailable_statuses: frozenset[int] = UNAVAILABLE_STATUSES,
        response_limit: int,
        source: str | None = None,
        keepalive: bool = False,
    ) -> None:
        """Creates a client; connections are opened when needed.

        Args:
            address: Address of the API as `ip:port`.
            call_timeout: Time limit of one call in seconds.
            handled_statuses: Statuses from 300 on that are returned to the
                user of this class instead of raised as an error.
            unavailable_statuses: Statuses that guarantee that the call had
                no effect and may be retried.
            response_limit: Maximum size of a response in bytes.
            source: Local IP address, or None for the system's choice.
            keepalive: Whether TCP keepalive is on for idle connections.
        """
        self.call_timeout = call_timeout
        self._address = address
        self._handled = handled_statuses
        self._unavailable = unavailable_statuses
        self._response_limit = response_limit
        self._pool = http.Pool(
            address=address,
            limit=MAX_IDLE_CONNECTIONS,
            source=source,
            keepalive=keepalive,
        )

    async def read(
        self, request: http.Request, *, deadline: float | None = None
    ) -> http.Response:
        """Sends a request that only reads.

        Raises:
            StoreUnavailableError: No usable response; a retry is safe.
            StoreRejectedError: The API refused the request.
        """
        try:
            response = await self._exchange(request, deadline)
        except http.HttpError as error:
            raise errors.StoreUnavailableError(str(error)) from error
        if response.status >= 500 or response.status in self._unavailable:
            raise errors.StoreUnavailableError(
                f"{self._address}: status {response.status}"
            )
        self._raise_if_rejected(response)
        return response

    async def write(self, request: http.Request) -> http.Response:
        """Sends a request that changes an object.

        Raises:
            StoreUnavailableError: The request had no effect.
            OutcomeUnknownError: The request may have taken effect.
            StoreRejectedError: The API refused the request.
        """
        try:
            response = await self._exchange(request, None)
        except http.HttpError as error:
            if error.run is core.RunMark.NOT_RUN:
                raise errors.StoreUnavailableError(str(error)) from error
            raise errors.OutcomeUnknownError(str(error)) from error
        if response.status in self._unavailable:
            raise errors.StoreUnavailableError(
                f"{self._address}: status {response.status}"
            )
        if response.status >= 500:
            # A proxy, or a crash after the write, can cause such a status, so
            # the write may have taken effect.
            raise errors.OutcomeUnknownError(
                f"{self._address}: status {response.status}"
            )
        self._raise_if_rejected(response)
        return response

    def _raise_if_rejected(self, response: http.Response) -> None:
        if response.status >= 300 and response.status not in self._handled:
            raise errors.StoreRejectedError(
                f"{self._address}: status {response.status}"
                f" {response.body[:200]!r}"
            )

    async def _exchange(
        self, request: http.Request, deadline: float | None
    ) -> http.Response:
        if deadline is None:
            deadline = time.monotonic() + self.call_timeout
        connection = await self._pool.acquire(deadline=deadline)
        try:
            response = await connection.exchange(
                request, limit=self._response_limit, deadline=deadline
            )
        except BaseException:
            await connection.close()
            raise
        await self._pool.release(connection)
        return response

    async def close(self) -> None:
        """Closes idle connections."""
        await self._pool.clear()
