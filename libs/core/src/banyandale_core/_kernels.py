"""Runs the tasks of a process."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import curio

_Result = TypeVar("_Result")

# Rounds in which the tasks that are left at the end are cancelled. Those of one
# round may start others while they end.
SHUTDOWN_ROUNDS = 20


def run_tasks(
    main: Callable[..., Awaitable[_Result]], *args: object
) -> _Result:
    """Runs `main` and returns its result; all other tasks are cancelled then.

    `curio.run` fails instead if a task starts another one meanwhile.
    """
    kernel = curio.Kernel()
    try:
        return kernel.run(main, *args)
    finally:
        _shut_down(kernel)


def _shut_down(kernel: curio.Kernel) -> None:
    for _ in range(SHUTDOWN_ROUNDS - 1):
        try:
            kernel.run(shutdown=True)
            return
        except AssertionError:
            # Some tasks were started after the others were listed.
            continue
    kernel.run(shutdown=True)
