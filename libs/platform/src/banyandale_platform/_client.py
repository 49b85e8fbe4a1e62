"""HTTP clients of the object store and the VM list."""

from collections.abc import Callable
from collections.abc import Sequence
import time
from typing import TypeVar

import banyandale_core as core
import banyandale_http as http
from banyandale_platform import _calls as calls
from banyandale_platform import _errors as errors
from banyandale_platform import _objects as objects
from banyandale_platform import wire

# Not found, watch expired and version conflict: handled by this module.
HANDLED_STATUSES = frozenset({404, 410, 412})

_T = TypeVar("_T")


def _parse_body(parser: Callable[[bytes], _T], response: http.Response) -> _T:
    try:
        return parser(response.body)
    except wire.MalformedMessageError as error:
        raise errors.StoreUnavailableError(str(error)) from error


class HttpObjectStore:
    """An `ObjectStore` that uses the platform's HTTP API."""

    def __init__(
        self,
        *,
        address: str,
        source: str | None = None,
        call_timeout: float = 1.0,
    ) -> None:
        """Creates a client; connections are opened when needed.

        Args:
            address: Address of the API as `ip:port`.
            source: Local IP address, or None for the system's choice.
            call_timeout: Time limit of one call in seconds. A watch may also
                wait until its deadline.
        """
        self._client = calls.ApiClient(
            address=address,
            source=source,
            call_timeout=call_timeout,
            handled_statuses=HANDLED_STATUSES,
            response_limit=wire.MAX_LISTING_BYTES,
        )

    async def get(self, *, kind: str, name: str) -> objects.StoredObject | None:
        """Returns an object, or None when it does not exist."""
        response = await self._client.read(
            wire.get_request(kind=kind, name=name)
        )
        if response.status == 404:
            return None
        return _parse_body(wire.parse_object, response)

    async def list(self, *, kind: str) -> objects.Listing:
        """Returns all objects of a kind."""
        response = await self._client.read(wire.list_request(kind=kind))
        return _parse_body(wire.parse_listing, response)

    async def create(
        self, *, kind: str, name: str, value: bytes
    ) -> objects.StoredObject:
        """Creates an object."""
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
        _check_conflict(request, await self._client.write(request))

    async def _put(self, request: http.Request) -> objects.StoredObject:
        response = await self._client.write(request)
        _check_conflict(request, response)
        try:
            return wire.parse_object(response.body)
        except wire.MalformedMessageError as error:
            raise errors.OutcomeUnknownError(str(error)) from error

    async def watch(
        self, *, kinds: Sequence[str], since: int, deadline: float
    ) -> objects.Changes:
        """Waits until the deadline for changes."""
        wait = max(deadline - time.monotonic(), 0.0)
        request = wire.watch_request(
            kinds=kinds,
            since=since,
            wait_ms=int(wait * core.MILLISECONDS_PER_SECOND),
        )
        response = await self._client.read(
            request,
            deadline=time.monotonic() + wait + self._client.call_timeout,
        )
        if response.status == 410:
            raise errors.WatchExpiredError(
                f"changes since version {since} are no longer kept"
            )
        return _parse_body(wire.parse_changes, response)

    async def close(self) -> None:
        """Closes idle connections."""
        await self._client.close()


def _check_conflict(request: http.Request, response: http.Response) -> None:
    if response.status != 412:
        return
    try:
        current = wire.parse_conflict(response.body)
    except wire.MalformedMessageError as error:
        raise errors.OutcomeUnknownError(str(error)) from error
    raise errors.ConflictError(
        f"{request.target.decode()}: version conflict",
        current=current,
    )


class HttpVmList:
    """A `VmList` that uses the platform's HTTP API."""

    def __init__(
        self,
        *,
        address: str,
        source: str | None = None,
        call_timeout: float = 1.0,
    ) -> None:
        self._client = calls.ApiClient(
            address=address,
            source=source,
            call_timeout=call_timeout,
            handled_statuses=HANDLED_STATUSES,
            response_limit=wire.MAX_LISTING_BYTES,
        )

    async def fetch(self) -> tuple[objects.Vm, ...]:
        """Returns all VMs."""
        response = await self._client.read(wire.vms_request())
        return _parse_body(wire.parse_vms, response)

    async def close(self) -> None:
        """Closes idle connections."""
        await self._client.close()
