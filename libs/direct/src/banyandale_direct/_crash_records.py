"""Evidence that a call's content crashes the servers that run it.

Load pattern: a request ends every server that runs it, and its caller repeats
it at any gateway with a new id. Each server that ended under a content counts
once. A content with such a crash is a suspect and is sent once at a time over
all gateways, until a server answers it or three crashes in a row make it
certain. A server that ends takes innocent calls with it, but only the content
at fault is there each time, and an answered trial clears the others. Crashes of
calls that were sent before the first one was known have the same order and
count as one, so a popular call is not judged by servers that end together.
"""

import collections
from collections.abc import Iterable
import dataclasses
import enum
import math

# Crashes in a row after which a content is refused.
CERTAIN_CRASHES = 3
# A record is kept for this long after the content was last seen.
KEEP_SECONDS = 600.0
# A record without valid crashes is kept for this long, so that gateways with
# older records of it hear that it was answered.
KEEP_ANSWERED_SECONDS = 60.0
# Times from other gateways lack the time in transit. A later one replaces a
# known one only beyond this difference, so that it does not move with each hop.
TRANSIT_SECONDS = 0.1
RENEW_SECONDS = 10.0
# Largest number of records kept, of crashes kept per record, and of records in
# a digest.
MAX_RECORDS = 256
MAX_CRASHES = 8
MAX_SPREAD_RECORDS = 32
# A gateway that loses more servers than this within the window has probably
# lost its path to them.
MAX_BROKEN_SERVERS = 2
BROKEN_WINDOW_SECONDS = 0.1


class CrashState(enum.IntEnum):
    """What is known about a server under which a connection broke.

    When gateways differ, the larger value holds.
    """

    # It did not answer after that, for a reason not known.
    BROKEN = 0
    # Its address refused a connection right after that.
    ENDED = 1
    # It was still registered long after that.
    ALIVE = 2
    # It has started anew, or its entry is gone.
    CONFIRMED = 3


# States of servers that have ended.
ENDED_STATES = frozenset({CrashState.ENDED, CrashState.CONFIRMED})


class Suspicion(enum.Enum):
    """How a call with some content must be treated."""

    NONE = "none"
    SUSPECT = "suspect"
    CERTAIN = "certain"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """The end of a server that was running a content.

    Attributes:
        server_id: The server.
        started_unix_ms: Start of the process that ended.
        broke_at: When its connection broke, in seconds of the boot clock.
        order: Number of earlier breaks in a row that were known when the call
            was sent.
        state: What is known about the server.
    """

    server_id: str
    started_unix_ms: int
    broke_at: float
    order: int
    state: CrashState = CrashState.ENDED

    @property
    def process(self) -> tuple[str, int]:
        """Identity of the process that ended."""
        return self.server_id, self.started_unix_ms


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashRecord:
    """Evidence about one content.

    Attributes:
        fingerprint: The content.
        crashes: Servers that ended under it.
        answered_at: When a server last answered it, in seconds of the boot
            clock; earlier crashes do not count.
        expires_at: When the record may be forgotten.
    """

    fingerprint: bytes
    crashes: tuple[Crash, ...] = ()
    answered_at: float = -math.inf
    expires_at: float

    @property
    def valid_crashes(self) -> tuple[Crash, ...]:
        """The crashes that may count."""
        return tuple(
            crash
            for crash in self.crashes
            if crash.broke_at > self.answered_at
            and crash.state is not CrashState.ALIVE
        )

    @property
    def count(self) -> int:
        """Number of crashes in a row."""
        return len(
            {
                crash.order
                for crash in self.valid_crashes
                if crash.state in ENDED_STATES
            }
        )

    @property
    def next_order(self) -> int:
        """Order of a crash under a call that is sent now."""
        orders = [crash.order for crash in self.valid_crashes]
        return max(orders) + 1 if orders else 0

    @property
    def is_unexplained(self) -> bool:
        """Whether so many breaks in a row must be explained before a send.

        Each of them is, after some seconds at most.
        """
        crashes = self.valid_crashes
        return len({crash.order for crash in crashes}) >= CERTAIN_CRASHES and (
            any(crash.state is CrashState.BROKEN for crash in crashes)
        )

    @property
    def suspicion(self) -> Suspicion:
        """How calls with this content must be treated."""
        if not self.valid_crashes:
            return Suspicion.NONE
        if self.count >= CERTAIN_CRASHES:
            return Suspicion.CERTAIN
        return Suspicion.SUSPECT

    def describe(self) -> dict[str, object]:
        """Returns the log fields of a decision based on this record."""
        return {
            "crashes": self.count,
            "ended_servers": [crash.server_id for crash in self.valid_crashes],
        }


