"""Counts the workers that crash under a task, and gives up a task that crashes them.

A task may crash every worker that starts it. The runs on a worker that crashed are suspected, as
they can't be told from each other at first; those that had been at work there for a while only if
there is no other one:

- A task under which a worker crashed starts beside no other such task if there is a choice, so that
  the next crash tells them apart.
- After the second crash it is tried alone: no other task starts on its worker until it has ended or
  has run for a while, a short one if other tasks wait that only this worker could run.
- It is given up if its worker crashes in such a trial, and in any case after `MAX_CRASHES`.

A worker that drained before it went away did not crash, nor did one that was cut off, whose
incarnation replies again. A crash that many workers share, such as a loss of power, is not counted.
"""

import collections
import dataclasses
import enum
from collections.abc import Collection, Iterable

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import Run, StepProgress, TaskProgress

__all__ = [
    "TRIAL_CRASHES",
    "CrashCause",
    "CrashLog",
    "WorkerCrash",
    "is_cleared",
    "is_trial_over",
    "may_try_alone",
]

# A task is tried alone after this many crashes.
TRIAL_CRASHES = 2
# A crash in a trial is the third at least.
MIN_GIVE_UP_CRASHES = TRIAL_CRASHES + 1
# A platform may allow two starts after three crashes, and a crash during a takeover goes unnoticed.
MAX_CRASHES = 4
# Crashes of workers that were last heard of within this time may have one cause; a worker that
# replies is heard of once a second.
SAME_TIME_S = 1.2
# A crash is shared if as many of the workers without the step crashed or are silent.
SHARED_WORKERS = 3
SHARED_SHARE = 0.25
# Largest share of a shard's workers on which tasks are tried alone at the same time.
MAX_TRIAL_SHARE = 1 / 16
# A run that started this much earlier than the trial beside it did not cause the crash.
SETTLED_S = 1.0
# A trial takes this long at least, as the worker is heard of once a second.
MIN_TRIAL_S = 2.0
# The same while tasks wait that only its worker could run; a report shows then that it is alive.
MIN_AWAITED_TRIAL_S = 1.0
# A run that is at work for this long, and for several times as long as the crashes took, shows that
# its task does not crash workers.
CLEARED_AFTER_S = 10.0
CLEARED_FACTOR = 3.0


