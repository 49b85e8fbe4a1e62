"""When a call that may run twice is also sent to a second server.

Load pattern: single servers hang, or turn several times slower, after a call
was placed. The second send is made at the last moment at which an ordinary
server can still meet the route's target, so that a call that is merely long
rarely causes one.
"""

from banyandale_direct import _admission as admission

# No second send before the first has taken this much of the usual work.
MIN_WAIT_FACTOR = 1.2


def hedge_at(
    *,
    started_at: float,
    sent_at: float,
    target_seconds: float,
    work_seconds: float,
) -> float:
    """Returns when the second send is due, in monotonic seconds."""
    last_chance = (
        started_at + target_seconds - admission.WORK_MARGIN * work_seconds
    )
    return max(last_chance, sent_at + MIN_WAIT_FACTOR * work_seconds)
