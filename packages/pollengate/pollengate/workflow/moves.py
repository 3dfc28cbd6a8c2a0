"""Decides which long-running tasks may move, and whether they fit together on other workers."""

import dataclasses
from collections.abc import Callable, Iterable

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.model import NO_DEMAND, Demand
from pollengate.workflow.placement import is_allowed
from pollengate.workflow.progress import Run, RunState, StepProgress

__all__ = ["fit_together", "may_stop_to_move"]


@dataclasses.dataclass(slots=True)
class _Destination:
    """A worker, with the demand planned for it."""

    view: WorkerView
    planned: Demand = NO_DEMAND

    def can_place(self, step: StepProgress) -> bool:
        """Returns True if a task fits next to the runs on the worker and the planned demand."""
        return self.view.fits(step.spec.demand + self.planned, False) and is_allowed(
            step, self.view
        )


def may_stop_to_move(run: Run) -> bool:
    """Returns True if a run is that of a long-running task and all tasks of its step serve."""
    step = run.task.step
    return (
        run.state is RunState.RUNNING
        and step.spec.is_long_running
        and all(task.is_past_startup for task in step.tasks)
    )


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
            (d for d in destinations if admits(step, d.view) and d.can_place(step)), None
        )
        if destination is None:
            return False
        destination.planned += step.spec.demand
    return True
