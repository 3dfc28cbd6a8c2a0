"""Measures how much work the workers of a shard can complete.

Tasks that reserve cores run on declared cores that are free. Fillers run on estimated unused cores,
but most of them may not run beside some serving tasks. Their room is therefore measured: the cores
that they hold while others of them wait, times the work that a held core has completed.
"""

import collections
import dataclasses
from collections.abc import Iterable
from typing import NamedTuple

from pollengate.overload.run_times import RunTimes
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.placement import FILLER_MIN_UNUSED_SHARE
from pollengate.workflow.progress import Run

__all__ = ["DrainMeter", "Pool", "Usage", "declared_free_cores", "usage_of"]

# Short enough to follow a zone that leaves, long enough to cover several rounds of short tasks.
WINDOW_S = 5.0
# Less time with waiting fillers says more of how the planner works than of the room.
MIN_SATURATED_S = 1.0
# Fillers are throttled down to a tenth.
MIN_EFFICIENCY = 0.1


class Pool(NamedTuple):
    """Tasks that compete for the same room.

    Attributes:
        service: the service whose workers run them.
        is_filler: whether they are fillers.
    """

    service: str
    is_filler: bool

    @property
    def room(self) -> str:
        """The kind of room, for logs and metrics."""
        return "filler" if self.is_filler else "reserving"


@dataclasses.dataclass(slots=True)
class Usage:
    """What the running short tasks of a pool hold.

    Attributes:
        cores: cores that they hold.
        left_core_s: work that they have left.
    """

    cores: float = 0.0
    left_core_s: float = 0.0


def usage_of(
    views: Iterable[WorkerView], is_filler: bool, run_times: RunTimes, now: float
) -> Usage:
    """Returns what the short tasks of a kind hold on some workers."""
    usage = Usage()
    for view in views:
        for run in view.fillers if is_filler else view.runs.values():
            spec = run.task.step.spec
            if spec.is_long_running or spec.is_filler is not is_filler:
                continue
            cores = spec.demand.cpu_millis / 1000
            usage.cores += cores
            left_s = run.ordered_at + _estimate_s(run, run_times) - now
            if left_s > 0:
                usage.left_core_s += cores * left_s
    return usage


def declared_free_cores(views: Iterable[WorkerView], is_filler: bool, task_millis: float) -> float:
    """Returns the free cores in which whole tasks of a size fit.

    Cores that are left over on each worker are of no use to larger tasks: on workers with 5 of 96
    cores free, tasks of 10 cores have no room at all.

    Args:
        views: the workers.
        is_filler: whether to count estimated unused cores, not cores that nobody has declared.
        task_millis: millicores of a task.
    """
    wanted = task_millis * (FILLER_MIN_UNUSED_SHARE if is_filler else 1.0)
    free_cores = 0.0
    for view in views:
        if is_filler:
            free = view.unused_millis()
        else:
            free = float(view.info.capacity.cpu_millis - view.committed_millis)
        if free > 0:
            free_cores += (free // wanted * task_millis if wanted else free) / 1000
    return free_cores


@dataclasses.dataclass(frozen=True, slots=True)
class _EndedRun:
    at: float
    held_core_s: float
    completed_core_s: float


class DrainMeter:
    """Measures the rate at which a pool's work is completed while some of it waits."""

    def __init__(self) -> None:
        self._held: collections.deque[tuple[float, float, float]] = collections.deque()
        self._ended: collections.deque[_EndedRun] = collections.deque()
        self._updated_at: float | None = None

    def record_end(self, run: Run, is_done: bool, run_times: RunTimes, now: float) -> None:
        """Records the end of a run; the work of one that is not done is lost."""
        cores = run.task.step.spec.demand.cpu_millis / 1000
        completed_core_s = cores * _estimate_s(run, run_times) if is_done else 0.0
        self._ended.append(_EndedRun(now, cores * (now - run.ordered_at), completed_core_s))

    def update(self, is_saturated: bool, held_cores: float, now: float) -> None:
        """Records the cores that the pool's tasks hold.

        Args:
            is_saturated: whether tasks wait that the planner could not start.
            held_cores: the cores.
            now: clock time.
        """
        if is_saturated and self._updated_at is not None:
            self._held.append((now, now - self._updated_at, held_cores))
        self._updated_at = now
        while self._held and self._held[0][0] < now - WINDOW_S:
            self._held.popleft()
        while self._ended and self._ended[0].at < now - WINDOW_S:
            self._ended.popleft()

    def rate(self) -> float | None:
        """Returns core-seconds of estimated work a second; None if not enough is known."""
        saturated_s = sum(lasted_s for _, lasted_s, _ in self._held)
        if saturated_s < MIN_SATURATED_S:
            return None
        held = sum(lasted_s * cores for _, lasted_s, cores in self._held) / saturated_s
        return held * self._efficiency()

    def _efficiency(self) -> float:
        """Returns the work completed by held core-second, 1.0 if nothing has ended."""
        held = sum(ended.held_core_s for ended in self._ended)
        completed = sum(ended.completed_core_s for ended in self._ended)
        return min(max(completed / held, MIN_EFFICIENCY), 1.0) if held > 0 else 1.0


def _estimate_s(run: Run, run_times: RunTimes) -> float:
    step = run.task.step
    factor = run_times.factor(step.job.queue_name, step.spec.image)
    return step.spec.estimate_ms / 1000 * factor
