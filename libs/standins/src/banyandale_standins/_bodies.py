"""Response bodies that prove to be whole and to belong to a request.

The first line of a body is `<request target> <bytes> <crc32>`; length and
checksum are those of the rest. Load tools send a different target with each
request. The proof is in the body, because gateways may change headers.
"""

import random
import zlib

# Sizes that are prepared for each service, so that a response costs no
# checksum of its own.
PAYLOADS_PER_SERVICE = 16


class BodyGenerator:
    """Makes the bodies of one service from prepared pieces."""

    def __init__(self, *, min_bytes: int, max_bytes: int, seed: int) -> None:
        rng = random.Random(seed)
        source = rng.randbytes(max_bytes)
        self._payloads = []
        for _ in range(PAYLOADS_PER_SERVICE):
            payload = source[: rng.randint(min_bytes, max_bytes)]
            self._payloads.append((payload, zlib.crc32(payload)))

    def make(self, target: bytes, rng: random.Random) -> bytes:
        """Returns a body that belongs to the request target `target`."""
        payload, checksum = rng.choice(self._payloads)
        return b"%s %d %08x\n%s" % (target, len(payload), checksum, payload)


def find_fault(target: bytes, body: bytes) -> str | None:
    """Checks a body.

    Returns:
        None when the body is whole and belongs to `target`, else
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
