"""Availability zones by IP prefix, and the delay between them."""

import random

import pydantic

import banyandale_core as core


class Model(pydantic.BaseModel):
    """Base of all settings models; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Network(Model):
    """Zones by IP prefix, and the network delay between them.

    Attributes:
        zones: Prefix of the zone's IP addresses, by zone name.
        one_way_ms: Delay in one direction between two zones.
        jitter_ms: Mean of the additional delay, exponentially distributed.
        connect_ms: Time to open a connection within a zone.
    """

    zones: dict[str, str] = {}
    one_way_ms: float = 4.0
    jitter_ms: float = 0.3
    connect_ms: float = 1.0

    def find_zone(self, ip: str) -> str | None:
        """Returns the zone of an IP address, or None if no prefix matches."""
        for name, prefix in self.zones.items():
            if ip.startswith(prefix):
                return name
        return None

    def draw_delay(
        self, *, source: str | None, target: str | None, rng: random.Random
    ) -> float:
        """Draws the delay of one message between two zones, in seconds."""
        if source is None or target is None or source == target:
            return 0.0
        jitter = rng.expovariate(1.0) * self.jitter_ms
        return (self.one_way_ms + jitter) / core.MILLISECONDS_PER_SECOND
