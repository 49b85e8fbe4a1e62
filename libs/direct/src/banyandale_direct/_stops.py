"""How a gateway ends without breaking off a call.

Load pattern: gateways are stopped one after the other under load. A stopping
gateway is not listed to callers any more, but callers still hold its address
for seconds, so it goes on serving. Calls that would not end before the
process has to are rejected as not run, since their callers can go elsewhere.
"""

# Part of the time between SIGTERM and SIGKILL in which calls are taken.
SERVING_FRACTION = 0.75
# Time before SIGKILL at which the process ends, whatever is in flight.
EXIT_MARGIN_SECONDS = 0.35


class StopPlan:
    """The moments of a planned stop, in monotonic seconds."""

    def __init__(self, *, signalled_at: float, grace_seconds: float) -> None:
        self.serve_until = signalled_at + grace_seconds * SERVING_FRACTION
        self.exit_at = signalled_at + grace_seconds - EXIT_MARGIN_SECONDS

    def accepts_call(self, *, now: float, estimate_seconds: float) -> bool:
        """Whether a call that takes this long is taken."""
        return now + 2 * estimate_seconds < self.exit_at and (
            now < self.serve_until
        )
