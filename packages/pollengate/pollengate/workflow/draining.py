"""Selects the runs that move off a draining worker.

A release replaces a third of the fleet within half a minute. Long-running tasks and tasks that can
resume from a checkpoint therefore move while their worker is still up; other tasks may finish.
"""

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.model import WorkerCondition
from pollengate.workflow.progress import Run, RunState

__all__ = ["runs_to_move"]


def runs_to_move(view: WorkerView) -> list[Run]:
    """Returns the runs to move to other workers; empty unless the worker is draining."""
    if not view.is_registered or view.info.condition is not WorkerCondition.DRAINING:
        return []
    return [
        run
        for run in view.runs.values()
        if run.state is RunState.RUNNING
        and (run.task.step.spec.is_long_running or run.task.step.spec.saves_progress)
    ]
