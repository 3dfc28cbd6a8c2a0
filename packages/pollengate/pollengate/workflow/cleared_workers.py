"""Keeps workers clear for long-running tasks that have to run again.

A long-running task declares several cores, and short tasks take each core that is freed before it
fits anywhere. A worker that has room for it beside its own long-running tasks therefore starts
nothing else until it fits: the other tasks there end within seconds.
"""

import math
from collections.abc import Iterable, Sequence

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.placement import is_allowed
from pollengate.workflow.progress import StepProgress
from pollengate.workflow.worker_room import WorkerRoom

__all__ = ["ClearedWorkers"]

# Largest share of a service's workers that is kept clear at the same time.
MAX_CLEARED_SHARE = 0.2


class ClearedWorkers:
    """The workers of one service that are kept clear during one round of planning.

    The worker on which least has to be freed is chosen. As nothing else starts there, it is
    nearer to its aim in the next round.
    """

    def __init__(self) -> None:
        self._room_by_view: dict[WorkerView, WorkerRoom] = {}
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
        for task in step.waiting.kept():
            if not task.has_run or task.crashes:
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

    def _room(self, view: WorkerView) -> WorkerRoom:
        room = self._room_by_view.get(view)
        if room is None:
            room = self._room_by_view[view] = WorkerRoom.of(view)
        return room
