"""Keeps workers clear for long-running tasks that have to run again.

A long-running task declares several cores, and short tasks take each core that is freed before it
fits anywhere. A worker that has room for it beside its own long-running tasks therefore starts
nothing else until it fits: the other tasks there end within seconds.
"""

import dataclasses
import math
from collections.abc import Iterable, Sequence

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.placement import is_allowed
from pollengate.workflow.progress import StepProgress

__all__ = ["ClearedWorkers"]

# Largest share of a service's workers that is kept clear at the same time.
MAX_CLEARED_SHARE = 0.2


@dataclasses.dataclass(slots=True)
class _Room:
    """What is left of a worker, as it is and once only its long-running tasks are left."""

    free_millis: int
    free_mb: int
    free_accelerators: int
    later_millis: int
    later_mb: int
    later_accelerators: int

    @classmethod
    def of(cls, view: WorkerView) -> "_Room":
        capacity = view.info.capacity
        lasting = [run.task.step.spec.demand for run in view.long_running]
        return cls(
            capacity.cpu_millis - view.committed_millis,
            capacity.memory_mb - view.memory_mb,
            capacity.accelerators - view.accelerators,
            capacity.cpu_millis - sum(demand.cpu_millis for demand in lasting),
            capacity.memory_mb - sum(demand.memory_mb for demand in lasting),
            capacity.accelerators - sum(demand.accelerators for demand in lasting),
        )

    def can_hold_later(self, step: StepProgress) -> bool:
        demand = step.spec.demand
        return (
            demand.cpu_millis <= self.later_millis
            and demand.memory_mb <= self.later_mb
            and demand.accelerators <= self.later_accelerators
        )

    def shortfall(self, step: StepProgress) -> float:
        """Returns what still has to be freed for a task, as a share of its demand."""
        demand = step.spec.demand
        return max(
            0.0,
            1 - self.free_millis / max(1, demand.cpu_millis),
            1 - self.free_mb / max(1, demand.memory_mb),
            1 - self.free_accelerators / max(1, demand.accelerators),
        )

    def plan(self, step: StepProgress) -> None:
        demand = step.spec.demand
        self.free_millis -= demand.cpu_millis
        self.free_mb -= demand.memory_mb
        self.free_accelerators -= demand.accelerators
        self.later_millis -= demand.cpu_millis
        self.later_mb -= demand.memory_mb
        self.later_accelerators -= demand.accelerators


class ClearedWorkers:
    """The workers of one service that are kept clear during one round of planning.

    The worker on which least has to be freed is chosen. As nothing else starts there, it is
    nearer to its aim in the next round.
    """

    def __init__(self) -> None:
        self._room_by_view: dict[WorkerView, _Room] = {}
        self._planned: dict[StepProgress, list[WorkerView]] = {}
        self._cleared: dict[WorkerView, None] = {}

    def __contains__(self, view: WorkerView) -> bool:
        return view in self._cleared

    def clear_for(self, step: StepProgress, workers: Sequence[WorkerView]) -> bool:
        """Chooses workers for the waiting tasks of a step that have run before.

        Args:
            step: a long-running step whose next task fits on no worker.
            workers: the workers that may run it.

        Returns:
            Whether further workers are kept clear.
        """
        limit = math.ceil(MAX_CLEARED_SHARE * len(workers))
        before = len(self._cleared)
        for task in step.waiting:
            if not task.last_run or task.crashes:
                continue
            view = self._choose(step, workers, limit)
            if view is None:
                break
            self._cleared[view] = None
            self._room(view).plan(step)
            self._planned.setdefault(step, []).append(view)
        return len(self._cleared) > before

    def _choose(
        self, step: StepProgress, workers: Iterable[WorkerView], limit: int
    ) -> WorkerView | None:
        def may_hold(view: WorkerView) -> bool:
            is_within_limit = view in self._cleared or len(self._cleared) < limit
            return is_within_limit and self._is_allowed(step, view)

        possible = [v for v in workers if may_hold(v) and self._room(v).can_hold_later(step)]
        return min(
            possible,
            key=lambda v: (self._room(v).shortfall(step), v not in self._cleared, v.worker_id),
            default=None,
        )

    def _is_allowed(self, step: StepProgress, view: WorkerView) -> bool:
        limit = step.spec.max_per_worker
        planned = self._planned.get(step, []).count(view)
        return is_allowed(step, view) and (
            not limit or step.runs_on(view.worker_id) + planned < limit
        )

    def _room(self, view: WorkerView) -> _Room:
        room = self._room_by_view.get(view)
        if room is None:
            room = self._room_by_view[view] = _Room.of(view)
        return room
