"""Decides which gateway may send a content that no server has answered yet.

Load pattern: a request silences every server that runs it, late in its run, and
comes again and again at all gateways meanwhile. Nothing is known against it
until its first server has gone dark, and each copy that is sent until then
costs another one. So the first send of a content holds back its copies until it
has ended. A content that a server has answered is sent without restriction.
"""

import collections
import enum

from banyandale_direct import _crash_records as crash_records

# What is known of a content without evidence against it is kept for this long.
KEEP_SECONDS = 60.0
MAX_CONTENTS = 4096


class Decision(enum.IntEnum):
    """Whether a content may be sent now.

    The values are those of the messages between gateways.
    """

    GRANTED = 1
    # Another send of it is in progress.
    BUSY = 2
    # A server has answered it, so it needs no permission.
    ANSWERED = 3


class RecentContents:
    """Contents that were recorded lately, for example as answered."""

    def __init__(self) -> None:
        # Seconds of the boot clock until which each is kept, oldest first.
        self._until: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def add(self, fingerprint: bytes, *, now: float) -> None:
        """Records a content."""
        self._until[fingerprint] = now + KEEP_SECONDS
        self._until.move_to_end(fingerprint)
        if len(self._until) > MAX_CONTENTS:
            self._until.popitem(last=False)

    def contains(self, fingerprint: bytes, *, now: float) -> bool:
        """Returns whether a content was recorded lately."""
        return self._until.get(fingerprint, now) > now


class Decider:
    """Decides about the contents that are assigned to this gateway."""

    def __init__(
        self,
        *,
        crashes: crash_records.CrashTable,
        leases: crash_records.TrialLeases,
        answered: RecentContents,
    ) -> None:
        """Creates a decider.

        Args:
            crashes: Evidence about contents.
            leases: Sends in progress.
            answered: Contents that servers have answered.
        """
        self._crashes = crashes
        self._leases = leases
        self._answered = answered

    def decide(
        self,
        fingerprint: bytes,
        *,
        holder: str,
        until: float,
        now: float,
        trial: bool,
    ) -> Decision:
        """Decides about a send.

        Args:
            fingerprint: The content.
            holder: Identifies the send.
            until: When its lease ends if it is not released.
            now: Seconds of the boot clock, as `until`.
            trial: Whether the sender knows that the content is a suspect.
        """
        none = crash_records.Suspicion.NONE
        if not trial and self._crashes.suspicion(fingerprint) is not none:
            # The evidence is on its way to the sender.
            return Decision.BUSY
        if not trial and self._answered.contains(fingerprint, now=now):
            return Decision.ANSWERED
        granted = self._leases.try_grant(
            fingerprint, holder=holder, until=until, now=now
        )
        return Decision.GRANTED if granted else Decision.BUSY

    def find_holder(self, fingerprint: bytes) -> str | None:
        """Returns which send of a content is in progress."""
        return self._leases.find_holder(fingerprint)

    def release(
        self, fingerprint: bytes, *, holder: str, answered: bool, now: float
    ) -> None:
        """Ends a send.

        Args:
            fingerprint: The content.
            holder: Identifies the send.
            answered: Whether a server has answered it.
            now: Seconds of the boot clock.
        """
        if answered:
            self._answered.add(fingerprint, now=now)
        self._leases.release(fingerprint, holder=holder)
