"""Tells jobs within an account's rate from those beyond it."""

import dataclasses

from pollengate.workflow.model import ClientAccount

__all__ = ["JobRates"]

BURST_S = 2.0
# Jobs are spread over the shards at random, so that two that an account hands in together may reach
# the same one. Without a lower bound, an account with a small weight could not hand in even one.
MIN_BURST_JOBS = 2.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float


class JobRates:
    """A token bucket for each client account; a job beyond the account's rate finds no token.

    An account's rate in one shard is `weight / shards` jobs a second. Buckets begin full.

    Args:
        shards: number of shards of the deployment.
    """

    def __init__(self, shards: int) -> None:
        self._shards = shards
        self._buckets_by_account: dict[str, _Bucket] = {}

    def take(self, account: ClientAccount, now: float) -> bool:
        """Takes a token for a job; returns whether there was one.

        Args:
            account: the account in the configuration in force.
            now: time of the job's acceptance in seconds; an earlier time than that of the job
                before adds no tokens.
        """
        rate = account.weight / self._shards
        capacity = max(BURST_S * rate, MIN_BURST_JOBS)
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None:
            bucket = self._buckets_by_account[account.name] = _Bucket(capacity, now)
        gained = max(now - bucket.filled_at, 0.0) * rate
        bucket.tokens = min(bucket.tokens + gained, capacity)
        bucket.filled_at = now
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def retain(self, accounts: dict[str, ClientAccount]) -> None:
        """Forgets the buckets of accounts that are no longer configured."""
        for name in self._buckets_by_account.keys() - accounts.keys():
            del self._buckets_by_account[name]
