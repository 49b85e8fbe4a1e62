"""Exponential backoff with full jitter."""

import random


class Backoff:
    """Computes the delays between the attempts of one caller.

    Each delay is uniform between zero and a bound that doubles with every
    failure. Full jitter spreads the retries of many nodes that lost the same
    service at the same time.
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
            base: Upper bound of the first delay in seconds.
            limit: Maximum of the upper bound in seconds.
        """
        self._rng = rng
        self._base = base
        self._limit = limit
        self._bound = base

    def next_delay(self) -> float:
        """Returns the delay in seconds after a failure; doubles the bound."""
        delay = self._rng.uniform(0.0, self._bound)
        self._bound = min(self._bound * 2, self._limit)
        return delay

    def reset(self) -> None:
        """Resets the bound to `base`; call it after a success."""
        self._bound = self._base
