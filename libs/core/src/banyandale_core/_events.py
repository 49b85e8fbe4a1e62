"""Structured logging that never blocks the process."""

from collections.abc import Mapping
import json
import logging
import os

from banyandale_core import _clocks as clocks

# Size limit of the buffer for lines that the reader has not accepted yet. When
# it is exceeded, new lines are dropped and counted.
MAX_BUFFERED_BYTES = 256 * 1024
# Rate limit for lines about requests. A gateway serves a few tens of requests
# per second with three to four lines each, so the limit applies only when the
# load is unusually high.
MAX_LINES_PER_SECOND = 400


class EventLog:
    """Writes one JSON object per line.

    Each line has `time` (Unix seconds), `event` and the given fields. Lines
    that exceed the rate limit or do not fit in the buffer are dropped; the
    next line written has the total number of dropped lines in `dropped`.

    Attributes:
        dropped: Number of lines dropped since the start.
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
            process: Fields of every line, such as the name of the node.
            clock: Source of the time.
            max_lines_per_second: Rate limit for lines about requests.
        """
        self._descriptor = descriptor
        self._process_fields = dict(process or {})
        self._clock = clock or clocks.SystemClock()
        self._max_lines_per_second = max_lines_per_second
        self._tokens = float(max_lines_per_second)
        self._refilled_at = self._clock.monotonic()
        self._buffer = b""
        self._reported_dropped = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def identify(self, **fields: object) -> None:
        """Adds fields to all later lines."""
        self._process_fields.update(fields)

    def write(self, event: str, **fields: object) -> None:
        """Writes a line about a request, or drops it above the rate limit."""
        if not self._take_token():
            self.dropped += 1
            return
        self._write_record(event, fields)

    def write_state(self, event: str, **fields: object) -> None:
        """Writes a line about the process; the rate limit does not apply."""
        self._write_record(event, fields)

    def _take_token(self) -> bool:
        now = self._clock.monotonic()
        gained = (now - self._refilled_at) * self._max_lines_per_second
        self._tokens = min(
            self._tokens + gained, float(self._max_lines_per_second)
        )
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write_record(self, event: str, fields: Mapping[str, object]) -> None:
        record = {
            "time": round(self._clock.unix(), 3),
            "event": event,
            **self._process_fields,
            **fields,
        }
        if self.dropped > self._reported_dropped:
            record["dropped"] = self.dropped
        line = json.dumps(record, separators=(",", ":"), default=str) + "\n"
        data = self._buffer + line.encode()
        if len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._reported_dropped = self.dropped
        self._buffer = data
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as possible without blocking."""
        while self._buffer:
            try:
                count = os.write(self._descriptor, self._buffer)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # The reader is gone; the lost lines can only be counted.
                self.dropped += self._buffer.count(b"\n")
                self._buffer = b""
                return
            self._buffer = self._buffer[count:]


class EventLogHandler(logging.Handler):
    """Writes log records of third-party libraries as structured lines."""

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
