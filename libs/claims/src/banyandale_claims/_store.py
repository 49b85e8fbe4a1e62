"""Claims of idempotency keys with group commit."""

import collections
from collections.abc import Callable
import dataclasses
import math
import random
import time
import zlib

import curio

from banyandale_claims import _decisions as decisions
from banyandale_claims import _errors as errors
from banyandale_claims import _log as log
from banyandale_claims import _records as records
import banyandale_core as core
import banyandale_platform as platform
import banyandale_retry as retry

# Shards and this interval bound the writes of a service at 200 a second,
# whatever its load, because the platform takes several hundred in all.
SHARDS = 4
COMMIT_INTERVAL_SECONDS = 0.02
# A claim that is not stored by then is refused; callers do not wait for a
# store that has become slow.
CLAIM_SECONDS = 1.0
# Outcomes wait this long for a claim whose write takes them along.
OUTCOME_LINGER_SECONDS = 0.1
# After the deadline of a pending request its outcome may still be written.
OUTCOME_GRACE_SECONDS = 5.0
# An abandoned claim whose record is not seen yet may still arrive.
LATE_RECORD_SECONDS = 3.0
LATE_RECORD_POLL_SECONDS = 0.5
MAX_QUEUED_CLAIMS = 1024
MAX_BATCH = 128
# A value of the store may have 1 MB; base64 adds a third.
MAX_BATCH_BYTES = 256 * 1024
MAX_CONFLICTS = 8
IDLE_SECONDS = 60.0
CLEAN_SECONDS = 60.0
BACKOFF_BASE_SECONDS = 0.02
BACKOFF_LIMIT_SECONDS = 0.5
# A commit over the call budget is tried again after this time, with all that
# has arrived meanwhile.
BUDGET_WAIT_SECONDS = 0.05

IsActive = Callable[[str, str], bool]


class _Claim:
    """A call of `begin` that waits for its decision."""

    def __init__(
        self,
        *,
        key: str,
        body_hash: str,
        identity: decisions.Identity,
        until_ms: int,
    ) -> None:
        self.key = key
        self.body_hash = body_hash
        self.identity = identity
        self.until_ms = until_ms
        self.queued_at = time.monotonic()
        # Whether a write with it may have taken effect.
        self.is_uncertain = False
        self.settled = curio.Event()
        self.decision: decisions.Decision | None = None
        self.error: errors.ClaimError | None = None

    async def decide(self, decision: decisions.Decision) -> None:
        self.decision = decision
        await self.settled.set()

    async def fail(self, error: errors.ClaimError) -> None:
        self.error = error
        await self.settled.set()


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _Outcome:
    """An outcome that waits to be written; nobody waits for it."""

    key: str
    identity: decisions.Identity
    state: records.State
    status: int
    response: decisions.StoredResponse | None
    queued_at: float
    due_at: float
    retry_until: float

    def size(self) -> int:
        if self.response is None:
            return 0
        return records.measure_response(self.response)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Plan:
    """What a batch of claims and outcomes leads to."""

    changes: dict[str, records.Record]
    decided: list[tuple[_Claim, decisions.Decision]]
    retried: list[_Outcome]
    is_stale: bool = False


