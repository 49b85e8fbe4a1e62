"""Graceful shutdown of a gateway.

Load pattern: gateways are stopped one after the other under load. A stopping
gateway is no longer listed to callers, but callers cache its address for
seconds, so it continues to serve. Calls that might not end before the process
exits are rejected as not run, because their callers can retry elsewhere.
"""

# Fraction of the time between SIGTERM and SIGKILL for which callers may still
# use the address of a stopping gateway.
SERVING_FRACTION = 0.75
# Fraction in which a call whose limit is after the exit is accepted if its
# route's calls end in time on average, and the longest such time; later, nearly
# all callers have left.
ESTIMATING_FRACTION = 0.5
MAX_ESTIMATING_SECONDS = 3.0
# Multiples of the average work for which there must be time then. A call that
# must not be repeated cannot be retried once it was cut.
REPEATABLE_ESTIMATES = 2
UNREPEATABLE_ESTIMATES = 4
# Before SIGKILL: the last answer is ready; the connections are closed; the
# process exits, whatever is in flight. They shrink with a grace time below
# `FULL_MARGIN_GRACE_SECONDS`.
ANSWER_MARGIN_SECONDS = 0.5
CLOSE_MARGIN_SECONDS = 0.35
EXIT_MARGIN_SECONDS = 0.2
FULL_MARGIN_GRACE_SECONDS = 2.0
# Longest wait for callers that have all answers to close their side.
CLOSE_SECONDS = CLOSE_MARGIN_SECONDS - EXIT_MARGIN_SECONDS
# Interval at which a stopping gateway checks for open calls and connections.
CHECK_SECONDS = 0.02
# A process without a sign of life for longer was suspended or held up.
MAX_SILENT_SECONDS = 0.7
# Time within which a process that runs again handles the signals that it got
# meanwhile; its other tasks may run first.
RESUMING_SECONDS = 0.5


class LifeSigns:
    """Knows for how long the process did not run before a signal.

    A process that is suspended handles a signal only once it runs again.
    """

    def __init__(self, *, boot_now: float) -> None:
        """Starts now.

        Args:
            boot_now: Seconds since the VM started, as in the methods.
        """
        self._last_at = boot_now
        # Start and end of the last time without a sign of life.
        self._silent_since = boot_now
        self._resumed_at = boot_now

    def record(self, boot_now: float) -> None:
        """Records that the process runs."""
        if boot_now - self._last_at > MAX_SILENT_SECONDS:
            self._silent_since = self._last_at
            self._resumed_at = boot_now
        self._last_at = boot_now

    def find_signal_time(self, *, now: float, boot_now: float) -> float:
        """Returns when a signal may have been sent at the earliest.

        Args:
            now: Monotonic seconds.
            boot_now: The same time in seconds since the VM started.

        Returns:
            Monotonic seconds; `now` unless the process was just suspended.
        """
        self.record(boot_now)
        if boot_now - self._resumed_at > RESUMING_SECONDS:
            return now
        return now - (boot_now - self._silent_since)


class StopPlan:
    """Deadlines of a shutdown, in monotonic seconds.

    Attributes:
        signalled_at: When SIGTERM arrived.
        serve_until: Earliest exit of a process without open calls.
        answer_by: Deadline of the answers to calls accepted from now on.
        close_at: When the connections are closed, also those of open calls.
        exit_at: When the process exits, also with open connections.
    """

    def __init__(
        self,
        *,
        signalled_at: float,
        grace_seconds: float,
        boot_offset: float = 0.0,
    ) -> None:
        """Creates a plan.

        Args:
            signalled_at: Monotonic seconds when SIGTERM was sent.
            grace_seconds: Time from SIGTERM to SIGKILL.
            boot_offset: Seconds since the VM started less monotonic seconds.
        """
        killed_at = signalled_at + grace_seconds
        margin = min(grace_seconds / FULL_MARGIN_GRACE_SECONDS, 1.0)
        self._boot_offset = boot_offset
        self.signalled_at = signalled_at
        self.serve_until = signalled_at + grace_seconds * SERVING_FRACTION
        self.answer_by = killed_at - ANSWER_MARGIN_SECONDS * margin
        self.close_at = killed_at - CLOSE_MARGIN_SECONDS * margin
        self.exit_at = killed_at - EXIT_MARGIN_SECONDS * margin
        self._estimate_until = signalled_at + min(
            grace_seconds * ESTIMATING_FRACTION, MAX_ESTIMATING_SECONDS
        )

    def follow(self, *, now: float, boot_now: float) -> None:
        """Moves the deadlines ahead by the time of a suspension.

        Args:
            now: Monotonic seconds, which do not count a suspension of the VM.
            boot_now: The same time in seconds since the VM started, which do.
        """
        suspended_seconds = boot_now - now - self._boot_offset
        self._boot_offset += suspended_seconds
        self.signalled_at -= suspended_seconds
        self.serve_until -= suspended_seconds
        self.answer_by -= suspended_seconds
        self.close_at -= suspended_seconds
        self.exit_at -= suspended_seconds
        self._estimate_until -= suspended_seconds

    def accepts_call(
        self,
        *,
        now: float,
        deadline: float,
        estimate_seconds: float,
        repeatable: bool,
    ) -> bool:
        """Returns whether to accept a call.

        Args:
            now: Monotonic seconds.
            deadline: Monotonic seconds at which the call ends at the latest.
            estimate_seconds: Average work of its route.
            repeatable: Whether the call may be repeated.
        """
        if deadline <= self.answer_by:
            return True
        if now > self._estimate_until:
            return False
        estimates = (
            REPEATABLE_ESTIMATES if repeatable else UNREPEATABLE_ESTIMATES
        )
        return now + estimates * estimate_seconds < self.answer_by
