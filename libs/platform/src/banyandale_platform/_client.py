"""HTTP clients of the platform."""

from collections.abc import Callable
from collections.abc import Sequence
import time
from typing import TypeVar

import banyandale_core as core
import banyandale_http as http
from banyandale_platform import _errors as errors
from banyandale_platform import _objects as objects
from banyandale_platform import wire

MAX_IDLE_CONNECTIONS = 16

_T = TypeVar("_T")


class _Caller:
    """Sends requests over a pool and names what a failure means."""

    def __init__(
        self, *, address: str, source: str | None, call_timeout: float
    ) -> None:
        self.call_timeout = call_timeout
        self._address = address
        self._pool = http.Pool(
            address=address, limit=MAX_IDLE_CONNECTIONS, source=source
        )

    async def read(
        self, request: http.Request, *, deadline: float | None = None
    ) -> http.Response:
        """Sends a request that changes nothing."""
        try:
            response = await self._exchange(request, deadline)
        except http.HttpError as error:
            raise errors.StoreUnavailableError(str(error)) from error
        if response.status >= 500:
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
        if response.status == 503:
            raise errors.StoreUnavailableError(f"{self._address}: status 503")
        if response.status >= 500:
            # A proxy or a crash after the write can cause these.
            raise errors.OutcomeUnknownError(
                f"{self._address}: status {response.status}"
            )
        self._check_accepted(response)
        return response

    def _check_accepted(self, response: http.Response) -> None:
        if response.status >= 300 and response.status not in (404, 410, 412):
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
                request, limit=wire.MAX_LISTING_BYTES, deadline=deadline
            )
        except BaseException:
            await connection.close()
            raise
        await self._pool.release(connection)
        return response

    async def close(self) -> None:
        await self._pool.clear()


def _parse_read(parser: Callable[[bytes], _T], response: http.Response) -> _T:
    try:
        return parser(response.body)
    except wire.MalformedMessageError as error:
        raise errors.StoreUnavailableError(str(error)) from error


class HttpObjectStore:
    """The platform's object API over HTTP."""

    def __init__(
        self,
        *,
        address: str,
        source: str | None = None,
        call_timeout: float = 1.0,
    ) -> None:
        """Creates a client; connections are opened when needed.

        Args:
            address: The API as `ip:port`.
            source: Local IP number, or None for the system's choice.
            call_timeout: Seconds that one call may take, without the time
                that a watch waits.
        """
        self._caller = _Caller(
            address=address, source=source, call_timeout=call_timeout
        )

    async def get(self, *, kind: str, name: str) -> objects.StoredObject | None:
        """Returns an object, or None when it does not exist."""
        response = await self._caller.read(
            wire.get_request(kind=kind, name=name)
        )
        if response.status == 404:
            return None
        return _parse_read(wire.parse_object, response)

    async def list(self, *, kind: str) -> objects.Listing:
        """Returns all objects of a kind."""
        response = await self._caller.read(wire.list_request(kind=kind))
        return _parse_read(wire.parse_listing, response)

    async def create(
        self, *, kind: str, name: str, value: bytes
    ) -> objects.StoredObject:
        """Writes a new object."""
        request = wire.create_request(kind=kind, name=name, value=value)
        return await self._put(request)

    async def update(
        self, *, kind: str, name: str, value: bytes, version: int
    ) -> objects.StoredObject:
        """Replaces an object that has the given version."""
        return await self._put(
            wire.update_request(
                kind=kind, name=name, value=value, version=version
            )
        )

    async def delete(self, *, kind: str, name: str, version: int) -> None:
        """Deletes an object that has the given version."""
        request = wire.delete_request(kind=kind, name=name, version=version)
        _check_conflict(request, await self._caller.write(request))

    async def _put(self, request: http.Request) -> objects.StoredObject:
        response = await self._caller.write(request)
        _check_conflict(request, response)
        try:
            return wire.parse_object(response.body)
        except wire.MalformedMessageError as error:
            raise errors.OutcomeUnknownError(str(error)) from error

    async def watch(
        self, *, kinds: Sequence[str], since: int, deadline: float
    ) -> objects.Changes:
        """Waits for changes until the deadline."""
        wait = max(deadline - time.monotonic(), 0.0)
        request = wire.watch_request(
            kinds=kinds,
            since=since,
            wait_ms=int(wait * core.MILLISECONDS_PER_SECOND),
        )
        response = await self._caller.read(
            request,
            deadline=time.monotonic() + wait + self._caller.call_timeout,
        )
        if response.status == 410:
            raise errors.WatchExpiredError(
                f"changes since version {since} are no longer kept"
            )
        return _parse_read(wire.parse_changes, response)

    async def close(self) -> None:
        """Closes idle connections."""
        await self._caller.close()


def _check_conflict(request: http.Request, response: http.Response) -> None:
    if response.status != 412:
        return
    try:
        current = wire.parse_conflict(response.body)
    except wire.MalformedMessageError as error:
        raise errors.OutcomeUnknownError(str(error)) from error
    raise errors.ConflictError(
        f"{request.target.decode()}: the condition does not hold",
        current=current,
    )


class HttpVmList:
    """The platform's VM list over HTTP."""

    def __init__(
        self,
        *,
        address: str,
        source: str | None = None,
        call_timeout: float = 1.0,
    ) -> None:
        self._caller = _Caller(
            address=address, source=source, call_timeout=call_timeout
        )

    async def fetch(self) -> tuple[objects.Vm, ...]:
        """Returns all VMs."""
        response = await self._caller.read(wire.vms_request())
        return _parse_read(wire.parse_vms, response)

    async def close(self) -> None:
        """Closes idle connections."""
        await self._caller.close()
