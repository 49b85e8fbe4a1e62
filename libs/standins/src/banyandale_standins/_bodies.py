"""Response bodies that show whether they are complete and match a request.

The first line of a body is `<request target> <bytes> <crc32>`; length and
checksum are those of the rest. Load tools send a different target with each
request. The line is in the body because gateways may change headers.
"""

import random
import zlib

# Payloads are generated in advance, so that no checksum has to be computed for
# a response.
PAYLOADS_PER_SERVICE = 16


class BodyGenerator:
    """Builds the bodies of one service from payloads generated in advance."""

    def __init__(self, *, min_bytes: int, max_bytes: int, seed: int) -> None:
        rng = random.Random(seed)
        source = rng.randbytes(max_bytes)
        self._payloads = []
        for _ in range(PAYLOADS_PER_SERVICE):
            payload = source[: rng.randint(min_bytes, max_bytes)]
            self._payloads.append((payload, zlib.crc32(payload)))

    def make(self, target: bytes, rng: random.Random) -> bytes:
        """Returns a body for a request with the target `target`."""
        payload, checksum = rng.choice(self._payloads)
        return b"%s %d %08x\n%s" % (target, len(payload), checksum, payload)


def find_fault(target: bytes, body: bytes) -> str | None:
    """Checks a body against the target of its request.

    Returns:
        None when the body is complete and belongs to `target`, else
        "incomplete_body" or "wrong_body".
    """
    line, newline, rest = body.partition(b"\n")
    fields = line.split(b" ")
    if not newline or len(fields) != 3:
        return "incomplete_body"
    if fields[0] != target:
        return "wrong_body"
    if int(fields[1]) != len(rest) or int(fields[2], 16) != zlib.crc32(rest):
        return "incomplete_body"
    return None
