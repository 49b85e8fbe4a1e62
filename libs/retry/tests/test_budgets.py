"""Tests of the retry budget and the hedge delay."""

import hypothesis
from hypothesis import strategies as st
import pytest

import banyandale_core as core
import banyandale_retry as retry


@hypothesis.settings(derandomize=True, max_examples=50)
@hypothesis.given(
    attempts=st.lists(st.booleans(), max_size=200),
    percent=st.integers(min_value=0, max_value=50),
)
def test_extra_attempts_stay_within_ratio(attempts, percent):
    # Guards against retries that amplify an overload.
    budget = retry.RetryBudget(ratio=percent / 100, reserve=2, limit=5)
    first = spent = 0
    for is_first in attempts:
        if is_first:
            budget.deposit()
            first += 1
        else:
            spent += budget.try_spend()
        assert spent * 100 <= 200 + first * percent
        assert budget.tokens <= 5


def test_empty_budget_is_typed_and_counted():
    # Guards against refused retries that no error code or counter shows.
    metrics = core.MemoryMetrics()
    budget = retry.RetryBudget(ratio=0.1, reserve=0, metrics=metrics)
    for _ in range(10):
        budget.deposit()
    budget.spend()
    with pytest.raises(retry.RetryBudgetExhaustedError):
        budget.spend()
    assert metrics.counters["retry_budget_exhausted"] == 1


def test_hedge_never_before_minimum():
    # Guards against hedging most requests of a service whose responses take
    # less than a few milliseconds.
    assert retry.hedge_delay(0.0005, minimum_seconds=0.002) == 0.002
    assert retry.hedge_delay(0.03) == 0.03
