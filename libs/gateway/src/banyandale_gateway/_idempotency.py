"""Routes calls with an idempotency key so that each runs at most once."""

import time

import curio

import banyandale_claims as claims
import banyandale_core as core
from banyandale_gateway import _backends as backends
from banyandale_gateway import _calls as calls
from banyandale_gateway import _errors as errors
import banyandale_http as http

REPLAYED_HEADER = (b"idempotency-replayed", b"true")
MAX_KEY_BYTES = 256
IN_PROGRESS_POLL_SECONDS = 0.1


class IdempotentRouter:
    """Routes calls; claims the idempotency key first if there is one.

    A call needs a claim if its method is not idempotent and the request has
    an `Idempotency-Key` header.
    """

    def __init__(
        self, *, router: calls.CallRouter, claim_router: claims.ClaimRouter
    ) -> None:
        self._router = router
        self._claims = claim_router

    async def route(self, call: calls.Call) -> calls.CallResponse:
        """Routes a call.

        Raises:
            CallError: The call was refused or failed.
        """
        key = call.request.header(backends.IDEMPOTENCY_KEY)
        if key is None or call.idempotent:
            return await self._router.route(call)
        if not 0 < len(key) <= MAX_KEY_BYTES:
            raise errors.InvalidKeyError(
                f"Idempotency-Key must have 1 to {MAX_KEY_BYTES} bytes"
            )
        return await self._route_with_key(call, key.decode("latin-1"))

    async def _route_with_key(
        self, call: calls.Call, key: str
    ) -> calls.CallResponse:
        claim = await self._claim(call, key)
        decision = claim.decision
        if isinstance(decision, claims.Replay):
            return _replay(decision.response)
        if isinstance(decision, claims.Refused):
            raise errors.ClaimRefusedError(decision)
        # A caller that disconnects often repeats the request with the same
        # key. The call continues in its own task, so that its response can
        # be replayed.
        task = await curio.spawn(self._run, call, claim, daemon=True)
        result = await task.join()
        if isinstance(result, errors.CallError):
            raise result
        return result

    async def _claim(self, call: calls.Call, key: str) -> claims.Claim:
        """Claims the key; waits while a request with the same key runs."""
        request = call.request
        body_hash = claims.hash_request(
            method=request.method, target=request.target, body=request.body
        )
        while True:
            try:
                claim = await self._claims.begin(
                    service=call.service.name,
                    key=key,
                    body_hash=body_hash,
                    deadline=call.deadline,
                )
            except claims.ClaimError as error:
                raise errors.ClaimFailedError(error) from error
            wait_until = time.monotonic() + IN_PROGRESS_POLL_SECONDS
            if (
                not isinstance(claim.decision, claims.InProgress)
                or wait_until >= call.deadline
            ):
                return claim
            await curio.sleep(IN_PROGRESS_POLL_SECONDS)

    async def _run(
        self, call: calls.Call, claim: claims.Claim
    ) -> calls.CallResponse | errors.CallError:
        """Routes a claimed call and finishes or abandons its claim.

        Errors are returned, not raised, because the caller may have
        disconnected. If there is no response and the request may have run,
        the outcome is unknown and the claim stays pending.
        """
        try:
            response = await self._router.route(call)
        except errors.CallError as error:
            if error.run is core.RunMark.NOT_RUN:
                await curio.spawn(claim.abandon, daemon=True)
            return error
        stored = claims.StoredResponse(
            status=response.head.status,
            headers=response.head.headers,
            body=response.body,
        )
        await curio.spawn(claim.finish, stored, daemon=True)
        return response


def _replay(response: claims.StoredResponse) -> calls.CallResponse:
    return calls.CallResponse(
        head=http.ResponseHead(
            status=response.status, headers=(*response.headers, REPLAYED_HEADER)
        ),
        body=response.body,
    )
