"""Plans transfers of workers that give every shard the same room.

Jobs are spread over the shards by a hash of their ids, so that each shard gets about the same work
of short tasks. Long-running tasks come in a few large jobs, and the hash gives some shards half as
many again as others. A shard that they fill serves short tasks late or never, and a transfer that
begins when tasks wait comes too late for a task of a second. Workers are therefore transferred
ahead of demand, from shards with more room than the mean to those with less.

All owners plan from the same published loads and reach the same result, so that a donor carries out
its own part of the plan without asking the others.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import WorkerCondition

__all__ = [
    "BalancePlan",
    "PlannedTransfer",
    "ServiceLoad",
    "ShardLoad",
    "measure_load",
    "plan_balance",
]

# A shard receives workers once its room is below the mean by this share. Long-running jobs come and
# go, and each transfer restarts the long-running tasks of a worker.
TOLERATED_SHARE = 0.1
# A shard that has this share of its capacity as room needs no workers, however many others have:
# while the jobs of a new deployment arrive, the rooms differ for a few seconds only.
AMPLE_SHARE = 0.4


@dataclasses.dataclass(slots=True)
class ServiceLoad:
    """Load of a shard's workers of one service.

    Attributes:
        capacity_millis: millicores of the workers that the shard keeps.
        long_running_millis: millicores that long-running tasks declare, including waiting ones.
        releasing_millis: millicores of the workers that are about to be assigned to other shards,
            by shard.
    """

    capacity_millis: int = 0
    long_running_millis: int = 0
    releasing_millis: dict[int, int] = dataclasses.field(default_factory=dict)

    @property
    def room_millis(self) -> int:
        """Millicores for tasks that end; negative if long-running tasks don't fit."""
        return self.capacity_millis - self.long_running_millis


@dataclasses.dataclass(frozen=True, slots=True)
class ShardLoad:
    """Load of a shard, as its owner publishes it.

    Attributes:
        shard: number of the shard.
        by_service: its load by the name of the service.
    """

    shard: int
    by_service: dict[str, ServiceLoad]


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedTransfer:
    """Room that one shard is to give to another.

    Attributes:
        from_shard: the shard with room to spare.
        to_shard: the shard with little room.
        millis: millicores of workers to transfer.
    """

    from_shard: int
    to_shard: int
    millis: float


@dataclasses.dataclass(frozen=True, slots=True)
class BalancePlan:
    """Transfers that balance the shards.

    Attributes:
        mean_millis: mean room of the shards.
        room_by_shard: room of each shard in millicores; workers under way count as received.
        transfers: the transfers that are still to begin.
    """

    mean_millis: float
    room_by_shard: dict[int, float]
    transfers: list[PlannedTransfer]


def measure_load(
    shard: int, job_table: JobTable, releasing: Iterable[tuple[WorkerView, int]]
) -> ShardLoad:
    """Returns the present load of a shard.

    Args:
        shard: number of the shard.
        job_table: its jobs, runs and workers.
        releasing: the workers that are about to be assigned elsewhere, and to which shard.
    """
    by_service: dict[str, ServiceLoad] = {}
    for view in job_table.fleet.workers_by_id.values():
        load = by_service.setdefault(view.info.service, ServiceLoad())
        if _is_kept(view, job_table):
            load.capacity_millis += view.info.capacity.cpu_millis
        load.long_running_millis += sum(
            run.task.step.spec.demand.cpu_millis
            for run in view.long_running
            if not run.task.step.job.is_ended
        )
    for step in job_table.open_steps:
        queue = job_table.queue_of(step)
        if step.spec.is_long_running and queue is not None:
            load = by_service.setdefault(queue.service, ServiceLoad())
            load.long_running_millis += len(step.waiting) * step.spec.demand.cpu_millis
    for view, to_shard in releasing:
        promised = by_service[view.info.service].releasing_millis
        promised[to_shard] = promised.get(to_shard, 0) + view.info.capacity.cpu_millis
    by_service.pop("", None)  # recorded workers that have not registered
    return ShardLoad(shard, by_service)


def plan_balance(load_by_shard: Mapping[int, ServiceLoad]) -> BalancePlan:
    """Returns the transfers that bring the shards with little room to the mean.

    Args:
        load_by_shard: load of each shard for one service, of one shard at least.
    """
    room_by_shard = {shard: float(load.room_millis) for shard, load in load_by_shard.items()}
    for load in load_by_shard.values():
        for to_shard, promised_millis in load.releasing_millis.items():
            if to_shard in room_by_shard:
                room_by_shard[to_shard] += promised_millis
    mean = sum(room_by_shard.values()) / len(room_by_shard)
    least = mean - TOLERATED_SHARE * max(mean, 0.0)
    surplus = {shard: room - mean for shard, room in room_by_shard.items() if room > mean}
    lack = {
        shard: mean - room
        for shard, room in room_by_shard.items()
        if room < min(least, AMPLE_SHARE * load_by_shard[shard].capacity_millis)
    }
    transfers = []
    donors = sorted(surplus, key=lambda shard: (-surplus[shard], shard))
    for to_shard in sorted(lack, key=lambda shard: (-lack[shard], shard)):
        for from_shard in donors:
            millis = min(surplus[from_shard], lack[to_shard])
            if millis > 0:
                surplus[from_shard] -= millis
                lack[to_shard] -= millis
                transfers.append(PlannedTransfer(from_shard, to_shard, millis))
    return BalancePlan(mean, room_by_shard, transfers)


def _is_kept(view: WorkerView, job_table: JobTable) -> bool:
    """Whether a worker counts as the shard's, also while it does not reply for a moment."""
    return (
        view.is_registered
        and not view.is_released
        and view.info.condition is WorkerCondition.READY
        and view.info.zone not in job_table.fleet.evacuated_zones
    )
