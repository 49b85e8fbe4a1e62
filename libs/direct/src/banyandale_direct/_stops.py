"""Graceful shutdown of a gateway.

Load pattern: gateways are stopped one after the other under load. A stopping
gateway is no longer listed to callers, but callers cache its address for
seconds, so it continues to serve. Calls that would not end before the process
exits are rejected as not run, because their callers can retry elsewhere.
"""

# Fraction of the time between SIGTERM and SIGKILL in which calls are accepted.
SERVING_FRACTION = 0.75
# The process exits this long before SIGKILL, whatever is in flight.
EXIT_MARGIN_SECONDS = 0.35


class StopPlan:
    """Deadlines of a shutdown, in monotonic seconds."""

    def __init__(self, *, signalled_at: float, grace_seconds: float) -> None:
        self.signalled_at = signalled_at
        self.serve_until = signalled_at + grace_seconds * SERVING_FRACTION
        self.exit_at = signalled_at + grace_seconds - EXIT_MARGIN_SECONDS

    def accepts_call(self, *, now: float, estimate_seconds: float) -> bool:
        """Returns whether to accept a call of this expected duration."""
        return now + 2 * estimate_seconds < self.exit_at and (
            now < self.serve_until
        )
