"""The jobs of a shard in memory, the runs of their tasks, and the state changes that events cause.

The table uses neither network nor clock. The caller passes the time, and takes from `outbox` the
runs to stop and the jobs to record.
"""

import collections
from collections.abc import Callable, Collection

from pollengate.accounts.usage import AccountUsage
from pollengate.failure_evidence import FailureEvidence
from pollengate.workflow.clients import EndKind
from pollengate.workflow.crashes import TRIAL_CRASHES, CrashLog, WorkerCrash
from pollengate.workflow.delegated_siblings import DelegatedSiblings
from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.model import MAX_DIGITS, Deployment, Queue, occurrence_of
from pollengate.workflow.outbox import Outbox
from pollengate.workflow.progress import (
    JobProgress,
    JobState,
    Occurrence,
    Run,
    RunState,
    StepProgress,
    TaskProgress,
)
from pollengate.workflow.unanswered_starts import UnansweredStarts
from pollengate.workflow.unclaimed_ends import UnclaimedEnds

__all__ = ["Outbox", "JobTable"]

# Each owner starts its run numbers this much higher than the owner before, so that they are above
# numbers that earlier owners may have used without recording them.
RUNS_PER_TERM = 64
# Steps of occurrences of one scheduled job that wait at the same time because they are overdue.
MAX_WAITING_OCCURRENCES = 100


