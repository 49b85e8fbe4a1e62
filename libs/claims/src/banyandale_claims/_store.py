"""Claims idempotency keys and stores outcomes with group commit."""

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

# Each shard writes at most once per COMMIT_INTERVAL_SECONDS, so a service makes
# at most 200 writes per second at any load. The platform handles several
# hundred per second in total.
SHARDS = 4
COMMIT_INTERVAL_SECONDS = 0.02
# A claim that is not stored within this time is refused, so that callers do not
# wait for a slow store.
CLAIM_TIMEOUT_SECONDS = 1.0
# Outcomes wait up to this long to be written together with a claim.
OUTCOME_LINGER_SECONDS = 0.1
# The outcome of a pending request may still be written for this long after the
# deadline of the request.
OUTCOME_GRACE_SECONDS = 5.0
# An outcome may arrive before the record of its claim, which is then looked for
# this long.
LATE_RECORD_SECONDS = 3.0
LATE_RECORD_POLL_SECONDS = 0.5
MAX_QUEUED_CLAIMS = 1024
MAX_BATCH = 128
# The store limits a value to 1 MB, and base64 adds a third.
MAX_BATCH_BYTES = 256 * 1024
MAX_CONFLICTS = 8
IDLE_SECONDS = 60.0
CLEAN_INTERVAL_SECONDS = 60.0
BACKOFF_BASE_SECONDS = 0.02
BACKOFF_LIMIT_SECONDS = 0.5
# A commit that exceeds the call budget is retried after this time, together
# with everything queued meanwhile.
BUDGET_RETRY_SECONDS = 0.05

IsActive = Callable[[str, str], bool]


class _Claim:
    """A call of `begin` that waits for a decision."""

    def __init__(
        self,
        *,
        key: str,
        body_hash: str,
        identity: decisions.Identity,
        pending_until_ms: int,
    ) -> None:
        self.key = key
        self.body_hash = body_hash
        self.identity = identity
        self.pending_until_ms = pending_until_ms
        self.queued_at = time.monotonic()
        # Whether a write that contains this claim may have taken effect.
        self.may_be_stored = False
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
    """An outcome queued to be written; no caller waits for the write."""

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
    """Decisions and record changes for a batch of claims and outcomes.

    `is_stale` means that the state must be loaded again before the batch can
    be planned.
    """

    changes: dict[str, records.Record]
    decided: list[tuple[_Claim, decisions.Decision]]
    retried: list[_Outcome]
    is_stale: bool = False


