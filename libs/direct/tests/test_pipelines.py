"""Tests of the order of the calls on one connection."""

import curio

from banyandale_direct import _pipelines as pipelines


def test_repeatable_calls_overlap_and_others_run_alone():
    """Guards against a deposit that overtakes or is overtaken.

    The load is a read, a write and a read on one connection.
    """

    async def main():
        pipeline = pipelines.Pipeline()
        first = pipeline.add(repeatable=True)
        second = pipeline.add(repeatable=True)
        write = pipeline.add(repeatable=False)
        last = pipeline.add(repeatable=True)
        assert pipeline.blocking(first) == []
        assert pipeline.blocking(second) == []
        assert pipeline.blocking(write) == [first, second]
        assert pipeline.blocking(last) == [write]
        await second.settled.set()
        await pipeline.finish(first)
        assert pipeline.blocking(write) == []
        await write.settled.set()
        assert pipeline.blocking(last) == []

    curio.run(main)


def test_the_number_and_size_of_open_calls_are_bounded():
    """Guards against a caller that sends calls without reading answers."""
    pipeline = pipelines.Pipeline()
    while pipeline.has_room():
        pipeline.add(repeatable=True)
    assert len(pipeline) == pipelines.MAX_OPEN_CALLS
    pipeline = pipelines.Pipeline()
    pipeline.add(repeatable=True, size=pipelines.MAX_OPEN_BYTES)
    assert not pipeline.has_room()


def test_a_call_waits_for_the_answers_before_it():
    """Guards against an answer that is taken for that of an earlier call."""

    async def main():
        pipeline = pipelines.Pipeline()
        first = pipeline.add(repeatable=True)
        second = pipeline.add(repeatable=True)
        waiting = await curio.spawn(second.wait_for_turn)
        await curio.sleep(0.01)
        assert not waiting.terminated
        await pipeline.finish(first)
        await waiting.join()

    curio.run(main)
