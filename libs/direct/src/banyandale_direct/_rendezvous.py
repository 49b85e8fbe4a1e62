"""Rendezvous hashing, which gives the same ranking on every gateway."""

import hashlib

DIGEST_BYTES = 8


def weigh(gateway: str, server_id: str) -> bytes:
    """Returns the hash weight of a gateway for a server."""
    text = f"{gateway}\n{server_id}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
