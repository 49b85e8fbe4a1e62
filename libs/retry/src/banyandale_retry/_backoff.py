"""Exponential backoff with full jitter."""

import random


class Backoff:
    """Delays between attempts of one caller.

    Each delay is uniform between zero and a bound that doubles with every
    failure. Full jitter spreads the calls of many nodes that lost the same
    service at the same moment.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        base: float = 0.05,
        limit: float = 2.0,
    ) -> None:
        """Creates a backoff without failures.

        Args:
            rng: Source of jitter, seeded by the caller.
            base: Bound of the first delay in seconds.
            limit: Largest bound in seconds.
        """
        self._rng = rng
        self._base = base
        self._limit = limit
        self._bound = base

    def next_delay(self) -> float:
        """Returns the delay in seconds after one more failure."""
        delay = self._rng.uniform(0.0, self._bound)
        self._bound = min(self._bound * 2, self._limit)
        return delay

    def reset(self) -> None:
        """Starts again at the first bound; call it after a success."""
        self._bound = self._base
