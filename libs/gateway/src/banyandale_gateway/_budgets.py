"""The retry budget of each service."""

import banyandale_config as config
import banyandale_retry as retry


class ServiceBudgets:
    """Keeps one retry budget per service.

    A change of the configured ratio starts a new budget.
    """

    def __init__(self) -> None:
        self._budgets: dict[str, tuple[float, retry.RetryBudget]] = {}

    def find(self, service: config.Service) -> retry.RetryBudget:
        """Returns the budget of a service."""
        entry = self._budgets.get(service.name)
        if entry is None or entry[0] != service.retry_ratio:
            budget = retry.RetryBudget(ratio=service.retry_ratio)
            entry = (service.retry_ratio, budget)
            self._budgets[service.name] = entry
        return entry[1]
