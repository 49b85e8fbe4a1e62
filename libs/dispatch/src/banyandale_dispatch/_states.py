"""Arguments and results of the dispatcher, and its state per server."""

import dataclasses
import enum
import math

# After a report of LEAVING, reports of WARM or COLD from the same process are
# ignored for this long, because reports can arrive out of order.
LEAVING_HOLD_SECONDS = 5.0
# Weight of one sample in the moving average of relative service times.
SAMPLE_WEIGHT = 0.2
# A server counts as slow after MIN_CONSECUTIVE_SLOW consecutive responses that
# each took longer than SLOW_RESPONSE_FACTOR times the p90. Single slow
# responses are common; with log-normal service times (sigma 1) such a run
# occurs by chance once in 70,000 responses.
SLOW_RESPONSE_FACTOR = 2.0
MIN_CONSECUTIVE_SLOW = 3
# After such a run, the server is suspect for this multiple of the p90, doubled
# with each further slow response.
FIRST_SLOW_PAUSE_FACTOR = 4.0
MAX_SLOW_PAUSE_SECONDS = 2.0


class Phase(enum.Enum):
    """What the dispatcher knows about a server's ability to take load."""

    UNKNOWN = "unknown"
    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """A server as described by the configuration and the VM list.

    Attributes:
        address: `ip:port`.
        zone: Availability zone.
        slots: Maximum number of concurrent requests.
        leaving: Whether the server must get no new requests.
    """

    address: str
    zone: str
    slots: int
    leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load that a server reports in a response to a request or probe.

    Attributes:
        boot: Boot id of the server process; differs after a restart.
        phase: COLD, WARM or LEAVING.
        in_flight: Requests in flight on the server, from all gateways.
        slots: Maximum number of concurrent requests.
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
        queued: Queued requests.
        wait_estimate: Estimated seconds that a new request waits for a slot.
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
    """Result of a dispatched request.

    Attributes:
        kind: How the request ended. LOST means that the connection was
            refused or reset, or ended before the response was complete.
        service_seconds: Time at the server. None makes the dispatcher use the
            time since it assigned the slot.
    """

    kind: OutcomeKind
    service_seconds: float | None = None


class ServerState:
    """What the dispatcher knows about one server.

    Attributes:
        server: The server as configured.
        phase: Current phase.
        boot: Boot id in the last load report.
        in_flight: Requests assigned and not yet released.
        reported_in_flight: In-flight count of the last load report.
        last_report_at: Monotonic seconds of the last load report.
        running: Assignments in flight, the oldest first.
        cold_since: Monotonic seconds when the cold phase started.
        epoch: Increases whenever the server became cold or may have
            restarted. Assignments of an older epoch must not be sent unless
            they are revalidated.
        leaving_since: Monotonic seconds when the server reported LEAVING.
        retry_at: Monotonic seconds before which the server gets no work.
        losses: Consecutive lost connections.
        failures: Consecutive failed requests.
        trial: Last request in flight assigned while the server was suspect.
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

    def enter_cold_phase(self, now: float) -> None:
        """Starts or restarts the cold phase."""
        self.phase = Phase.COLD
        self.cold_since = now
        self.epoch += 1

    def record_service_time(
        self, seconds: float, *, mean: float, p90: float, now: float
    ) -> None:
        """Updates the relative service time and the slow-response count.

        Args:
            seconds: Service time of one request.
            mean: Mean of the service's recent service times.
            p90: 90th percentile of them.
            now: Monotonic seconds.
        """
        if mean > 0.0:
            self.relative_service_time += SAMPLE_WEIGHT * (
                seconds / mean - self.relative_service_time
            )
        if not self.record_if_slow(seconds, p90=p90, now=now):
            self.consecutive_slow = 0
            self.slow_until = 0.0

    def record_if_slow(self, seconds: float, *, p90: float, now: float) -> bool:
        """Counts a request as slow if it took too long.

        Args:
            seconds: Duration of a request, whatever its outcome.
            p90: 90th percentile of the service's recent service times.
            now: Monotonic seconds.

        Returns:
            Whether the request was slow.
        """
        if seconds <= SLOW_RESPONSE_FACTOR * p90:
            return False
        self.consecutive_slow += 1
        excess = self.consecutive_slow - MIN_CONSECUTIVE_SLOW
        if excess >= 0:
            pause = FIRST_SLOW_PAUSE_FACTOR * p90 * 2 ** min(excess, 10)
            self.slow_until = now + min(pause, MAX_SLOW_PAUSE_SECONDS)
        return True

    def apply_report(
        self, report: LoadReport, *, now: float, cold_min_seconds: float
    ) -> None:
        """Changes the phase according to a load report.

        Reports can be late or wrong. A report can therefore end the WARM phase
        at once, but make the server warm only after the minimum duration of
        the cold phase.
        """
        same_boot = report.boot == self.boot
        self.boot = report.boot
        if report.phase is Phase.LEAVING:
            if self.phase is not Phase.LEAVING or not same_boot:
                self.phase = Phase.LEAVING
                self.leaving_since = now
        elif not same_boot:
            self.enter_cold_phase(now)
        elif self.phase is Phase.LEAVING:
            if now - self.leaving_since >= LEAVING_HOLD_SECONDS:
                self.enter_cold_phase(now)
        elif report.phase is not Phase.WARM:
            if self.phase is not Phase.COLD:
                self.enter_cold_phase(now)
        elif self.phase is not Phase.WARM:
            warm = now - self.cold_since >= cold_min_seconds
            self.phase = Phase.WARM if warm else Phase.COLD


class Assignment:
    """A server slot assigned to a request until it is released.

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
