"""Holds back tasks whose client account has reached its limit."""

from typing import Protocol

from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand
from pollengate.workflow.progress import StepProgress
from pollengate.workflow.start_filter import StartFilter

__all__ = ["AccountStartFilter", "StartLimits"]


class StartLimits(Protocol):
    """How much of each client account's limit this shard's owner may use."""

    def may_start(self, account: str, demand: Demand) -> bool:
        """Returns True if runs of an account with this demand in total may be added now."""


class AccountStartFilter(StartFilter):
    """Lets tasks start within the limits of their client accounts.

    Args:
        job_table: the shard's jobs and the configuration in force.
        limits: the limits of the accounts.
    """

    def __init__(self, job_table: JobTable, limits: StartLimits) -> None:
        self._job_table = job_table
        self._limits = limits

    def startable(self, step: StepProgress) -> int:
        """Returns 0 if the account's limit is reached, else 1, or all tasks of a gang."""
        spec = step.spec
        account = step.job.account
        if not account or self._job_table.deployment.accounts_by_name is None:
            return spec.count
        demand = spec.demand
        if not spec.is_gang:
            return int(self._limits.may_start(account, demand))
        total = Demand(
            demand.cpu_millis * spec.count,
            demand.memory_mb * spec.count,
            demand.accelerators * spec.count,
        )
        return spec.count if self._limits.may_start(account, total) else 0
