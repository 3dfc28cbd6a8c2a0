"""Order of steps among client accounts.

Within a priority, jobs that an account handed in beyond its rate come last. Among the others, and
among those, accounts at or under their fair share of the shard come first. Steps of accounts that
are equally far over their share, and all those of accounts under it, have the order of another
`StepOrder`, so that deadlines decide.
"""

import bisect
import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any

from pollengate.accounts.job_rates import JobRates
from pollengate.accounts.usage import amounts_of
from pollengate.dominant_share import Amounts, dominant_share
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import ClientAccount, Demand, Queue
from pollengate.workflow.ordering import LOWEST_PRIORITY, StepOrder, runs_again
from pollengate.workflow.progress import JobProgress, StepProgress

__all__ = ["AccountOrder"]

# Accounts over their share are told apart in bands of this ratio, half of the 10 % within which
# weights are kept. One class for all of them would leave large accounts to the deadlines alone
# while many small ones keep the fair share low.
BAND_RATIO = 1.05
# Stands for a weight of zero, which would make each share infinite.
MIN_WEIGHT = 0.001
# Stands for a fair share of zero, to which no share has a ratio.
MIN_SHARE = 1e-6


class AccountOrder(StepOrder):
    """Orders the steps of client accounts by rate and share, and then by another order.

    It takes effect while the configuration has accounts. An account that has left it has a weight
    of 1; a job without an account counts as one of an account at its fair share.

    Args:
        inner: the order within a class of accounts.
        job_table: the shard's jobs, workers and configuration.
        usage_of: returns the demand of an account's runs in the shard.
        shards: number of shards of the deployment.
    """

    def __init__(
        self,
        inner: StepOrder,
        job_table: JobTable,
        usage_of: Callable[[str], Demand],
        shards: int,
    ) -> None:
        self._inner = inner
        self._job_table = job_table
        self._usage_of = usage_of
        self._shards = shards
        self._rates = JobRates(shards)
        self._are_restored_classified = False
        # The figures below are those of the current plan. Without accounts that compete, all
        # accounts are in band 0.
        self._capacity: Amounts = (0, 0, 0)
        self._weight_by_account: dict[str, float] = {}
        self._band_by_account: dict[str, int] = {}
        self._fair_share = 0.0
        self._turn_band = 0
        self._is_turn_over = False

    def record_accepted(self, job: JobProgress, now: float) -> None:
        """Decides whether a job that was just accepted is within the rate of its account."""
        accounts = self._job_table.deployment.accounts_by_name
        if accounts is None:
            return
        self._rates.retain(accounts)
        account = accounts.get(job.account)
        job.is_over_rate = account is not None and not self._rates.take(account, now)

    def key(self, step: StepProgress, queue: Queue | None, now: float) -> tuple[Any, ...]:
        """Returns the sort key of a step by the present shares.

        A long-running task that runs again comes first in its priority as without accounts: it
        takes back what its account had before the task failed or was moved.
        """
        inner = self._inner.key(step, queue, now)
        priority = LOWEST_PRIORITY if queue is None else queue.priority
        if step.spec.is_long_running and runs_again(step):
            return priority, False, 0, inner
        job = step.occurrence.job
        return priority, job.is_over_rate, self._band_by_account.get(job.account, 0), inner

    def arrange(
        self,
        steps: Sequence[StepProgress],
        queue_of: Callable[[StepProgress], Queue | None],
        now: float,
    ) -> Iterable[StepProgress]:
        """Yields the steps by key; again, with its new key, a step whose turn `may_take` ended."""
        accounts = self._job_table.deployment.accounts_by_name
        self._band_by_account = {}
        if accounts is None:
            return self._inner.arrange(steps, queue_of, now)
        if not self._are_restored_classified:
            self._are_restored_classified = True
            self._classify_restored(accounts)
        waiting = {step.occurrence.job.account for step in steps} - {""}
        if len(waiting) > 1:
            self._compare(waiting, accounts, now)
        return self._turns([(step, queue_of(step)) for step in steps], now)

    def may_take(self, step: StepProgress) -> bool:
        """Returns False once the account's share has left the band that the step's turn is for."""
        account = step.occurrence.job.account
        if account not in self._band_by_account or runs_again(step):
            return True
        band = self._band_by_account[account] = self._band(account)
        self._is_turn_over = band > self._turn_band
        return not self._is_turn_over

    def _turns(
        self, steps: list[tuple[StepProgress, Queue | None]], now: float
    ) -> Iterator[StepProgress]:
        # The number keeps the order of steps with equal keys.
        pending = sorted(
            (self.key(step, queue, now), number, queue, step)
            for number, (step, queue) in enumerate(steps)
        )
        bands = self._band_by_account
        position = 0
        while position < len(pending):
            key, number, queue, step = pending[position]
            position += 1
            band = bands.get(step.occurrence.job.account, 0)
            # An earlier step may have raised the account's band since this key was computed.
            if band > key[2] and not runs_again(step):
                entry = (self.key(step, queue, now), number, queue, step)
                bisect.insort(pending, entry, position)
                continue
            # For a step that runs again, this is 0, so that only its earlier tasks come first.
            self._turn_band = key[2]
            self._is_turn_over = False
            yield step
            if self._is_turn_over:
                entry = (self.key(step, queue, now), number, queue, step)
                bisect.insort(pending, entry, position)

    def _compare(self, waiting: set[str], accounts: dict[str, ClientAccount], now: float) -> None:
        """Computes the fair share and how far each account with waiting tasks is over it."""
        free = self._measure_capacity(now)
        self._weight_by_account = {
            name: max(accounts[name].weight, MIN_WEIGHT) if name in accounts else 1.0
            for name in waiting
        }
        shares = sorted((self._share(name), self._weight_by_account[name]) for name in waiting)
        self._fair_share = max(_fair_share(shares, free), MIN_SHARE)
        self._band_by_account = {name: self._band(name) for name in waiting}

    def _measure_capacity(self, now: float) -> float:
        """Sums up the workers' capacity; returns the share that no task declares.

        The share is that of processors or memory, whichever is scarcer.
        """
        cpu_millis = memory_mb = accelerators = used_millis = used_mb = 0
        for view in self._job_table.fleet.all_schedulable(now):
            capacity = view.info.capacity
            cpu_millis += capacity.cpu_millis
            memory_mb += capacity.memory_mb
            accelerators += capacity.accelerators
            used_millis += view.committed_millis + view.filler_millis
            used_mb += view.memory_mb
        self._capacity = cpu_millis, memory_mb, accelerators
        used = max(used_millis / max(cpu_millis, 1), used_mb / max(memory_mb, 1))
        return max(1 - used, 0.0)

    def _share(self, account: str) -> float:
        """Returns the dominant share of an account's runs divided by its weight."""
        used = amounts_of(self._usage_of(account))
        return dominant_share(used, self._capacity) / self._weight_by_account[account]

    def _band(self, account: str) -> int:
        """Returns 0 for an account up to its fair share, else how many bands it is above it."""
        ratio = self._share(account) / self._fair_share
        return 0 if ratio <= 1 else math.ceil(math.log(ratio, BAND_RATIO))

    def _classify_restored(self, accounts: dict[str, ClientAccount]) -> None:
        """Decides for the jobs of earlier owners, whose buckets are lost, by their acceptance.

        Without this, a takeover would move all that an account has handed in beyond its rate ahead.
        """
        rates = JobRates(self._shards)
        restored = [job for job in self._job_table.jobs_by_id.values() if job.is_restored]
        for job in sorted(restored, key=lambda job: (job.accepted_ms, job.job_id)):
            account = accounts.get(job.account)
            if account is not None:
                job.is_over_rate = not rates.take(account, job.accepted_ms / 1000)


def _fair_share(shares: list[tuple[float, float]], free: float) -> float:
    """Returns the mean of shares to which free capacity would raise the accounts that are below it.

    Accounts above the mean count for nothing, as what they have running can't be given to others.

    Args:
        shares: share by weight and weight of each account with waiting tasks, in ascending order.
        free: free share of the capacity.
    """
    total, weights = free, 0.0
    for share, weight in shares:
        if weights and share > total / weights:
            break
        total += share * weight
        weights += weight
    return total / weights