class JobTable:
    """Jobs of one shard.

    Args:
        fleet: the shard's workers.
        evidence: record of which tasks failed on which workers.
        term: number of owners that the shard had before.

    Attributes:
        account_usage: demand of all runs that may exist, by client account.
        durable_record_number: returns the number of the newest record that is durable; see
            `is_recorded`.
        may_run_unseen: returns whether a restored task may have a run of an earlier owner that is
            not known yet; asked before a takeover is settled.
        may_all_run_unseen: returns whether all restored tasks may have one.
        unanswered_starts: start orders that may still be carried out.
        unclaimed_ends: runs that ended done while their job was unknown.
        delegated_siblings: counts the runs of delegated tasks by the step that they belong to.
        on_run_ended: called with a run that ended on its worker, whether it is done, and the clock
            time; None for no call.
    """

    def __init__(self, fleet: Fleet, evidence: FailureEvidence, term: int) -> None:
        self.fleet = fleet
        self.evidence = evidence
        self._deployment = Deployment(0)
        self.jobs_by_id: dict[str, JobProgress] = {}
        self.open_steps: dict[StepProgress, None] = {}
        self.outbox = Outbox()
        self.account_usage = AccountUsage()
        self.durable_record_number: Callable[[], float] = lambda: float("inf")
        self.may_run_unseen: Callable[[TaskProgress], bool] = lambda task: True
        self.may_all_run_unseen: Callable[[], bool] = lambda: False
        self.on_run_ended: Callable[[Run, bool, float], None] | None = None
        self._crash_log = CrashLog()
        self._run_number_floor = term * RUNS_PER_TERM
        self._scheduled_by_id: dict[str, JobProgress] = {}
        self.unanswered_starts = UnansweredStarts(fleet)
        self.unclaimed_ends = UnclaimedEnds()
        self.delegated_siblings = DelegatedSiblings()

    def take_outbox(self) -> Outbox:
        """Returns the actions collected since the last call and clears them."""
        taken, self.outbox = self.outbox, Outbox()
        return taken

    @property
    def deployment(self) -> Deployment:
        """The configuration."""
        return self._deployment

    @deployment.setter
    def deployment(self, deployment: Deployment) -> None:
        self._deployment = deployment
        for job in self.jobs_by_id.values():
            self._update_queue(job)

    def _update_queue(self, job: JobProgress) -> None:
        job.queue = self._deployment.queue(job.queue_name) or job.queue

    def queue_of(self, step: StepProgress) -> Queue | None:
        """Returns the queue of a step's job as it was configured last, None if it is unknown."""
        return step.job.queue

    def add(self, job: JobProgress, now: float, now_ms: int) -> None:
        """Adds a job that was just accepted, or that was loaded at a takeover."""
        self.jobs_by_id[job.job_id] = job
        self._update_queue(job)
        if job.is_ended:
            return
        for occurrence in job.occurrences_by_number.values():
            if job.delegated_by is not None:
                for step in occurrence.steps:
                    self.delegated_siblings.join(step)
            self._open_steps(occurrence, now)
        self._scheduled_by_id[job.job_id] = job
        self.open_due_occurrences(now, now_ms)
        if self._is_complete(job):
            # Its owner ended after the last task was recorded and before the job was.
            self._end_job(job, JobState.COMPLETED, now_ms)
        for end in self.unclaimed_ends.of_job(job.job_id):
            task = self.find_started_task(end.task, now)
            if task is not None and not (task.is_done or job.is_ended):
                self.apply_result(task, end.run, end.worker_id, EndKind.DONE, "", now, now_ms)

    def has_ended_job(self, task: str) -> bool:
        """Returns True if a task's job, or its occurrence of the job, is known to have ended."""
        job = self.jobs_by_id.get(task.partition(".")[0])
        if job is None or job.is_ended:
            return job is not None
        return occurrence_of(task) in job.completed_occurrences

    def open_due_occurrences(self, now: float, now_ms: int) -> None:
        """Opens the occurrences that have become due by Unix time `now_ms`.

        Of a job with many that are due at once, only as many are opened as leave
        `MAX_WAITING_OCCURRENCES` without a start; each takes its part of every plan.
        """
        waiting: collections.Counter[str] = collections.Counter()
        if self._scheduled_by_id:
            waiting.update(s.job.job_id for s in self.open_steps if s.job.workflow.repeat_count)
        for job in list(self._scheduled_by_id.values()):
            opened = waiting[job.job_id]
            while (
                job.due_count < job.occurrence_count
                and opened < MAX_WAITING_OCCURRENCES
                and job.is_due(job.due_count, now_ms)
            ):
                opened += 1
                self._open_steps(job.open_occurrence(job.due_count), now)
            if job.is_ended or job.due_count >= job.occurrence_count:
                del self._scheduled_by_id[job.job_id]

    def find_task(self, name: str) -> TaskProgress | None:
        """Returns the task with a name, None if it is unknown or its occurrence is not due."""
        delegated = self.jobs_by_id.get(name)
        if delegated is not None and delegated.delegated_by is not None:
            return delegated.find_task(0, 0, 0)
        job_id, *numbers = name.split(".")
        job = self.jobs_by_id.get(job_id)
        if job is None or len(numbers) != 3:
            return None
        if not all(part.isdecimal() and len(part) <= MAX_DIGITS for part in numbers):
            return None
        return job.find_task(*(int(part) for part in numbers))

    def find_started_task(self, name: str, now: float) -> TaskProgress | None:
        """Returns the task of a run that a worker reports, None if it is unknown.

        Opens the task's occurrence if it is not due by this owner's time of day. It was due by that
        of the owner that started the run, and the run would otherwise be taken for one of no task:
        the task would start again once the occurrence is due here.
        """
        task = self.find_task(name)
        job = self._scheduled_by_id.get(name.partition(".")[0])
        if task is not None or job is None or job.is_ended:
            return task
        occurrence = occurrence_of(name)
        if occurrence is None or occurrence >= job.occurrence_count:
            return None
        while job.due_count <= occurrence:
            self._open_steps(job.open_occurrence(job.due_count), now)
        return self.find_task(name)

    def may_start_again(self, name: str, now: float) -> bool:
        """Returns True if an order without a response may still start a task, or one of its gang.

        The end of one member of a gang is the end of all.
        """
        if not self.unanswered_starts:
            return False
        task = self.find_task(name)
        names = [name]
        if task is not None and task.step.spec.is_gang:
            names = [member.name for member in task.step.tasks]
        return any(self.unanswered_starts.may_start_again(member, now) for member in names)

    def may_only_run_unseen(self, step: StepProgress) -> bool:
        """Returns True if each waiting task of a restored step may have an unknown run."""
        return self.may_all_run_unseen() or all(map(self.may_run_unseen, step.waiting.peek()))

    def delegate(self, task: TaskProgress) -> None:
        """Keeps a task without a run from being started, as another shard may run it."""
        task.is_delegated = True
        step = task.step
        step.waiting.discard(task)
        if not step.waiting:
            self.open_steps.pop(step, None)

    def reclaim(self, task: TaskProgress) -> None:
        """Queues a task again that no other shard runs or will run."""
        task.is_delegated = False
        self.requeue(task)

    def resume_returned(self, task: TaskProgress, last_run: int, checkpoint: str) -> None:
        """Applies the progress that a task had when another shard returned it.

        Each owner numbers its runs above those that an earlier one may not have recorded.
        """
        if last_run >= task.last_run and checkpoint:
            task.keep_checkpoint(checkpoint)
        task.has_run = True
        task.last_run = max(task.last_run, last_run + self._run_number_floor)

    def forget(self, job: JobProgress) -> None:
        """Removes a job without runs that another shard has now."""
        self.jobs_by_id.pop(job.job_id, None)
        self._scheduled_by_id.pop(job.job_id, None)
        self.outbox.changed.pop(job.job_id, None)

    def fail(self, job: JobProgress, now_ms: int) -> None:
        """Ends a job as failed, unless it has ended."""
        if not job.is_ended:
            self._end_job(job, JobState.FAILED, now_ms)

    def cancel(self, job: JobProgress, now_ms: int) -> None:
        """Cancels a job, unless it has ended."""
        if not job.is_ended:
            self._end_job(job, JobState.CANCELLED, now_ms)

    def add_run(self, task: TaskProgress, view: WorkerView, number: int, now: float) -> Run:
        """Adds a run that is about to be started."""
        run = Run(task, number, view.worker_id, now, task.start_checkpoint, progressed_at=now)
        task.last_run = max(task.last_run, number)
        task.add_run(run)
        view.add(run)
        step = task.step
        self.account_usage.add(step.job.account, step.spec.demand, 1)
        step.waiting.discard(task)
        if not step.waiting:
            self.open_steps.pop(step, None)
        step.job.run_count += 1
        return run

    def next_run_number(self, task: TaskProgress) -> int:
        """Returns the number of a task's next run."""
        floor = self._run_number_floor + task.step.job.run_number_offset
        return max(task.last_run, floor) + 1

    def continue_run_numbers(self, task: TaskProgress, last_run: int) -> None:
        """Makes this owner and its successors number a delegated task's runs above `last_run`."""
        task.last_run = last_run
        task.has_run = True
        task.step.job.run_number_offset = max(0, last_run - self._run_number_floor)

    def mark_started(self, run: Run, now: float) -> None:
        """Marks a run as started, as its worker confirmed."""
        if run.state is RunState.ENDED:
            return
        run.apply_event("confirmed")
        run.replied_at = now
        self.mark_begun(run.task)

    def mark_seen(self, run: Run) -> None:
        """Marks a run as started, as its worker lists it."""
        run.apply_event("seen")
        self.mark_begun(run.task)

    def mark_past_startup(self, run: Run) -> None:
        """Records a success of the run's worker and job if its task is a long-running one."""
        if run.task.step.spec.is_long_running:
            self.evidence.record_success(run.task.name, run.task.step.job.job_id, run.worker_id)

    def mark_rejected(self, run: Run) -> None:
        """Removes a run that its worker rejected and will not start."""
        if run.state is not RunState.ENDED:
            run.apply_event("refused" if run.state is not RunState.RUNNING else "lost")
            self._remove_run(run)

    def mark_unknown(self, run: Run) -> None:
        """Gives up a run of which no start was answered, unless it is known to be running."""
        if run.state is not RunState.ENDED:
            run.task.has_run = True
            run.apply_event("unanswered")
            if run.state is RunState.UNSETTLED:
                self.stop(run)

    def stop(self, run: Run) -> None:
        """Requests that a run is stopped."""
        if run.state is RunState.ENDED or run.is_stop_wanted:
            return
        run.is_stop_wanted = True
        run.apply_event("stop")
        self.outbox.stops.append(run)

    def record_crash(
        self,
        view: WorkerView,
        now: float,
        now_ms: int,
        surviving: Collection[tuple[str, int]] = (),
    ) -> WorkerCrash | None:
        """Counts the end of a worker's incarnation against the tasks that it ran.

        Args:
            view: the worker.
            now: clock time.
            now_ms: Unix time.
            surviving: task names and numbers of the runs that its next incarnation started.

        Returns:
            The crash, None if the worker ran nothing or had announced that it would leave.
        """
        runs = [
            run
            for run in (*view.runs.values(), *view.lapsed_runs)
            if (run.task.name, run.number) not in surviving
        ]
        if view.has_drained or not runs:
            return None
        crash = self._crash_log.record(view, runs, self.fleet.workers_by_id.values(), now)
        for task in crash.suspects:
            self._mark_changed(task)
        for task in crash.given_up:
            if not task.step.job.is_ended:
                self._end_job(task.step.job, JobState.FAILED, now_ms)
        return crash

    def clear_crashes(self, task: TaskProgress) -> None:
        """Forgets the crashes under a task that was shown not to cause them."""
        task.crashes = 0
        task.crashed_after_s = 0.0
        self._mark_changed(task)

    def is_recorded(self, task: TaskProgress) -> bool:
        """Returns True unless a task that may be given up has crashes that are not durable yet.

        A successor that did not know them would start the task more often.
        """
        job = task.step.job
        return task.crashes < TRIAL_CRASHES or (
            job.job_id not in self.outbox.changed
            and job.record_number <= self.durable_record_number()
        )

    def mark_lost(self, run: Run) -> None:
        """Removes a run that is gone without a result."""
        if run.state is not RunState.ENDED:
            run.apply_event("lost")
            self._remove_run(run)

    def mark_ended(
        self, run: Run, end_kind: EndKind, checkpoint: str, now: float, now_ms: int
    ) -> None:
        """Applies the end of a run and removes it."""
        if run.state is RunState.ENDED:
            return
        run.apply_event("ended")
        if end_kind is EndKind.DONE and run.is_undisturbed:
            run.task.step.durations_s.append(now - run.ordered_at)
        if self.on_run_ended is not None:
            self.on_run_ended(run, end_kind is EndKind.DONE, now)
        self.apply_result(run.task, run.number, run.worker_id, end_kind, checkpoint, now, now_ms)
        self._remove_run(run)

    def apply_result(
        self,
        task: TaskProgress,
        number: int,
        worker_id: str,
        end_kind: EndKind,
        checkpoint: str,
        now: float,
        now_ms: int,
    ) -> None:
        """Applies a run's result; the table may lack the run if an earlier owner started it."""
        job = task.step.job
        if checkpoint:
            task.keep_checkpoint(checkpoint)
        task.last_run = max(task.last_run, number)
        self.mark_begun(task)
        self._mark_changed(task)
        if end_kind is EndKind.DONE:
            self.evidence.record_success(task.name, job.job_id, worker_id)
            if not task.step.spec.is_long_running:
                self._complete_task(task, now, now_ms)
        elif end_kind is EndKind.FAILED:
            self._fail_task(task, number, worker_id, now_ms)

    def adopt(self, task: TaskProgress, number: int, view: WorkerView, now: float) -> Run:
        """Adds a run that a worker reports and that an earlier owner started."""
        run = self.add_run(task, view, number, now)
        self.mark_seen(run)
        run.replied_at = now
        run.is_speed_known = False
        return run

    def request_copy(self, task: TaskProgress) -> None:
        """Queues a second run of a running task; its step must allow copies."""
        step = task.step
        if not task.is_done and not step.job.is_ended:
            self._enqueue(task)

    def requeue(self, task: TaskProgress) -> None:
        """Queues a task for a start if it needs one."""
        step = task.step
        if task.is_delegated:
            return
        if step.is_open and not (task.is_done or step.job.is_ended or task.runs_by_number):
            self._enqueue(task)

    def _mark_changed(self, task: TaskProgress) -> None:
        """Notes that the progress of a task is to be recorded."""
        job = task.step.job
        job.mark_changed(task)
        self.outbox.changed[job.job_id] = job

    def mark_begun(self, task: TaskProgress) -> None:
        """Records that a run of a task has started for certain; a planned one may be refused."""
        job = task.step.job
        task.has_run = True
        job.idle_since = None
        if job.state is JobState.QUEUED:
            job.state = job.visible_state = JobState.RUNNING

    def _enqueue(self, task: TaskProgress) -> None:
        """Queues a task, a long-running one that has run before ahead of its siblings."""
        step = task.step
        if step.spec.is_long_running and task.has_run:
            step.waiting.append_first(task)
        else:
            step.waiting.append(task)
        self.open_steps[step] = None

    def _complete_task(self, task: TaskProgress, now: float, now_ms: int) -> None:
        step, job = task.step, task.step.job
        was_complete = step.is_complete
        for member in step.tasks if step.spec.is_gang else (task,):
            step.waiting.discard(member)
            if not member.is_done:
                member.mark_done()
                step.done += 1
                job.mark_changed(member)
            for copy in list(member.runs_by_number.values()):
                self.stop(copy)
        if not step.waiting:
            self.open_steps.pop(step, None)
        if was_complete or not step.is_complete:
            return
        job.incomplete_steps -= 1
        self._open_steps(step.occurrence, now)
        job.forget_complete(step.occurrence)
        if self._is_complete(job):
            self._end_job(job, JobState.COMPLETED, now_ms)

    def _is_complete(self, job: JobProgress) -> bool:
        return job.due_count == job.occurrence_count and not job.incomplete_steps

    def _fail_task(self, task: TaskProgress, number: int, worker_id: str, now_ms: int) -> None:
        step = task.step
        job = step.job
        worker_count = len(self.fleet.workers_by_id)
        self.evidence.record_failure(
            task.name, job.job_id, worker_id, worker_count, task.probe_name
        )
        if step.spec.is_long_running or task.is_done:
            return
        task.failed_runs.add(number)
        queue = self.queue_of(step)
        failures = (
            len(set().union(*(member.failed_runs for member in step.tasks)))
            if step.spec.is_gang
            else len(task.failed_runs)
        )
        if queue is not None and failures >= queue.max_attempts and not job.is_ended:
            self.evidence.record_given_up(task.name, job.job_id)
            self._end_job(job, JobState.FAILED, now_ms)

    def _end_job(self, job: JobProgress, state: JobState, now_ms: int) -> None:
        job.state = state
        job.finished_ms = now_ms
        self.outbox.changed[job.job_id] = job
        for occurrence in job.occurrences_by_number.values():
            for step in occurrence.steps:
                step.waiting.clear()
                self.open_steps.pop(step, None)
        for task in job.kept_tasks():
            for run in list(task.runs_by_number.values()):
                self.stop(run)

    def _open_steps(self, occurrence: Occurrence, now: float) -> None:
        for step in occurrence.steps:
            if step.is_open or step.is_complete:
                continue
            if not all(occurrence.steps[number].is_complete for number in step.spec.after):
                continue
            step.is_open = True
            step.opened_at = now
            for task in step.tasks.kept():
                self.requeue(task)
            if not step.job.is_ended:
                step.waiting.append_unstarted(step.tasks)
            if step.waiting:
                self.open_steps[step] = None

    def _remove_run(self, run: Run) -> None:
        """Removes a run that is known to be gone and queues its task again if needed."""
        task = run.task
        task.remove_run(run)
        task.step.job.run_count -= 1
        self.account_usage.add(task.step.job.account, task.step.spec.demand, -1)
        view = self.fleet.workers_by_id.get(run.worker_id)
        if view is not None:
            view.remove(run)
        self.evidence.record_departure(task.name, run.worker_id, task.probe_name)
        self.requeue(task)
