"""Policies that choose one server among those with a free slot."""

from collections.abc import Sequence
import random
from typing import Protocol

from banyandale_dispatch import _states as states


class Policy(Protocol):
    """Chooses a server for a request."""

    def choose(
        self, candidates: Sequence[states.ServerState], now: float
    ) -> states.ServerState | None:
        """Returns a candidate, or None to keep the request waiting."""


class LeastLoaded:
    """Chooses the server with the fewest requests in flight.

    Ties go to the server with the lowest relative service time.
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
    """Chooses the candidates in turn."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, candidates: Sequence[states.ServerState], now: float
    ) -> states.ServerState | None:
        """Returns the next candidate in turn."""
        self._next += 1
        return candidates[self._next % len(candidates)]


class TwoChoices:
    """Chooses the server with less reported load among two random ones."""

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