class _Shard:
    """Queues the claims and outcomes of one shard and writes them in batches.

    One task makes one conditional update at a time; everything queued
    meanwhile is written by the next one.
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
        self._backoff_until = 0.0
        self._budget_wait_until = 0.0
        # Version that a write with unknown outcome was conditional on.
        self._unresolved_version: int | None = None
        # Whether a write of the current commit may have taken effect.
        self._commit_may_be_stored = False
        self._commit_due_at = math.inf
        self._next_commit_at = 0.0
        self._cleaned_at = time.monotonic()
        self.is_running = False
        self.task: curio.Task | None = None

    async def claim(self, claim: _Claim, deadline: float) -> decisions.Decision:
        """Queues a claim and waits for its decision."""
        now = time.monotonic()
        if now < self._backoff_until:
            raise errors.ClaimsUnavailableError(
                "the last write failed, and the store is not retried yet"
            )
        if now > self._commit_due_at:
            raise errors.ClaimsUnavailableError("the store does not respond")
        if len(self._claims) >= MAX_QUEUED_CLAIMS:
            raise errors.ClaimsBusyError("the queue of the shard is full")
        self._claims.append(claim)
        try:
            await self._wake.set()
            async with core.timeout_at(
                min(now + CLAIM_TIMEOUT_SECONDS, deadline)
            ):
                await claim.settled.wait()
        except curio.TaskTimeout as error:
            await self._withdraw(claim)
            raise errors.ClaimsUnavailableError(
                "the claim was not stored in time"
            ) from error
        except BaseException:
            await self._withdraw(claim)
            raise
        if claim.error is not None:
            raise claim.error
        return claim.decision

    async def _withdraw(self, claim: _Claim) -> None:
        """Releases the key of a claim whose caller no longer waits."""
        if claim in self._claims:
            self._claims.remove(claim)
            if claim.may_be_stored:
                self._queue_release(claim)
                await self._wake.set()
        elif claim.decision in (None, decisions.Granted()):
            # A write with this claim is in progress or done.
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
        """Queues an outcome without waking the task."""
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
        """Wakes the task, which then reads its queues."""
        await self._wake.set()

    async def run(self) -> None:
        """Writes batches until the shard is idle for `IDLE_SECONDS`."""
        try:
            while await self._wait_for_work():
                await self._commit()
                await self._clean()
        finally:
            self._log.clear()
            self.is_running = False

    async def _wait_for_work(self) -> bool:
        idle_at = time.monotonic() + IDLE_SECONDS
        while True:
            self._wake.clear()
            now = time.monotonic()
            wake_at = idle_at
            if self._claims or self._unresolved_version is not None:
                wake_at = now
            elif self._outcomes:
                wake_at = min(outcome.due_at for outcome in self._outcomes)
            wake_at = max(
                wake_at,
                self._backoff_until,
                self._budget_wait_until,
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
        self._commit_due_at = now + CLAIM_TIMEOUT_SECONDS
        self._commit_may_be_stored = False
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
            if (
                self._unresolved_version is not None
                and self._unresolved_version != self._log.version
            ):
                self._unresolved_version = None
            if plan.changes or self._unresolved_version is not None:
                try:
                    await self._log.append(plan.changes)
                except platform.ConflictError:
                    self._metrics.incr("claims_conflict")
                    # If the response to an earlier try was lost, the records
                    # may have been written; `load` then finds them.
                    self._commit_may_be_stored = True
                    continue
                except platform.OutcomeUnknownError:
                    # The write may still take effect while the version is
                    # unchanged. A later write conditional on the same version
                    # rules this out.
                    self._unresolved_version = self._log.version
                    self._commit_may_be_stored = True
                    raise
                self._unresolved_version = None
            self._outcomes.extendleft(reversed(plan.retried))
            for claim, decision in plan.decided:
                await claim.decide(decision)
            return
        raise platform.StoreUnavailableError(
            "too many conflicting writes to the shard"
        )

    def _postpone(self, claims: list[_Claim], outcomes: list[_Outcome]) -> None:
        """Queues a commit again that exceeded the call budget.

        An earlier try may have written some of its claims; the next commit
        recognizes them by their identity.
        """
        self._metrics.incr("claims_postponed")
        now = time.monotonic()
        self._budget_wait_until = now + BUDGET_RETRY_SECONDS
        self._outcomes.extendleft(reversed(outcomes))
        for claim in claims:
            claim.may_be_stored |= self._commit_may_be_stored
        self._claims.extendleft(
            claim
            for claim in reversed(claims)
            # The others have timed out, and `_withdraw` released their keys.
            if now < claim.queued_at + CLAIM_TIMEOUT_SECONDS
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
        self._backoff_until = now + self._backoff.next_delay()
        kept = [
            outcome
            for outcome in outcomes
            if now < outcome.queued_at + log.RETENTION_SECONDS
        ]
        self._outcomes.extendleft(reversed(kept))
        for claim in claims:
            if self._commit_may_be_stored or claim.may_be_stored:
                self._queue_release(claim)
            await claim.fail(errors.ClaimsUnavailableError(str(error)))
        while self._claims:
            claim = self._claims.popleft()
            if claim.may_be_stored:
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
                # Another gateway may have written the claim.
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
                recorded_ms=self._now_ms(),
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
                recorded_ms=self._now_ms(),
                pending_until_ms=claim.pending_until_ms,
            )
            return decisions.Granted()
        if record.body_hash != claim.body_hash:
            return decisions.KeyReused()
        if record.state is records.State.PENDING:
            return self._decide_pending(plan, claim, record)
        if record.response is None:
            return decisions.NotKept(status=record.status)
        return decisions.Replay(response=record.response)

    def _decide_pending(
        self, plan: _Plan, claim: _Claim, record: records.Record
    ) -> decisions.Decision:
        identity = record.identity
        if identity == claim.identity:
            # An earlier write of this claim took effect, although its outcome
            # was unknown.
            return decisions.Granted()
        if self._log.loaded_at < claim.queued_at:
            # Another gateway may have written the outcome.
            plan.is_stale = True
        if self._now_ms() > record.pending_until_ms or not self._is_active(
            identity.gateway_id, identity.boot
        ):
            return decisions.Unknown()
        return decisions.InProgress()

    async def _clean(self) -> None:
        now = time.monotonic()
        if now < self._cleaned_at + CLEAN_INTERVAL_SECONDS:
            return
        self._cleaned_at = now
        try:
            count = await self._log.clean()
        except platform.PlatformError as error:
            self._metrics.incr(f"claims_failed_{error.code}")
        else:
            self._metrics.incr("claims_segments_deleted", count)


class ClaimStore:
    """Claims keys and stores the outcomes of their requests.

    Any number of gateways may claim keys of one shard at the same time; each
    key is still granted only once. Fewer writes are needed if one gateway,
    the owner, claims the keys for all.

    Args:
        store: Object store that holds the claims.
        writer: Identity that no other process ever uses, such as gateway id
            and boot id.
        is_active: Returns whether a gateway (id, boot id) may still finish a
            request. If this is not known, it should return True: the request
            then counts as in progress until its deadline.
        metrics: Receiver of counters.
        clock: Source of time.
        rng: Source of jitter.
        shards: Shards per service. It must be the same on all gateways and
            must never change, because it maps keys to shards.
        segment_bytes: Size in bytes at which a segment is sealed.
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
        """Returns the shard number of a key."""
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

        After `Granted` the request may be sent once, before `deadline`; then
        call `finish` or `abandon`.

        Args:
            service: Service name.
            key: The caller's idempotency key.
            body_hash: Hash of the request, see `hash_request`.
            identity: Identity of this call, different for each call.
            deadline: Deadline of the request in monotonic seconds.

        Raises:
            ClaimsUnavailableError: The claim could not be stored. The
                request must not be sent.
            ClaimsBusyError: The queue of the shard is full.
        """
        remaining = deadline - time.monotonic() + OUTCOME_GRACE_SECONDS
        until = self._clock.unix() + max(remaining, 0.0)
        claim = _Claim(
            key=records.hash_key(key),
            body_hash=body_hash,
            identity=identity,
            pending_until_ms=int(until * core.MILLISECONDS_PER_SECOND),
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
        """Queues the response to a granted request to be stored.

        Returns before the response is written. Until then only this store can
        replay it, and the outcome is unknown if the process ends.
        """
        kept = records.discard_if_too_large(response)
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
        """Like `finish`, for a response that may have been discarded."""
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

        May be called even if it is not known whether the key was granted.
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
