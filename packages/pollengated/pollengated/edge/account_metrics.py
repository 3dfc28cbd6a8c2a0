"""Exports what each client account uses of the shards that this process owns."""

import dataclasses

from pollengate.accounts.usage import amounts_of
from pollengate.dominant_share import dominant_share
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import NO_DEMAND, Demand
from pollengate.workflow.start_filter import StartFilter
from prometheus_client import CollectorRegistry, Gauge

__all__ = ["AccountMetrics"]


@dataclasses.dataclass(frozen=True, slots=True)
class _ShardFigures:
    """Figures of one shard.

    Attributes:
        capacity: capacity of the workers that may get tasks.
        used_by_account: demand of the runs of each configured account.
        held_by_account: waiting tasks that the start filter holds back, by account.
    """

    capacity: Demand
    used_by_account: dict[str, Demand]
    held_by_account: dict[str, int]


class AccountMetrics:
    """Gauges by client account, summed over the shards that the process owns.

    Args:
        registry: collects the metrics of the process.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._running = Gauge(
            "pollengate_edge_account_running_millis",
            "Millicores that the runs of a client account declare in the owned shards.",
            ["account"],
            registry=registry,
        )
        self._share = Gauge(
            "pollengate_edge_account_share",
            "Largest share of a resource of the owned shards that a client account uses, up to 1.",
            ["account"],
            registry=registry,
        )
        self._held = Gauge(
            "pollengate_edge_account_held_tasks",
            "Waiting tasks of a client account that its limit holds back.",
            ["account"],
            registry=registry,
        )
        self._figures_by_shard: dict[int, _ShardFigures] = {}
        self._exported: set[str] = set()

    def update(
        self, shard: int, job_table: JobTable, start_filter: StartFilter, now: float
    ) -> None:
        """Takes the figures of an owned shard."""
        accounts = job_table.deployment.accounts_by_name
        if accounts is None:
            self.forget(shard)
            return
        held: dict[str, int] = {}
        for step in job_table.open_steps:
            account = step.job.account
            if account and step.waiting and not start_filter.count_startable(step):
                held[account] = held.get(account, 0) + len(step.waiting)
        views = job_table.fleet.all_schedulable(now)
        self._figures_by_shard[shard] = _ShardFigures(
            sum((view.info.capacity for view in views), NO_DEMAND),
            {name: job_table.account_usage.usage_of(name) for name in accounts},
            held,
        )
        self._export()

    def forget(self, shard: int) -> None:
        """Removes the figures of a shard that the process no longer owns."""
        if self._figures_by_shard.pop(shard, None) is not None:
            self._export()

    def _export(self) -> None:
        figures = self._figures_by_shard.values()
        capacity = amounts_of(sum((f.capacity for f in figures), NO_DEMAND))
        accounts = {name for f in figures for name in f.used_by_account}
        for name in accounts:
            used = sum((f.used_by_account.get(name, NO_DEMAND) for f in figures), NO_DEMAND)
            self._running.labels(name).set(used.cpu_millis)
            self._share.labels(name).set(dominant_share(amounts_of(used), capacity))
            self._held.labels(name).set(sum(f.held_by_account.get(name, 0) for f in figures))
        for name in self._exported - accounts:
            for gauge in (self._running, self._share, self._held):
                gauge.remove(name)
        self._exported = accounts
