"""Weighted distribution of a route's calls over services.

Load pattern: a canary gets a few percent of a route whose calls reach each
gateway only a few times a second. Smooth weighted round robin keeps each
gateway within one call of the exact shares; a random start keeps the gateways
from all sending their first calls to the same service.
"""

import random

from banyandale_direct import _configuration as configuration

# Upper bound of the random number of initial steps. With weights in whole
# percents, a rotation repeats after at most this many.
START_STEPS = 100


class ShareRotation:
    """Chooses the service of each call of one route."""

    def __init__(
        self,
        *,
        shares: tuple[configuration.Share, ...],
        random_source: random.Random,
    ) -> None:
        self._shares = shares
        self._total = sum(share.weight for share in shares)
        self._credit = [0.0 for _ in shares]
        for _ in range(random_source.randrange(START_STEPS)):
            self.choose()

    def choose(self) -> str:
        """Returns the service of the next call."""
        best = 0
        for index, share in enumerate(self._shares):
            self._credit[index] += share.weight
            if self._credit[index] > self._credit[best]:
                best = index
        self._credit[best] -= self._total
        return self._shares[best].service


class ShareRotations:
    """Keeps a rotation per route while its shares are unchanged."""

    def __init__(self, *, random_source: random.Random) -> None:
        self._random = random_source
        self._rotations: dict[
            tuple[str, tuple[configuration.Share, ...]], ShareRotation
        ] = {}

    def choose(self, route: configuration.Route) -> str:
        """Returns the service of the next call of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        key = (route.name, route.shares)
        rotation = self._rotations.get(key)
        if rotation is None:
            rotation = ShareRotation(
                shares=route.shares, random_source=self._random
            )
            self._rotations[key] = rotation
        return rotation.choose()

    def keep_only(self, current: configuration.Configuration) -> None:
        """Removes the rotations of routes that are gone or changed."""
        kept = {
            (route.name, route.shares)
            for routes in current.hosts.values()
            for route in routes
        }
        for key in self._rotations.keys() - kept:
            del self._rotations[key]
