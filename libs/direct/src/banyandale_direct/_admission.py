"""Admission control: which calls are rejected, and when to retry them.

Load pattern: more calls than the servers can finish within their deadlines (a
burst, callers that retry immediately, a zone whose servers come back cold). A
call that cannot finish in time is rejected before it occupies a slot, which
leaves the slots to calls that can. A call that would miss its target waits in
the gateway, not at a server, until a server can still meet the target. The
retry time is when the work already queued should be done, with jitter so that
callers rejected together do not return together.
"""

import dataclasses
import enum
import random

from banyandale_direct import _placement as placement

# Shortest retry delay. Below it, the caller's new connection costs more than
# the wait.
MIN_RETRY_AFTER_SECONDS = 0.05
# Longest retry delay. The users' callers wait at most a third of their
# remaining time.
MAX_RETRY_AFTER_SECONDS = 2.0
# Retry delays are lengthened at random by up to this fraction.
RETRY_AFTER_JITTER = 0.5
# Queue length of a server per slot, beyond which it sheds (the users' site
# files: 2 slots, a queue of 4).
WAITING_PER_SLOT = 2
# Factor on the average work that 90% of calls stay below.
WORK_MARGIN = 1.3
# Queue length per slot at which a call with a target no longer benefits from
# waiting: the queue is too long for it to meet the target.
FULL_QUEUE_PER_SLOT = 1
# Extra wait of a call that misses its target in any case. Slow periods of a
# machine last 300 ms (the users' site files).
LATE_WAIT_SECONDS = 0.4
# Interval between checks for a free slot.
RECHECK_SECONDS = 0.04


class Refusal(enum.Enum):
    """Why a call was not served; the value is the reason code."""

    NOT_CONFIGURED = "not_configured"
    NO_ROUTE = "no_route"
    NO_SERVER = "no_server"
    NO_ROOM = "no_room"
    COLD_LIMIT = "cold_limit"
    SERVER_LIMIT = "server_limit"
    CRASHES_SERVERS = "crashes_servers"
    SUSPECT_BUSY = "suspect_busy"
    DEADLINE_TOO_CLOSE = "deadline_too_close"
    STOPPING = "stopping"
    TIMED_OUT = "timed_out"
    OUTCOME_UNKNOWN = "outcome_unknown"
    MALFORMED = "malformed_request"


def meets_deadline(
    *, estimate_seconds: float, now: float, deadline: float
) -> bool:
    """Returns whether a call of this duration ends before its deadline."""
    return now + estimate_seconds <= deadline


def capacity(report: placement.LoadReport) -> int:
    """Returns how many calls a server accepts before it sheds."""
    return max(report.slots, 1) * (1 + WAITING_PER_SLOT)


def check_report(
    report: placement.LoadReport,
    *,
    server_id: str,
    work_seconds: float,
    now: float,
    deadline: float,
) -> tuple[Refusal | None, float]:
    """Returns why a server may not get a call, and the time until it may.

    Args:
        report: Its load report.
        server_id: Server for which the call is meant.
        work_seconds: Average work of the route's calls.
        now: Monotonic seconds.
        deadline: Monotonic seconds by which the call has to be answered.
    """
    if report.server_id not in ("", server_id):
        return Refusal.NO_SERVER, work_seconds
    if report.running + report.waiting >= capacity(report):
        return Refusal.NO_ROOM, work_seconds
    estimate = placement.estimate_seconds(report, work_seconds)
    if not meets_deadline(
        estimate_seconds=estimate, now=now, deadline=deadline
    ):
        return Refusal.DEADLINE_TOO_CLOSE, estimate
    return None, 0.0


class Decision(enum.Enum):
    """What to do with a call now."""

    SEND = "send"
    WAIT = "wait"
    REJECT = "reject"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallTiming:
    """Times of a call's target and deadline, in monotonic seconds.

    Attributes:
        target_at: When an answer loses most of its value, counted from the
            caller's first attempt.
        answer_by: Deadline of the answer.
        work_seconds: Average work of the route's calls.
    """

    target_at: float
    answer_by: float
    work_seconds: float

    @property
    def latest_start_at(self) -> float:
        """Latest start at which an idle server can still meet the target."""
        return self.target_at - self.work_seconds * WORK_MARGIN

    @property
    def late_wait_until(self) -> float:
        """End of the wait of a call that has missed its target."""
        return min(
            self.latest_start_at + LATE_WAIT_SECONDS,
            self.answer_by - self.work_seconds * WORK_MARGIN,
        )


def decide(
    report: placement.LoadReport,
    timing: CallTiming,
    *,
    now: float,
    cross_zone_seconds: float = 0.0,
) -> Decision:
    """Decides whether to send a call to the best server found.

    A call that would miss its target there waits as long as some server could
    still meet it: a slow period may end, or a slot become free. A call that
    misses its target in any case waits a little longer for a server of normal
    speed with slots to spare, because on a slow machine it occupies a slot
    several times as long, and in one of the last slots it slows the other calls
    down. Calls do not queue at
    a server, where neither their start nor the machine's speed at that time can
    be predicted.

    Args:
        report: The server's load report.
        timing: When the call is due.
        now: Monotonic seconds.
        cross_zone_seconds: Cost of sending to another zone. A call with a large
            answer waits for a server of the own zone instead.
    """
    estimate = placement.estimate_seconds(report, timing.work_seconds)
    free = report.running < report.slots
    if free and now + estimate + cross_zone_seconds <= timing.target_at:
        return Decision.SEND
    if report.waiting >= report.slots * FULL_QUEUE_PER_SLOT:
        # The queue is too long; the caller does better to retry later.
        return Decision.REJECT
    if now + RECHECK_SECONDS <= timing.latest_start_at:
        return Decision.WAIT
    # A slot that would slow the other calls down is reserved for calls that can
    # still meet their target.
    idle = report.running == 0 or not placement.is_crowded(report)
    if idle and report.slowness <= placement.NORMAL_SLOWNESS:
        return Decision.SEND
    if now + RECHECK_SECONDS <= timing.late_wait_until:
        return Decision.WAIT
    in_time = now + estimate * WORK_MARGIN <= timing.answer_by
    return Decision.SEND if idle and in_time else Decision.REJECT


def draw_retry_after_seconds(
    *, wait_seconds: float, random_source: random.Random
) -> float:
    """Returns the delay after which a rejected caller should retry.

    Args:
        wait_seconds: Expected time until a slot is free.
        random_source: Source of the jitter.
    """
    spread = 1.0 + random_source.random() * RETRY_AFTER_JITTER
    seconds = max(wait_seconds, MIN_RETRY_AFTER_SECONDS) * spread
    return min(seconds, MAX_RETRY_AFTER_SECONDS)
