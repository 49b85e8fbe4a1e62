"""Episodes in which noisy neighbours slow a server down."""

import random

import pydantic

import banyandale_core as core
from banyandale_standins import _networks as networks


class EpisodeSettings(networks.Model):
    """How often and how much servers slow down.

    Attributes:
        share: Mean share of servers that are slow at one time.
        factor: How many times slower a server works in an episode.
        length_ms: Length of one episode.
    """

    share: float = pydantic.Field(default=0.05, ge=0, lt=1)
    factor: float = 4.0
    length_ms: float = 50.0


class Episodes:
    """The slow episodes of one server, drawn from a seed.

    Times between episodes are exponentially distributed. The times passed to
    `compute_end_time` must not decrease by more than the length of one request,
    because past episodes are dropped.
    """

    # Episodes that ended this long ago are dropped.
    RETENTION_SECONDS = 60.0

    def __init__(
        self, *, settings: EpisodeSettings, start: float, seed: int
    ) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._length = settings.length_ms / core.MILLISECONDS_PER_SECOND
        self._planned_to = start
        self._episodes: list[tuple[float, float]] = []

    def _plan_episodes(self, until: float) -> None:
        share = self._settings.share
        gap = self._length * (1 - share) / share
        while self._planned_to <= until:
            begin = self._planned_to + self._rng.expovariate(1 / gap)
            self._planned_to = begin + self._length
            self._episodes.append((begin, self._planned_to))

    def _drop_past(self, before: float) -> None:
        while self._episodes and self._episodes[0][1] < before:
            self._episodes.pop(0)

    def compute_end_time(self, *, start: float, work: float) -> float:
        """Returns the monotonic time at which a piece of work ends.

        Args:
            start: When the work starts, in monotonic seconds.
            work: Seconds that the work takes outside of episodes.
        """
        if not self._settings.share:
            return start + work
        self._plan_episodes(start + work * self._settings.factor)
        self._drop_past(start - self.RETENTION_SECONDS)
        now = start
        for begin, end in self._episodes:
            if end <= now:
                continue
            if now + work <= begin:
                break
            work -= max(begin - now, 0.0)
            now = max(now, begin)
            done = min((end - now) / self._settings.factor, work)
            now += done * self._settings.factor
            work -= done
        return now + work
