"""Weighted rendezvous hashing.

Every node that knows the same candidates computes the same order. If a
candidate is removed, only the keys for which it was first are reassigned.
"""

from collections.abc import Mapping
import hashlib
import math

HASH_BYTES = 8
HASH_RANGE = 2.0 ** (8 * HASH_BYTES)


def rank(key: str, weights: Mapping[str, float]) -> list[str]:
    """Orders candidates by preference for a key.

    Args:
        key: Key to be assigned to a candidate.
        weights: Weight by candidate. A candidate with twice the weight of
            another is first for twice as many keys.

    Returns:
        The candidates with a positive weight, the preferred one first.
    """
    scores = _score_all(key, weights)
    return sorted(scores, key=lambda name: (scores[name], name), reverse=True)


def choose(key: str, weights: Mapping[str, float]) -> str | None:
    """Returns the first candidate of `rank`, or None without candidates."""
    scores = _score_all(key, weights)
    if not scores:
        return None
    return max(scores, key=lambda name: (scores[name], name))


def _score_all(key: str, weights: Mapping[str, float]) -> dict[str, float]:
    return {
        name: _score(key, name, weight)
        for name, weight in weights.items()
        if weight > 0
    }


def _score(key: str, name: str, weight: float) -> float:
    data = f"{name}\0{key}".encode()
    digest = hashlib.blake2b(data, digest_size=HASH_BYTES).digest()
    # Adding 0.5 and the upper limit keep the fraction strictly between 0 and 1,
    # where the logarithm is finite and negative.
    fraction = (int.from_bytes(digest) + 0.5) / HASH_RANGE
    return -weight / math.log(min(fraction, 1 - 2.0**-53))
