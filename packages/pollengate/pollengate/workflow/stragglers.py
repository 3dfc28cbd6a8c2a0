"""Finds stragglers: runs that make no progress, are slow, or are on a worker that is silent.

A worker can hang or become slow while its health checks pass. A run without progress is stopped and
started on another worker. A run that would take much longer than its siblings is moved if it can
resume from a checkpoint, or gets a copy if copies are allowed. Fillers that lack processor time
because of other tasks are not stragglers.
"""

import dataclasses
import enum
import statistics

from pollengate.interference.speeds import SLOW_SPEED_PERCENT
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import PAST_STARTUP_PERCENT, Run, RunState

__all__ = ["SILENT_AFTER_S", "Remedy", "Straggler", "find_stragglers"]

# Workers report progress in whole percents at least once a second. Even the longest tasks take only
# 4.3 s, so that each report of a healthy run shows progress.
STALLED_AFTER_S = 2.0
# Long-running tasks normally start up within 0.8 s.
STARTUP_TIMEOUT_S = 3.0
# Workers report at least once a second; after this time without a report one counts as silent.
SILENT_AFTER_S = 1.7
# Tasks of a step vary by up to 30 % around the declared size. Slow workers take at least four times
# as long.
SLOW_FACTOR = 2.5
MIN_FINISHED_SIBLINGS = 2
MIN_ELAPSED_S = 0.8
# A filler with less than this share of its declared processors is slowed by other tasks.
SHORT_OF_CPU_SHARE = 0.6


class Remedy(enum.StrEnum):
    """What to do about a straggler."""

    MOVE = "move"
    COPY = "copy"


@dataclasses.dataclass(frozen=True, slots=True)
class Straggler:
    """A run to be moved or copied.

    Attributes:
        run: the run.
        remedy: what to do about it.
        cause: the reason, for logs.
        counts_against_worker: whether it counts as a failure of the worker.
    """

    run: Run
    remedy: Remedy
    cause: str
    counts_against_worker: bool


def find_stragglers(view: WorkerView, now: float) -> list[Straggler]:
    """Returns the stragglers among a worker's runs."""
    found = (_diagnose(view, run, now) for run in view.runs.values() if _is_eligible(run))
    return [straggler for straggler in found if straggler is not None]


def _is_eligible(run: Run) -> bool:
    """Returns True if a run can be a straggler.

    Excluded are runs that are throttled, tasks that have or wait for another run, and gangs, whose
    members wait for each other.
    """
    task = run.task
    return (
        run.state is RunState.RUNNING
        and run.speed_percent >= SLOW_SPEED_PERCENT
        and len(task.runs_by_number) == 1
        and task not in task.step.waiting
        and not task.step.spec.is_gang
    )


def _diagnose(view: WorkerView, run: Run, now: float) -> Straggler | None:
    spec = run.task.step.spec
    silent_s = now - view.lease.replied_at
    if silent_s > SILENT_AFTER_S:
        if _may_copy(run):
            return Straggler(run, Remedy.COPY, "worker is silent", False)
        return None
    if spec.is_long_running:
        if run.percent < PAST_STARTUP_PERCENT and now - run.progressed_at > STARTUP_TIMEOUT_S:
            return Straggler(run, Remedy.MOVE, "startup takes too long", True)
        return None
    if now - run.progressed_at > STALLED_AFTER_S and not _is_short_of_cpu(run):
        return Straggler(run, Remedy.MOVE, "no progress", True)
    if _is_slow(run, now):
        if _may_copy(run):
            return Straggler(run, Remedy.COPY, "slower than its siblings", True)
        if spec.saves_progress:
            return Straggler(run, Remedy.MOVE, "slower than its siblings", True)
    return None


def _may_copy(run: Run) -> bool:
    """Returns True if a second run may start beside a run.

    Its worker may just have crashed under the task: a copy of a suspect would crash the next one
    before that is known.
    """
    return run.task.step.spec.is_speculative and not run.task.crashes


def _is_slow(run: Run, now: float) -> bool:
    durations_s = run.task.step.durations_s
    elapsed_s = now - run.ordered_at
    if (
        len(durations_s) < MIN_FINISHED_SIBLINGS
        or elapsed_s < MIN_ELAPSED_S
        or _is_short_of_cpu(run)
    ):
        return False
    work_done = run.percent - run.initial_percent
    if work_done <= 0:
        return elapsed_s > SLOW_FACTOR * statistics.median(durations_s)
    return elapsed_s * 100 / work_done > SLOW_FACTOR * statistics.median(durations_s)


def _is_short_of_cpu(run: Run) -> bool:
    spec = run.task.step.spec
    return spec.is_filler and run.measurement < SHORT_OF_CPU_SHARE * spec.demand.cpu_millis
