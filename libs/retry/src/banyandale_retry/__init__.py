"""Backoff, retry budgets and hedge delays."""

from banyandale_retry._backoff import Backoff
from banyandale_retry._budgets import hedge_delay
from banyandale_retry._budgets import RetryBudget
from banyandale_retry._budgets import RetryBudgetExhaustedError

__all__ = [
    "Backoff",
    "RetryBudget",
    "RetryBudgetExhaustedError",
    "hedge_delay",
]
