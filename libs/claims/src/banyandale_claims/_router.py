"""Sends claims to the gateway that owns their shard.

The owner writes the claims of several gateways together, which saves writes.

Messages are JSON. `begin`: `{"op": "begin", "service", "key", "hash", "by":
[gateway, boot, request], "deadline_unix_ms"}`, answered by `{"decision":
"granted" | "replay" | "in_progress" | "unknown" | "not_kept" | "key_reused",
"status", "response"}`. `finish` and `abandon`: `{"op", "service", "key", "by",
"status", "response"}`, answered by `{}`; `response` is omitted when it is too
large to be stored. A response is `{"status", "headers": [[name, value]],
"body": base64}`.
"""

from collections.abc import Callable
import itertools
import json
import time
from typing import Annotated
from typing import Any
from typing import Literal
from typing import Protocol

import pydantic

from banyandale_claims import _decisions as decisions
from banyandale_claims import _errors as errors
from banyandale_claims import _records as records
from banyandale_claims import _store as store_module
import banyandale_core as core

REQUEST_KIND = "claim"
REQUEST_TIMEOUT_SECONDS = 1.0

OwnerOf = Callable[[str, int], str | None]


class SendRequest(Protocol):
    """Sends a request to another gateway, such as `PeerNode.request`.

    Errors have the attribute `run`. If the other gateway answered with an
    error, they also have `remote_code`.
    """

    async def __call__(
        self, gateway_id: str, kind: str, payload: bytes, *, deadline: float
    ) -> bytes:
        """Returns the payload of the reply."""


class MalformedClaimError(errors.ClaimError):
    """A claim message cannot be decoded."""

    code = "claim_message_malformed"


def _check_latin1(text: str) -> str:
    text.encode("latin-1")
    return text


_Latin1 = Annotated[str, pydantic.AfterValidator(_check_latin1)]


