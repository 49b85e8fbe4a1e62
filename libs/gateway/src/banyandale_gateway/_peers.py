"""Forwards calls to homes that other gateways hold."""

from collections.abc import Iterable
import dataclasses

import banyandale_core as core
from banyandale_gateway import _backends as backends
from banyandale_gateway import _calls as calls
from banyandale_gateway import _errors as errors
from banyandale_gateway import _router as router
import banyandale_http as http
import banyandale_peer as peer

# Added to a home's estimated cost for each call by which the calls forwarded
# since its last report exceed the free slots in that report.
EXCESS_CALL_COST_SECONDS = 0.005
# Refusals after which the call may be routed to another home.
REROUTABLE_CODES = frozenset(
    {
        errors.HomeBusyError.code,
        errors.NoServerHereError.code,
        "queue_full",
        "displaced",
        "deadline_unreachable",
    }
)

# Refusals caused by outdated information at this gateway.
STALE_CODES = frozenset(
    {
        errors.NotHomeError.code,
        errors.LeaseExpiredError.code,
        errors.StaleAssignmentError.code,
    }
)


@dataclasses.dataclass(kw_only=True, slots=True)
class _ForwardedCalls:
    """Number of calls forwarded to a home since its last report."""

    report: peer.HomeReport
    count: int = 0


class PeerHomes:
    """Finds homes that other gateways hold and forwards calls to them."""

    def __init__(self, *, node: peer.PeerNode, metrics: core.Metrics) -> None:
        self._node = node
        self._metrics = metrics
        self._forwarded: dict[tuple[str, str, str], _ForwardedCalls] = {}

    def homes_of(self, service: str) -> tuple[router.RemoteHome, ...]:
        """Returns the homes that reachable peers hold, cheapest first."""
        found = [
            router.RemoteHome(
                peer_id=state.gateway_id,
                zone=report.zone,
                cost=self._estimate_cost(state, report),
            )
            for state in self._node.peers()
            if not state.suspected and state.heartbeat is not None
            for report in state.heartbeat.homes
            if report.service == service
        ]
        found.sort(key=lambda home: home.cost)
        return tuple(found)

    def _estimate_cost(
        self, state: peer.PeerState, report: peer.HomeReport
    ) -> float:
        key = (state.gateway_id, report.service, report.zone)
        forwarded = self._forwarded.get(key)
        excess = 0
        if forwarded is not None and forwarded.report is report:
            excess = max(0, forwarded.count - report.free_slots)
        round_trip = state.round_trip or 0.0
        return report.wait + round_trip + excess * EXCESS_CALL_COST_SECONDS

    def _count_forward(self, call: calls.Call, home: router.RemoteHome) -> None:
        key = (home.peer_id, call.service.name, home.zone)
        report = self._find_report(*key)
        if report is None:
            return
        forwarded = self._forwarded.get(key)
        if forwarded is None or forwarded.report is not report:
            forwarded = _ForwardedCalls(report=report)
            self._forwarded[key] = forwarded
        forwarded.count += 1

    def _find_report(
        self, peer_id: str, service: str, zone: str
    ) -> peer.HomeReport | None:
        for state in self._node.peers():
            if state.gateway_id == peer_id and state.heartbeat is not None:
                for report in state.heartbeat.homes:
                    if report.service == service and report.zone == zone:
                        return report
        return None

    async def forward(
        self, call: calls.Call, home: router.RemoteHome
    ) -> calls.CallResponse:
        """Forwards a call to a home.

        Raises:
            CallError: The home refused the call, or the link failed.
        """
        self._count_forward(call, home)
        request = call.request
        headers = _drop_headers(request.headers, {backends.REQUEST_ID})
        try:
            response = await self._node.call(
                home.peer_id,
                peer.CallRequest(
                    service=call.service.name,
                    zone=home.zone,
                    method=request.method,
                    target=request.target,
                    headers=(
                        *headers,
                        (backends.REQUEST_ID, call.id.encode()),
                    ),
                    body=request.body,
                    deadline=call.deadline,
                    attempt=call.attempt,
                    hop=call.hop + 1,
                ),
            )
        except peer.RemoteError as error:
            raise _translate_remote_error(error) from error
        except peer.PeerError as error:
            raise _translate_peer_error(error) from error
        return calls.CallResponse(
            head=http.ResponseHead(
                status=response.status,
                headers=response.headers,
                length=response.length,
            ),
            body=response.body or b"",
            rest=None
            if response.chunks is None
            else _PeerBodyStream(response.chunks),
        )


class _PeerBodyStream:
    """Remaining response body, received from a peer."""

    def __init__(self, chunks: peer.ChunkReader) -> None:
        self._chunks = chunks

    async def read(self) -> bytes:
        try:
            return await self._chunks.read()
        except peer.PeerError as error:
            raise errors.ExchangeFailedError(
                str(error), cause=error.code, run=core.RunMark.UNKNOWN
            ) from error

    async def close(self) -> None:
        await self._chunks.close()


def _translate_remote_error(error: peer.RemoteError) -> errors.CallError:
    if error.run is core.RunMark.NOT_RUN:
        if error.remote_code in STALE_CODES:
            return errors.NotHomeError(str(error))
        if error.remote_code in REROUTABLE_CODES:
            return errors.HomeBusyError(str(error))
    return errors.RemoteCallError(
        str(error), remote_code=error.remote_code, run=error.run
    )


def _translate_peer_error(error: peer.PeerError) -> errors.CallError:
    if error.run is core.RunMark.NOT_RUN:
        return errors.PeerUnreachableError(str(error))
    return errors.ExchangeFailedError(
        str(error), cause=error.code, run=error.run
    )


def _drop_headers(headers: http.Headers, names: Iterable[bytes]) -> tuple:
    dropped = frozenset(names)
    return tuple(pair for pair in headers if pair[0] not in dropped)
