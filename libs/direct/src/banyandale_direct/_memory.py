"""Limits the memory that answers take until they are sent to their callers.

Load pattern: servers in trouble send bytes without end, on several calls at
once. Each answer is limited, and so is the sum of all answers of the process,
so that the calls to such servers fail while the rest of the process goes on.
"""

# Largest answer. The users' largest is 0.6 MB.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Total size of all answers that are being received or not sent yet. An answer
# is copied up to three times, and the smallest VM has 200 MB.
MAX_TOTAL_BYTES = 32 * 1024 * 1024


class AnswerMemory:
    """Memory of a process for the answers of its calls.

    Attributes:
        used: Bytes that are reserved.
    """

    def __init__(self, *, total_bytes: int = MAX_TOTAL_BYTES) -> None:
        self._total = total_bytes
        self.used = 0

    def try_reserve(self, size: int) -> bool:
        """Reserves memory if there is enough; returns whether there was."""
        if self.used + size > self._total:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Returns reserved memory."""
        self.used -= size
