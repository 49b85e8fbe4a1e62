"""Tests of `ClaimRouter` with and without a reachable owner."""

import random
import time

import curio
import pytest

import banyandale_claims as claims
import banyandale_core as core
from banyandale_platform import testing


class LinkError(core.CodedError):
    """An error of the connection between two gateways."""

    def __init__(self, *, run, remote_code=""):
        super().__init__(remote_code)
        self.run = run
        self.remote_code = remote_code


class Gateways:
    """Two gateways `a` and `b`; `b` owns all shards.

    `fault` applies to requests to the owner: an error is raised before the
    owner receives the request, "lost" drops the reply, and "garbage" replaces
    it.
    """

    def __init__(self):
        self.fault = None
        self.shared = testing.MemoryStore()
        self.routers = {
            gateway_id: self.make_router(gateway_id) for gateway_id in "ab"
        }

    def make_router(self, gateway_id):
        metrics = core.MemoryMetrics()
        store = claims.ClaimStore(
            store=self.shared,
            writer=gateway_id,
            is_active=lambda gateway, boot: True,
            metrics=metrics,
            clock=core.SystemClock(),
            rng=random.Random(1),
            shards=1,
        )
        return claims.ClaimRouter(
            store=store,
            gateway_id=gateway_id,
            boot=lambda: "b1",
            owner_of=lambda service, shard: "b",
            send_request=self.send_request,
            metrics=metrics,
            clock=core.SystemClock(),
        )

    async def send_request(self, gateway_id, kind, payload, *, deadline):
        assert kind == claims.REQUEST_KIND
        assert deadline > time.monotonic()
        if isinstance(self.fault, LinkError):
            raise self.fault
        try:
            reply = await self.routers[gateway_id].handle_request(payload)
        except claims.ClaimError as error:
            raise LinkError(run=error.run, remote_code=error.code) from error
        if self.fault == "lost":
            raise LinkError(run=core.RunMark.UNKNOWN)
        return b"garbage" if self.fault == "garbage" else reply

    async def begin(self, gateway_id="a", key="k", body_hash="h"):
        return await self.routers[gateway_id].begin(
            service="s",
            key=key,
            body_hash=body_hash,
            deadline=time.monotonic() + 5,
        )


@pytest.mark.parametrize(
    ("size", "expected"),
    [(3, claims.Replay), (16_385, claims.NotKept)],
)
def test_owner_decides_and_remembers(size, expected):
    """Guards against a decision or response that is altered in transit."""
    response = claims.StoredResponse(
        status=201, headers=((b"x", b"\xe9"),), body=b"\xff" * size
    )

    async def main():
        gateways = Gateways()
        claim = await gateways.begin()
        assert claim.decision == claims.Granted()
        again = await gateways.begin()
        assert again.decision == claims.InProgress()
        await claim.finish(response)
        for gateway_id in "ab":
            repeated = await gateways.begin(gateway_id)
            assert isinstance(repeated.decision, expected)
            if size == 3:
                assert repeated.decision.response == response
            else:
                assert repeated.decision.status == 201
            other = await gateways.begin(gateway_id, body_hash="i")
            assert other.decision == claims.KeyReused()
        abandoned = await gateways.begin(key="m")
        await abandoned.abandon()
        granted = await gateways.begin(key="m")
        assert granted.decision == claims.Granted()

    curio.run(main)


def test_unreachable_owner_is_replaced_by_the_own_store():
    """Guards against refusing claims while the owner is unreachable."""

    async def main():
        gateways = Gateways()
        remote = await gateways.begin(key="m")
        gateways.fault = LinkError(run=core.RunMark.NOT_RUN)
        claim = await gateways.begin()
        assert claim.decision == claims.Granted()
        # The owner that granted this claim is unreachable, too.
        await remote.finish(claims.StoredResponse(status=200))
        gateways.fault = None
        assert (await gateways.begin()).decision == claims.InProgress()
        await curio.sleep(0.3)
        repeated = await gateways.begin(key="m")
        assert isinstance(repeated.decision, claims.Replay)

    curio.run(main)


@pytest.mark.parametrize("fault", ["lost", "garbage"])
def test_claim_with_lost_reply_is_refused_and_released(fault):
    """Guards against a second grant and against a key never released."""

    async def main():
        gateways = Gateways()
        gateways.fault = fault
        with pytest.raises(claims.ClaimError) as caught:
            await gateways.begin()
        assert caught.value.run is core.RunMark.NOT_RUN
        gateways.fault = None
        await curio.sleep(0.3)
        assert (await gateways.begin()).decision == claims.Granted()

    curio.run(main)


def test_owner_without_store_refuses_at_once():
    """Guards against two calls per claim to a store that is down."""

    async def main():
        gateways = Gateways()
        gateways.shared.faults.down = True
        with pytest.raises(claims.ClaimsUnavailableError):
            await gateways.begin()
        assert gateways.shared.counts.total() == 1
        with pytest.raises(claims.MalformedClaimError):
            await gateways.routers["b"].handle_request(b'{"op": "begin"}')

    curio.run(main)
