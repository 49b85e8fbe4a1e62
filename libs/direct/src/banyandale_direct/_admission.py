"""When a call is turned away, and when its caller may come back.

Load pattern: more calls than the servers can finish within their deadlines
(a burst, callers that repeat at once, a zone whose servers come back cold).
A call that cannot be finished in time is rejected before it takes a place,
so that the places go to calls that can. A call that would only be late waits
in the gateway, not at a server, for a server that can still meet its target.
The time to come back is when the work that is already waiting is done, spread
at random so that those who were turned away together do not return together.
"""

import dataclasses
import enum
import random

from banyandale_direct import _placement as placement

# Shortest time to come back; below it the caller's new connection costs more
# than the wait.
MIN_RETRY_AFTER_SECONDS = 0.05
# Longest time to come back; the users' callers wait at most a third of the
# time they have left.
MAX_RETRY_AFTER_SECONDS = 2.0
# Times to come back are spread over this factor.
RETRY_AFTER_JITTER = 0.5
# Calls that may wait at a server, per slot. One that has more waiting sheds
# (the users' site files: 2 slots, a queue of 4).
WAITING_PER_SLOT = 2
# Work of a call that nine in ten stay below, relative to the usual work.
WORK_MARGIN = 1.3
# With this many calls waiting per slot a server's queue is so long that a
# place in it is worth nothing to a call with a target.
FULL_QUEUE_PER_SLOT = 1
# How much longer a call that is late in any case waits: slow stretches last
# 300 ms (the users' site files).
LATE_WAIT_SECONDS = 0.4
# Pause between two looks for room.
RECHECK_SECONDS = 0.04


class Refusal(enum.Enum):
    """Why a call was not served; the value is its code."""

    NOT_CONFIGURED = "not_configured"
    NO_ROUTE = "no_route"
    NO_SERVER = "no_server"
    NO_ROOM = "no_room"
    COLD_LIMIT = "cold_limit"
    DEADLINE_TOO_CLOSE = "deadline_too_close"
    STOPPING = "stopping"
    TIMED_OUT = "timed_out"
    OUTCOME_UNKNOWN = "outcome_unknown"
    MALFORMED = "malformed_request"


def meets_deadline(
    *, estimate_seconds: float, now: float, deadline: float
) -> bool:
    """Whether a call that takes this long ends before its deadline."""
    return now + estimate_seconds <= deadline


def capacity(report: placement.LoadReport) -> int:
    """Returns how many calls a server takes before it sheds."""
    return max(report.slots, 1) * (1 + WAITING_PER_SLOT)


def check_report(
    report: placement.LoadReport,
    *,
    server_id: str,
    work_seconds: float,
    now: float,
    deadline: float,
) -> tuple[Refusal | None, float]:
    """Returns why a server may not get a call, and for how long.

    Args:
        report: Its load report.
        server_id: The server that the call is for.
        work_seconds: What a call of the service usually needs.
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
    """What happens to a call now."""

    SEND = "send"
    WAIT = "wait"
    REJECT = "reject"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallTiming:
    """When a call is due. All times are monotonic seconds.

    Attributes:
        target_at: When an answer loses most of its value, counted from the
            caller's first attempt.
        answer_by: When the caller has to have an answer.
        work_seconds: What a call of the service usually needs.
    """

    target_at: float
    answer_by: float
    work_seconds: float

    @property
    def latest_start_at(self) -> float:
        """When an idle server can just meet the target."""
        return self.target_at - self.work_seconds * WORK_MARGIN

    @property
    def late_wait_until(self) -> float:
        """Until when a call that is late waits for a normal server."""
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
    """Decides whether a call goes to the best server that was found.

    A call that would miss its target there waits, as long as another server
    could still meet it: a slow stretch ends, or a slot becomes free. A call
    that is late in any case waits a little longer for an idle server that is
    not slow: one that starts on a slow machine takes a slot several times as
    long, and one beside another call makes that one slower. No call queues at
    a server, where its start and the slowness then are left to chance.

    Args:
        report: The server's load report.
        timing: When the call is due.
        now: Monotonic seconds.
        cross_zone_seconds: What the way to another zone counts for; with a
            large answer it is worth waiting for a server of the own zone.
    """
    estimate = placement.estimate_seconds(report, timing.work_seconds)
    free = report.running < report.slots
    if free and now + estimate + cross_zone_seconds <= timing.target_at:
        return Decision.SEND
    if report.waiting >= report.slots * FULL_QUEUE_PER_SLOT:
        # Too many wait already; the caller is better off coming back.
        return Decision.REJECT
    if now + RECHECK_SECONDS <= timing.latest_start_at:
        return Decision.WAIT
    # A slot beside another call is left to calls that can still be in time.
    idle = report.running == 0
    if idle and report.slowness <= placement.NORMAL_SLOWNESS:
        return Decision.SEND
    if now + RECHECK_SECONDS <= timing.late_wait_until:
        return Decision.WAIT
    in_time = now + estimate * WORK_MARGIN <= timing.answer_by
    return Decision.SEND if idle and in_time else Decision.REJECT


def draw_retry_after_seconds(
    *, wait_seconds: float, random_source: random.Random
) -> float:
    """Returns after how long a rejected caller should come back.

    Args:
        wait_seconds: Time until room is likely.
        random_source: Source of the spread.
    """
    spread = 1.0 + random_source.random() * RETRY_AFTER_JITTER
    seconds = max(wait_seconds, MIN_RETRY_AFTER_SECONDS) * spread
    return min(seconds, MAX_RETRY_AFTER_SECONDS)