class _Shard:
    """One shard: a queue, and one task that writes what is queued.

    While one conditional update is on its way, everything that arrives waits
    for the next one.
    """

    def __init__(
        self,
        *,
        shard_log: log.ShardLog,
        is_active: IsActive,
        clock: core.Clock,
        metrics: core.Metrics,
        rng: random.Random,
    ) -> None:
        self._log = shard_log
        self._is_active = is_active
        self._clock = clock
        self._metrics = metrics
        self._claims: collections.deque[_Claim] = collections.deque()
        self._outcomes: collections.deque[_Outcome] = collections.deque()
        self._wake = curio.Event()
        self._backoff = retry.Backoff(
            rng=rng, base=BACKOFF_BASE_SECONDS, limit=BACKOFF_LIMIT_SECONDS
        )
        self._down_until = 0.0
        self._budget_until = 0.0
        # Version at which a write with unknown outcome was sent.
        self._fence: int | None = None
        # Whether a write of the current commit may have taken effect.
        self._is_uncertain = False
        self._commit_due_at = math.inf
        self._next_commit_at = 0.0
        self._cleaned_at = time.monotonic()
        self.is_running = False
        self.task: curio.Task | None = None

    async def claim(self, claim: _Claim, deadline: float) -> decisions.Decision:
        """Queues a claim and waits for its decision."""
        now = time.monotonic()
        if now < self._down_until:
            raise errors.ClaimsUnavailableError("the store has just failed")
        if now > self._commit_due_at:
            raise errors.ClaimsUnavailableError("the store does not respond")
        if len(self._claims) >= MAX_QUEUED_CLAIMS:
            raise errors.ClaimsBusyError("too many claims wait")
        self._claims.append(claim)
        try:
            await self._wake.set()
            async with core.timeout_at(min(now + CLAIM_SECONDS, deadline)):
                await claim.settled.wait()
        except curio.TaskTimeout as error:
            await self._withdraw(claim)
            raise errors.ClaimsUnavailableError("not stored in time") from error
        except BaseException:
            await self._withdraw(claim)
            raise
        if claim.error is not None:
            raise claim.error
        return claim.decision

    async def _withdraw(self, claim: _Claim) -> None:
        """Releases a key that its request will not use."""
        if claim in self._claims:
            self._claims.remove(claim)
            if claim.is_uncertain:
                self._queue_release(claim)
                await self._wake.set()
        elif claim.decision in (None, decisions.Granted()):
            # A write with this claim is on its way or done.
            self._queue_release(claim)
            await self._wake.set()

    def _queue_release(self, claim: _Claim) -> None:
        self.add_outcome(
            key=claim.key,
            identity=claim.identity,
            state=records.State.ABANDONED,
        )

    def add_outcome(
        self,
        *,
        key: str,
        identity: decisions.Identity,
        state: records.State,
        status: int = 0,
        response: decisions.StoredResponse | None = None,
    ) -> None:
        """Queues an outcome."""
        now = time.monotonic()
        self._outcomes.append(
            _Outcome(
                key=key,
                identity=identity,
                state=state,
                status=status,
                response=response,
                queued_at=now,
                due_at=now + OUTCOME_LINGER_SECONDS,
                retry_until=now + LATE_RECORD_SECONDS,
            )
        )

    async def wake(self) -> None:
        """Makes the task look at its queues."""
        await self._wake.set()

    async def run(self) -> None:
        """Writes until the shard has been idle for a while."""
        try:
            while await self._wait_for_work():
                await self._commit()
                await self._clean()
        finally:
            self._log.forget()
            self.is_running = False

    async def _wait_for_work(self) -> bool:
        idle_at = time.monotonic() + IDLE_SECONDS
        while True:
            self._wake.clear()
            now = time.monotonic()
            wake_at = idle_at
            if self._claims or self._fence is not None:
                wake_at = now
            elif self._outcomes:
                wake_at = min(outcome.due_at for outcome in self._outcomes)
            wake_at = max(
                wake_at,
                self._down_until,
                self._budget_until,
                self._next_commit_at,
            )
            if wake_at <= now:
                return wake_at < idle_at
            try:
                async with core.timeout_at(wake_at):
                    await self._wake.wait()
            except curio.TaskTimeout:
                pass

    async def _commit(self) -> None:
        count = min(len(self._claims), MAX_BATCH)
        claims = [self._claims.popleft() for _ in range(count)]
        outcomes = self._take_outcomes()
        now = time.monotonic()
        self._next_commit_at = now + COMMIT_INTERVAL_SECONDS
        self._commit_due_at = now + CLAIM_SECONDS
        self._is_uncertain = False
        try:
            await self._write(claims, outcomes)
        except platform.CallBudgetError:
            self._postpone(claims, outcomes)
        except platform.PlatformError as error:
            await self._handle_failure(error, claims, outcomes)
        else:
            self._backoff.reset()
        finally:
            self._commit_due_at = math.inf

    def _take_outcomes(self) -> list[_Outcome]:
        taken: list[_Outcome] = []
        size = 0
        while self._outcomes and len(taken) < MAX_BATCH:
            size += self._outcomes[0].size()
            if taken and size > MAX_BATCH_BYTES:
                break
            taken.append(self._outcomes.popleft())
        return taken

    async def _write(
        self, claims: list[_Claim], outcomes: list[_Outcome]
    ) -> None:
        for _ in range(MAX_CONFLICTS):
            if self._log.loaded_at is None:
                await self._log.load()
            plan = self._plan(claims, outcomes)
            if plan.is_stale:
                self._log.invalidate()
                continue
            if self._fence is not None and self._fence != self._log.version:
                self._fence = None
            if plan.changes or self._fence is not None:
                try:
                    await self._log.append(plan.changes)
                except platform.ConflictError:
                    self._metrics.incr("claims_conflict")
                    # With a lost response it may have been written and
                    # replaced; then the records are found by `load`.
                    self._is_uncertain = True
                    continue
                except platform.OutcomeUnknownError:
                    # The write may still take effect at this version.
                    # Another write at the same version rules this out.
                    self._fence = self._log.version
                    self._is_uncertain = True
                    raise
                self._fence = None
            self._outcomes.extendleft(reversed(plan.retried))
            for claim, decision in plan.decided:
                await claim.decide(decision)
            return
        raise platform.StoreUnavailableError("too many conflicts")

    def _postpone(self, claims: list[_Claim], outcomes: list[_Outcome]) -> None:
        """Puts a commit back that the call budget did not allow.

        Claims that were written before in an unknown way are found by their
        identity.
        """
        self._metrics.incr("claims_postponed")
        now = time.monotonic()
        self._budget_until = now + BUDGET_WAIT_SECONDS
        self._outcomes.extendleft(reversed(outcomes))
        for claim in claims:
            claim.is_uncertain |= self._is_uncertain
        self._claims.extendleft(
            claim
            for claim in reversed(claims)
            # Later ones have given up and released their key.
            if now < claim.queued_at + CLAIM_SECONDS
        )

    async def _handle_failure(
        self,
        error: platform.PlatformError,
        claims: list[_Claim],
        outcomes: list[_Outcome],
    ) -> None:
        self._metrics.incr(f"claims_failed_{error.code}")
        self._log.invalidate()
        now = time.monotonic()
        self._down_until = now + self._backoff.next_delay()
        kept = [
            outcome
            for outcome in outcomes
            if now < outcome.queued_at + log.RETENTION_SECONDS
        ]
        self._outcomes.extendleft(reversed(kept))
        for claim in claims:
            if self._is_uncertain or claim.is_uncertain:
                self._queue_release(claim)
            await claim.fail(errors.ClaimsUnavailableError(str(error)))
        while self._claims:
            claim = self._claims.popleft()
            if claim.is_uncertain:
                self._queue_release(claim)
            await claim.fail(errors.ClaimsUnavailableError(str(error)))

    def _plan(self, claims: list[_Claim], outcomes: list[_Outcome]) -> _Plan:
        plan = _Plan(changes={}, decided=[], retried=[])
        for outcome in outcomes:
            self._plan_outcome(plan, outcome)
        for claim in claims:
            plan.decided.append((claim, self._decide(plan, claim)))
        return plan

    def _find(self, plan: _Plan, key: str) -> records.Record | None:
        return plan.changes.get(key) or self._log.find(key)

    def _plan_outcome(self, plan: _Plan, outcome: _Outcome) -> None:
        record = self._find(plan, outcome.key)
        if record is None or record.identity != outcome.identity:
            if self._log.loaded_at < outcome.queued_at:
                # Another owner may have written the claim.
                plan.is_stale = True
            elif (now := time.monotonic()) < outcome.retry_until:
                outcome.queued_at = now
                outcome.due_at = now + LATE_RECORD_POLL_SECONDS
                plan.retried.append(outcome)
            else:
                self._metrics.incr("claims_outcome_without_claim")
            return
        if record.state is records.State.PENDING:
            plan.changes[outcome.key] = dataclasses.replace(
                record,
                state=outcome.state,
                at_ms=self._now_ms(),
                status=outcome.status,
                response=outcome.response,
            )

    def _now_ms(self) -> int:
        return int(self._clock.unix() * core.MILLISECONDS_PER_SECOND)

    def _decide(self, plan: _Plan, claim: _Claim) -> decisions.Decision:
        record = self._find(plan, claim.key)
        if record is None or record.state is records.State.ABANDONED:
            plan.changes[claim.key] = records.Record(
                state=records.State.PENDING,
                body_hash=claim.body_hash,
                identity=claim.identity,
                at_ms=self._now_ms(),
                until_ms=claim.until_ms,
            )
            return decisions.Granted()
        if record.body_hash != claim.body_hash:
            return decisions.KeyReused()
        if record.state is records.State.PENDING:
            return self._judge_pending(plan, claim, record)
        if record.response is None:
            return decisions.NotKept(status=record.status)
        return decisions.Replay(response=record.response)

    def _judge_pending(
        self, plan: _Plan, claim: _Claim, record: records.Record
    ) -> decisions.Decision:
        identity = record.identity
        if identity == claim.identity:
            # An earlier write of this claim took effect after all.
            return decisions.Granted()
        if self._log.loaded_at < claim.queued_at:
            # Another owner may have written the outcome.
            plan.is_stale = True
        if self._now_ms() > record.until_ms or not self._is_active(
            identity.gateway_id, identity.boot
        ):
            return decisions.Unknown()
        return decisions.InProgress()

    async def _clean(self) -> None:
        now = time.monotonic()
        if now < self._cleaned_at + CLEAN_SECONDS:
            return
        self._cleaned_at = now
        try:
            count = await self._log.clean()
        except platform.PlatformError as error:
            self._metrics.incr(f"claims_failed_{error.code}")
        else:
            self._metrics.incr("claims_segments_deleted", count)


