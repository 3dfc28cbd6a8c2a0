"""Counts the delegated tasks of one step on each worker, so that its limit per worker is kept.

Each delegated task is a job of its own in the shard that runs it, with a step of a single task.
"""

import collections
import weakref

from pollengate.workflow.progress import JobProgress, StepProgress

__all__ = ["DelegatedSiblings", "are_siblings"]


class DelegatedSiblings:
    """Lets the steps of delegated tasks that belong to the same step count their runs together."""

    def __init__(self) -> None:
        self._counts_by_step: weakref.WeakValueDictionary[str, collections.Counter[str]] = (
            weakref.WeakValueDictionary()
        )

    def join(self, step: StepProgress) -> None:
        """Makes the step of a delegated task without runs count those of its siblings, too."""
        name = _step_name(step.job)
        known = self._counts_by_step.setdefault(name, step.task_counts_by_worker)
        step.task_counts_by_worker = known


def are_siblings(one: JobProgress, other: JobProgress) -> bool:
    """Returns True if two jobs are delegated tasks of the same step."""
    are_delegated = one.delegated_by is not None and other.delegated_by is not None
    return are_delegated and _step_name(one) == _step_name(other)


def _step_name(job: JobProgress) -> str:
    return job.job_id.rpartition(".")[0]
