"""Orders that all gateways agree on without a word between them."""

import hashlib

DIGEST_BYTES = 8


def weigh(gateway: str, server_id: str) -> bytes:
    """Returns the weight of a gateway for a server, for comparisons."""
    text = f"{gateway}\n{server_id}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
