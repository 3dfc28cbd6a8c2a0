"""Throttles fillers while a serving task on their worker misses its latency target.

Interference only shows in the tail latency of serving tasks, which workers report half a second
late. The speed of fillers is cut fast, since a target may be missed for a few seconds only, and
raised slowly, so that speed and latency do not oscillate.
"""

import dataclasses

from pollengate.workflow.colocation import ColocationModel
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.progress import Run, RunState

__all__ = ["SpeedChange", "ThrottleController"]

# Fillers are throttled if a latency is above this share of its target.
THROTTLE_ABOVE_SHARE = 1.0
# Their speed is raised if all latencies are below this share of their targets.
RELEASE_BELOW_SHARE = 0.75
# Factor on the speed of fillers at each cut.
CUT_FACTOR = 0.4
# Fillers are halted instead of being given a lower speed than this.
HALT_BELOW_PERCENT = 15
# Percentage points by which the speed is raised in one change.
RAISE_STEP_PERCENT = 25
# Minimum time between two changes, so that the effect of one is measured before the next: a change
# of speed takes 100 ms, and a latency measurement covers half a second.
CHANGE_INTERVAL_S = 0.6
# No new filler is placed on a worker for this long after a latency above its target.
FILLER_BLOCK_S = 1.0
FULL_SPEED_PERCENT = 100
# A filler with a lower speed than this finishes sooner if it moves to another worker.
SLOW_SPEED_PERCENT = 50
# A filler that has been slow for this long moves. A move costs a checkpoint and 0.1 to 0.25 s to
# resume.
RELOCATE_AFTER_S = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedChange:
    """A new speed for a filler, in percent of its full speed."""

    run: Run
    percent: int

    def apply(self, now: float) -> None:
        """Updates the run once the worker has confirmed the change."""
        self.run.speed_percent = self.percent
        if self.percent >= SLOW_SPEED_PERCENT:
            self.run.slow_since = None
        elif self.run.slow_since is None:
            self.run.slow_since = now


@dataclasses.dataclass(slots=True)
class _WorkerSpeed:
    percent: int = FULL_SPEED_PERCENT
    changed_at: float = float("-inf")


class ThrottleController:
    """Sets the speed of each worker's fillers by the latency of its serving tasks.

    Args:
        colocation: learned odds of interference; if no filler of a worker is known to interfere,
            all of them are throttled.
    """

    def __init__(self, colocation: ColocationModel) -> None:
        self._colocation = colocation
        self._speed_by_worker: dict[str, _WorkerSpeed] = {}

    def adjust(self, view: WorkerView, now: float) -> list[SpeedChange]:
        """Returns the changes of speed that follow from a worker's newest measurements."""
        speed = self._speed_by_worker.setdefault(view.worker_id, _WorkerSpeed())
        latency_to_target = _latency_to_target(view)
        if now - speed.changed_at >= CHANGE_INTERVAL_S:
            percent = _next_percent(speed.percent, latency_to_target)
            if percent != speed.percent:
                speed.percent = percent
                speed.changed_at = now
        if latency_to_target > THROTTLE_ABOVE_SHARE:
            view.fillers_blocked_until = now + FILLER_BLOCK_S
        running = [run for run in view.fillers if run.state is RunState.RUNNING]
        interfering = [r for r in running if self._colocation.is_interfering(view, r)] or running
        percent_by_run = dict.fromkeys(running, FULL_SPEED_PERCENT) | dict.fromkeys(
            interfering, speed.percent
        )
        return [
            SpeedChange(run, percent)
            for run, percent in percent_by_run.items()
            if run.speed_percent != percent
        ]

    def runs_to_relocate(self, view: WorkerView, now: float) -> list[Run]:
        """Returns fillers to move: slow for a while, and able to resume from a checkpoint."""
        return [
            run
            for run in view.fillers
            if run.state is RunState.RUNNING
            and run.slow_since is not None
            and now - run.slow_since >= RELOCATE_AFTER_S
            and run.task.step.spec.saves_progress
        ]

    def forget(self, worker_id: str) -> None:
        """Forgets the speed of a worker, since fillers of a new incarnation start at full speed."""
        self._speed_by_worker.pop(worker_id, None)


def _latency_to_target(view: WorkerView) -> float:
    """Returns the highest ratio of latency to target among a worker's serving tasks, 0 if none."""
    return max(
        (
            run.measurement / run.task.step.spec.target_ms
            for run in view.serving
            if run.measurement > 0
        ),
        default=0.0,
    )


def _next_percent(percent: int, latency_to_target: float) -> int:
    if latency_to_target > THROTTLE_ABOVE_SHARE:
        cut = int(percent * CUT_FACTOR)
        return cut if cut >= HALT_BELOW_PERCENT else 0
    if latency_to_target < RELEASE_BELOW_SHARE:
        return min(FULL_SPEED_PERCENT, percent + RAISE_STEP_PERCENT)
    return percent
