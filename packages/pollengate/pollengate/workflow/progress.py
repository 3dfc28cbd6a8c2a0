"""Progress of each job: its occurrences, steps, tasks and runs."""

import collections
import dataclasses
import enum
from collections.abc import Iterator

from pollengate.charts import load_chart
from pollengate.workflow.model import Queue, Step, Workflow, task_name
from pollengate.workflow.step_tasks import StepTasks
from pollengate.workflow.task_queue import TaskQueue

__all__ = [
    "ENDED_JOB_STATES",
    "PAST_STARTUP_PERCENT",
    "JobProgress",
    "JobState",
    "Occurrence",
    "Run",
    "RunState",
    "StepProgress",
    "TASKS_PER_RECORD",
    "TaskProgress",
]

# Workers report this percentage for a long-running task that is past its startup.
PAST_STARTUP_PERCENT = 100
# A job with more tasks has a record for each so many of them, so that no record grows with the job.
TASKS_PER_RECORD = 256
# A job that could run may have nothing running for 3 s. After this time without any run its tasks
# start where they otherwise would not.
MAX_IDLE_S = 2.0

_RUN_CHART = load_chart("run")


class JobState(enum.StrEnum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_JOB_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class RunState(enum.StrEnum):
    """State of a run in the job table; the states of `charts/run.yaml`."""

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
        number: the run's number, higher than that of any earlier run of the task.
        worker_id: the worker on which it was started.
        ordered_at: clock time of the start order.
        checkpoint: where it resumes, empty if at the beginning.
        order_token: fencing token of this owner's start order, 0 if it has sent none.
        order_born_ms: start of the worker's incarnation that the order was meant for.
        state: its state.
        percent: work done as last reported; 100 for a long-running task past its startup.
        progressed_at: clock time at which `percent` last rose.
        initial_percent: work already done when it was first reported; -1 before that.
        measurement: the last measurement reported (see `RunningTask`).
        measurement_change: difference between the last two measurements.
        speed_percent: speed to which it is limited, in percent of full speed.
        is_speed_known: whether its worker has that speed for certain; it may not after an order
            without a reply, or after one of an earlier owner.
        slow_since: clock time since which its speed has been limited to a low value, None if it
            is not.
        replied_at: clock time at which the worker confirmed or first reported it, None before that;
            if a later report lacks the run, the run is gone.
        may_outlast_until: clock time until which it may run on its worker although the lease of the
            incarnation that was told to start it has expired: a later one may have started it.
        is_stop_wanted: whether a stop of the run was requested.
        is_suspected: whether a crash of its worker was counted against its task.
        is_being_ordered: whether a start order for it waits for its response.
    """

    task: "TaskProgress"
    number: int
    worker_id: str
    ordered_at: float
    checkpoint: str = ""
    order_token: int = 0
    order_born_ms: int = 0
    state: RunState = RunState.STARTING
    percent: float = 0.0
    progressed_at: float = 0.0
    initial_percent: float = -1.0
    measurement: float = 0.0
    measurement_change: float = 0.0
    speed_percent: int = 100
    is_speed_known: bool = True
    slow_since: float | None = None
    replied_at: float | None = None
    may_outlast_until: float = 0.0
    is_stop_wanted: bool = False
    is_suspected: bool = False
    is_being_ordered: bool = False

    @property
    def is_undisturbed(self) -> bool:
        """Whether it ran from the beginning of the task at full speed, as far as is known."""
        return self.speed_percent == 100 and self.initial_percent < 10 and not self.task.checkpoint

    def apply_event(self, event: str) -> None:
        """Changes the run's state as its chart defines.

        Raises:
            InvariantViolation: the chart does not allow the event in the current state.
        """
        self.state = RunState(_RUN_CHART.next_state(self.state, event))


@dataclasses.dataclass(slots=True, eq=False)
class TaskProgress:
    """One task of an occurrence.

    Attributes:
        step: the step that it belongs to.
        index: its index in the step.
        name: unique in a deployment.
        is_done: whether one of its runs has completed it.
        failed_runs: numbers of the runs that failed.
        last_run: the highest run number used so far; a start with it may have been refused.
        has_run: whether a run of it may have started, so that its users miss it if it is a
            long-running task.
        checkpoint: the newest one that a run of it has reported, empty if there is none.
        crashes: number of workers that crashed under one of its runs; recorded.
        crashed_after_s: longest time from the start of a run to the crash of its worker; not
            recorded.
        is_delegated: whether it runs in another shard, or another shard is being asked to run it.
        runs_by_number: runs that may exist on a worker.
    """

    step: "StepProgress"
    index: int
    name: str
    is_done: bool = False
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    last_run: int = 0
    has_run: bool = False
    checkpoint: str = ""
    crashes: int = 0
    crashed_after_s: float = 0.0
    is_delegated: bool = False
    runs_by_number: dict[int, Run] = dataclasses.field(default_factory=dict)

    def keep_checkpoint(self, checkpoint: str) -> None:
        """Keeps a checkpoint that a run has reported."""
        self.checkpoint = self.step.newest_checkpoint = checkpoint

    @property
    def start_checkpoint(self) -> str:
        """Where its next run resumes; the members of a gang resume from the same checkpoint."""
        return self.step.newest_checkpoint if self.step.spec.is_gang else self.checkpoint

    def add_run(self, run: Run) -> None:
        """Adds a run that may exist on a worker."""
        self.step.tasks.keep(self)
        self._replace_runs(self.runs_by_number | {run.number: run})

    def remove_run(self, run: Run) -> None:
        """Removes a run that is known to be gone."""
        remaining = dict(self.runs_by_number)
        remaining.pop(run.number, None)
        self._replace_runs(remaining)
        self.forget_if_done()

    def mark_done(self) -> None:
        """Records that a run has completed the task."""
        self.is_done = True
        self.forget_if_done()

    def forget_if_done(self) -> None:
        """Lets the step keep no more than that the task is done, once it has no run."""
        if self.is_done and not self.runs_by_number:
            self.step.tasks.mark_done(self.index)

    def _replace_runs(self, runs_by_number: dict[int, Run]) -> None:
        self.step.task_counts_by_worker.subtract(self.worker_ids)
        self.runs_by_number = runs_by_number
        self.step.task_counts_by_worker.update(self.worker_ids)

    @property
    def worker_ids(self) -> set[str]:
        """Ids of the workers on which a run of the task may exist."""
        return {run.worker_id for run in self.runs_by_number.values()}

    @property
    def probe_name(self) -> str:
        """Names the tasks that probe a worker together: itself, or all members of its gang."""
        return self.name.rpartition(".")[0] if self.step.spec.is_gang else self.name

    @property
    def record_part(self) -> int:
        """Number of the record that has its progress, if its job has several."""
        return (self.step.first_number + self.index) // TASKS_PER_RECORD

    @property
    def is_starting(self) -> bool:
        """Whether starts of it are under way, and it is not known whether one will happen."""
        runs = self.runs_by_number.values()
        return bool(runs) and all(run.replied_at is None for run in runs)

    @property
    def is_past_startup(self) -> bool:
        """Whether a run of this long-running task is past its startup."""
        return any(
            run.state is RunState.RUNNING and run.percent >= PAST_STARTUP_PERCENT
            for run in self.runs_by_number.values()
        )


@dataclasses.dataclass(slots=True, eq=False)
class StepProgress:
    """A step of one occurrence.

    Attributes:
        occurrence: the occurrence that it belongs to.
        number: its index in the workflow.
        spec: the step as submitted.
        first_number: number of tasks of the job before its own.
        tasks: its tasks by index.
        waiting: tasks that wait for a start, in order.
        done: number of tasks that are done.
        is_open: whether the steps before it are complete, so that its tasks may start.
        opened_at: clock time at which it was opened.
        durations_s: run times of its completed tasks, without runs that were disturbed.
        newest_checkpoint: the newest one that a run of any of its tasks has reported.
        task_counts_by_worker: number of tasks that may have a run on a worker, by worker id.
    """

    occurrence: "Occurrence"
    number: int
    spec: Step
    first_number: int = 0
    tasks: StepTasks[TaskProgress] = dataclasses.field(init=False)
    waiting: TaskQueue[TaskProgress] = dataclasses.field(default_factory=TaskQueue)
    done: int = 0
    is_open: bool = False
    opened_at: float = 0.0
    durations_s: list[float] = dataclasses.field(default_factory=list)
    newest_checkpoint: str = ""
    task_counts_by_worker: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def __post_init__(self) -> None:
        self.tasks = StepTasks(self.spec.count, self._create_task)

    def _create_task(self, index: int) -> TaskProgress:
        job = self.occurrence.job
        name = job.task_name(self.occurrence.number, self.number, index)
        return TaskProgress(self, index, name)

    @property
    def job(self) -> "JobProgress":
        """The job that it belongs to."""
        return self.occurrence.job

    @property
    def is_complete(self) -> bool:
        """Whether all tasks are done; never the case for a long-running step."""
        return self.done == self.spec.count

    def runs_on(self, worker_id: str) -> int:
        """Returns the number of the step's tasks that may have a run on a worker."""
        return self.task_counts_by_worker[worker_id]


@dataclasses.dataclass(slots=True, eq=False)
class Occurrence:
    """One execution of all steps of a job; a scheduled job has several.

    Attributes:
        job: the job that it belongs to.
        number: counted from 0.
        steps: its steps by number.
    """

    job: "JobProgress"
    number: int
    steps: list[StepProgress] = dataclasses.field(default_factory=list)

    @property
    def is_complete(self) -> bool:
        """Whether all steps are complete."""
        return all(step.is_complete for step in self.steps)


@dataclasses.dataclass(slots=True, eq=False)
class JobProgress:
    """An accepted job and its progress.

    Attributes:
        job_id: chosen by the client.
        queue_name: name of the queue that accepted it.
        workflow: the workflow as submitted.
        accepted_ms: Unix time of its acceptance.
        accepted_at: clock time of its acceptance, or of the takeover that loaded it.
        state: its state; it is running once a task is known to have started.
        finished_ms: Unix time of its end by the clock of the owner at that time, 0 before that.
        visible_state: the state shown to clients; an end is shown once it is durable.
        is_restored: whether it was loaded at a takeover, so that an earlier owner may have started
            tasks of it.
        occurrences_by_number: the occurrences that have been opened, but for those that are
            complete, if it is a scheduled job.
        completed_occurrences: numbers of the others.
        incomplete_steps: number of the steps in `occurrences_by_number` that are not complete.
        due_count: number of occurrences that have been opened.
        changed_parts: numbers of the records of its tasks that are to be written.
        stored_parts: numbers of those that may be in the store.
        tasks_per_occurrence: number of tasks of each occurrence.
        queue: the newest known configuration of its queue, which may have been removed since; None
            if none is known.
        account: name of the client account that handed it in, empty for none.
        delegated_by: for a delegated task, which is a job of its own here and has the task's name
            as its id: the shard that has the task's job; None for a job as submitted.
        run_number_offset: added to the run numbers with which each owner of the shard starts, as
            the shard that delegated the task may have used higher ones.
        record_number: number of the newest record of its progress, see `JobTable.is_recorded`.
        is_over_rate: whether its account had handed in more jobs than its rate allows when this one
            was accepted; it is not recorded.
        run_count: number of its runs that may exist on a worker.
        idle_since: clock time since which tasks of it may start and none has started, None if one
            has; a start that is refused does not count.
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
    completed_occurrences: set[int] = dataclasses.field(default_factory=set)
    incomplete_steps: int = 0
    due_count: int = 0
    changed_parts: set[int] = dataclasses.field(default_factory=set)
    stored_parts: set[int] = dataclasses.field(default_factory=set)
    queue: Queue | None = None
    account: str = ""
    delegated_by: int | None = None
    run_number_offset: int = 0
    record_number: int = 0
    is_over_rate: bool = False
    run_count: int = 0
    idle_since: float | None = None
    tasks_per_occurrence: int = dataclasses.field(init=False)
    _critical_path_ms: float | None = dataclasses.field(default=None, init=False)
    _chain_ms_by_step: list[float] | None = dataclasses.field(default=None, init=False)

    def __post_init__(self) -> None:
        self.tasks_per_occurrence = sum(step.count for step in self.workflow.steps)

    @property
    def is_ended(self) -> bool:
        """Whether the job is completed, failed or cancelled."""
        return self.state in ENDED_JOB_STATES

    @property
    def occurrence_count(self) -> int:
        """Total number of occurrences."""
        return max(1, self.workflow.repeat_count)

    @property
    def has_parts(self) -> bool:
        """Whether the progress of its tasks is in records of their own."""
        return self.tasks_per_occurrence * self.occurrence_count > TASKS_PER_RECORD

    def is_overdue(self, now: float) -> bool:
        """Returns True if it has had no run for too long although tasks of it may start."""
        if self.idle_since is None or self.run_count:
            return False
        return now - self.idle_since >= MAX_IDLE_S

    def is_due(self, occurrence: int, now_ms: int) -> bool:
        """Returns True if an occurrence is due at a Unix time; without a schedule it always is.

        The Unix time may be behind that of the process that accepted the job.
        """
        if not self.workflow.repeat_count:
            return True
        return self.workflow.first_due_ms + occurrence * self.workflow.interval_ms <= now_ms

    def open_occurrence(self, number: int) -> Occurrence:
        """Adds an occurrence with all of its steps."""
        occurrence = Occurrence(self, number)
        first_number = number * self.tasks_per_occurrence
        for step_number, spec in enumerate(self.workflow.steps):
            occurrence.steps.append(StepProgress(occurrence, step_number, spec, first_number))
            first_number += spec.count
        self.occurrences_by_number[number] = occurrence
        self.incomplete_steps += len(occurrence.steps)
        self.due_count = max(self.due_count, number + 1)
        return occurrence

    def forget_complete(self, occurrence: Occurrence) -> None:
        """Forgets the tasks of a complete occurrence of a scheduled job."""
        if self.workflow.repeat_count and occurrence.is_complete:
            self.occurrences_by_number.pop(occurrence.number, None)
            self.completed_occurrences.add(occurrence.number)

    def mark_changed(self, task: TaskProgress) -> None:
        """Notes that the record with a task's progress is to be written."""
        if self.has_parts:
            self.changed_parts.add(task.record_part)

    def mark_all_changed(self) -> None:
        """Notes that all records of its tasks are to be written."""
        if self.has_parts:
            tasks = self.due_count * self.tasks_per_occurrence
            self.changed_parts.update(range(-(-tasks // TASKS_PER_RECORD)))

    def task_name(self, occurrence: int, step: int, index: int) -> str:
        """Returns the name of a task by its numbers."""
        if self.delegated_by is not None:
            return self.job_id
        return task_name(self.job_id, occurrence, step, index)

    def find_task(self, occurrence: int, step: int, index: int) -> TaskProgress | None:
        """Returns a task by its numbers, None if it does not exist or its occurrence is not due."""
        found = self.occurrences_by_number.get(occurrence)
        if found is None or not 0 <= step < len(found.steps):
            return None
        tasks = found.steps[step].tasks
        return tasks[index] if 0 <= index < len(tasks) else None

    def tasks_of_part(self, part: int) -> Iterator[tuple[int, StepProgress, range]]:
        """Yields the tasks of one record that are due.

        Yields:
            The number in the record of the first task, its step, and the indexes of the tasks.
        """
        first = part * TASKS_PER_RECORD
        end = first + TASKS_PER_RECORD
        size = self.tasks_per_occurrence
        for number in range(first // size, (end - 1) // size + 1):
            occurrence = self.occurrences_by_number.get(number)
            for step in occurrence.steps if occurrence is not None else ():
                begin = max(0, first - step.first_number)
                indexes = range(begin, min(step.spec.count, end - step.first_number))
                if indexes:
                    yield step.first_number + begin - first, step, indexes

    def tasks(self) -> Iterator[TaskProgress]:
        """Yields the tasks of all occurrences that are due."""
        for occurrence in self.occurrences_by_number.values():
            for step in occurrence.steps:
                yield from step.tasks

    def kept_tasks(self) -> Iterator[TaskProgress]:
        """Yields those tasks that are kept in memory: all that have a run or other progress."""
        for occurrence in self.occurrences_by_number.values():
            for step in occurrence.steps:
                yield from step.tasks.kept()

    def critical_path_ms(self) -> float:
        """Returns the estimated run time of the longest chain of steps.

        Each round of planning ranks all open steps by it, so it is computed once.
        """
        if self._critical_path_ms is not None:
            return self._critical_path_ms
        ends: list[float] = []
        for step in self.workflow.steps:
            begin = max((ends[number] for number in step.after), default=0.0)
            ends.append(begin + step.estimate_ms)
        self._critical_path_ms = max(ends, default=0.0)
        return self._critical_path_ms

    def longest_chain_ms(self, number: int) -> float:
        """Returns the estimated run time of the longest chain of steps that begins with a step."""
        if self._chain_ms_by_step is None:
            steps = self.workflow.steps
            chains = [float(step.estimate_ms) for step in steps]
            for later in reversed(range(len(steps))):
                for earlier in steps[later].after:
                    chains[earlier] = max(
                        chains[earlier], steps[earlier].estimate_ms + chains[later]
                    )
            self._chain_ms_by_step = chains
        return self._chain_ms_by_step[number]

    def objective_s(self, queue: Queue) -> float:
        """Returns the latency objective: seconds from acceptance to completion."""
        return (queue.stretch * self.critical_path_ms() + queue.target_ms) / 1000
