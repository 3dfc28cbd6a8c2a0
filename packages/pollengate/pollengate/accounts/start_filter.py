"""Holds back tasks that would take their client account above its limit."""

import dataclasses
from collections.abc import Callable, Collection

from pollengate.accounts.limits import AccountLimits
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import NO_DEMAND, Demand
from pollengate.workflow.ordering import runs_again
from pollengate.workflow.progress import StepProgress
from pollengate.workflow.start_filter import StartFilter

__all__ = ["AccountStartFilter"]

# A step that is the first to be held back for this long lacks more room than ending tasks leave,
# since smaller tasks take it. From then on the account's other steps leave room for it.
SPARE_AFTER_S = 1.0
# Tasks take a second or two, few of them up to 15 s. If a step still lacks room after this time,
# long-running tasks have it, and the other steps go on.
SPARE_FOR_S = 8.0
# Then room is spared again after this pause, in case a long-running task has ended.
SPARE_PAUSE_S = 16.0


@dataclasses.dataclass(slots=True)
class _First:
    """The first step of an account that its limit holds back, and since when.

    Attributes:
        step: the step.
        waiting: number of its tasks that wait.
        since: clock time since which it has been the first in each round of planning and none of
            its tasks has started.
    """

    step: StepProgress
    waiting: int
    since: float

    def is_spared(self, now: float) -> bool:
        """Returns True if other steps of the account leave room for it at present."""
        waited_s = now - self.since - SPARE_AFTER_S
        return waited_s >= 0 and waited_s % (SPARE_FOR_S + SPARE_PAUSE_S) < SPARE_FOR_S

    def is_kept(self, held_back: Collection[StepProgress], now: float) -> bool:
        """Returns True if it is still held back and room is being spared for it."""
        return self.is_spared(now) and self.step in held_back


class AccountStartFilter(StartFilter):
    """Applies the limits of client accounts in the planner.

    Args:
        job_table: the shard's jobs and runs, with the configuration in force.
        limits: what accounts may have running.
        is_settled: whether no unreported run of an earlier owner can exist any more; before that,
            no task of an account with a limit starts.
        on_held_back: called when a step is held back that was not in the round before.
    """

    def __init__(
        self,
        job_table: JobTable,
        limits: AccountLimits,
        is_settled: Callable[[], bool],
        on_held_back: Callable[[], None],
    ) -> None:
        self._job_table = job_table
        self._limits = limits
        self._is_settled = is_settled
        self._on_held_back = on_held_back
        self._has_settled = False
        self._held_back_by_account: dict[str, dict[StepProgress, None]] = {}
        self._first_by_account: dict[str, _First] = {}
        self._spared_by_account: dict[str, StepProgress] = {}
        self._reported_accounts: set[str] = set()

    @property
    def has_settled(self) -> bool:
        """Whether all runs of earlier owners are known."""
        self._has_settled = self._has_settled or self._is_settled()
        return self._has_settled

    def begin_round(self) -> None:
        """Forgets what was held back in the round of planning before."""
        self._held_back_by_account.clear()

    def startable(self, step: StepProgress) -> int:
        """Returns how many more tasks of a step may start; records a step that is held back."""
        count = self.count_startable(step)
        if not count and self.has_settled:
            account = step.job.account
            if self._limits.is_possible(account, _needed_at_once(step)):
                self._hold_back(account, step)
        return count

    def count_startable(self, step: StepProgress) -> int:
        """Returns how many more tasks of a step may start within its account's limit."""
        accounts_by_name = self._job_table.deployment.accounts_by_name
        account = step.job.account
        if accounts_by_name is None or not account:
            return step.spec.count
        self._limits.configure(accounts_by_name)
        if not self._limits.has_limit(account):
            return step.spec.count
        if not self.has_settled:
            return 0
        spared_step = self._spared_by_account.get(account)
        spared = NO_DEMAND
        # The users of a long-running task that has to run again miss it already.
        if spared_step is not None and spared_step is not step and not runs_again(step):
            spared = _needed_at_once(spared_step)
        count = self._limits.count_startable(account, step.spec.demand, spared)
        return 0 if step.spec.is_gang and count < step.spec.count else count

    def update(self, now: float) -> None:
        """Passes what the last round of planning held back to the limits; called every 0.1 s."""
        accounts_by_name = self._job_table.deployment.accounts_by_name
        self._limits.configure(accounts_by_name)
        if not self._limits.is_used:
            return
        self._update_first(now)
        for account in self._reported_accounts - self._held_back_by_account.keys():
            self._limits.record_waiting(account, NO_DEMAND)
        for account, steps in self._held_back_by_account.items():
            spared_step = self._spared_by_account.get(account)
            needed = _needed_at_once(spared_step) if spared_step is not None else NO_DEMAND
            self._limits.record_waiting(account, _total_demand(steps), needed)
        self._reported_accounts = set(self._held_back_by_account)

    def _hold_back(self, account: str, step: StepProgress) -> None:
        steps = self._held_back_by_account.setdefault(account, {})
        steps[step] = None
        if account not in self._reported_accounts:
            self._reported_accounts.add(account)
            self._limits.record_waiting(account, _total_demand(steps))
            self._on_held_back()

    def _update_first(self, now: float) -> None:
        first_by_account = {}
        for account, steps in self._held_back_by_account.items():
            known = self._first_by_account.get(account)
            if known is not None and len(known.step.waiting) < known.waiting:
                known = None
            step = next(iter(steps))
            # A step for which room is being spared may be overtaken in rank meanwhile, for example
            # by jobs that can still meet their objective.
            if known is None or not (known.step is step or known.is_kept(steps, now)):
                known = _First(step, len(step.waiting), now)
            first_by_account[account] = known
        self._first_by_account = first_by_account
        self._spared_by_account = {
            account: first.step
            for account, first in first_by_account.items()
            if first.is_spared(now)
        }


def _needed_at_once(step: StepProgress) -> Demand:
    """Returns the demand of a step's next task, of all its tasks if it is a gang."""
    return _multiplied(step.spec.demand, step.spec.count if step.spec.is_gang else 1)


def _total_demand(steps: dict[StepProgress, None]) -> Demand:
    cpu = memory = accelerators = 0
    for step in steps:
        demand, count = step.spec.demand, len(step.waiting)
        cpu += count * demand.cpu_millis
        memory += count * demand.memory_mb
        accelerators += count * demand.accelerators
    return Demand(cpu, memory, accelerators)


def _multiplied(demand: Demand, count: int) -> Demand:
    return Demand(count * demand.cpu_millis, count * demand.memory_mb, count * demand.accelerators)
