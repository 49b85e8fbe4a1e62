"""Tests of the end of a process's tasks."""

import curio
import pytest

import banyandale_core as core


async def start_successors(count):
    """Starts another task when it is cancelled, which does the same."""
    try:
        await curio.sleep(100)
    except BaseException:
        if count > 0:
            await curio.spawn(start_successors, count - 1, daemon=True)
        raise


async def run(*, fails=False):
    await curio.spawn(start_successors, 3, daemon=True)
    await curio.sleep(0)
    if fails:
        raise ValueError("failed")
    return "done"


def test_tasks_that_start_others_while_they_end_do_not_fail_the_process():
    """Guards against a planned stop that ends with status 1."""
    with pytest.raises(AssertionError):
        curio.run(run)
    assert core.run_tasks(run) == "done"


def test_errors_of_the_main_task_are_raised():
    async def fail():
        await run(fails=True)

    with pytest.raises(ValueError, match="failed"):
        core.run_tasks(fail)
