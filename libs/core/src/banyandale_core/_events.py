"""Structured log lines on a file descriptor that never block the process."""

from collections.abc import Mapping
import json
import logging
import os

from banyandale_core import _clocks as clocks

# Lines that wait for a reader that does not keep up, in bytes. A reader that
# lags by more loses lines, which are counted.
MAX_WAITING_BYTES = 256 * 1024
# Lines about requests per second. A gateway takes a few tens of requests a
# second with three to four lines each; the limit only binds in a flood.
MAX_LINES_PER_SECOND = 400


class EventLog:
    """Writes one JSON object per line.

    Each line has `time` (Unix seconds), `event` and the fields given. A line
    that exceeds the rate, or finds the buffer full, is dropped; the next line
    that is written carries the number of `dropped` lines.

    Attributes:
        dropped: Lines dropped since the start.
    """

    def __init__(
        self,
        *,
        descriptor: int = 1,
        process: Mapping[str, object] | None = None,
        clock: clocks.Clock | None = None,
        max_lines_per_second: int = MAX_LINES_PER_SECOND,
    ) -> None:
        """Creates a log.

        Args:
            descriptor: Open file descriptor; it is set to non-blocking.
            process: Fields that every line carries, such as the node's name.
            clock: Source of the time.
            max_lines_per_second: Rate above which optional lines are dropped.
        """
        self._descriptor = descriptor
        self._process = dict(process or {})
        self._clock = clock or clocks.SystemClock()
        self._rate = max_lines_per_second
        self._tokens = float(max_lines_per_second)
        self._refilled_at = self._clock.monotonic()
        self._waiting = b""
        self._reported = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def identify(self, **fields: object) -> None:
        """Adds fields to every later line."""
        self._process.update(fields)

    def write(self, event: str, **fields: object) -> None:
        """Writes a line about a request; dropped above the rate."""
        if not self._take_token():
            self.dropped += 1
            return
        self._put(event, fields)

    def write_state(self, event: str, **fields: object) -> None:
        """Writes a line about the process itself; not limited by the rate."""
        self._put(event, fields)

    def _take_token(self) -> bool:
        now = self._clock.monotonic()
        gained = (now - self._refilled_at) * self._rate
        self._tokens = min(self._tokens + gained, float(self._rate))
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _put(self, event: str, fields: Mapping[str, object]) -> None:
        record = {
            "time": round(self._clock.unix(), 3),
            "event": event,
            **self._process,
            **fields,
        }
        if self.dropped > self._reported:
            record["dropped"] = self.dropped
        line = json.dumps(record, separators=(",", ":"), default=str) + "\n"
        data = self._waiting + line.encode()
        if len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._reported = self.dropped
        self._waiting = data
        self.flush()

    def flush(self) -> None:
        """Writes what the reader takes now."""
        while self._waiting:
            try:
                count = os.write(self._descriptor, self._waiting)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # The reader is gone; only the counter can tell.
                self.dropped += self._waiting.count(b"\n")
                self._waiting = b""
                return
            self._waiting = self._waiting[count:]


class EventLogHandler(logging.Handler):
    """Writes the log records of libraries as structured lines."""

    def __init__(self, events: EventLog) -> None:
        super().__init__(level=logging.WARNING)
        self._events = events

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record."""
        self._events.write(
            "library_log",
            logger=record.name,
            level=record.levelname,
            message=record.getMessage(),
        )
