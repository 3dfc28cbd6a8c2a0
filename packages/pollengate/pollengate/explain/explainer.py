"""Explains the state of a job's steps and where their next tasks would go now.

The planner's own order, start filter and placer are asked, so that the explanation agrees with the
next plan. They are asked about the next task of each step, with the runs that exist now. Steps
before it in the order may take the same room first; its place tells this, no plan is simulated.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable

from pollengate.explain.reasons import (
    Reason,
    count_fitting_tasks,
    find_reason,
    find_unschedulable_reason,
)
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.model import Queue, Workflow
from pollengate.workflow.placement import Placer
from pollengate.workflow.planner import Planner
from pollengate.workflow.progress import JobProgress, JobState, StepProgress
from pollengate.workflow.waiting import WaitCause, WaitMonitor

__all__ = ["JobExplainer", "JobExplanation", "StepExplanation", "StepState", "WorkerAge"]

# Each waiting step is compared with all workers of its service, which takes up to 4 ms for 246 of
# them; more steps of one job would keep the event loop from its other work.
MAX_STEPS = 10
# Stands for the id of a job that was never submitted; clients' ids are hexadecimal.
UNSUBMITTED_ID = "unsubmitted"


class StepState(enum.StrEnum):
    """State of a step.

    Attributes:
        NOT_OPEN: steps before it are not complete.
        WAITING: at least one of its tasks waits for a start.
        RUNNING: all tasks that are not done have a run.
        DONE: all tasks are done.
        ENDED: the job ended before the step was complete.
    """

    NOT_OPEN = "not_open"
    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class StepExplanation:
    """State of a step and, if it waits, where its next task would go.

    Attributes:
        occurrence: number of the occurrence that it belongs to.
        step: its number.
        state: its state.
        tasks: number of its tasks.
        waiting: number of tasks that wait for a start.
        done: number of tasks that are done.
        place: place among the shard's waiting steps, counted from 1; None unless it waits. The
            fields below have their defaults then, too.
        tasks_ahead: number of waiting tasks of the steps before it in the order.
        cause: why its tasks wait; None if the next plan would start one.
        worker: id of the worker that the next task would get, None if it would not start.
        is_last_resort: whether there is a reason against that worker and it is used all the same.
        workers: number of the shard's workers of the step's service.
        suitable: number of them without a reason against them.
        fitting_tasks: number of the waiting tasks that fit on the suitable and the reserved
            workers.
        against: number of the other workers by the first reason against them.
        delegated: number of its tasks that run in other shards, or for which one is being asked.
    """

    occurrence: int
    step: int
    state: StepState
    tasks: int
    waiting: int
    done: int
    place: int | None = None
    tasks_ahead: int = 0
    cause: WaitCause | None = None
    worker: str | None = None
    is_last_resort: bool = False
    workers: int = 0
    suitable: int = 0
    fitting_tasks: int = 0
    against: dict[Reason, int] = dataclasses.field(default_factory=dict)
    delegated: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerAge:
    """A worker and the age of its newest report in seconds, None before its first report."""

    worker: str
    zone: str
    report_age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class JobExplanation:
    """State of a job and its steps.

    Attributes:
        job: the job's id, None if it was never submitted.
        queue: name of its queue.
        account: its client account, empty for none.
        state: its state, None if it was never submitted.
        occurrences: total number of its occurrences.
        due_occurrences: number of them that are due.
        waiting_steps: number of the shard's waiting steps, with those of a job never submitted.
        waiting_tasks: number of their waiting tasks.
        steps: the steps of its unfinished occurrences, or of the last one if all are complete; of
            more than `MAX_STEPS`, those that wait and then those that are not done.
        omitted_steps: number of further steps that were left out.
    """

    job: str | None
    queue: str
    account: str
    state: JobState | None
    occurrences: int
    due_occurrences: int
    waiting_steps: int
    waiting_tasks: int
    steps: list[StepExplanation]
    omitted_steps: int


class JobExplainer:
    """Explains decisions of a planner without changing what it decides.

    Args:
        planner: the planner of the shard.
    """

    def __init__(self, planner: Planner) -> None:
        self._planner = planner
        self._job_table = planner.job_table
        self._wait_monitor = WaitMonitor(
            planner.job_table, planner.is_settled, planner.start_filter
        )

    def explain_job(self, job_id: str, now: float) -> JobExplanation | None:
        """Explains a job in the job table; returns None if there is no such job."""
        job = self._job_table.jobs_by_id.get(job_id)
        return None if job is None else self._explain(job, (), now)

    def explain_workflow(
        self, workflow: Workflow, queue: Queue, account: str, now: float, now_ms: int
    ) -> JobExplanation:
        """Explains a workflow as if it had just been accepted and its first occurrence were due.

        Tickets of the advice service are requested after acceptance, so all workers count as having
        one.
        """
        job = JobProgress(
            UNSUBMITTED_ID, queue.name, workflow, now_ms, now, queue=queue, account=account
        )
        opened = [step for step in job.open_occurrence(0).steps if not step.spec.after]
        for step in opened:
            step.is_open = True
            step.opened_at = now
            step.waiting.append_unstarted(step.tasks)
        return self._explain(job, opened, now)

    def worker_ages(self, now: float) -> list[WorkerAge]:
        """Returns the shard's workers with the ages of their reports."""
        return [
            WorkerAge(
                view.worker_id,
                view.info.zone,
                round(now - view.lease.replied_at, 3) if view.born_ms else None,
            )
            for view in self._job_table.fleet.workers_by_id.values()
        ]

    def _explain(
        self, job: JobProgress, unsubmitted: Iterable[StepProgress], now: float
    ) -> JobExplanation:
        ranked = self._rank(unsubmitted, now)
        place_by_step = {step: place for place, (step, _) in enumerate(ranked, start=1)}
        ahead_by_step = dict(ranked)
        is_submitted = job.job_id in self._job_table.jobs_by_id
        steps = _relevant_steps(job)
        explained = []
        for step in _most_relevant(steps):
            explanation = _describe(step)
            if step in place_by_step:
                explanation.place = place_by_step[step]
                explanation.tasks_ahead = ahead_by_step[step]
                self._explain_start(explanation, step, is_submitted, now)
            explained.append(explanation)
        return JobExplanation(
            job=job.job_id if is_submitted else None,
            queue=job.queue_name,
            account=job.account,
            state=job.state if is_submitted else None,
            occurrences=job.occurrence_count,
            due_occurrences=job.due_count if is_submitted else 0,
            waiting_steps=len(ranked),
            waiting_tasks=sum(len(step.waiting) for step, _ in ranked),
            steps=explained,
            omitted_steps=max(0, len(steps) - MAX_STEPS),
        )

    def _rank(
        self, unsubmitted: Iterable[StepProgress], now: float
    ) -> list[tuple[StepProgress, int]]:
        """Returns the waiting steps in order, each with the number of waiting tasks before it."""
        job_table = self._job_table
        steps = [step for step in job_table.open_steps if step.waiting]
        steps += unsubmitted
        steps.sort(key=lambda step: self._planner.order.key(step, job_table.queue_of(step), now))
        ranked = []
        tasks = 0
        for step in steps:
            ranked.append((step, tasks))
            tasks += len(step.waiting)
        return ranked

    def _explain_start(
        self, explanation: StepExplanation, step: StepProgress, is_submitted: bool, now: float
    ) -> None:
        """Adds the worker that the next task would get, and the reasons against the others."""
        queue = self._job_table.queue_of(step)
        if queue is None:
            explanation.cause = WaitCause.NO_QUEUE
            return
        placer = self._planner.placer
        needs_ticket = is_submitted and queue.advice is not None
        reason_by_view = self._find_reasons(step, queue, placer, needs_ticket, now)
        explanation.workers = len(reason_by_view)
        against = collections.Counter(reason_by_view.values())
        explanation.suitable = against.pop(None, 0)
        explanation.against = {reason: n for reason, n in against.items() if reason is not None}
        fitting = (
            count_fitting_tasks(step, view)
            for view, reason in reason_by_view.items()
            if reason in (None, Reason.RESERVED)
        )
        explanation.fitting_tasks = min(len(step.waiting), sum(fitting))
        chosen = None
        if self._may_start(step):
            chosen = self._choose(step, queue, placer, needs_ticket, now)
            if step.spec.is_gang and explanation.fitting_tasks < step.spec.count:
                chosen = None
        if chosen is None:
            explanation.cause = self._wait_monitor.find_cause(step, now)
            return
        explanation.worker = chosen.worker_id
        explanation.is_last_resort = reason_by_view[chosen] is not None

    def _find_reasons(
        self, step: StepProgress, queue: Queue, placer: Placer, needs_ticket: bool, now: float
    ) -> dict[WorkerView, Reason | None]:
        """Returns the workers of a queue's service, each with the first reason against it."""
        fleet = self._job_table.fleet
        unanswered = self._job_table.unanswered_starts
        is_held_back = self._is_held_back(step)
        reason_by_view = {}
        for view in fleet.workers_by_id.values():
            if view.info.service != queue.service:
                continue
            reason = find_unschedulable_reason(fleet, view, now) or find_reason(
                step.waiting.first or step.tasks.peek(0),
                view,
                placer,
                unanswered,
                needs_ticket,
                now,
            )
            if is_held_back and reason in (None, Reason.RESERVED):
                reason = Reason.ACCOUNT_LIMIT
            reason_by_view[view] = reason
        return reason_by_view

    def _is_held_back(self, step: StepProgress) -> bool:
        """Returns True if the start filter lets no task of a step start."""
        needed = step.spec.count if step.spec.is_gang else 1
        return self._planner.start_filter.count_startable(step) < needed

    def _may_start(self, step: StepProgress) -> bool:
        """Returns True if a task of a step may start on a worker that is suitable."""
        is_unsettled = step.job.is_restored and not self._planner.is_settled()
        if is_unsettled and self._job_table.may_only_run_unseen(step):
            return False
        if step.spec.is_gang and len(step.waiting) < step.spec.count:
            return False
        return not self._is_held_back(step)

    def _choose(
        self, step: StepProgress, queue: Queue, placer: Placer, needs_ticket: bool, now: float
    ) -> WorkerView | None:
        workers = self._job_table.fleet.schedulable_workers(queue.service, now)
        task = step.waiting.first or step.tasks.peek(0)
        allowed = self._job_table.unanswered_starts.allowed(task, workers, now)
        return placer.choose(task, workers, now, needs_ticket, candidates=allowed)


def _describe(step: StepProgress) -> StepExplanation:
    return StepExplanation(
        step.occurrence.number,
        step.number,
        _state(step),
        step.spec.count,
        len(step.waiting),
        step.done,
        delegated=sum(task.is_delegated for task in step.tasks.kept()),
    )


def _state(step: StepProgress) -> StepState:
    if step.is_complete:
        return StepState.DONE
    if step.job.is_ended:
        return StepState.ENDED
    if not step.is_open:
        return StepState.NOT_OPEN
    return StepState.WAITING if step.waiting else StepState.RUNNING


def _most_relevant(steps: list[StepProgress]) -> list[StepProgress]:
    kept = sorted(steps, key=lambda step: (not step.waiting, step.is_complete))[:MAX_STEPS]
    return sorted(kept, key=lambda step: (step.occurrence.number, step.number))


def _relevant_steps(job: JobProgress) -> list[StepProgress]:
    occurrences = list(job.occurrences_by_number.values())
    unfinished = [occurrence for occurrence in occurrences if not occurrence.is_complete]
    return [step for occurrence in unfinished or occurrences[-1:] for step in occurrence.steps]
