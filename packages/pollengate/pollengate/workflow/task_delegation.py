"""Decides which long-running tasks another shard is asked to run.

Only whole workers change shards. A shard whose room lies in pieces on workers that it cannot empty
gives none of it to another shard, so a task that has to run again goes to the room instead.
"""

import dataclasses
import functools
import itertools
from collections.abc import Callable

from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Deployment, Queue, Step, Workflow
from pollengate.workflow.placement import can_place
from pollengate.workflow.progress import StepProgress, TaskProgress

__all__ = ["DelegationCandidates", "delegated_workflow", "is_returnable", "may_be_delegated"]

# A task may be absent for 6 s. A worker that is released, or a smaller task that moves, takes up to
# 2.5 s and keeps the task in its own shard.
WAIT_BEFORE_DELEGATION_S = 2.5
# A search compares a task with all workers and all shards; after the loss of a zone hundreds wait.
MAX_SEARCHES = 8
# The same for tasks that have never run, which nobody misses yet.
MAX_FIRST_START_SEARCHES = 2


class DelegationCandidates:
    """Finds the long-running tasks of one shard that wait in vain.

    Args:
        job_table: the shard's jobs, runs and workers.
        may_leave: returns whether the tasks of a step may run in another shard.
    """

    def __init__(
        self,
        job_table: JobTable,
        may_leave: Callable[[StepProgress, Queue, Deployment], bool] | None = None,
    ) -> None:
        self._job_table = job_table
        self._may_leave = may_leave or may_be_delegated
        self._waiting_since: dict[TaskProgress, float] = {}
        self._searched_at: dict[TaskProgress, float] = {}

    def find_due(self, now: float) -> list[TaskProgress]:
        """Returns some of the tasks that other shards may be asked to run, each in its turn.

        So tasks for which no shard has room do not keep others from being offered.
        """
        waiting = [
            task
            for step in self._job_table.open_steps
            if self._may_delegate(step)
            for task in _offered_tasks(step)
            if not task.crashes and not task.runs_by_number
            # An order of this owner could start it beside a run that another one has started.
            and not self._job_table.unanswered_starts.holds(task, now)
        ]
        # A task is not in the queue while another shard is asked, or a start may yet be refused.
        asked = [task for task in self._waiting_since if task.is_delegated or task.is_starting]
        self._waiting_since = {
            task: self._waiting_since.get(task, now)
            for task in [*waiting, *asked]
            if not task.step.job.is_ended
        }
        self._searched_at = {
            task: at for task, at in self._searched_at.items() if task in self._waiting_since
        }
        ready = [
            task for task in waiting if now - self._waiting_since[task] >= WAIT_BEFORE_DELEGATION_S
        ]
        before = float("-inf")
        ready.sort(key=lambda t: (self._searched_at.get(t, before), self._waiting_since[t]))
        again = [task for task in ready if task.has_run]
        first = [task for task in ready if not task.has_run]
        searched = again[:MAX_SEARCHES] + first[:MAX_FIRST_START_SEARCHES]
        self._searched_at |= dict.fromkeys(searched, now)
        has_room = functools.cache(lambda step: self._has_room(step, now))
        return [task for task in searched if not has_room(task.step)]

    def set_overdue(self, task: TaskProgress, now: float) -> None:
        """Makes a task due at once, as it has waited in another shard."""
        self._waiting_since[task] = now - WAIT_BEFORE_DELEGATION_S

    def forget(self, task: TaskProgress) -> None:
        """Forgets how long a task has waited, as another shard runs it."""
        self._waiting_since.pop(task, None)

    def _may_delegate(self, step: StepProgress) -> bool:
        queue = self._job_table.queue_of(step)
        return queue is not None and self._may_leave(step, queue, self._job_table.deployment)

    def _has_room(self, step: StepProgress, now: float) -> bool:
        queue = self._job_table.queue_of(step)
        workers = self._job_table.fleet.schedulable_workers(queue.service, now) if queue else []
        return any(can_place(step, view) for view in workers)


def _offered_tasks(step: StepProgress) -> list[TaskProgress]:
    """Returns the waiting tasks of a step that have run before, or else the first one."""
    again = [task for task in step.waiting.kept() if task.has_run]
    return again or list(itertools.islice(step.waiting, 1))


def may_be_delegated(step: StepProgress, queue: Queue, deployment: Deployment) -> bool:
    """Returns True if the tasks of a step may run in another shard than their job.

    Other shards' summaries say nothing of labels, racks, accelerators and tickets, and the limits
    of client accounts are kept for each shard. A delegated task is not delegated again.
    """
    spec = step.spec
    return (
        spec.is_long_running
        and step.job.delegated_by is None
        and not step.job.workflow.repeat_count
        and queue.advice is None
        and deployment.accounts_by_name is None
        and not (
            spec.is_gang
            or spec.is_speculative
            or spec.is_filler
            or spec.same_rack
            or spec.data_rack
            or spec.required_label
            or spec.demand.accelerators
        )
    )


def is_returnable(step: StepProgress, _queue: Queue, _deployment: Deployment) -> bool:
    """Returns True for a delegated task, which may go back to the shard of its job."""
    return step.job.delegated_by is not None


def delegated_workflow(task: TaskProgress) -> Workflow:
    """Returns the workflow that has one task only, which may start at once."""
    step: Step = dataclasses.replace(task.step.spec, count=1, after=())
    return Workflow(task.step.job.workflow.payload, (step,))
