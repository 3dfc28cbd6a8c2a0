"""Evicts batch tasks so that services and urgent tasks start in time on full workers."""

from pollengate.bounded import BoundedDict
from pollengate.capacity import NO_RESOURCES, CapacityTracker
from pollengate.eviction_budget import EvictionBudget
from pollengate.placement_request import PlacementRequest
from pollengate.reaction import Action, Evict, Observation, Reaction
from pollengate.reservations import Reservation, Reservations

__all__ = ["Preemption"]

MAX_WORKERS = 8192
EVICTION_RETRY_S = 2.0


class Preemption(Reaction):
    """Makes room on workers that are reserved for tasks of services and urgent tasks.

    No more tasks are evicted than the reserved task needs. Tasks within their eviction interval,
    and after them tasks in a step that can't be checkpointed, are evicted only if the others don't
    make enough room. If evicting all of them would not make enough room either, the reservation is
    cancelled.
    """

    def __init__(
        self, capacity_tracker: CapacityTracker, reservations: Reservations, budget: EvictionBudget
    ) -> None:
        self._capacity_tracker = capacity_tracker
        self._reservations = reservations
        self._budget = budget
        self._evicted_at_by_task: dict[str, float] = {}
        self._in_step_by_worker: BoundedDict[str, frozenset[str]] = BoundedDict(MAX_WORKERS)

    def observe(self, observation: Observation) -> None:
        """Records which tasks of a worker are in a step that can't be checkpointed."""
        in_step = frozenset(usage.task_id for usage in observation.usage if usage.in_step)
        self._in_step_by_worker.put(observation.worker_id, in_step)

    def decide(self, now: float) -> list[Action]:
        """Returns the evictions that reserved workers still need."""
        actions: list[Action] = []
        for reservation in self._reservations.active():
            if reservation.is_high_priority:
                actions += self._make_room(reservation, now)
        return actions

    def on_task_left(self, task_id: str) -> None:
        """Drops the record of a task's eviction."""
        self._evicted_at_by_task.pop(task_id, None)

    def _make_room(self, reservation: Reservation, now: float) -> list[Action]:
        load = self._capacity_tracker.loads_by_worker.get(reservation.worker_id)
        if load is None:
            return []
        freed = NO_RESOURCES
        for task_id, request in load.requests_by_task.items():
            if self._is_leaving(task_id, now):
                freed = freed + request.resources
        actions: list[Action] = []
        for request in self._victims(reservation, now):
            if reservation.request.resources.fits(load.free + freed):
                break
            freed = freed + request.resources
            actions.append(Evict(load.worker_id, request.task_id))
        if not reservation.request.resources.fits(load.free + freed):
            self._reservations.cancel(reservation.request.task_id)
            return []
        for action in actions:
            self._evicted_at_by_task[action.task_id] = now
            self._budget.spend(action.task_id, load.worker_id, now)
        return actions

    def _victims(self, reservation: Reservation, now: float) -> list[PlacementRequest]:
        load = self._capacity_tracker.loads_by_worker[reservation.worker_id]
        in_step = self._in_step_by_worker.get(load.worker_id) or frozenset()
        required = reservation.request.resources

        def sort_key(request: PlacementRequest) -> tuple[bool, bool, bool, int]:
            is_enough = required.fits(load.free + request.resources)
            cores = request.resources.cores
            return (
                request.task_id in in_step,
                not self._budget.allows_task(request.task_id, now),
                not is_enough,
                cores if is_enough else -cores,
            )

        candidates = [
            request
            for task_id, request in load.requests_by_task.items()
            if not request.urgent
            and not self._capacity_tracker.is_service(task_id)
            and not self._is_leaving(task_id, now)
        ]
        return sorted(candidates, key=sort_key)

    def _is_leaving(self, task_id: str, now: float) -> bool:
        """Returns True if the task's eviction was ordered less than `EVICTION_RETRY_S` ago.

        After that time the task may be evicted again, as the order may have had no effect.
        """
        evicted_at = self._evicted_at_by_task.get(task_id)
        return evicted_at is not None and now - evicted_at < EVICTION_RETRY_S
