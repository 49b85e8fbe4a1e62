"""Tests of the memory limit on answers."""

from banyandale_direct import _memory as memory


def test_answers_without_end_leave_memory_for_others():
    """Guards against a process that is ended for its use of memory.

    The load is twelve answers without end, received in turn in parts of 64 kB,
    beside answers of 100 kB that are sent at once.
    """
    pool = memory.AnswerMemory()
    part = 65536
    received = [0] * 12
    served = 0
    for _ in range(2000):
        for index, size in enumerate(received):
            allowed = size + part <= memory.MAX_ANSWER_BYTES
            if allowed and pool.try_reserve(part):
                received[index] += part
            else:
                pool.release(size)
                received[index] = 0
        if pool.try_reserve(100_000):
            served += 1
            pool.release(100_000)
        assert pool.used <= memory.MAX_TOTAL_BYTES
    assert served > 0.9 * 2000