class ClaimStore:
    """Claims keys, and remembers the outcomes of their requests.

    Any number of gateways may claim keys of one shard at the same time; each
    key is still granted once. It costs fewer writes if one of them, the
    owner, does it for all.

    Args:
        store: Where claims are kept.
        writer: Identity that no other process uses, now or later, such as
            gateway id and boot id.
        is_active: Tells whether a gateway (id, boot id) may still finish a
            request. When in doubt it should say yes: the request then counts
            as in progress until its deadline.
        metrics: Receiver of counters.
        clock: Source of time.
        rng: Source of jitter.
        shards: Shards per service; the same for all gateways, always.
        segment_bytes: Size at which a segment is sealed.
    """

    def __init__(
        self,
        *,
        store: platform.ObjectStore,
        writer: str,
        is_active: IsActive,
        metrics: core.Metrics,
        clock: core.Clock,
        rng: random.Random,
        shards: int = SHARDS,
        segment_bytes: int = log.SEGMENT_BYTES,
    ) -> None:
        self._store = store
        self._writer = writer
        self._is_active = is_active
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._shard_count = shards
        self._segment_bytes = segment_bytes
        self._shards: dict[tuple[str, int], _Shard] = {}

    def shard_of(self, key: str) -> int:
        """Returns the number of the shard of a key."""
        return zlib.crc32(key.encode()) % self._shard_count

    async def begin(
        self,
        *,
        service: str,
        key: str,
        body_hash: str,
        identity: decisions.Identity,
        deadline: float,
    ) -> decisions.Decision:
        """Claims a key.

        After `Granted` the request may be sent, once and before `deadline`;
        then call `finish` or `abandon`.

        Args:
            service: Service name.
            key: The caller's idempotency key.
            body_hash: Hash of the request, see `hash_request`.
            identity: Who sends the request; unique for each call.
            deadline: Monotonic seconds of the request.

        Raises:
            ClaimsUnavailableError: The claim could not be stored. The
                request must not be sent.
            ClaimsBusyError: Too many claims wait.
        """
        remaining = deadline - time.monotonic() + OUTCOME_GRACE_SECONDS
        until = self._clock.unix() + max(remaining, 0.0)
        claim = _Claim(
            key=records.hash_key(key),
            body_hash=body_hash,
            identity=identity,
            until_ms=int(until * core.MILLISECONDS_PER_SECOND),
        )
        shard = await self._open_shard(service, key)
        try:
            decision = await shard.claim(claim, deadline)
        except errors.ClaimError as error:
            self._metrics.incr(error.code)
            raise
        self._metrics.incr(f"claims_{type(decision).__name__.lower()}")
        return decision

    async def finish(
        self,
        *,
        service: str,
        key: str,
        identity: decisions.Identity,
        response: decisions.StoredResponse,
    ) -> None:
        """Remembers the response to a granted request.

        Returns before it is written. Until then this store replays it, but
        if this process is lost the outcome is unknown.
        """
        kept = records.keep_response(response)
        if kept is None:
            self._metrics.incr("claims_response_not_kept")
        await self.finish_status(
            service=service,
            key=key,
            identity=identity,
            status=response.status,
            response=kept,
        )

    async def finish_status(
        self,
        *,
        service: str,
        key: str,
        identity: decisions.Identity,
        status: int,
        response: decisions.StoredResponse | None,
    ) -> None:
        """As `finish`, with a response that may be left out."""
        shard = await self._open_shard(service, key)
        shard.add_outcome(
            key=records.hash_key(key),
            identity=identity,
            state=records.State.DONE,
            status=status,
            response=response,
        )
        await shard.wake()

    async def abandon(
        self, *, service: str, key: str, identity: decisions.Identity
    ) -> None:
        """Releases a key whose request has not run and will not run.

        Also allowed when it is not known whether the key was granted.
        """
        shard = await self._open_shard(service, key)
        shard.add_outcome(
            key=records.hash_key(key),
            identity=identity,
            state=records.State.ABANDONED,
        )
        await shard.wake()

    async def _open_shard(self, service: str, key: str) -> _Shard:
        number = self.shard_of(key)
        shard = self._shards.get((service, number))
        if shard is None:
            shard = self._make_shard(service, number)
            self._shards[service, number] = shard
        if not shard.is_running:
            shard.is_running = True
            shard.task = await curio.spawn(shard.run, daemon=True)
        return shard

    def _make_shard(self, service: str, number: int) -> _Shard:
        name = f"{service}.{number:02d}"
        writer = platform.Writer(
            store=self._store,
            writer=f"{self._writer}/{name}",
            metrics=self._metrics,
        )
        shard_log = log.ShardLog(
            store=self._store,
            writer=writer,
            name=name,
            clock=self._clock,
            segment_bytes=self._segment_bytes,
        )
        return _Shard(
            shard_log=shard_log,
            is_active=self._is_active,
            clock=self._clock,
            metrics=self._metrics,
            rng=self._rng,
        )
