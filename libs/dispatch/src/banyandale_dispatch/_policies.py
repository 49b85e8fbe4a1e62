"""Choice of one server among those with a free slot."""

from collections.abc import Sequence
import random
from typing import Protocol

from banyandale_dispatch import _states as states


class Policy(Protocol):
    """Chooses a server."""

    def choose(
        self, candidates: Sequence[states.ServerState], now: float
    ) -> states.ServerState | None:
        """Returns one of the candidates, or None to hold the request back."""


class LeastLoaded:
    """Chooses the server with the fewest requests in flight.

    Among equals it takes the one that was fast most recently.
    """

    def choose(
        self, candidates: Sequence[states.ServerState], now: float
    ) -> states.ServerState | None:
        """Returns the least loaded candidate."""
        return min(
            candidates,
            key=lambda state: (state.in_flight, state.relative_service_time),
        )


class Random:
    """Chooses any server with equal probability."""

    def __init__(self, *, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()

    def choose(
        self, candidates: Sequence[states.ServerState], now: float
    ) -> states.ServerState | None:
        """Returns a random candidate."""
        return self._rng.choice(candidates)


class RoundRobin:
    """Chooses one server after the other."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, candidates: Sequence[states.ServerState], now: float
    ) -> states.ServerState | None:
        """Returns the candidate after the last one."""
        self._next += 1
        return candidates[self._next % len(candidates)]


class TwoChoices:
    """Takes two random servers and chooses the one that reports less load."""

    def __init__(self, *, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()

    def choose(
        self, candidates: Sequence[states.ServerState], now: float
    ) -> states.ServerState | None:
        """Returns the less loaded of two random candidates."""
        first = self._rng.choice(candidates)
        second = self._rng.choice(candidates)
        return (
            second
            if second.reported_in_flight < first.reported_in_flight
            else first
        )
