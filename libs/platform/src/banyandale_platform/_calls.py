"""Calls to an HTTP API of the platform, and what their failures mean."""

import time

import banyandale_core as core
import banyandale_http as http
from banyandale_platform import _errors as errors

MAX_IDLE_CONNECTIONS = 16
# Statuses that say that the call had no effect and may be made again.
UNAVAILABLE_STATUSES = frozenset({503})


class ApiClient:
    """Sends requests over a pool and names what a failure means."""

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
        """Creates a caller; connections are opened when needed.

        Args:
            address: The API as `ip:port`.
            call_timeout: Seconds that one call may take.
            handled_statuses: Statuses of 300 and more that the user of this
                class reads itself.
            unavailable_statuses: Statuses that say that the call had no
                effect and may be made again.
            response_limit: Largest response in bytes.
            source: Local IP number, or None for the system's choice.
            keepalive: Whether the kernel probes idle connections.
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
        """Sends a request that changes nothing."""
        try:
            response = await self._exchange(request, deadline)
        except http.HttpError as error:
            raise errors.StoreUnavailableError(str(error)) from error
        if response.status >= 500 or response.status in self._unavailable:
            raise errors.StoreUnavailableError(
                f"{self._address}: status {response.status}"
            )
        self._check_accepted(response)
        return response

    async def write(self, request: http.Request) -> http.Response:
        """Sends a request that changes an object."""
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
            # A proxy or a crash after the write can cause these.
            raise errors.OutcomeUnknownError(
                f"{self._address}: status {response.status}"
            )
        self._check_accepted(response)
        return response

    def _check_accepted(self, response: http.Response) -> None:
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
