"""Transfers workers from shards with room to shards that are short of capacity.

A job belongs to a shard by a hash of its id, and long-running tasks keep their processors until the
job is cancelled. One shard may therefore be full while another has workers to spare. The owner of a
shard that is short requests a worker; an owner that has room releases one, with no run on it, and
from then on the worker belongs to the other shard.
"""

import dataclasses
from collections.abc import Callable

from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand, Queue
from pollengate.workflow.ordering import rank
from pollengate.workflow.placement import can_place, is_allowed
from pollengate.workflow.progress import StepProgress

__all__ = ["CapacityRequest", "find_shortage", "release_delay_s", "worker_to_release"]

# An owner without spare workers waits this long before it releases one, an owner with only spare
# workers not at all, so that the one with the most room responds first.
MAX_RELEASE_DELAY_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityRequest:
    """The worker that a shard needs for a task that fits on none of its own.

    Attributes:
        shard: the shard that is short of capacity.
        service: the worker's service.
        required_label: a label that the worker must have, empty for none.
        demand: resources of the task.
    """

    shard: int
    service: str
    required_label: str
    demand: Demand


def find_shortage(
    shard: int, job_table: JobTable, is_settled: Callable[[], bool], now: float
) -> CapacityRequest | None:
    """Returns what the shard lacks for its first waiting task that fits nowhere, None if all fit.

    Fillers do not count, as they only use processors that other tasks leave unused.
    """
    waiting: list[tuple[StepProgress, Queue]] = []
    for step in job_table.open_steps:
        queue = job_table.queue_of(step)
        if step.waiting and queue is not None and not step.spec.is_filler:
            waiting.append((step, queue))
    waiting.sort(key=lambda item: rank(item[0], item[1], now))
    for step, queue in waiting:
        if step.job.is_restored and not is_settled():
            continue
        workers = job_table.fleet.schedulable_workers(queue.service, now)
        if not _has_room(job_table, step, workers):
            spec = step.spec
            return CapacityRequest(shard, queue.service, spec.required_label, spec.demand)
    return None


def worker_to_release(fleet: Fleet, request: CapacityRequest, now: float) -> WorkerView | None:
    """Returns the worker with the fewest runs that meets a request, None if there is none.

    A worker with a long-running task or a member of a gang is never released.
    """
    candidates = (
        view
        for view in fleet.schedulable_workers(request.service, now)
        if _is_spare(view) and _meets(view, request)
    )
    return min(candidates, key=lambda view: (len(view.runs), view.worker_id), default=None)


def release_delay_s(fleet: Fleet, request: CapacityRequest, now: float) -> float:
    """Returns how long an owner waits before it responds to a request, shorter the more it has."""
    workers = fleet.schedulable_workers(request.service, now)
    spare = sum(_is_spare(view) for view in workers)
    return MAX_RELEASE_DELAY_S * (1 - spare / max(1, len(workers)))


def _has_room(job_table: JobTable, step: StepProgress, workers: list[WorkerView]) -> bool:
    """Returns True if a task of a step fits on a worker; all tasks have to if they are a gang."""
    healthy = [v for v in workers if not job_table.evidence.is_quarantined(v.worker_id)]
    if not step.spec.is_gang:
        return any(can_place(step, view) for view in healthy)
    return sum(_places(step, view) for view in healthy) >= step.spec.count


def _places(step: StepProgress, view: WorkerView) -> int:
    """Returns how many more tasks of a step fit on a worker."""
    if not is_allowed(step, view):
        return 0
    demand, capacity = step.spec.demand, view.info.capacity
    limits = [
        (capacity.cpu_millis - view.committed_millis, demand.cpu_millis),
        (capacity.memory_mb - view.memory_mb, demand.memory_mb),
        (capacity.accelerators - view.accelerators, demand.accelerators),
    ]
    if step.spec.max_per_worker:
        limits.append((step.spec.max_per_worker - step.runs_on(view.worker_id), 1))
    return max(0, min((free // each for free, each in limits if each), default=step.spec.count))


def _is_spare(view: WorkerView) -> bool:
    specs = (run.task.step.spec for run in view.runs.values())
    return not any(spec.is_long_running or spec.is_gang for spec in specs)


def _meets(view: WorkerView, request: CapacityRequest) -> bool:
    capacity, demand = view.info.capacity, request.demand
    return (
        (not request.required_label or request.required_label in view.info.labels)
        and demand.cpu_millis <= capacity.cpu_millis
        and demand.memory_mb <= capacity.memory_mb
        and demand.accelerators <= capacity.accelerators
    )
