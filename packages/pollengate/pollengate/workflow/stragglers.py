"""Finds runs that stand still, are slow, or are out of reach.

Made for workers that hang or turn slow while their health is good: a run that makes no progress
is stopped and starts elsewhere; one that would take far longer than its siblings moves if it can
resume, or gets a copy where copies are allowed. Fillers that others starve are neither.
"""

import dataclasses
import enum
import statistics

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import PAST_STARTUP_PERCENT, Run, RunState
from pollengate.workflow.throttling import SLOW_SPEED_PERCENT

__all__ = ["Remedy", "Straggler", "find_stragglers"]

# Workers report every second or sooner, and work shows in whole percents; the longest tasks of the
# sites take 4.3 s.
STALLED_AFTER_S = 2.0
# A long-running task starts up within 0.8 s.
STARTUP_S = 3.0
# A worker that reports every second has been silent for so long.
SILENT_AFTER_S = 1.7
# Declared sizes are off by up to 0.3 within a step; slow workers take four times as long or more.
SLOW_FACTOR = 2.5
MIN_SIBLINGS = 2
MIN_ELAPSED_S = 0.8
# A filler that gets less of its processors than that is slow because of its neighbours.
SHORT_OF_CPU_SHARE = 0.6


class Remedy(enum.StrEnum):
    """What helps a straggler."""

    MOVE = "move"
    COPY = "copy"


@dataclasses.dataclass(frozen=True, slots=True)
class Straggler:
    """A run that needs help.

    Attributes:
        run: the run.
        remedy: what to do.
        cause: for logs.
        is_workers_fault: whether it speaks against the worker.
    """

    run: Run
    remedy: Remedy
    cause: str
    is_workers_fault: bool


def find_stragglers(view: WorkerView, now: float) -> list[Straggler]:
    """Returns the runs of a worker that need help now."""
    found = (_diagnose(view, run, now) for run in view.runs.values() if _is_eligible(run))
    return [straggler for straggler in found if straggler is not None]


def _is_eligible(run: Run) -> bool:
    """Tells whether a run is the only one of its task, gets its share and waits for no other."""
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
        if spec.is_speculative:
            return Straggler(run, Remedy.COPY, "worker is silent", False)
        return None
    if spec.is_long_running:
        if run.percent < PAST_STARTUP_PERCENT and now - run.progressed_at > STARTUP_S:
            return Straggler(run, Remedy.MOVE, "startup does not end", True)
        return None
    if now - run.progressed_at > STALLED_AFTER_S and not _is_short_of_cpu(run):
        return Straggler(run, Remedy.MOVE, "no progress", True)
    if _is_slow(run, now):
        if spec.is_speculative:
            return Straggler(run, Remedy.COPY, "slower than its siblings", True)
        if spec.saves_progress:
            return Straggler(run, Remedy.MOVE, "slower than its siblings", True)
    return None


def _is_slow(run: Run, now: float) -> bool:
    durations_s = run.task.step.durations_s
    elapsed_s = now - run.ordered_at
    if len(durations_s) < MIN_SIBLINGS or elapsed_s < MIN_ELAPSED_S or _is_short_of_cpu(run):
        return False
    work_done = run.percent - run.initial_percent
    if work_done <= 0:
        return elapsed_s > SLOW_FACTOR * statistics.median(durations_s)
    return elapsed_s * 100 / work_done > SLOW_FACTOR * statistics.median(durations_s)


def _is_short_of_cpu(run: Run) -> bool:
    spec = run.task.step.spec
    return spec.is_filler and run.measurement < SHORT_OF_CPU_SHARE * spec.demand.cpu_millis
