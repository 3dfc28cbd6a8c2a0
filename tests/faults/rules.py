"""The rules that hold in every cell, checked against observations of workers and callers."""

import dataclasses
from collections.abc import Iterator

from pollengate.jobs import Resources, TaskState, task_id_of
from pollengate.worker import ReportState
from pollengate.worker_entry import WORKER_LEASE_S

from tests.faults.deployment import Deployment
from tests.faults.records import Recorder, Run

__all__ = ["MAX_START_LAG_S", "Violation", "check", "is_complete"]

# The requirements allow "a few seconds" until no task starts any more in a zone out of service, on
# a leaving worker or for a cancelled job.
MAX_START_LAG_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule.

    Attributes:
        rule: the rule.
        detail: the runs, the job or the exception that violate it.
    """

    rule: str
    detail: str


def check(deployment: Deployment) -> list[Violation]:
    """Returns all violations of all rules."""
    recorder = deployment.recorder
    checks = (
        _check_runs_in_one_place(recorder),
        _check_finished_once(deployment),
        _check_at_most_once(recorder),
        _check_resumption(deployment),
        _check_zones_out_of_service(recorder),
        _check_leaving_workers(recorder),
        _check_refused_jobs(recorder),
        _check_cancelled_jobs(recorder),
        _check_capacity(recorder),
        _check_complete(deployment),
    )
    violations = [violation for found in checks for violation in found]
    broken = [
        Violation("no process ends with an exception", repr(e)) for e in deployment.process_errors()
    ]
    return violations + broken


def is_complete(deployment: Deployment) -> bool:
    """Whether every accepted job has ended, as far as workers and callers can observe."""
    recorder = deployment.recorder
    if any(run.ended_at is None for run in recorder.runs):
        return False
    return not any(True for _ in _check_complete(deployment))


def _runs_by_task(recorder: Recorder) -> dict[str, list[Run]]:
    runs_by_task: dict[str, list[Run]] = {}
    for run in recorder.runs:
        runs_by_task.setdefault(run.task_id, []).append(run)
    return runs_by_task


def _consecutive_runs(recorder: Recorder) -> Iterator[tuple[Run, Run]]:
    for runs in _runs_by_task(recorder).values():
        yield from zip(runs, runs[1:], strict=False)


def _check_runs_in_one_place(recorder: Recorder) -> Iterator[Violation]:
    for earlier, later in _consecutive_runs(recorder):
        if earlier.ended_at is None or later.started_at < earlier.ended_at:
            yield Violation("a task runs in one place", f"{earlier} and {later}")


def _check_finished_once(deployment: Deployment) -> Iterator[Violation]:
    for earlier, later in _consecutive_runs(deployment.recorder):
        if earlier.end_state is ReportState.FINISHED and not _is_report_lost(
            deployment, earlier, later
        ):
            yield Violation("a finished task does not run again", f"{earlier} and {later}")


def _is_report_lost(deployment: Deployment, earlier: Run, later: Run) -> bool:
    """Whether the report of a run was lost with its worker before a later run started.

    A worker also counts as lost if it renewed no lease after the run's end and its last lease has
    expired since.
    """
    if earlier.has_failed:
        return True
    worker = deployment.workers_by_id[earlier.worker_id]
    renewal_times = [time for time in worker.renewals if time <= later.started_at]
    ended_at = earlier.ended_at if earlier.ended_at is not None else later.started_at
    return max(renewal_times) < ended_at and later.started_at >= max(renewal_times) + WORKER_LEASE_S


def _check_at_most_once(recorder: Recorder) -> Iterator[Violation]:
    for earlier, later in _consecutive_runs(recorder):
        record = recorder.jobs_by_id[later.job_id]
        # A run that resumes from the previous run's checkpoint continues the same execution.
        resumes = earlier.end_state is ReportState.CHECKPOINTED and later.order.checkpoint
        if not record.spec.idempotent and not resumes:
            yield Violation("a non-idempotent task runs at most once", f"{earlier} and {later}")


def _check_resumption(deployment: Deployment) -> Iterator[Violation]:
    for earlier, later in _consecutive_runs(deployment.recorder):
        if earlier.end_state is ReportState.CHECKPOINTED:
            expected = earlier.end_checkpoint
        else:
            expected = earlier.order.checkpoint
        if later.order.checkpoint != expected and not _is_report_lost(deployment, earlier, later):
            yield Violation("evicted work resumes where it stopped", f"{earlier} and {later}")


def _check_zones_out_of_service(recorder: Recorder) -> Iterator[Violation]:
    for zone, periods in recorder.out_periods_by_zone.items():
        for out_at, in_at in periods:
            for run in recorder.runs:
                if run.zone == zone and out_at + MAX_START_LAG_S < run.started_at < in_at:
                    yield Violation(
                        "no start in a zone out of service", f"{run}, out of service at {out_at}"
                    )


def _check_leaving_workers(recorder: Recorder) -> Iterator[Violation]:
    for run in recorder.runs:
        leaving_at = recorder.leaving_at_by_worker.get(run.worker_id)
        if leaving_at is not None and run.started_at > leaving_at + MAX_START_LAG_S:
            yield Violation("no start on a leaving worker", f"{run}, leaving at {leaving_at}")


def _check_refused_jobs(recorder: Recorder) -> Iterator[Violation]:
    for record in recorder.jobs_by_id.values():
        if not record.refused_as_not_run:
            continue
        for index in range(record.spec.count):
            if recorder.runs_of(task_id_of(record.spec.job_id, index)):
                yield Violation("a job refused as not run does not run", record.spec.job_id)


def _check_cancelled_jobs(recorder: Recorder) -> Iterator[Violation]:
    for record in recorder.jobs_by_id.values():
        if record.cancelled_at is None:
            continue
        for index in range(record.spec.count):
            for run in recorder.runs_of(task_id_of(record.spec.job_id, index)):
                if run.started_at > record.cancelled_at + MAX_START_LAG_S:
                    yield Violation("a cancelled task does not start", str(run))


def _check_capacity(recorder: Recorder) -> Iterator[Violation]:
    for worker_id, reply in recorder.refusals:
        if reply.reason == "no_capacity":
            yield Violation("no worker is sent more than its capacity", f"{worker_id}: {reply}")
    for worker_id, capacity in recorder.capacity_by_worker.items():
        runs = [run for run in recorder.runs if run.worker_id == worker_id]
        for run in runs:
            if not _usage_at(runs, run.started_at).fits(capacity):
                yield Violation("no worker runs more than its capacity", f"{worker_id}: {run}")


def _usage_at(runs: list[Run], time: float) -> Resources:
    use = Resources(0, 0)
    for run in runs:
        if run.started_at <= time and (run.ended_at is None or time < run.ended_at):
            use = use + run.order.resources
    return use


def _check_complete(deployment: Deployment) -> Iterator[Violation]:
    recorder = deployment.recorder
    for record in recorder.jobs_by_id.values():
        if record.accepted_at is None or record.cancelled_at is not None:
            continue
        # A non-idempotent task that may have run does not run again; it is reported as unknown.
        if TaskState.UNKNOWN in deployment.states_seen_by_callers(record.spec.job_id):
            if record.spec.idempotent:
                yield Violation("no idempotent job ends as unknown", record.spec.job_id)
            continue
        for index in range(record.spec.count):
            task_id = task_id_of(record.spec.job_id, index)
            runs = recorder.runs_of(task_id)
            if not any(run.end_state is ReportState.FINISHED for run in runs):
                yield Violation("every accepted task finishes", f"{task_id}: {runs}")