def has_silenced(
    *, reported_before: bool, reports: bool, others_report: bool
) -> bool:
    """Returns whether an overdue call may have silenced its server.

    Load pattern: a request makes every server that runs it go dark. The server
    answers nothing and closes nothing, and its entry goes only seconds later,
    while its caller repeats the request. Such a call makes its content a
    suspect, as a broken connection does. A slow server still reports; a server
    that was silent before the send owes that to something else; and a gateway
    that has lost its path hears none of the other servers either.

    Args:
        reported_before: Whether the server reported right before the send.
        reports: Whether it reports now.
        others_report: Whether another server of its service reports now.
    """
    return reported_before and not reports and others_report


def _merge_crashes(
    known: tuple[Crash, ...], others: Iterable[Crash]
) -> tuple[Crash, ...]:
    merged = {crash.process: crash for crash in known}
    for crash in others:
        earlier = merged.get(crash.process)
        if earlier is None:
            merged[crash.process] = crash
        elif crash.state > earlier.state:
            merged[crash.process] = dataclasses.replace(
                earlier, state=crash.state
            )
    return _keep_newest(merged.values())


def _keep_newest(crashes: Iterable[Crash]) -> tuple[Crash, ...]:
    """Returns the newest crashes, at least one of each order."""
    by_order: dict[int, Crash] = {}
    rest = []
    for crash in sorted(
        crashes,
        key=lambda crash: (
            crash.state in ENDED_STATES,
            crash.broke_at,
        ),
        reverse=True,
    ):
        if crash.order in by_order:
            rest.append(crash)
        else:
            by_order[crash.order] = crash
    return (*by_order.values(), *rest)[:MAX_CRASHES]


