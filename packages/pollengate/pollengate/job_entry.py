"""An owner's books on jobs, and what of them is not in the ledger yet."""

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
_SUMMARY_ORDER = (
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
    """One task as a status shows it."""

    task_id: str
    state: TaskState
    worker_id: str = ""
    attempt: int = 0
    detail: str = ""


class JobEntry:
    """A job and its tasks.

    Attributes:
        spec: what was submitted.
        tasks_by_id: its tasks; empty once the job has ended and was compacted.
        is_cancelled: whether its cancellation is in the ledger.
        is_moving: whether a write that moves it to another shard may have been sent.
        accepted_at: loop time when this owner accepted it, None if another owner did.
    """

    def __init__(self, spec: JobSpec) -> None:
        self.spec = spec
        self.is_cancelled = False
        self.is_moving = False
        self.accepted_at: float | None = None
        self.tasks_by_id: dict[str, Task] = {}
        for index in range(spec.count):
            task = Task(task_id_of(spec.job_id, index), spec, index)
            self.tasks_by_id[task.task_id] = task
        self._counts = Counter({TaskState.QUEUED: spec.count})
        self._outcomes = b""

    def restore(self, task: Task, state: TaskState) -> None:
        """Puts a queued task in the ended state that the ledger recorded."""
        self._counts[task.state] -= 1
        self._counts[state] += 1
        task.state = state

    def transition(self, task: Task, event: str) -> TaskState:
        """Moves one task along the chart and returns its new state.

        Raises:
            InvariantViolation: the chart does not allow the event.
        """
        state = TaskState(_CHART.next_state(task.state, event))
        if state is not task.state:
            self._counts[task.state] -= 1
            self._counts[state] += 1
            task.state = state
        return state

    def state(self) -> TaskState:
        """Summarizes the tasks' states in one."""
        for state in _SUMMARY_ORDER:
            if self._counts[state]:
                return state
        return TaskState.FINISHED

    def count(self, state: TaskState) -> int:
        """Returns the number of tasks in one state."""
        return self._counts[state]

    @property
    def has_ended(self) -> bool:
        """Tells whether every task has ended."""
        return sum(self._counts[state] for state in ENDED_STATES) == self.spec.count

    @property
    def is_movable(self) -> bool:
        """Tells whether some task waits and none is on a worker or may be."""
        waiting = self._counts[TaskState.QUEUED]
        ended = sum(self._counts[state] for state in ENDED_STATES)
        return waiting > 0 and waiting + ended == self.spec.count

    def compact(self) -> None:
        """Keeps one byte a task of a job that has ended; harmless when repeated."""
        if not self.tasks_by_id:
            return
        self._outcomes = bytes(_CODE_BY_STATE[task.state] for task in self.tasks_by_id.values())
        self.tasks_by_id = {}

    def rows(self) -> Iterator[TaskRow]:
        """Yields every task as a status shows it."""
        for task in self.tasks_by_id.values():
            yield TaskRow(task.task_id, task.state, task.worker_id, task.attempt, task.detail)
        for index, code in enumerate(self._outcomes):
            yield TaskRow(task_id_of(self.spec.job_id, index), _STATES[code])

    def to_record(self, sequence: int) -> JobRecord:
        """Returns the job as the ledger holds it, segments up to `sequence` included."""
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
    """Collects changes until the ledger has recorded them."""

    def __init__(self) -> None:
        self._changes_by_job: dict[str, JobChange] = {}
        self._unrecorded: set[str] = set()
        self._taken: set[str] = set()

    def __len__(self) -> int:
        """Returns the number of jobs with changes that are not being recorded."""
        return len(self._changes_by_job)

    def has(self, job_id: str) -> bool:
        """Tells whether a job has changes that are not known to be durable."""
        return job_id in self._changes_by_job or job_id in self._taken

    def record_task(self, task: Task) -> None:
        """Takes in the end, the checkpoint or the intent of a task."""
        self._unrecorded.add(task.task_id)
        self._change(task.spec.job_id).record_task(task)

    def add_cancellation(self, job_id: str) -> None:
        """Takes in the cancellation of a job."""
        self._change(job_id).is_cancelled = True

    def is_recorded(self, task_id: str) -> bool:
        """Tells whether all that was noted of a task is durable."""
        return task_id not in self._unrecorded

    def take(self) -> list[JobChange]:
        """Returns the changes since the last call; the caller records or returns them."""
        changes = list(self._changes_by_job.values())
        self._changes_by_job = {}
        self._taken = {change.job_id for change in changes}
        return changes

    def confirm(self, changes: list[JobChange]) -> None:
        """Takes note that changes are durable."""
        self._taken = set()
        for change in changes:
            newer = self._changes_by_job.get(change.job_id)
            for index in change.indices():
                if newer is None or index not in newer.indices():
                    self._unrecorded.discard(task_id_of(change.job_id, index))

    def restore(self, changes: list[JobChange]) -> None:
        """Takes changes back that may not be durable."""
        self._taken = set()
        for change in changes:
            newer = self._changes_by_job.get(change.job_id)
            if newer is not None:
                change.merge(newer)
            self._changes_by_job[change.job_id] = change

    def _change(self, job_id: str) -> JobChange:
        return self._changes_by_job.setdefault(job_id, JobChange(job_id))
