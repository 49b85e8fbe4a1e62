"""Identity of a call's content, which its repeats share."""

import hashlib

from banyandale_direct import _protocols as protocols

FINGERPRINT_BYTES = 16
# Credentials by which a request names its caller.
CALLER_HEADERS = (b"authorization", b"cookie")


def compute_fingerprint(call: protocols.Call) -> bytes:
    """Returns a digest of method, host, target, caller and body.

    The request id and the deadline differ between a caller's attempts, and the
    service between calls of a route with weights, so they are not included.
    """
    request = call.request
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (
        request.method,
        call.host.encode("latin-1"),
        request.target,
        *(request.header(name) or b"" for name in CALLER_HEADERS),
        request.body,
    ):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