class CrashCause(enum.StrEnum):
    """What a crash is attributed to."""

    TASKS = "tasks"
    SHARED = "shared"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerCrash:
    """A worker that crashed with runs on it.

    Attributes:
        worker_id: the worker.
        cause: what the crash is attributed to; `SHARED` if it counts against no task, as many
            workers crashed.
        silent_since: clock time of its last reply.
        suspects: the tasks against which it counts.
        given_up: those of them that are given up.
    """

    worker_id: str
    cause: CrashCause
    silent_since: float
    suspects: tuple[TaskProgress, ...]
    given_up: tuple[TaskProgress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Silence:
    """A worker that crashed or does not reply, and the steps with runs on it."""

    worker_id: str
    since: float
    steps: frozenset[StepProgress]


class CrashLog:
    """The recent crashes of one shard's workers."""

    def __init__(self) -> None:
        self._recent: collections.deque[_Silence] = collections.deque(maxlen=256)

    def record(
        self, view: WorkerView, runs: Collection[Run], workers: Iterable[WorkerView], now: float
    ) -> WorkerCrash:
        """Records that a worker's incarnation is gone, and counts the crash against its tasks.

        Args:
            view: the worker.
            runs: the runs of that incarnation.
            workers: all workers of the shard.
            now: clock time.
        """
        crash = _Silence(view.worker_id, view.lease.replied_at, _steps(runs))
        others = [other for other in workers if other is not view]
        silent = {found.worker_id: found for found in self._simultaneous(crash, others, now)}
        self._recent.append(crash)
        young = [run for run in runs if crash.since - run.ordered_at < CLEARED_AFTER_S]
        is_excused = False
        suspects = []
        given_up = []
        for run in young or runs:
            task = run.task
            # A run without a response may outlast the crash, and ends with one worker only.
            if run.is_suspected or task.is_done or task.step.job.is_ended:
                continue
            if _is_shared(task.step, silent, others):
                is_excused = True
                continue
            run.is_suspected = True
            suspects.append(task)
            task.crashes += 1
            task.crashed_after_s = max(task.crashed_after_s, crash.since - run.ordered_at)
            if _is_given_up(run, runs, view):
                given_up.append(task)
        cause = CrashCause.SHARED if is_excused and not suspects else CrashCause.TASKS
        return WorkerCrash(view.worker_id, cause, crash.since, tuple(suspects), tuple(given_up))

    def _simultaneous(
        self, crash: _Silence, others: Iterable[WorkerView], now: float
    ) -> Iterable[_Silence]:
        """Yields the other workers that crashed or fell silent at the time of a crash."""
        for other in others:
            since = other.lease.replied_at
            if since and now - since > SAME_TIME_S and abs(since - crash.since) <= SAME_TIME_S:
                yield _Silence(other.worker_id, since, _steps(other.runs.values()))
        for earlier in self._recent:
            is_other = earlier.worker_id != crash.worker_id
            if is_other and abs(earlier.since - crash.since) <= SAME_TIME_S:
                yield earlier


def may_try_alone(task: TaskProgress, workers: Collection[WorkerView]) -> bool:
    """Returns True if the next run of a task is a trial.

    Args:
        task: the task.
        workers: all workers of the shard.
    """
    if task.crashes < TRIAL_CRASHES:
        return False
    trials = sum(view.trial is not None for view in workers)
    return trials < max(1.0, MAX_TRIAL_SHARE * len(workers))


def is_trial_over(run: Run, now: float, is_worker_needed: bool = False) -> bool:
    """Returns True once other tasks may start beside a run that was tried alone.

    Args:
        run: the run.
        now: clock time.
        is_worker_needed: whether tasks wait that only its worker could run.
    """
    return _ran_for(run, MIN_AWAITED_TRIAL_S if is_worker_needed else _trial_s(run.task), now)


def _trial_s(task: TaskProgress) -> float:
    return min(max(MIN_TRIAL_S, CLEARED_FACTOR * task.crashed_after_s), CLEARED_AFTER_S)


def is_cleared(run: Run, now: float) -> bool:
    """Returns True once a run shows that its task does not crash workers."""
    return _ran_for(run, max(CLEARED_AFTER_S, CLEARED_FACTOR * run.task.crashed_after_s), now)


def _ran_for(run: Run, seconds: float, now: float) -> bool:
    return run.replied_at is not None and now - run.ordered_at >= seconds


def _steps(runs: Iterable[Run]) -> frozenset[StepProgress]:
    return frozenset(run.task.step for run in runs)


def _is_shared(
    step: StepProgress, silent: dict[str, _Silence], others: Iterable[WorkerView]
) -> bool:
    """Returns True if workers without a step crashed at the same time, too."""
    hit = sum(step not in found.steps for found in silent.values())
    up = sum(
        other.worker_id not in silent and not step.runs_on(other.worker_id) for other in others
    )
    return hit >= SHARED_WORKERS and hit >= SHARED_SHARE * (hit + up)


def _is_given_up(run: Run, runs: Iterable[Run], view: WorkerView) -> bool:
    if run.task.crashes >= MAX_CRASHES:
        return True
    return (
        run.task.crashes >= MIN_GIVE_UP_CRASHES
        and view.trial is run
        and all(_is_settled(other, run.ordered_at) for other in runs if other is not run)
    )


def _is_settled(run: Run, trial_at: float) -> bool:
    """Whether a run was at work for long enough before a trial not to have caused its crash.

    A suspect whose own trial was short, as others needed the worker, may have.
    """
    is_suspect = run.task.crashes >= TRIAL_CRASHES
    settled_s = _trial_s(run.task) if is_suspect else SETTLED_S
    return run.ordered_at <= trial_at - settled_s
