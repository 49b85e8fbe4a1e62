"""Timeouts with absolute deadlines."""

import time

import curio


def timeout_at(deadline: float) -> object:
    """Returns a context manager that times out at a monotonic deadline.

    Curio 1.6 supports only relative timeouts.

    Args:
        deadline: Deadline in seconds of `time.monotonic()`.
    """
    return curio.timeout_after(max(deadline - time.monotonic(), 0.0))
