"""Tests of the queues of tasks that act on the same key."""

import time

import curio

from banyandale_direct import _turns as turns


def test_tasks_of_a_key_act_one_after_the_other():
    async def main():
        queue = turns.Turns()
        log = []

        async def act(key, name):
            assert await queue.take(key, deadline=time.monotonic() + 1.0)
            log.append((name, "begin"))
            await curio.sleep(0.01)
            log.append((name, "end"))
            await queue.end(key)

        tasks = [
            await curio.spawn(act, key, name)
            for key, name in ((b"k", "a"), (b"k", "b"), (b"l", "c"))
        ]
        for task in tasks:
            await task.join()
        assert log.index(("a", "end")) < log.index(("b", "begin"))
        assert log.index(("c", "begin")) < log.index(("a", "end"))

    curio.run(main)


def test_a_turn_that_does_not_come_leaves_the_queue():
    """Guards against a key that stays taken by a call that has ended."""

    async def main():
        queue = turns.Turns()
        assert await queue.take(b"k", deadline=time.monotonic() + 1.0)
        assert not await queue.take(b"k", deadline=time.monotonic() + 0.01)
        task = await curio.spawn(
            lambda: queue.take(b"k", deadline=time.monotonic() + 1.0)
        )
        await curio.sleep(0.01)
        await task.cancel()
        await queue.end(b"k")
        assert await queue.take(b"k", deadline=time.monotonic() + 0.01)
        await queue.end(b"k")
        assert queue.count() == 0

    curio.run(main)
