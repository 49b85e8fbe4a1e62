"""Clocks that tests can replace, and deadline conversions."""

import time
from typing import Protocol

MILLISECONDS_PER_SECOND = 1000


class Clock(Protocol):
    """Source of the current time."""

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary start; never decreases."""

    def unix(self) -> float:
        """Returns seconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Returns `time.monotonic()`."""
        return time.monotonic()

    def unix(self) -> float:
        """Returns `time.time()`."""
        return time.time()


def boot_seconds() -> float:
    """Returns seconds since the VM started, including those suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def deadline_to_unix_ms(deadline: float, clock: Clock) -> int:
    """Converts a monotonic deadline in seconds to Unix milliseconds."""
    remaining = deadline - clock.monotonic()
    return int((clock.unix() + remaining) * MILLISECONDS_PER_SECOND)


def deadline_from_unix_ms(unix_ms: int, clock: Clock) -> float:
    """Converts Unix milliseconds to a monotonic deadline in seconds."""
    remaining = unix_ms / MILLISECONDS_PER_SECOND - clock.unix()
    return clock.monotonic() + remaining
