"""Runs calls with an idempotency key at most once."""

from collections.abc import Callable
import time
from typing import Protocol

import curio

import banyandale_claims as claims
import banyandale_core as core
from banyandale_gateway import _backends as backends
from banyandale_gateway import _calls as calls
from banyandale_gateway import _errors as errors
import banyandale_http as http

REPLAYED = (b"idempotency-replayed", b"true")
MAX_KEY_BYTES = 256
IN_PROGRESS_POLL_SECONDS = 0.1


class KeyClaims(Protocol):
    """Claims keys and keeps outcomes."""

    async def begin(
        self,
        *,
        service: str,
        key: str,
        body_hash: str,
        identity: claims.Identity,
        deadline: float,
    ) -> claims.Decision:
        """Claims a key."""

    async def settle(
        self,
        *,
        service: str,
        key: str,
        identity: claims.Identity,
        response: claims.StoredResponse | None,
    ) -> None:
        """Reports an outcome."""


class CallRouter(Protocol):
    """Runs calls."""

    async def route(self, call: calls.Call) -> calls.Answer:
        """Runs a call; see `Router.route`."""


class KeyedRouter:
    """Passes calls on; those with a key only after claiming it.

    A call needs a claim when it is not idempotent and its caller named an
    `Idempotency-Key`.
    """

    def __init__(
        self,
        *,
        router: CallRouter,
        key_claims: KeyClaims,
        gateway_id: str,
        boot: Callable[[], str],
    ) -> None:
        self._router = router
        self._claims = key_claims
        self._gateway_id = gateway_id
        self._boot = boot

    async def route(self, call: calls.Call) -> calls.Answer:
        """Runs a call.

        Raises:
            CallError: It was refused or failed.
        """
        key = call.request.header(backends.IDEMPOTENCY_KEY)
        if key is None or call.idempotent:
            return await self._router.route(call)
        if not 0 < len(key) <= MAX_KEY_BYTES:
            raise errors.InvalidKeyError(
                f"Idempotency-Key must have 1 to {MAX_KEY_BYTES} bytes"
            )
        return await self._route_keyed(call, key.decode("latin-1"))

    async def _route_keyed(self, call: calls.Call, key: str) -> calls.Answer:
        decision, identity = await self._decide(call, key)
        if isinstance(decision, claims.Replay):
            return _replay(decision.response)
        if isinstance(decision, claims.Refused):
            raise errors.ClaimRefusedError(decision)
        # A caller that goes away often repeats the request with the same key.
        # The call goes on without it, so that its response can be replayed.
        task = await curio.spawn(self._run, call, key, identity, daemon=True)
        result = await task.join()
        if isinstance(result, errors.CallError):
            raise result
        return result

    async def _decide(
        self, call: calls.Call, key: str
    ) -> tuple[claims.Decision, claims.Identity]:
        """Claims the key; waits while another request with it is running."""
        repetition = 0
        while True:
            identity = claims.Identity(
                gateway_id=self._gateway_id,
                boot=self._boot(),
                request_id=f"{call.id}.{repetition}",
            )
            decision = await self._begin(call, key, identity)
            wait_until = time.monotonic() + IN_PROGRESS_POLL_SECONDS
            if (
                not isinstance(decision, claims.InProgress)
                or wait_until >= call.deadline
            ):
                return decision, identity
            await curio.sleep(IN_PROGRESS_POLL_SECONDS)
            repetition += 1

    async def _begin(
        self, call: calls.Call, key: str, identity: claims.Identity
    ) -> claims.Decision:
        request = call.request
        try:
            return await self._claims.begin(
                service=call.service.name,
                key=key,
                body_hash=claims.hash_request(
                    method=request.method,
                    target=request.target,
                    body=request.body,
                ),
                identity=identity,
                deadline=call.deadline,
            )
        except claims.ClaimError as error:
            raise errors.ClaimFailedError(error) from error

    async def _run(
        self, call: calls.Call, key: str, identity: claims.Identity
    ) -> calls.Answer | errors.CallError:
        """Runs a claimed call; returns the error, as nobody may be waiting.

        Without a response, and not known not to have run, the claim stays
        pending: the outcome is unknown.
        """
        try:
            answer = await self._router.route(call)
        except errors.CallError as error:
            if error.run is core.RunMark.NOT_RUN:
                await self._spawn_settle(call, key, identity, None)
            return error
        response = claims.StoredResponse(
            status=answer.head.status,
            headers=answer.head.headers,
            body=answer.body,
        )
        await self._spawn_settle(call, key, identity, response)
        return answer

    async def _spawn_settle(
        self,
        call: calls.Call,
        key: str,
        identity: claims.Identity,
        response: claims.StoredResponse | None,
    ) -> None:
        await curio.spawn(
            self._settle, call, key, identity, response, daemon=True
        )

    async def _settle(
        self,
        call: calls.Call,
        key: str,
        identity: claims.Identity,
        response: claims.StoredResponse | None,
    ) -> None:
        await self._claims.settle(
            service=call.service.name,
            key=key,
            identity=identity,
            response=response,
        )


def _replay(response: claims.StoredResponse) -> calls.Answer:
    return calls.Answer(
        head=http.ResponseHead(
            status=response.status, headers=(*response.headers, REPLAYED)
        ),
        body=response.body,
    )
