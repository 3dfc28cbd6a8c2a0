"""Retry budget and backoff of failed requests."""

import random

__all__ = ["RetryBudget", "backoff_s"]

RETRY_BUDGET_RATIO = 0.1
MAX_RETRY_TOKENS = 20.0
FIRST_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.1


class RetryBudget:
    """Token bucket that limits the retries of one service to a fraction of its requests."""

    def __init__(self) -> None:
        self._tokens = MAX_RETRY_TOKENS

    def count_request(self) -> None:
        """Adds `RETRY_BUDGET_RATIO` tokens for a new request."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_BUDGET_RATIO)

    def try_take(self) -> bool:
        """Takes one token for a retry; returns False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def backoff_s(attempt: int, generator: random.Random) -> float:
    """Returns the seconds to wait before a retry: exponential backoff with full jitter.

    Args:
        attempt: 1 for the first retry.
        generator: a seeded generator.
    """
    bound = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**attempt)
    return generator.uniform(0.0, bound)
