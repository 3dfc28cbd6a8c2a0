"""Decides which long-running tasks may move, and whether they fit together on other workers."""

from collections.abc import Callable, Iterable

from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.model import Demand
from pollengate.workflow.placement import is_allowed
from pollengate.workflow.progress import Run, RunState, StepProgress
from pollengate.workflow.stragglers import SILENT_AFTER_S

__all__ = ["fit_together", "is_in_touch", "may_stop_to_move"]


class _Destination:
    """A worker and what is free on it beside the demand planned for it.

    Owners compare each of their workers with all others several times a second, so amounts are
    compared as they are: adding demands took a fifth of an owner's processor time.
    """

    __slots__ = ("view", "free_millis", "free_mb", "free_accelerators")

    def __init__(self, view: WorkerView) -> None:
        capacity = view.info.capacity
        self.view = view
        self.free_millis = capacity.cpu_millis - view.committed_millis
        self.free_mb = capacity.memory_mb - view.memory_mb
        self.free_accelerators = capacity.accelerators - view.accelerators

    def can_place(self, step: StepProgress) -> bool:
        """Returns True if a task fits next to the runs on the worker and the planned demand."""
        demand = step.spec.demand
        return (
            demand.cpu_millis <= self.free_millis
            and demand.memory_mb <= self.free_mb
            and demand.accelerators <= self.free_accelerators
            and is_allowed(step, self.view)
        )

    def plan(self, demand: Demand) -> None:
        """Plans a task with a demand for the worker."""
        self.free_millis -= demand.cpu_millis
        self.free_mb -= demand.memory_mb
        self.free_accelerators -= demand.accelerators


def may_stop_to_move(run: Run) -> bool:
    """Returns True if a run is that of a long-running task and all tasks of its step serve.

    Whether the siblings of a delegated task serve is known in another shard only, so it stays.
    """
    step = run.task.step
    if step.job.delegated_by is not None:
        return False
    return (
        run.state is RunState.RUNNING
        and step.spec.is_long_running
        and all(task.is_past_startup for task in step.tasks)
    )


def is_in_touch(step: StepProgress, fleet: Fleet, now: float) -> bool:
    """Returns True if all workers with tasks of a step have replied lately.

    A task on a silent worker may not serve, so that another one must not stop, too.
    """
    views = (
        fleet.workers_by_id.get(worker_id)
        for task in step.tasks.kept()
        for worker_id in task.worker_ids
    )
    return all(view is not None and now - view.lease.replied_at <= SILENT_AFTER_S for view in views)


def fit_together(
    runs: Iterable[Run],
    workers: Iterable[WorkerView],
    admits: Callable[[StepProgress, WorkerView], bool],
) -> bool:
    """Returns True if the tasks of all runs fit on workers at the same time, the largest first.

    Args:
        runs: runs of tasks other than fillers.
        workers: the possible destinations.
        admits: returns whether a worker may get a task of a step, capacity aside.
    """
    destinations = [_Destination(view) for view in workers]
    for run in sorted(runs, key=lambda run: -run.task.step.spec.demand.cpu_millis):
        step = run.task.step
        destination = next(
            (d for d in destinations if d.can_place(step) and admits(step, d.view)), None
        )
        if destination is None:
            return False
        destination.plan(step.spec.demand)
    return True
