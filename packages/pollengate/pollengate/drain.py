"""Drains the workers of an availability zone that was taken out of service."""

import dataclasses
from collections.abc import Callable

from pollengate.bounded import BoundedDict
from pollengate.capacity import CapacityTracker
from pollengate.reaction import Action, Evict, Observation, Reaction

__all__ = ["Drain"]

MAX_WORKERS = 8192
EVICTION_RETRY_S = 5.0
BATCH_PHASE_FRACTION = 0.5
FINAL_PHASE_FRACTION = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class _DrainWindow:
    started_at: float
    grace_s: float
    initial_task_count: int


class Drain(Reaction):
    """Evicts the tasks of a shard, spread over a grace period.

    Batch tasks are evicted at an even rate in the first phase, services after
    `BATCH_PHASE_FRACTION` of the grace period. Batch tasks that are expected to end in time, and
    those in a step that can't be checkpointed, are left running until `FINAL_PHASE_FRACTION` of
    the period has passed; then every remaining task is evicted.
    """

    def __init__(
        self, capacity_tracker: CapacityTracker, remaining_s: Callable[[str], float]
    ) -> None:
        """Creates the reaction with no drain in progress.

        Args:
            capacity_tracker: knows which tasks are on workers.
            remaining_s: returns the expected remaining run time of a task in seconds.
        """
        self._capacity_tracker = capacity_tracker
        self._remaining_s = remaining_s
        self._window: _DrainWindow | None = None
        self._evicted_at_by_task: dict[str, float] = {}
        self._in_step_by_worker: BoundedDict[str, frozenset[str]] = BoundedDict(MAX_WORKERS)

    def begin(self, now: float, grace_s: float) -> None:
        """Starts a drain; one in progress continues with its own grace period."""
        if self._window is None:
            self._window = _DrainWindow(
                now, max(grace_s, 0.1), max(self._capacity_tracker.task_count, 1)
            )

    def end(self) -> None:
        """Ends the drain; tasks that are still on workers stay there."""
        self._window = None
        self._evicted_at_by_task.clear()

    def observe(self, observation: Observation) -> None:
        """Records which tasks of a worker are in a step that can't be checkpointed."""
        in_step = frozenset(usage.task_id for usage in observation.usage if usage.in_step)
        self._in_step_by_worker.put(observation.worker_id, in_step)

    def decide(self, now: float) -> list[Action]:
        """Returns the evictions that are due."""
        window = self._window
        if window is None:
            return []
        elapsed_fraction = (now - window.started_at) / window.grace_s
        allowed = (
            int(window.initial_task_count * min(elapsed_fraction / BATCH_PHASE_FRACTION, 1.0)) + 1
        )
        allowed -= len(self._evicted_at_by_task)
        actions: list[Action] = []
        for load in self._capacity_tracker.loads_by_worker.values():
            in_step = self._in_step_by_worker.get(load.worker_id) or frozenset()
            for task_id in load.requests_by_task:
                should_wait = task_id in in_step or self._ends_in_time(task_id, now, window)
                if (
                    self._is_due(task_id, now, elapsed_fraction, should_wait)
                    and len(actions) < allowed
                ):
                    actions.append(Evict(load.worker_id, task_id))
        for action in actions:
            self._evicted_at_by_task[action.task_id] = now
        return actions

    def on_task_left(self, task_id: str) -> None:
        """During a drain, counts a task that left its worker as evicted, whatever the reason."""
        if self._window is not None:
            self._evicted_at_by_task[task_id] = float("inf")

    def _is_due(self, task_id: str, now: float, elapsed_fraction: float, should_wait: bool) -> bool:
        evicted_at = self._evicted_at_by_task.get(task_id)
        if evicted_at is not None and now - evicted_at < EVICTION_RETRY_S:
            return False
        if elapsed_fraction >= FINAL_PHASE_FRACTION:
            return True
        if self._capacity_tracker.is_service(task_id):
            return elapsed_fraction >= BATCH_PHASE_FRACTION
        return not should_wait

    def _ends_in_time(self, task_id: str, now: float, window: _DrainWindow) -> bool:
        deadline = window.started_at + FINAL_PHASE_FRACTION * window.grace_s
        return now + self._remaining_s(task_id) < deadline
