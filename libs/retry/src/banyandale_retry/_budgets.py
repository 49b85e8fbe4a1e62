"""Budget of retries in proportion to first attempts."""

# Allows retries of a service with few requests.
RESERVE_TOKENS = 10.0


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Args:
        ratio: Retries allowed per first attempt.
        reserve: Tokens at the start, and the most that are kept.
    """

    def __init__(
        self, *, ratio: float, reserve: float = RESERVE_TOKENS
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Adds the share of one first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Takes a token for one retry or hedge, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
