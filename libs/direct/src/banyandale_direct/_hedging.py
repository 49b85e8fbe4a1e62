"""Hedging: when a repeatable call is also sent to a second server.

Load pattern: single servers hang, or become several times slower, after a call
was sent to them. The hedge is sent at the last moment at which a typical server
can still meet the route's target, so that a call that is merely long rarely
causes one.
"""

from banyandale_direct import _admission as admission

# No hedge is sent before the first send has taken this multiple of the average
# work.
MIN_WAIT_FACTOR = 1.2


def hedge_at(
    *,
    started_at: float,
    sent_at: float,
    target_seconds: float,
    work_seconds: float,
) -> float:
    """Returns when the hedge is due, in monotonic seconds."""
    latest_start = (
        started_at + target_seconds - admission.WORK_MARGIN * work_seconds
    )
    return max(latest_start, sent_at + MIN_WAIT_FACTOR * work_seconds)
