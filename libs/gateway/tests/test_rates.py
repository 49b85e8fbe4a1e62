"""Tests of request rate limits."""

import dataclasses

from banyandale_gateway import _rates as rates


@dataclasses.dataclass
class Service:
    rate_limit_per_s: float | None
    name: str = "s"


class Clock:
    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


def count_allowed(limits, service, tries):
    return sum(limits.allow(service) for _ in range(tries))


def test_limit_is_shared_by_the_gateways():
    """Guards against gateways that each allow the full limit."""
    clock = Clock()
    limits = rates.RateLimits(clock=clock)
    limits.set_gateways(5)
    service = Service(rate_limit_per_s=50)
    assert count_allowed(limits, service, 100) == 10
    clock.now += 0.5
    assert count_allowed(limits, service, 100) == 5


def test_service_without_limit_is_never_refused():
    """Guards against a limit on services that have none configured."""
    limits = rates.RateLimits(clock=Clock())
    service = Service(rate_limit_per_s=None)
    assert count_allowed(limits, service, 1000) == 1000
