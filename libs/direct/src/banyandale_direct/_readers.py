"""Which gateways read the store, so that few calls serve all of them.

Load pattern: a watch per gateway and kind grows with the number of gateways,
and each call is paid for. One gateway per zone reads and tells the others.
The first live one in an order that all agree on does so; the next ones take
over when they have not heard from a reader for a while, the nearest first. A
reader whose store does not answer says so, and all others of its zone try
for themselves, since a store may turn away single VMs.
"""

# A reader tells its zone that it reads this often.
NOTIFY_SECONDS = 0.4
# Without word from a reader for this long, the next one takes over. The
# users' shortest bounds (2 s from the store's answer to the effect) leave
# room for this, the steps below and one call.
SILENT_READER_SECONDS = 1.0
# Each further gateway of the order waits this much longer, up to the steps.
RANK_DELAY_SECONDS = 0.15
MAX_RANK_DELAYS = 4
# A starting gateway listens this long for others before it reads itself;
# those whose addresses are in the settings of all others read at once.
STARTUP_LISTEN_SECONDS = 0.4
# One that hears nobody listens this long: a gateway that runs answers the
# first digest within two round trips of 8 ms. After a restart of all, those
# that the others know of may start last.
ALONE_LISTEN_SECONDS = 0.1


class ReaderElection:
    """Decides whether this gateway reads the store."""

    def __init__(self, *, started_at: float, at_once: bool = False) -> None:
        listen = 0.0 if at_once else STARTUP_LISTEN_SECONDS
        self._started_at = started_at
        self._heard_at = started_at - SILENT_READER_SECONDS + listen

    def record_digest(self, *, now: float, ahead: bool, reading: bool) -> None:
        """Notes word from a gateway of the own zone.

        Args:
            now: Monotonic seconds.
            ahead: Whether the sender comes before this one in the order.
            reading: Whether it reads the store and is answered.
        """
        if ahead and reading:
            self._heard_at = now

    def should_read(
        self, *, now: float, rank: int, alone: bool = False
    ) -> bool:
        """Whether this gateway reads.

        Args:
            now: Monotonic seconds.
            rank: Place of this gateway among the live ones of its zone.
            alone: Whether no other gateway is known to be alive.
        """
        if alone and now >= self._started_at + ALONE_LISTEN_SECONDS:
            return True
        wait = (
            SILENT_READER_SECONDS
            + min(rank, MAX_RANK_DELAYS) * RANK_DELAY_SECONDS
        )
        return now >= self._heard_at + wait
