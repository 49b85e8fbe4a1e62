"""Backoff, retry budgets and hedge delays."""

from banyandale_retry._backoff import Backoff
from banyandale_retry._budgets import RetryBudget

__all__ = [
    "Backoff",
    "RetryBudget",
]
