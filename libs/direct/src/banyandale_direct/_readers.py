"""Elects the gateways that read the store.

Load pattern: with a watch per gateway and kind, store calls, which are paid
for, grow with the number of gateways. Instead one gateway per zone reads and
notifies the others: the first live one in an order common to all gateways. The
next ones take over when they have heard no reader for a while, the first in the
order soonest. A reader whose store does not answer says so, and all others of
its zone then try themselves, because a store may reject single VMs.
"""

# Interval at which a reader notifies its zone that it reads.
NOTIFY_SECONDS = 0.4
# The next gateway takes over after this long without a digest from a reader.
# The tightest required bound (2 s from the store's answer to its effect in the
# gateways) leaves room for this, the rank delays below and one call.
SILENT_READER_SECONDS = 1.0
# Additional delay per rank before a gateway takes over, up to `MAX_RANK_DELAYS`
# ranks.
RANK_DELAY_SECONDS = 0.15
MAX_RANK_DELAYS = 4
# A starting gateway listens this long for other gateways before it reads the
# store itself. Gateways that the others know as seeds read immediately.
STARTUP_LISTEN_SECONDS = 0.4
# A starting gateway that hears no other listens this long: a running gateway
# answers the first digest within two round trips of 8 ms. After a restart of
# all gateways, the seeds may be the last to start.
ALONE_LISTEN_SECONDS = 0.1


class ReaderElection:
    """Decides whether this gateway reads the store."""

    def __init__(self, *, started_at: float, immediately: bool = False) -> None:
        listen = 0.0 if immediately else STARTUP_LISTEN_SECONDS
        self._started_at = started_at
        self._last_reader_at = started_at - SILENT_READER_SECONDS + listen

    def record_digest(self, *, now: float, ahead: bool, reading: bool) -> None:
        """Records a digest from a gateway of the own zone.

        Args:
            now: Monotonic seconds.
            ahead: Whether the sender precedes this gateway in the order.
            reading: Whether it reads the store and gets answers.
        """
        if ahead and reading:
            self._last_reader_at = now

    def should_read(
        self, *, now: float, rank: int, alone: bool = False
    ) -> bool:
        """Returns whether this gateway should read the store now.

        Args:
            now: Monotonic seconds.
            rank: Index of this gateway among the live ones of its zone.
            alone: Whether no other gateway is known to be alive.
        """
        if alone and now >= self._started_at + ALONE_LISTEN_SECONDS:
            return True
        wait = (
            SILENT_READER_SECONDS
            + min(rank, MAX_RANK_DELAYS) * RANK_DELAY_SECONDS
        )
        return now >= self._last_reader_at + wait