class _Message(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class _Response(_Message):
    status: Annotated[int, pydantic.Field(ge=100, le=999)]
    headers: list[tuple[_Latin1, _Latin1]]
    body: pydantic.Base64Bytes


class _BeginMessage(_Message):
    op: Literal["begin"]
    service: str
    key: str
    hash: str
    by: tuple[str, str, str]
    deadline_unix_ms: int


class _OutcomeMessage(_Message):
    op: Literal["finish", "abandon"]
    service: str
    key: str
    by: tuple[str, str, str]
    status: int = 0
    response: _Response | None = None


class _Request(pydantic.RootModel):
    root: Annotated[
        _BeginMessage | _OutcomeMessage, pydantic.Field(discriminator="op")
    ]


class _Reply(_Message):
    decision: Literal[
        "granted", "replay", "in_progress", "unknown", "not_kept", "key_reused"
    ]
    status: int = 0
    response: _Response | None = None


_FIELDLESS_DECISIONS: dict[str, decisions.Decision] = {
    "granted": decisions.Granted(),
    "in_progress": decisions.InProgress(),
    "unknown": decisions.Unknown(),
    "key_reused": decisions.KeyReused(),
}
_FIELDLESS_NAMES = {
    type(decision): name for name, decision in _FIELDLESS_DECISIONS.items()
}


def _to_stored_response(
    response: _Response | None,
) -> decisions.StoredResponse | None:
    if response is None:
        return None
    return decisions.StoredResponse(
        status=response.status,
        headers=tuple(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in response.headers
        ),
        body=response.body,
    )


def _decode_identity(by: tuple[str, str, str]) -> decisions.Identity:
    gateway_id, boot, request_id = by
    return decisions.Identity(
        gateway_id=gateway_id, boot=boot, request_id=request_id
    )


def _encode_decision(decision: decisions.Decision) -> bytes:
    if isinstance(decision, decisions.Replay):
        fields: dict[str, Any] = {
            "decision": "replay",
            "response": records.encode_response(decision.response),
        }
    elif isinstance(decision, decisions.NotKept):
        fields = {"decision": "not_kept", "status": decision.status}
    else:
        fields = {"decision": _FIELDLESS_NAMES[type(decision)]}
    return json.dumps(fields).encode()


def _decode_decision(payload: bytes) -> decisions.Decision:
    reply = _Reply.model_validate_json(payload)
    if reply.decision == "replay":
        response = _to_stored_response(reply.response)
        if response is None:
            raise ValueError("decision is replay, but the response is missing")
        return decisions.Replay(response=response)
    if reply.decision == "not_kept":
        return decisions.NotKept(status=reply.status)
    return _FIELDLESS_DECISIONS[reply.decision]


class Claim:
    """The result of one call of `ClaimRouter.begin`.

    Attributes:
        decision: Whether the request may be sent. After `Granted`, call
            `finish` or `abandon`.
    """

    def __init__(
        self,
        *,
        router: "ClaimRouter",
        service: str,
        key: str,
        identity: decisions.Identity,
        owner: str | None,
        decision: decisions.Decision,
    ) -> None:
        self._router = router
        self._service = service
        self._key = key
        self._identity = identity
        self._owner = owner
        self.decision = decision

    async def finish(self, response: decisions.StoredResponse) -> None:
        """Records the response; returns before it is written."""
        await self._router.record_outcome(
            owner=self._owner,
            service=self._service,
            key=self._key,
            identity=self._identity,
            response=response,
        )

    async def abandon(self) -> None:
        """Releases the key: the request has not run and will not run."""
        await self._router.record_outcome(
            owner=self._owner,
            service=self._service,
            key=self._key,
            identity=self._identity,
            response=None,
        )


class ClaimRouter:
    """Sends claims to the owner of their shard.

    If a shard has no owner or the owner cannot be reached, the local store
    claims the key. Several owners at the same time are safe.

    Args:
        store: The local claim store.
        gateway_id: Id of this gateway.
        boot: Returns the boot id in the lease of this gateway.
        owner_of: Returns the owner of (service, shard), or None.
        send_request: Sends a request to another gateway.
        metrics: Receiver of counters.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        store: store_module.ClaimStore,
        gateway_id: str,
        boot: Callable[[], str],
        owner_of: OwnerOf,
        send_request: SendRequest,
        metrics: core.Metrics,
        clock: core.Clock,
    ) -> None:
        self._store = store
        self._gateway_id = gateway_id
        self._boot = boot
        self._owner_of = owner_of
        self._send_request = send_request
        self._metrics = metrics
        self._clock = clock
        self._request_numbers = itertools.count(1)
        self._start_time = f"{clock.unix():.6f}"

    def _make_identity(self) -> decisions.Identity:
        # The start time keeps request ids unique if another router uses the
        # same boot id.
        number = next(self._request_numbers)
        return decisions.Identity(
            gateway_id=self._gateway_id,
            boot=self._boot(),
            request_id=f"{self._start_time}.{number}",
        )

    async def begin(
        self, *, service: str, key: str, body_hash: str, deadline: float
    ) -> Claim:
        """Claims a key; the result says whether the request may be sent.

        Raises:
            ClaimError: The claim could not be stored. The request must not
                be sent.
        """
        owner = self._owner_of(service, self._store.shard_of(key))
        if owner is not None and owner != self._gateway_id:
            claim = await self._begin_at_owner(
                owner, service, key, body_hash, deadline
            )
            if claim is not None:
                return claim
            self._metrics.incr("claims_owner_unreachable")
        identity = self._make_identity()
        decision = await self._store.begin(
            service=service,
            key=key,
            body_hash=body_hash,
            identity=identity,
            deadline=deadline,
        )
        return Claim(
            router=self,
            service=service,
            key=key,
            identity=identity,
            owner=None,
            decision=decision,
        )

    async def _begin_at_owner(
        self,
        owner: str,
        service: str,
        key: str,
        body_hash: str,
        deadline: float,
    ) -> Claim | None:
        """Claims a key at the owner; None if the owner did not handle it."""
        identity = self._make_identity()
        fields = {
            "op": "begin",
            "service": service,
            "key": key,
            "hash": body_hash,
            "by": [identity.gateway_id, identity.boot, identity.request_id],
            "deadline_unix_ms": core.deadline_to_unix_ms(deadline, self._clock),
        }
        limit = min(deadline, time.monotonic() + REQUEST_TIMEOUT_SECONDS)
        try:
            payload = await self._send_request(
                owner, REQUEST_KIND, json.dumps(fields).encode(), deadline=limit
            )
            decision = _decode_decision(payload)
        except core.CodedError as error:
            if getattr(error, "remote_code", "").startswith("claims_"):
                raise errors.ClaimsUnavailableError(str(error)) from error
            if getattr(error, "run", None) is core.RunMark.NOT_RUN:
                return None
            await self._release(service, key, identity)
            raise errors.ClaimsUnavailableError(str(error)) from error
        except ValueError as error:
            await self._release(service, key, identity)
            raise MalformedClaimError(f"reply from {owner}: {error}") from error
        except BaseException:
            await self._release(service, key, identity)
            raise
        return Claim(
            router=self,
            service=service,
            key=key,
            identity=identity,
            owner=owner,
            decision=decision,
        )

    async def _release(
        self, service: str, key: str, identity: decisions.Identity
    ) -> None:
        # The owner may have granted the key, or may still do so.
        await self._store.abandon(service=service, key=key, identity=identity)

    async def record_outcome(
        self,
        *,
        owner: str | None,
        service: str,
        key: str,
        identity: decisions.Identity,
        response: decisions.StoredResponse | None,
    ) -> None:
        """Sends an outcome to the gateway that granted the claim.

        If that gateway cannot be reached, the local store writes the outcome.
        It is safe if both write it.

        Args:
            owner: Gateway that granted the claim; None if this gateway did.
            service: Service name.
            key: The caller's idempotency key.
            identity: Identity of the claim.
            response: The response, or None if the request has not run and
                will not run.
        """
        if owner is not None:
            fields: dict[str, Any] = {
                "op": "abandon" if response is None else "finish",
                "service": service,
                "key": key,
                "by": [
                    identity.gateway_id,
                    identity.boot,
                    identity.request_id,
                ],
            }
            if response is not None:
                fields["status"] = response.status
                if records.discard_if_too_large(response) is not None:
                    fields["response"] = records.encode_response(response)
            try:
                await self._send_request(
                    owner,
                    REQUEST_KIND,
                    json.dumps(fields).encode(),
                    deadline=time.monotonic() + REQUEST_TIMEOUT_SECONDS,
                )
                return
            except core.CodedError:
                self._metrics.incr("claims_owner_unreachable")
        await self._record_locally(service, key, identity, response)

    async def _record_locally(
        self,
        service: str,
        key: str,
        identity: decisions.Identity,
        response: decisions.StoredResponse | None,
    ) -> None:
        if response is None:
            await self._store.abandon(
                service=service, key=key, identity=identity
            )
        else:
            await self._store.finish(
                service=service, key=key, identity=identity, response=response
            )

    async def handle_request(self, payload: bytes) -> bytes:
        """Handles a request of kind `claim` from another gateway.

        Raises:
            ClaimError: The claim could not be stored.
        """
        try:
            request = _Request.model_validate_json(payload).root
        except ValueError as error:
            raise MalformedClaimError(str(error)) from error
        identity = _decode_identity(request.by)
        if isinstance(request, _BeginMessage):
            decision = await self._store.begin(
                service=request.service,
                key=request.key,
                body_hash=request.hash,
                identity=identity,
                deadline=core.deadline_from_unix_ms(
                    request.deadline_unix_ms, self._clock
                ),
            )
            return _encode_decision(decision)
        if request.op == "abandon":
            await self._store.abandon(
                service=request.service, key=request.key, identity=identity
            )
        else:
            await self._store.finish_status(
                service=request.service,
                key=request.key,
                identity=identity,
                status=request.status,
                response=_to_stored_response(request.response),
            )
        return b"{}"
