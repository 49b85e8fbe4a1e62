"""Backoff, retry budgets and hedge delays."""

from banyandale_retry._backoff import Backoff

__all__ = [
    "Backoff",
]
