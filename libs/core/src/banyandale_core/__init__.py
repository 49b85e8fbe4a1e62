"""Errors, clocks, metrics and logging shared by all banyandale libraries."""

from banyandale_core._clocks import boot_seconds
from banyandale_core._clocks import Clock
from banyandale_core._clocks import deadline_from_unix_ms
from banyandale_core._clocks import deadline_to_unix_ms
from banyandale_core._clocks import MILLISECONDS_PER_SECOND
from banyandale_core._clocks import SystemClock
from banyandale_core._errors import CodedError
from banyandale_core._errors import RunMark
from banyandale_core._events import EventLog
from banyandale_core._events import EventLogHandler
from banyandale_core._garbage_collection import tune_garbage_collector
from banyandale_core._kernels import run_tasks
from banyandale_core._metrics import MemoryMetrics
from banyandale_core._metrics import Metrics
from banyandale_core._metrics import StatsdMetrics
from banyandale_core._prometheus import PrometheusMetrics
from banyandale_core._signals import SignalReceiver
from banyandale_core._signals import wait_for_signal
from banyandale_core._timeouts import timeout_at

__all__ = [
    "MILLISECONDS_PER_SECOND",
    "Clock",
    "CodedError",
    "EventLog",
    "EventLogHandler",
    "MemoryMetrics",
    "Metrics",
    "PrometheusMetrics",
    "RunMark",
    "SignalReceiver",
    "StatsdMetrics",
    "SystemClock",
    "boot_seconds",
    "deadline_from_unix_ms",
    "deadline_to_unix_ms",
    "run_tasks",
    "timeout_at",
    "tune_garbage_collector",
    "wait_for_signal",
]
