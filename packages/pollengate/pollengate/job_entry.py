"""A shard owner's state of one job, and the changes that the ledger has not recorded yet."""

import dataclasses
from collections import Counter
from collections.abc import Iterator

from pollengate.charts import load_chart
from pollengate.jobs import ENDED_STATES, JobSpec, Task, TaskState, task_id_of
from pollengate.ledger_records import Checkpoint, JobChange, JobRecord

__all__ = ["ChangeLog", "JobEntry", "TaskRow"]

_CHART = load_chart("task")
_STATES = tuple(TaskState)
_CODE_BY_STATE = {state: code for code, state in enumerate(_STATES)}
# The state of a job is the first of these that any of its tasks is in, FINISHED if there is none.
_STATE_PRECEDENCE = (
    TaskState.STOPPING,
    TaskState.EVICTING,
    TaskState.RUNNING,
    TaskState.STARTING,
    TaskState.LOST,
    TaskState.QUEUED,
    TaskState.UNKNOWN,
    TaskState.FAILED,
    TaskState.CANCELLED,
)


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRow:
    """One task as shown in a status report."""

    task_id: str
    state: TaskState
    worker_id: str = ""
    attempt: int = 0
    detail: str = ""


class JobEntry:
    """A job and its tasks.

    Attributes:
        spec: the job as submitted.
        tasks_by_id: tasks of the job; empty once the job has ended and was compacted.
        is_cancelled: whether the ledger has recorded the job's cancellation.
        is_transferring: whether a write that transfers the job to another shard may have been sent.
        accepted_at: loop time at which this owner accepted the job, None if another owner did.
    """

    def __init__(self, spec: JobSpec) -> None:
        self.spec = spec
        self.is_cancelled = False
        self.is_transferring = False
        self.accepted_at: float | None = None
        self.tasks_by_id: dict[str, Task] = {}
        for index in range(spec.count):
            task = Task(task_id_of(spec.job_id, index), spec, index)
            self.tasks_by_id[task.task_id] = task
        self._counts = Counter({TaskState.QUEUED: spec.count})
        self._outcomes = b""

    def restore(self, task: Task, state: TaskState) -> None:
        """Sets a queued task to the final state that the ledger has recorded."""
        self._counts[task.state] -= 1
        self._counts[state] += 1
        task.state = state

    def transition(self, task: Task, event: str) -> TaskState:
        """Applies an event of the state chart to a task and returns the new state.

        Raises:
            InvariantViolation: the chart does not allow the event in the task's state.
        """
        state = TaskState(_CHART.next_state(task.state, event))
        if state is not task.state:
            self._counts[task.state] -= 1
            self._counts[state] += 1
            task.state = state
        return state

    def state(self) -> TaskState:
        """Returns the state of the whole job, as `_STATE_PRECEDENCE` derives it from its tasks."""
        for state in _STATE_PRECEDENCE:
            if self._counts[state]:
                return state
        return TaskState.FINISHED

    def count(self, state: TaskState) -> int:
        """Returns the number of tasks in a state."""
        return self._counts[state]

    @property
    def has_ended(self) -> bool:
        """Whether every task has ended."""
        return sum(self._counts[state] for state in ENDED_STATES) == self.spec.count

    @property
    def is_transferable(self) -> bool:
        """Whether some task is queued and none is on a worker or may be on one."""
        waiting = self._counts[TaskState.QUEUED]
        ended = sum(self._counts[state] for state in ENDED_STATES)
        return waiting > 0 and waiting + ended == self.spec.count

    def compact(self) -> None:
        """Reduces an ended job to one byte per task. Idempotent."""
        if not self.tasks_by_id:
            return
        self._outcomes = bytes(_CODE_BY_STATE[task.state] for task in self.tasks_by_id.values())
        self.tasks_by_id = {}

    def rows(self) -> Iterator[TaskRow]:
        """Yields one row per task for a status report."""
        for task in self.tasks_by_id.values():
            yield TaskRow(task.task_id, task.state, task.worker_id, task.attempt, task.detail)
        for index, code in enumerate(self._outcomes):
            yield TaskRow(task_id_of(self.spec.job_id, index), _STATES[code])

    def to_record(self, sequence: int) -> JobRecord:
        """Returns the ledger's record of the job, including all segments up to `sequence`."""
        record = JobRecord(self.spec, sequence, is_cancelled=self.is_cancelled)
        for index, code in enumerate(self._outcomes):
            record.ended_by_state.setdefault(_STATES[code], set()).add(index)
        for task in self.tasks_by_id.values():
            if task.state in ENDED_STATES:
                record.ended_by_state.setdefault(task.state, set()).add(task.index)
                continue
            if task.has_intent:
                record.intents.add(task.index)
            if task.checkpoint:
                checkpoint = Checkpoint(task.epoch, task.attempt, task.checkpoint)
                record.checkpoints_by_index[task.index] = checkpoint
        return record


class ChangeLog:
    """Collects changes to jobs until the ledger has recorded them."""

    def __init__(self) -> None:
        self._changes_by_job: dict[str, JobChange] = {}
        self._unrecorded_task_ids: set[str] = set()
        self._job_ids_being_recorded: set[str] = set()

    def __len__(self) -> int:
        """Returns the number of jobs with changes that are not yet being recorded."""
        return len(self._changes_by_job)

    def has(self, job_id: str) -> bool:
        """Whether a job has changes that are not known to be durable."""
        return job_id in self._changes_by_job or job_id in self._job_ids_being_recorded

    def record_task(self, task: Task) -> None:
        """Adds the end, the checkpoint or the intent of a task."""
        self._unrecorded_task_ids.add(task.task_id)
        self._change_for(task.spec.job_id).record_task(task)

    def add_cancellation(self, job_id: str) -> None:
        """Adds the cancellation of a job."""
        self._change_for(job_id).is_cancelled = True

    def is_recorded(self, task_id: str) -> bool:
        """Whether all changes of a task are durable."""
        return task_id not in self._unrecorded_task_ids

    def pop_unrecorded(self) -> list[JobChange]:
        """Removes and returns all changes that are not being recorded.

        The caller writes them to the ledger and then calls `confirm` or `restore`.
        """
        changes = list(self._changes_by_job.values())
        self._changes_by_job = {}
        self._job_ids_being_recorded = {change.job_id for change in changes}
        return changes

    def confirm(self, changes: list[JobChange]) -> None:
        """Marks changes that `pop_unrecorded` returned as durable."""
        self._job_ids_being_recorded = set()
        for change in changes:
            newer = self._changes_by_job.get(change.job_id)
            for index in change.indices():
                if newer is None or index not in newer.indices():
                    self._unrecorded_task_ids.discard(task_id_of(change.job_id, index))

    def restore(self, changes: list[JobChange]) -> None:
        """Puts back changes that `pop_unrecorded` returned and that may not be durable."""
        self._job_ids_being_recorded = set()
        for change in changes:
            newer = self._changes_by_job.get(change.job_id)
            if newer is not None:
                change.merge(newer)
            self._changes_by_job[change.job_id] = change

    def _change_for(self, job_id: str) -> JobChange:
        return self._changes_by_job.setdefault(job_id, JobChange(job_id))
