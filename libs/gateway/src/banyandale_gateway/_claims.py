"""Claims of idempotency keys: made here or by the owner of the key's shard."""

from collections.abc import Callable
import time

import banyandale_claims as claims
import banyandale_core as core
from banyandale_gateway import _claim_messages as messages
import banyandale_lease as lease
import banyandale_peer as peer

BEGIN_REQUEST = "claim_begin"
SETTLE_REQUEST = "claim_settle"
SETTLE_SECONDS = 2.0


class ClaimService:
    """Finds the owner of each key and asks it.

    One owner per shard collects the claims of all gateways, so that they
    share few writes. The owner follows from the live gateways; while two
    gateways disagree about it both may write, and the conditional update
    decides. An owner that cannot be reached is replaced by this gateway.
    """

    def __init__(
        self,
        *,
        gateway_id: str,
        store: claims.ClaimStore,
        node: peer.PeerNode,
        gateways: Callable[[], tuple[lease.GatewayInfo, ...]],
        metrics: core.Metrics,
    ) -> None:
        self._gateway_id = gateway_id
        self._store = store
        self._node = node
        self._gateways = gateways
        self._metrics = metrics
        node.on_request(BEGIN_REQUEST, self._serve_begin)
        node.on_request(SETTLE_REQUEST, self._serve_settle)

    def _find_owner(self, service: str, key: str) -> str:
        weights = {
            info.gateway: info.weight
            for info in self._gateways()
            if not info.leaving
        }
        shard = f"{service}.{self._store.shard_of(key)}"
        return lease.choose(shard, weights) or self._gateway_id

    async def begin(
        self,
        *,
        service: str,
        key: str,
        body_hash: str,
        identity: claims.Identity,
        deadline: float,
    ) -> claims.Decision:
        """Claims a key; see `ClaimStore.begin`.

        Raises:
            ClaimError: The claim could not be made; nothing may be sent.
        """
        owner = self._find_owner(service, key)
        if owner != self._gateway_id:
            message = messages.BeginMessage(
                service=service,
                key=key,
                gateway_id=identity.gateway_id,
                boot=identity.boot,
                request_id=identity.request_id,
                body_hash=body_hash,
            )
            reply = await self._ask(owner, message, deadline)
            if reply is not None:
                return messages.decode_decision(reply)
        return await self._store.begin(
            service=service,
            key=key,
            body_hash=body_hash,
            identity=identity,
            deadline=deadline,
        )

    async def _ask(
        self, owner: str, message: messages.BeginMessage, deadline: float
    ) -> bytes | None:
        """Asks the owner; returns None when it cannot have acted."""
        payload = message.model_dump_json().encode()
        try:
            return await self._node.request(
                owner, BEGIN_REQUEST, payload, deadline=deadline
            )
        except peer.RemoteError as error:
            raise claims.ClaimsUnavailableError(str(error)) from error
        except peer.PeerError as error:
            if error.run is core.RunMark.NOT_RUN:
                self._metrics.incr("claims_owner_unreachable")
                return None
            # The owner may have granted the claim. Nothing was sent, so the
            # key can be released.
            await self.settle(
                service=message.service,
                key=message.key,
                identity=message.identity(),
                response=None,
            )
            raise claims.ClaimsUnavailableError(str(error)) from error

    async def settle(
        self,
        *,
        service: str,
        key: str,
        identity: claims.Identity,
        response: claims.StoredResponse | None,
    ) -> None:
        """Reports an outcome; without a response the request has not run.

        Failures are counted only: the key's outcome then stays unknown.
        """
        owner = self._find_owner(service, key)
        message = messages.SettleMessage(
            service=service,
            key=key,
            gateway_id=identity.gateway_id,
            boot=identity.boot,
            request_id=identity.request_id,
            response=response and messages.encode_response(response),
        )
        if owner == self._gateway_id:
            await self._settle_here(message)
            return
        try:
            await self._node.request(
                owner,
                SETTLE_REQUEST,
                message.model_dump_json().encode(),
                deadline=time.monotonic() + SETTLE_SECONDS,
            )
        except peer.PeerError:
            self._metrics.incr("claims_settled_without_owner")
            await self._settle_here(message)

    async def _settle_here(self, message: messages.SettleMessage) -> None:
        if message.response is None:
            await self._store.abandon(
                service=message.service,
                key=message.key,
                identity=message.identity(),
            )
            return
        await self._store.finish(
            service=message.service,
            key=message.key,
            identity=message.identity(),
            response=messages.decode_response(message.response),
        )

    async def _serve_begin(self, request: peer.ControlRequest) -> bytes:
        message = messages.BeginMessage.model_validate_json(request.payload)
        decision = await self._store.begin(
            service=message.service,
            key=message.key,
            body_hash=message.body_hash,
            identity=message.identity(),
            deadline=request.deadline,
        )
        return messages.encode_decision(decision)

    async def _serve_settle(self, request: peer.ControlRequest) -> bytes:
        message = messages.SettleMessage.model_validate_json(request.payload)
        await self._settle_here(message)
        return b""
