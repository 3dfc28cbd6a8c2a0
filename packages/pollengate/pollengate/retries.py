"""When and how soon a failed request is sent again."""

import random

__all__ = ["RetryBudget", "backoff_s"]

RETRY_BUDGET_RATIO = 0.1
MAX_RETRY_TOKENS = 20.0
FIRST_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.1


class RetryBudget:
    """Limits the retries of one service to a fraction of its requests."""

    def __init__(self) -> None:
        self._tokens = MAX_RETRY_TOKENS

    def count_request(self) -> None:
        """Records a request, of which a fraction may be retried."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_BUDGET_RATIO)

    def try_take(self) -> bool:
        """Takes one retry from the budget; returns whether it had one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def backoff_s(attempt: int, generator: random.Random) -> float:
    """Returns the pause before a retry: full jitter over a doubling bound.

    Args:
        attempt: 1 for the first retry.
        generator: a seeded generator.
    """
    bound = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**attempt)
    return generator.uniform(0.0, bound)
