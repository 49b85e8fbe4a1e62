"""Builds the contents of `/v1/status`."""

from collections.abc import Mapping
from typing import Any

import banyandale_core as core
from banyandale_gateway import _homes as homes


def describe_home(home: homes.Home, *, has_lease: bool) -> dict[str, Any]:
    """Returns the state of a home and its servers as JSON-compatible data."""
    load = home.dispatcher.load()
    return {
        "service": home.service,
        "zone": home.zone,
        "lease": has_lease,
        "free_slots": load.free_slots,
        "queued": load.queued,
        "wait_ms": round(load.wait_estimate * core.MILLISECONDS_PER_SECOND, 3),
        "servers": [
            {
                "address": state.address,
                "phase": state.phase.value,
                "in_flight": state.in_flight,
            }
            for state in home.dispatcher.list_states()
        ],
    }


def sort_counters(metrics: core.MemoryMetrics) -> Mapping[str, int]:
    """Returns all counters, sorted by name."""
    return dict(sorted(metrics.counters.items()))
