"""Tests of structured logging."""

import json
import logging
import os

import banyandale_core as core
from banyandale_core import _events as events


class Clock:
    now = 100.0

    def monotonic(self):
        return self.now

    def unix(self):
        return self.now


def make_log(**options):
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    clock = Clock()
    log = core.EventLog(
        descriptor=writer, process={"node": "n"}, clock=clock, **options
    )
    return log, reader, clock


def read_all(reader):
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return data


def test_lines_are_json_and_name_their_process():
    """Guards against lines that are not valid JSON."""
    log, reader, _ = make_log()
    log.write("placed", request="a", error='"quoted"\nline')
    (line,) = read_all(reader).splitlines()
    assert json.loads(line) == {
        "time": 100.0,
        "event": "placed",
        "node": "n",
        "request": "a",
        "error": '"quoted"\nline',
    }


def test_lines_above_the_rate_limit_are_dropped_and_counted():
    """Guards against logging that uses too much CPU time under load."""
    log, reader, clock = make_log(max_lines_per_second=10)
    for _ in range(50):
        log.write("placed")
    log.write_state("stop")
    lines = read_all(reader).splitlines()
    assert len(lines) == 11
    assert json.loads(lines[-1])["dropped"] == log.dropped == 40
    clock.now += 1.0
    log.write("placed")
    assert "dropped" not in json.loads(read_all(reader))


def test_a_reader_that_does_not_read_never_blocks():
    """Guards against a process blocked by the reader of its log."""
    log, reader, _ = make_log(max_lines_per_second=10**6)
    for _ in range(5000):
        log.write("placed", detail="x" * 100)
    assert log.dropped > 0
    assert len(log._buffer) <= events.MAX_BUFFERED_BYTES
    assert read_all(reader)


def test_a_closed_reader_raises_no_error():
    """Guards against a process that fails when its log reader exits."""
    log, reader, _ = make_log()
    os.close(reader)
    log.write("placed")
    assert log.dropped == 1


def test_libraries_log_structured_lines_too():
    """Guards against unstructured library warnings in the log."""
    log, reader, _ = make_log()
    logger = logging.Logger("curio")
    logger.addHandler(core.EventLogHandler(log))
    logger.warning("took %d", 3)
    record = json.loads(read_all(reader))
    assert (record["event"], record["message"]) == ("library_log", "took 3")
