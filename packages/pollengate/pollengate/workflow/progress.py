"""What is done of each job: occurrences, steps and tasks."""

import collections
import dataclasses
import enum
from collections.abc import Iterator

from pollengate.charts import load_chart
from pollengate.workflow.model import Queue, Step, Workflow, task_name

__all__ = [
    "ENDED_JOB_STATES",
    "PAST_STARTUP_PERCENT",
    "JobProgress",
    "JobState",
    "Occurrence",
    "Run",
    "RunState",
    "StepProgress",
    "TaskProgress",
]

# Percent that workers show for a lasting task past its startup.
PAST_STARTUP_PERCENT = 100

_RUN_CHART = load_chart("run")


class JobState(enum.StrEnum):
    """Where a job stands."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_JOB_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class RunState(enum.StrEnum):
    """Where a run stands in the owner's books; the states of `charts/run.yaml`."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    UNSETTLED = "unsettled"
    ENDED = "ended"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one worker.

    Attributes:
        task: the task.
        number: of the start; higher than any before.
        worker_id: where it was started.
        ordered_at: clock time of the start order.
        state: where it stands.
        percent: work done as last reported; 100 for a long-running task at work.
        progressed_at: clock time at which `percent` last rose.
        initial_percent: what was done before it, by its first report; -1 before that.
        measurement: the last figure reported beside it.
        measurement_change: by how much that differs from the figure of the report before.
        speed_percent: share of its speed that it may use, in percent.
        slow_since: clock time since which its pace has been low, None if it is not.
        replied_at: clock time at which the worker confirmed an order for it, None before that;
            a later report without the run means that it is gone.
        is_stop_wanted: whether it has to end.
    """

    task: "TaskProgress"
    number: int
    worker_id: str
    ordered_at: float
    state: RunState = RunState.STARTING
    percent: float = 0.0
    progressed_at: float = 0.0
    initial_percent: float = -1.0
    measurement: float = 0.0
    measurement_change: float = 0.0
    speed_percent: int = 100
    slow_since: float | None = None
    replied_at: float | None = None
    is_stop_wanted: bool = False

    @property
    def is_undisturbed(self) -> bool:
        """Tells whether it ran from the beginning at full pace, as far as is known."""
        return self.speed_percent == 100 and self.initial_percent < 10 and not self.task.checkpoint

    def apply_event(self, event: str) -> None:
        """Moves the run along its chart.

        Raises:
            InvariantViolation: the chart does not allow the event.
        """
        self.state = RunState(_RUN_CHART.next_state(self.state, event))


@dataclasses.dataclass(slots=True, eq=False)
class TaskProgress:
    """One task of an occurrence.

    Attributes:
        step: the step that it belongs to.
        index: its place in the step.
        name: unique in a deployment.
        is_done: whether a run of it ended done.
        failed_runs: numbers of the runs that ended failed.
        last_run: the highest number given to a run.
        checkpoint: where the next run resumes, empty for the beginning.
        runs_by_number: runs that may exist on a worker.
    """

    step: "StepProgress"
    index: int
    name: str
    is_done: bool = False
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    last_run: int = 0
    checkpoint: str = ""
    runs_by_number: dict[int, Run] = dataclasses.field(default_factory=dict)

    @property
    def worker_ids(self) -> set[str]:
        """Returns the workers on which a run may exist."""
        return {run.worker_id for run in self.runs_by_number.values()}

    @property
    def is_past_startup(self) -> bool:
        """Tells whether a run of a long-running task is past its startup."""
        return any(
            run.state is RunState.RUNNING and run.percent >= PAST_STARTUP_PERCENT
            for run in self.runs_by_number.values()
        )


@dataclasses.dataclass(slots=True, eq=False)
class StepProgress:
    """A step of one occurrence.

    Attributes:
        occurrence: what it belongs to.
        number: its place in the workflow.
        spec: the step as submitted.
        tasks: by index.
        waiting: tasks that want a start, in order.
        done: number of tasks that are done.
        is_open: whether the steps before it are complete.
        opened_at: clock time at which that happened.
        durations: seconds that its tasks took from start to end, undisturbed.
    """

    occurrence: "Occurrence"
    number: int
    spec: Step
    tasks: list[TaskProgress] = dataclasses.field(default_factory=list)
    waiting: collections.deque[TaskProgress] = dataclasses.field(default_factory=collections.deque)
    done: int = 0
    is_open: bool = False
    opened_at: float = 0.0
    durations: list[float] = dataclasses.field(default_factory=list)

    @property
    def job(self) -> "JobProgress":
        """Returns the job."""
        return self.occurrence.job

    @property
    def is_complete(self) -> bool:
        """Tells whether all tasks are done; a long-running step never is."""
        return self.done == self.spec.count

    def runs_on(self, worker_id: str) -> int:
        """Returns how many tasks of the step may run on a worker."""
        return sum(
            any(run.worker_id == worker_id for run in task.runs_by_number.values())
            for task in self.tasks
        )


@dataclasses.dataclass(slots=True, eq=False)
class Occurrence:
    """One time that the steps of a job run.

    Attributes:
        job: the job.
        number: counted from 0.
        steps: by number.
    """

    job: "JobProgress"
    number: int
    steps: list[StepProgress] = dataclasses.field(default_factory=list)

    @property
    def is_complete(self) -> bool:
        """Tells whether all steps are."""
        return all(step.is_complete for step in self.steps)


@dataclasses.dataclass(slots=True, eq=False)
class JobProgress:
    """A job that was accepted.

    Attributes:
        job_id: chosen by the client.
        queue_name: the queue that it came in by.
        workflow: what was submitted.
        accepted_ms: Unix time of its acceptance.
        accepted_at: clock time of its acceptance, or of the takeover that found it.
        state: where it stands.
        finished_ms: Unix time of its end, 0 before that.
        visible_state: what clients are told; an end is shown once it is durable.
        is_restored: whether an earlier owner may have started tasks of it.
        occurrences_by_number: those that are due.
        due_count: how many have become due.
    """

    job_id: str
    queue_name: str
    workflow: Workflow
    accepted_ms: int
    accepted_at: float
    state: JobState = JobState.QUEUED
    finished_ms: int = 0
    visible_state: JobState = JobState.QUEUED
    is_restored: bool = False
    occurrences_by_number: dict[int, Occurrence] = dataclasses.field(default_factory=dict)
    due_count: int = 0

    @property
    def is_ended(self) -> bool:
        """Tells whether nothing more is to run."""
        return self.state in ENDED_JOB_STATES

    @property
    def occurrence_count(self) -> int:
        """Returns how often the steps run in all."""
        return max(1, self.workflow.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Returns the Unix time at which an occurrence is due."""
        if not self.workflow.repeat_count:
            return self.accepted_ms
        return self.workflow.first_due_ms + occurrence * self.workflow.interval_ms

    def open_occurrence(self, number: int) -> Occurrence:
        """Adds an occurrence with all of its tasks."""
        occurrence = Occurrence(self, number)
        for step_number, spec in enumerate(self.workflow.steps):
            step = StepProgress(occurrence, step_number, spec)
            step.tasks = [
                TaskProgress(step, index, task_name(self.job_id, number, step_number, index))
                for index in range(spec.count)
            ]
            occurrence.steps.append(step)
        self.occurrences_by_number[number] = occurrence
        self.due_count = max(self.due_count, number + 1)
        return occurrence

    def find_task(self, occurrence: int, step: int, index: int) -> TaskProgress | None:
        """Returns a task of an occurrence that is due, None if there is none."""
        found = self.occurrences_by_number.get(occurrence)
        if found is None or not 0 <= step < len(found.steps):
            return None
        tasks = found.steps[step].tasks
        return tasks[index] if 0 <= index < len(tasks) else None

    def tasks(self) -> Iterator[TaskProgress]:
        """Yields the tasks of all occurrences that are due."""
        for occurrence in self.occurrences_by_number.values():
            for step in occurrence.steps:
                yield from step.tasks

    def critical_path_ms(self) -> float:
        """Returns the estimated run time of the longest chain of steps."""
        ends: list[float] = []
        for step in self.workflow.steps:
            begin = max((ends[number] for number in step.after), default=0.0)
            ends.append(begin + step.estimate_ms)
        return max(ends, default=0.0)

    def objective_s(self, queue: Queue) -> float:
        """Returns the seconds from acceptance within which the job ought to be complete."""
        return (queue.stretch * self.critical_path_ms() + queue.target_ms) / 1000
