"""A short, seeded run of the fault soak, and seeds that failed before."""

import pytest

import soak

SECONDS = 4.0


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_faults(tmp_path, seed):
    """Guards against second runs, false refusals and mixed answers."""
    counts = soak.run_seed(tmp_path, seed, SECONDS)
    assert counts.get(200, 0) > 0
