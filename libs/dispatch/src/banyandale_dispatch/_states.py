"""Values that the dispatcher takes and returns, and its state per server."""

import dataclasses
import enum
import math

# A late report of a leaving server may still say warm.
LEAVING_HOLD_SECONDS = 5.0
# Weight of one service time in a server's score.
SCORE_WEIGHT = 0.2
# Long requests are usual, but this many responses in a row that took this
# multiple of the p90 are not: with a log-normal distribution of sigma 1 they
# happen by chance once in 70,000 responses.
SLOW_RESPONSE_FACTOR = 2.0
SLOW_RUN_LENGTH = 3
# A server with such a run is used only when needed for this multiple of the
# p90, doubled with each further slow response.
FIRST_SLOW_PAUSE_FACTOR = 4.0
MAX_SLOW_PAUSE_SECONDS = 2.0


class Phase(enum.Enum):
    """What is known about a server's ability to take load."""

    UNKNOWN = "unknown"
    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """A server as the configuration and the VM list describe it.

    Attributes:
        address: `ip:port`.
        zone: Availability zone.
        slots: Requests that the server handles at a time.
        leaving: Whether it may receive no new work.
    """

    address: str
    zone: str
    slots: int
    leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """What a server reports about itself with a response or a probe.

    Attributes:
        boot: Identity of the server process; differs after a restart.
        phase: COLD, WARM or LEAVING.
        in_flight: Requests in flight on the server, from all gateways.
        slots: Requests that the server handles at a time.
    """

    boot: str
    phase: Phase
    in_flight: int = 0
    slots: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HomeLoad:
    """Load of one home, as sent to the other gateways.

    Attributes:
        free_slots: Slots that can take a request immediately.
        queued: Requests that wait.
        wait_estimate: Seconds until a new request would get a slot.
    """

    free_slots: int
    queued: int
    wait_estimate: float


class OutcomeKind(enum.Enum):
    """How a dispatched request ended."""

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"
    LOST = "lost"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """End of a dispatched request.

    Attributes:
        kind: How it ended; LOST means refused, reset or cut off.
        service_seconds: Time at the server; None when the dispatcher shall
            use the time since it assigned the slot.
    """

    kind: OutcomeKind
    service_seconds: float | None = None


class ServerState:
    """What the dispatcher knows about one server.

    Attributes:
        server: Configured values.
        phase: Current phase.
        boot: Identity of the server process last reported.
        in_flight: Requests assigned and not yet released.
        reported_in_flight: In-flight count of the last load report.
        last_report_at: Monotonic seconds of the last load report.
        running: Assignments in flight, the oldest first.
        cold_since: Monotonic seconds of the last change to COLD.
        epoch: Grows whenever the server may no longer be the one that was
            known to be warm; assignments of an older epoch must not be sent.
        leaving_since: Monotonic seconds when it reported to be leaving.
        retry_at: Monotonic seconds before which it gets no work.
        losses: Consecutive lost connections.
        failures: Consecutive failed requests.
        trial: Request in flight by which a slow or failing server is tried.
        listed: Whether the server is in the current list.
        relative_service_time: Smoothed ratio of its service times to the mean
            of the service.
        consecutive_slow: Slow responses in a row.
        slow_until: Monotonic seconds until which it counts as slow because
            of consecutive slow responses.
    """

    __slots__ = (
        "address",
        "boot",
        "cold_since",
        "consecutive_slow",
        "epoch",
        "failures",
        "in_flight",
        "last_report_at",
        "leaving_since",
        "listed",
        "losses",
        "phase",
        "relative_service_time",
        "reported_in_flight",
        "retry_at",
        "running",
        "server",
        "slow_until",
        "trial",
    )

    def __init__(self, server: Server, *, now: float) -> None:
        self.server = server
        self.address = server.address
        self.phase = Phase.LEAVING if server.leaving else Phase.UNKNOWN
        self.boot: str | None = None
        self.in_flight = 0
        self.reported_in_flight = 0
        self.last_report_at = -math.inf
        self.running: dict[Assignment, None] = {}
        self.cold_since = now
        self.epoch = 0
        self.retry_at = 0.0
        self.losses = 0
        self.failures = 0
        self.relative_service_time = 1.0
        self.consecutive_slow = 0
        self.slow_until = 0.0
        self.leaving_since = now
        self.trial: Assignment | None = None
        self.listed = True

    def become_cold(self, now: float) -> None:
        """Starts the cold phase anew."""
        self.phase = Phase.COLD
        self.cold_since = now
        self.epoch += 1

    def note_service_time(
        self, seconds: float, *, mean: float, p90: float, now: float
    ) -> None:
        """Updates the score and the run of slow responses.

        Args:
            seconds: Service time of one request.
            mean: Mean of the service's recent service times.
            p90: 90th percentile of them.
            now: Monotonic seconds.
        """
        if mean > 0.0:
            self.relative_service_time += SCORE_WEIGHT * (
                seconds / mean - self.relative_service_time
            )
        if not self.note_slow(seconds, p90=p90, now=now):
            self.consecutive_slow = 0
            self.slow_until = 0.0

    def note_slow(self, seconds: float, *, p90: float, now: float) -> bool:
        """Extends the run of slow responses if a request took that long.

        Args:
            seconds: Age of a request when it ended for whatever reason.
            p90: 90th percentile of the service's recent service times.
            now: Monotonic seconds.

        Returns:
            Whether the request was slow.
        """
        if seconds <= SLOW_RESPONSE_FACTOR * p90:
            return False
        self.consecutive_slow += 1
        excess = self.consecutive_slow - SLOW_RUN_LENGTH
        if excess >= 0:
            pause = FIRST_SLOW_PAUSE_FACTOR * p90 * 2 ** min(excess, 10)
            self.slow_until = now + min(pause, MAX_SLOW_PAUSE_SECONDS)
        return True

    def note_report(
        self, report: LoadReport, *, now: float, cold_min_seconds: float
    ) -> None:
        """Changes the phase according to a load report.

        A report can be late or wrong, so it may take load away at once, but
        give load only after the cold phase has lasted its minimum.
        """
        same_boot = report.boot == self.boot
        self.boot = report.boot
        if report.phase is Phase.LEAVING:
            if self.phase is not Phase.LEAVING or not same_boot:
                self.phase = Phase.LEAVING
                self.leaving_since = now
        elif not same_boot:
            self.become_cold(now)
        elif self.phase is Phase.LEAVING:
            if now - self.leaving_since >= LEAVING_HOLD_SECONDS:
                self.become_cold(now)
        elif report.phase is not Phase.WARM:
            if self.phase is not Phase.COLD:
                self.become_cold(now)
        elif self.phase is not Phase.WARM:
            warm = now - self.cold_since >= cold_min_seconds
            self.phase = Phase.WARM if warm else Phase.COLD


class Assignment:
    """A slot of a server, held until it is released.

    Attributes:
        address: `ip:port` of the server.
        zone: Availability zone of the server.
        started_at: Monotonic seconds when the slot was assigned.
        epoch: Epoch of the server when the slot was assigned.
    """

    __slots__ = ("address", "epoch", "started_at", "state", "zone")

    def __init__(self, state: ServerState, *, now: float) -> None:
        self.state: ServerState | None = state
        self.address = state.address
        self.zone = state.server.zone
        self.epoch = state.epoch
        self.started_at = now
