"""Transfers workers from shards with room to shards that are short of capacity.

A job belongs to a shard by a hash of its id, and long-running tasks keep their processors until the
job is cancelled. One shard may therefore be full while another has workers to spare. The owner of a
shard that is short requests workers; an owner that has room releases some, with no run on them, and
from then on these workers belong to the other shard.
"""

import collections
import dataclasses
import functools
import math
from collections.abc import Callable, Sequence

from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Demand, Queue
from pollengate.workflow.moves import fit_together, may_stop_to_move
from pollengate.workflow.ordering import rank, runs_again
from pollengate.workflow.placement import can_place, count_fitting, count_places
from pollengate.workflow.progress import Run, StepProgress
from pollengate.workflow.start_filter import StartFilter

__all__ = [
    "MAX_WORKERS_PER_REQUEST",
    "CapacityRequest",
    "can_ever_run",
    "find_shortage",
    "fits_elsewhere",
    "is_movable",
    "release_delay_s",
    "worker_to_release",
]

# An owner without room waits this long before it releases a worker, an owner whose workers are all
# empty not at all, so that the one with the most room responds first.
MAX_RELEASE_DELAY_S = 0.6
# A request asks for no more workers than this; further ones are requested a second later.
MAX_WORKERS_PER_REQUEST = 8
# A long-running task that has just started is not moved again.
MIN_STAY_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityRequest:
    """The workers that a shard needs for tasks that fit on none of its own.

    Attributes:
        shard: the shard that is short of capacity.
        service: the worker's service.
        required_label: a label that the worker must have, empty for none.
        demand: resources of the task.
        is_long_running: whether the task is a long-running one, for which another shard moves its
            own long-running tasks together if it has no spare worker.
        workers: number of workers.
        is_restart: whether the task has run before; its users miss it, so that it comes before
            the tasks that wait in other shards.
    """

    shard: int
    service: str
    required_label: str
    demand: Demand
    is_long_running: bool = False
    workers: int = 1
    is_restart: bool = False


def find_shortage(
    shard: int,
    job_table: JobTable,
    is_settled: Callable[[], bool],
    now: float,
    start_filter: StartFilter | None = None,
    turn: int = 0,
) -> CapacityRequest | None:
    """Returns what the shard lacks for a waiting task that fits nowhere, None if all fit.

    Long-running tasks that run again come first, whatever their priority, then other long-running
    ones. Fillers do not count, as they only use processors that other tasks leave unused.

    Args:
        shard: number of the shard.
        job_table: its jobs, runs and workers.
        is_settled: whether no unreported run of an earlier owner can exist any more.
        now: clock time.
        start_filter: holds back tasks that a worker would not help to start.
        turn: number of requests so far; the tasks that run again take turns, as no other shard may
            be able to help the first one.
    """
    restarts: list[tuple[StepProgress, Queue]] = []
    others: list[tuple[StepProgress, Queue]] = []
    for step in job_table.open_steps:
        queue = job_table.queue_of(step)
        if step.waiting and queue is not None and not step.spec.is_filler:
            (restarts if runs_again(step) else others).append((step, queue))
    restarts.sort(key=lambda i: rank(i[0], i[1], now))
    others.sort(key=lambda i: (not i[0].spec.is_long_running, rank(i[0], i[1], now)))
    first = turn % len(restarts) if restarts else 0
    workers_of = functools.cache(lambda service: _healthy_workers(job_table, service, now))
    for step, queue in restarts[first:] + restarts[:first] + others:
        if step.job.is_restored and not is_settled():
            continue
        if start_filter is not None and not start_filter.count_startable(step):
            continue  # a worker would not help
        if not _has_room(step, workers_of(queue.service)):
            spec = step.spec
            return CapacityRequest(
                shard,
                queue.service,
                spec.required_label,
                spec.demand,
                spec.is_long_running,
                _wanted_workers(step, workers_of(queue.service)),
                runs_again(step),
            )
    return None


def worker_to_release(
    job_table: JobTable,
    request: CapacityRequest,
    now: float,
    released: Sequence[WorkerView] = (),
) -> WorkerView | None:
    """Returns the worker that meets a request after the fewest moves, None if there is none.

    Its long-running tasks have to fit on other workers of the shard. They are moved only for a
    long-running task; a member of a gang is never moved. The last worker with a label that jobs of
    the shard require is kept, unless the other shard requires it, too.
    """
    workers = _healthy_workers(job_table, request.service, now)
    kept_labels = _last_labels(job_table, workers) - {request.required_label}
    candidates = [
        view
        for view in workers
        if _meets(view, request)
        and view.lease.is_settled(now)  # the next owner would not know of a longer lease
        and not job_table.unanswered_starts.may_reach(view.worker_id, now)
        and _can_empty(view, request, now)
        and kept_labels.isdisjoint(view.info.labels)
    ]
    candidates.sort(key=lambda view: (len(view.long_running), len(view.runs), view.worker_id))
    return next(
        (view for view in candidates if fits_elsewhere(job_table, view, now, released)), None
    )


