"""Which runs leave a worker that is about to go.

Made for releases, in which a third of the fleet is replaced in half a minute: what lasts, or can
resume from a checkpoint, moves while the worker still runs; what can't be resumed may finish.
"""

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.model import WorkerCondition
from pollengate.workflow.progress import Run, RunState

__all__ = ["runs_to_move"]


def runs_to_move(view: WorkerView) -> list[Run]:
    """Returns the runs of a worker that go on elsewhere."""
    if not view.is_registered or view.info.condition is not WorkerCondition.DRAINING:
        return []
    return [
        run
        for run in view.runs.values()
        if run.state is RunState.RUNNING
        and (run.task.step.spec.is_long_running or run.task.step.spec.saves_progress)
    ]
