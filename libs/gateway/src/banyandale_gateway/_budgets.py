"""Retry and hedge budgets of each service."""

import banyandale_config as config
import banyandale_retry as retry


class ServiceBudgets:
    """Holds a retry budget and a hedge budget for each service.

    A service gets a new budget when its configured ratio changes.
    """

    def __init__(self) -> None:
        self._budgets: dict[tuple[str, str], tuple[float, retry.RetryBudget]]
        self._budgets = {}

    def find(self, service: config.Service) -> retry.RetryBudget:
        """Returns the budget that retries and hedges of a service share."""
        return self._find("retry", service.name, service.retry_ratio)

    def find_hedges(self, service: config.Service) -> retry.RetryBudget:
        """Returns the additional budget that applies only to hedges."""
        return self._find("hedge", service.name, service.hedge_ratio)

    def _find(self, kind: str, name: str, ratio: float) -> retry.RetryBudget:
        entry = self._budgets.get((kind, name))
        if entry is None or entry[0] != ratio:
            entry = (ratio, retry.RetryBudget(ratio=ratio))
            self._budgets[kind, name] = entry
        return entry[1]
