"""Request rate limits of services."""

import banyandale_config as config
import banyandale_core as core

# Bucket capacity: unused requests of the last second may arrive in a burst.
BURST_SECONDS = 1.0


class _TokenBucket:
    """Token bucket that refills continuously."""

    def __init__(self, *, now: float) -> None:
        self._tokens: float | None = None
        self._refilled_at = now

    def take(self, *, rate: float, now: float) -> bool:
        capacity = max(rate * BURST_SECONDS, 1.0)
        if self._tokens is None:
            self._tokens = capacity
        gained = (now - self._refilled_at) * rate
        self._tokens = min(capacity, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RateLimits:
    """Enforces this gateway's share of the rate limit of each service."""

    def __init__(self, *, clock: core.Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, _TokenBucket] = {}
        self._gateways = 1

    def set_gateways(self, count: int) -> None:
        """Sets the number of gateways that share each limit."""
        self._gateways = max(1, count)

    def allow(self, service: config.Service) -> bool:
        """Takes a token; returns false if the service is over its limit."""
        if service.rate_limit_per_s is None:
            return True
        now = self._clock.monotonic()
        bucket = self._buckets.setdefault(service.name, _TokenBucket(now=now))
        rate = service.rate_limit_per_s / self._gateways
        return bucket.take(rate=rate, now=now)
