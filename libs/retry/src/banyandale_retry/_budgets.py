"""Limits on the share of retries and hedges, and the hedge delay."""

import banyandale_core as core

UNITS_PER_TOKEN = 1000


class RetryBudgetExhaustedError(core.CodedError):
    """The service's retry budget is empty; the request is not retried."""

    code = "retry_budget_exhausted"


class RetryBudget:
    """Token bucket filled by first attempts and emptied by extra attempts.

    In any period the extra attempts are at most `ratio` times the first
    attempts plus the tokens at its start, so that retries cannot amplify an
    overload. Each service needs one budget for retries and one for hedges.
    """

    def __init__(
        self,
        *,
        ratio: float,
        reserve: int = 3,
        limit: int = 50,
        metrics: core.Metrics | None = None,
    ) -> None:
        """Creates a budget.

        Args:
            ratio: Extra attempts allowed per first attempt.
            reserve: Initial tokens, so that the first failure of a service
                with few requests can be retried.
            limit: Maximum number of tokens.
            metrics: Receives the counter of refused attempts.
        """
        self._units_per_deposit = round(ratio * UNITS_PER_TOKEN)
        # Integer units avoid the rounding errors of summing a float ratio.
        self._units = min(reserve, limit) * UNITS_PER_TOKEN
        self._limit = limit * UNITS_PER_TOKEN
        self._metrics = metrics or core.MemoryMetrics()

    @property
    def tokens(self) -> float:
        """Number of extra attempts allowed now."""
        return self._units / UNITS_PER_TOKEN

    def set_ratio(self, ratio: float) -> None:
        """Changes the ratio."""
        self._units_per_deposit = round(ratio * UNITS_PER_TOKEN)

    def deposit(self) -> None:
        """Counts a first attempt."""
        self._units = min(self._units + self._units_per_deposit, self._limit)

    def try_spend(self) -> bool:
        """Takes a token for an extra attempt; returns False if none is left."""
        if self._units < UNITS_PER_TOKEN:
            return False
        self._units -= UNITS_PER_TOKEN
        return True

    def spend(self) -> None:
        """Takes a token for an extra attempt.

        Raises:
            RetryBudgetExhaustedError: No token is left.
        """
        if not self.try_spend():
            self._metrics.incr(RetryBudgetExhaustedError.code)
            raise RetryBudgetExhaustedError("the retry budget is exhausted")


def hedge_delay(p95_seconds: float, *, minimum_seconds: float = 0.002) -> float:
    """Returns the seconds after which an idempotent request is hedged.

    Args:
        p95_seconds: 95th percentile of the service's service times.
        minimum_seconds: Minimum delay. After a shorter one the first response
            would probably arrive before that of the second request.
    """
    return max(p95_seconds, minimum_seconds)
