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
from pollengate.workflow.model import Demand
from pollengate.workflow.moves import fit_together, may_stop_to_move
from pollengate.workflow.ordering import rank, runs_again
from pollengate.workflow.placement import can_place, count_fitting, count_places
from pollengate.workflow.progress import Run, StepProgress
from pollengate.workflow.start_filter import StartFilter
from pollengate.workflow.worker_need import WorkerNeed

__all__ = [
    "MAX_WORKERS_PER_REQUEST",
    "CapacityRequest",
    "choose_shortage",
    "find_shortages",
    "fits_elsewhere",
    "is_movable",
    "list_usable",
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
# While tasks wait to run again, one of so many requests is for the others.
TURNS_WITH_RESTARTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityRequest:
    """The workers that a shard needs for tasks that fit on none of its own.

    Attributes:
        shard: the shard that is short of capacity.
        service: the worker's service.
        required_label: a label that the worker must have, empty for none.
        demand: resources of the task.
        is_long_running: whether another shard moves its own long-running tasks together if it has
            no spare worker: for a long-running task, or one whose job has had no run for too long.
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

    @property
    def need(self) -> WorkerNeed:
        """What a worker must have for the tasks."""
        return WorkerNeed(self.service, self.required_label, self.demand)


def find_shortages(
    shard: int,
    job_table: JobTable,
    is_settled: Callable[[], bool],
    now: float,
    start_filter: StartFilter | None = None,
) -> list[CapacityRequest]:
    """Returns what the shard lacks for waiting tasks that fit nowhere, one request for each need.

    Long-running tasks that run again come first, whatever their priority, then other long-running
    ones. Fillers do not count, as they only use processors that other tasks leave unused.

    Args:
        shard: number of the shard.
        job_table: its jobs, runs and workers.
        is_settled: whether no unreported run of an earlier owner can exist any more.
        now: clock time.
        start_filter: holds back tasks that a worker would not help to start.
    """
    steps = [
        (step, queue)
        for step in job_table.open_steps
        if step.waiting and not step.spec.is_filler and (queue := job_table.queue_of(step))
    ]
    steps.sort(
        key=lambda i: (not runs_again(i[0]), not i[0].spec.is_long_running, rank(i[0], i[1], now))
    )
    workers_of = functools.cache(lambda service: _healthy_workers(job_table, service, now))
    shortages: dict[tuple[WorkerNeed, bool], CapacityRequest] = {}
    for step, queue in steps:
        need = WorkerNeed.of(step, queue)
        key = need, runs_again(step)
        if key in shortages or (step.job.is_restored and not is_settled()):
            continue
        if start_filter is not None and not start_filter.count_startable(step):
            continue  # a worker would not help
        if not _has_room(step, workers_of(queue.service)):
            shortages[key] = CapacityRequest(
                shard,
                queue.service,
                need.required_label,
                need.demand,
                step.spec.is_long_running or step.job.is_overdue(now),
                _wanted_workers(step, workers_of(queue.service)),
                runs_again(step),
            )
    return list(shortages.values())


def choose_shortage(shortages: Sequence[CapacityRequest], turn: int) -> CapacityRequest | None:
    """Returns the shortage for which workers are requested next, None if there is none.

    No other shard may be able to help the first one. So tasks that run again take turns, each
    fourth request is for the others, and of these each second one is for the next in turn.

    Args:
        shortages: the shortages, those with precedence first.
        turn: number of requests so far.
    """
    restarts = [shortage for shortage in shortages if shortage.is_restart]
    others = [shortage for shortage in shortages if not shortage.is_restart]
    if not restarts:
        return others[_position(turn, len(others))] if others else None
    round_number, position = divmod(turn, TURNS_WITH_RESTARTS)
    if others and position == TURNS_WITH_RESTARTS - 1:
        return others[_position(round_number, len(others))]
    return restarts[turn % len(restarts)]


def worker_to_release(
    job_table: JobTable,
    request: CapacityRequest,
    now: float,
    released: Sequence[WorkerView] = (),
    is_kept: Callable[[WorkerView], bool] = lambda view: False,
) -> WorkerView | None:
    """Returns the worker that meets a request after the fewest moves, None if there is none.

    Its long-running tasks have to fit on other workers of the shard. They are moved only for
    requests that allow it; a member of a gang is never moved. The last worker with a label that
    jobs of the shard require is kept, unless the other shard requires it, too.

    Args:
        job_table: the shard's jobs, runs and workers.
        request: the request.
        now: clock time.
        released: workers that are already being released.
        is_kept: returns whether the shard may need a worker itself.
    """
    workers = _healthy_workers(job_table, request.service, now)
    kept_labels = _last_labels(job_table, workers) - {request.required_label}
    candidates = [
        view
        for view in workers
        if request.need.is_met_by(view)
        and view.lease.is_settled(now)  # the next owner would not know of a longer lease
        and not job_table.unanswered_starts.may_reach(view.worker_id, now)
        and _can_empty(view, request, now)
        and kept_labels.isdisjoint(view.info.labels)
    ]
    candidates.sort(key=lambda view: (len(view.long_running), len(view.runs), view.worker_id))
    return next(
        (
            view
            for view in candidates
            if not is_kept(view) and fits_elsewhere(job_table, view, now, released)
        ),
        None,
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


def list_usable(job_table: JobTable, request: CapacityRequest, now: float) -> list[WorkerView]:
    """Returns the healthy workers that could run the tasks of a request once they are empty."""
    workers = _healthy_workers(job_table, request.service, now)
    return [view for view in workers if request.need.is_met_by(view)]


def release_delay_s(fleet: Fleet, request: CapacityRequest, now: float) -> float:
    """Returns how long an owner waits before it responds to a request, shorter the more it has."""
    workers = fleet.schedulable_workers(request.service, now)
    capacity = sum(view.info.capacity.cpu_millis for view in workers)
    committed = sum(view.committed_millis for view in workers)
    return MAX_RELEASE_DELAY_S * committed / max(1, capacity)


def _position(turn: int, count: int) -> int:
    return turn // 2 % count if turn % 2 else 0


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
        tasks = sum(task.has_run for task in step.waiting.kept())
    spec = step.spec
    limit = spec.max_per_worker or spec.count
    fitting = max((count_fitting(spec.demand, v.info.capacity, limit) for v in workers), default=1)
    return min(math.ceil(tasks / max(1, fitting)), MAX_WORKERS_PER_REQUEST)


def _can_empty(view: WorkerView, request: CapacityRequest, now: float) -> bool:
    if any(run.task.step.spec.is_gang for run in view.runs.values()):
        return False
    to_move = view.long_running
    return not to_move or (request.is_long_running and all(is_movable(run, now) for run in to_move))