def is_movable(run: Run, now: float) -> bool:
    """Returns True if a long-running task may be stopped to move: all others of its step serve."""
    return now - run.ordered_at >= MIN_STAY_S and may_stop_to_move(run)


def fits_elsewhere(
    job_table: JobTable, view: WorkerView, now: float, released: Sequence[WorkerView] = ()
) -> bool:
    """Returns True if all long-running tasks of a worker fit on other workers of its shard.

    Those of the workers that are being released have to fit beside them.
    """
    workers = _healthy_workers(job_table, view.info.service, now)
    leaving = [view, *(v for v in released if v.info.service == view.info.service)]
    runs = [run for leaving_view in leaving for run in leaving_view.long_running]
    others = [other for other in workers if other not in leaving]
    return fit_together(runs, others, lambda step, other: True)


def can_ever_run(
    job_table: JobTable, service: str, required_label: str, demand: Demand, now: float
) -> bool:
    """Returns True if a healthy worker of the shard could run a task once it is empty."""
    workers = _healthy_workers(job_table, service, now)
    return any(_has_label_and_size(view, required_label, demand) for view in workers)


def release_delay_s(fleet: Fleet, request: CapacityRequest, now: float) -> float:
    """Returns how long an owner waits before it responds to a request, shorter the more it has."""
    workers = fleet.schedulable_workers(request.service, now)
    capacity = sum(view.info.capacity.cpu_millis for view in workers)
    committed = sum(view.committed_millis for view in workers)
    return MAX_RELEASE_DELAY_S * committed / max(1, capacity)


def _healthy_workers(job_table: JobTable, service: str, now: float) -> list[WorkerView]:
    workers = job_table.fleet.schedulable_workers(service, now)
    return [v for v in workers if not job_table.evidence.is_quarantined(v.worker_id)]


def _last_labels(job_table: JobTable, workers: list[WorkerView]) -> set[str]:
    """Returns the labels that jobs of the shard require and only one of its workers has."""
    counts = collections.Counter(label for view in workers for label in set(view.info.labels))
    return {
        step.required_label
        for job in job_table.jobs_by_id.values()
        if not job.is_ended
        for step in job.workflow.steps
        if counts[step.required_label] == 1
    }


def _has_room(step: StepProgress, workers: list[WorkerView]) -> bool:
    """Returns True if a task of a step fits on a worker; all tasks have to if they are a gang."""
    if not step.spec.is_gang:
        return any(can_place(step, view) for view in workers)
    return sum(count_places(step, view) for view in workers) >= step.spec.count


def _wanted_workers(step: StepProgress, workers: list[WorkerView]) -> int:
    """Returns how many more empty workers of the largest size the waiting tasks of a step need.

    If tasks run again, only those count, as other shards give up more for them.
    """
    tasks = len(step.waiting)
    if runs_again(step):
        tasks = sum(task.has_run for task in step.waiting)
    spec = step.spec
    limit = spec.max_per_worker or spec.count
    fitting = max((count_fitting(spec.demand, v.info.capacity, limit) for v in workers), default=1)
    return min(math.ceil(tasks / max(1, fitting)), MAX_WORKERS_PER_REQUEST)


def _can_empty(view: WorkerView, request: CapacityRequest, now: float) -> bool:
    if any(run.task.step.spec.is_gang for run in view.runs.values()):
        return False
    to_move = view.long_running
    return not to_move or (request.is_long_running and all(is_movable(run, now) for run in to_move))


def _meets(view: WorkerView, request: CapacityRequest) -> bool:
    return _has_label_and_size(view, request.required_label, request.demand)


def _has_label_and_size(view: WorkerView, required_label: str, demand: Demand) -> bool:
    capacity = view.info.capacity
    return (
        (not required_label or required_label in view.info.labels)
        and demand.cpu_millis <= capacity.cpu_millis
        and demand.memory_mb <= capacity.memory_mb
        and demand.accelerators <= capacity.accelerators
    )