class CrashTable:
    """The records of all contents under which servers have ended."""

    def __init__(self) -> None:
        self._records: dict[bytes, CrashRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, fingerprint: bytes) -> CrashRecord | None:
        """Returns the record of a content."""
        return self._records.get(fingerprint)

    def records(self) -> tuple[CrashRecord, ...]:
        """Returns all records."""
        return tuple(self._records.values())

    def suspicion(self, fingerprint: bytes) -> Suspicion:
        """Returns how a call with a content must be treated."""
        record = self._records.get(fingerprint)
        return Suspicion.NONE if record is None else record.suspicion

    def count(self, suspicion: Suspicion) -> int:
        """Returns the number of contents that are treated in one way."""
        return sum(
            record.suspicion is suspicion for record in self._records.values()
        )

    def record_crash(self, fingerprint: bytes, crash: Crash) -> bool:
        """Counts a crash; returns whether it was new."""
        return self.merge(
            CrashRecord(
                fingerprint=fingerprint,
                crashes=(crash,),
                expires_at=crash.broke_at + KEEP_SECONDS,
            ),
            now=crash.broke_at,
        )

    def record_answer(self, fingerprint: bytes, *, now: float) -> bool:
        """Records an answer of a server; returns whether it cleared crashes."""
        known = self._records.get(fingerprint)
        if known is None or not known.valid_crashes:
            return False
        self._records[fingerprint] = dataclasses.replace(
            known, answered_at=now, expires_at=now + KEEP_ANSWERED_SECONDS
        )
        return True

    def renew(self, fingerprint: bytes, *, now: float) -> None:
        """Keeps a record whose content was seen again."""
        known = self._records.get(fingerprint)
        if known is None or known.suspicion is Suspicion.NONE:
            return
        if known.expires_at < now + KEEP_SECONDS - RENEW_SECONDS:
            self._records[fingerprint] = dataclasses.replace(
                known, expires_at=now + KEEP_SECONDS
            )

    def settle(
        self, fingerprint: bytes, process: tuple[str, int], state: CrashState
    ) -> None:
        """Records what became of a server under which a connection broke."""
        known = self._records.get(fingerprint)
        if known is None:
            return
        crashes = tuple(
            dataclasses.replace(crash, state=state)
            if crash.process == process and crash.state < state
            else crash
            for crash in known.crashes
        )
        self._records[fingerprint] = dataclasses.replace(known, crashes=crashes)

    def merge(self, record: CrashRecord, *, now: float) -> bool:
        """Merges another gateway's record; returns whether a count changed."""
        if record.expires_at <= now:
            return False
        known = self._records.get(record.fingerprint)
        if known is None:
            if not record.crashes:
                return False
            self._records[record.fingerprint] = dataclasses.replace(
                record, crashes=_merge_crashes((), record.crashes)
            )
            self._evict()
            return record.suspicion is not Suspicion.NONE
        answered_at = known.answered_at
        if record.answered_at > answered_at + TRANSIT_SECONDS:
            answered_at = record.answered_at
        expires_at = known.expires_at
        if record.expires_at > expires_at + RENEW_SECONDS:
            expires_at = record.expires_at
        merged = CrashRecord(
            fingerprint=record.fingerprint,
            crashes=_merge_crashes(known.crashes, record.crashes),
            answered_at=answered_at,
            expires_at=expires_at,
        )
        self._records[record.fingerprint] = merged
        return (merged.count, merged.suspicion) != (
            known.count,
            known.suspicion,
        )

    def _evict(self) -> None:
        while len(self._records) > MAX_RECORDS:
            least = min(
                self._records.values(),
                key=lambda record: (record.count, record.expires_at),
            )
            del self._records[least.fingerprint]

    def spread(self) -> tuple[CrashRecord, ...]:
        """Returns the records for other gateways, the weightiest first."""
        ordered = sorted(
            self._records.values(),
            key=lambda record: (record.count, record.expires_at),
            reverse=True,
        )
        return tuple(ordered[:MAX_SPREAD_RECORDS])

    def spreads_all(self) -> bool:
        """Returns whether `spread` contains all records."""
        return len(self._records) <= MAX_SPREAD_RECORDS

    def forget_expired(self, *, now: float) -> None:
        """Removes records that have expired."""
        for fingerprint, record in list(self._records.items()):
            if record.expires_at <= now:
                del self._records[fingerprint]


class BreakWindow:
    """Servers whose connections to this gateway broke a moment ago."""

    def __init__(self) -> None:
        self._breaks: collections.deque[tuple[float, str]] = collections.deque()

    def is_path_lost(self, server_id: str, *, now: float) -> bool:
        """Records a break; returns whether too many servers broke at once."""
        self._breaks.append((now, server_id))
        while self._breaks[0][0] < now - BROKEN_WINDOW_SECONDS:
            self._breaks.popleft()
        servers = {broken_id for _, broken_id in self._breaks}
        return len(servers) > MAX_BROKEN_SERVERS


class TrialLeases:
    """Suspects that are being sent, at the gateway that decides about them."""

    def __init__(self) -> None:
        self._leases: dict[bytes, tuple[str, float]] = {}

    def try_grant(
        self, fingerprint: bytes, *, holder: str, until: float, now: float
    ) -> bool:
        """Allows one send of a suspect, unless another is in progress.

        A holder may extend its lease.

        Args:
            fingerprint: The content.
            holder: Identifies the send.
            until: When the lease ends if it is not released.
            now: Seconds of the boot clock, as `until`.
        """
        for other, (_, ends_at) in list(self._leases.items()):
            if ends_at <= now:
                del self._leases[other]
        if self._leases.get(fingerprint, (holder, 0.0))[0] != holder:
            return False
        self._leases[fingerprint] = holder, until
        return True

    def release(self, fingerprint: bytes, *, holder: str) -> None:
        """Ends a lease, if it still belongs to the holder."""
        lease = self._leases.get(fingerprint)
        if lease is not None and lease[0] == holder:
            del self._leases[fingerprint]
