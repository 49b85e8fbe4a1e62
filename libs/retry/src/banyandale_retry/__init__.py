"""Backoff, retry budgets and hedge delays."""
