"""Limits on the share of extra requests, and when to hedge."""

import banyandale_core as core

UNITS_PER_TOKEN = 1000


class RetryBudgetExhaustedError(core.CodedError):
    """The service has had its share of retries; the request stays failed."""

    code = "retry_budget_exhausted"


class RetryBudget:
    """Token bucket filled by first attempts and emptied by extra ones.

    Over any time the extra attempts are at most `ratio` times the first
    attempts plus the tokens saved before, so that retries cannot multiply an
    overload. Use one budget per service, and one each for retries and hedges.
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
            reserve: Tokens at the start, so that the first failure of a quiet
                service can be retried.
            limit: Most tokens that are saved up for later.
            metrics: Receiver of the counter of refused attempts.
        """
        self._deposit = round(ratio * UNITS_PER_TOKEN)
        # Whole units, because sums of a float ratio drift.
        self._units = min(reserve, limit) * UNITS_PER_TOKEN
        self._limit = limit * UNITS_PER_TOKEN
        self._metrics = metrics or core.MemoryMetrics()

    @property
    def tokens(self) -> float:
        """Extra attempts that are possible now."""
        return self._units / UNITS_PER_TOKEN

    def set_ratio(self, ratio: float) -> None:
        """Takes over a changed ratio."""
        self._deposit = round(ratio * UNITS_PER_TOKEN)

    def deposit(self) -> None:
        """Counts a first attempt."""
        self._units = min(self._units + self._deposit, self._limit)

    def try_spend(self) -> bool:
        """Takes a token for an extra attempt; returns whether there was one."""
        if self._units < UNITS_PER_TOKEN:
            return False
        self._units -= UNITS_PER_TOKEN
        return True

    def spend(self) -> None:
        """Takes a token for an extra attempt.

        Raises:
            RetryBudgetExhaustedError: There is none.
        """
        if not self.try_spend():
            self._metrics.incr(RetryBudgetExhaustedError.code)
            raise RetryBudgetExhaustedError("the retry budget is exhausted")


def hedge_delay(p95_seconds: float, *, minimum_seconds: float = 0.002) -> float:
    """Returns the seconds after which an idempotent request is hedged.

    Args:
        p95_seconds: Service time of the service that 95% stay below.
        minimum_seconds: Least delay; below it the response is more likely to
            be on its way than the second request is to overtake it.
    """
    return max(p95_seconds, minimum_seconds)
