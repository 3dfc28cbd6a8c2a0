"""Reservations of workers for tasks that have waited long.

Without them, small tasks could take each bit of free capacity before a large task fits.
"""

import dataclasses
import random

from pollengate.capacity import NO_RESOURCES, CapacityTracker, WorkerLoad
from pollengate.failure_evidence import FailureEvidence
from pollengate.jobs import Resources
from pollengate.placement_request import PlacementRequest

__all__ = ["Reservation", "Reservations"]

SAMPLED_WORKERS = 16
WORKERS_PER_RESERVATION = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A worker that is reserved for a task.

    Attributes:
        worker_id: the reserved worker.
        request: the task.
        is_high_priority: whether the task is urgent or belongs to a service.
    """

    worker_id: str
    request: PlacementRequest
    is_high_priority: bool


class Reservations:
    """Reservations of workers for tasks: at most one per task and one per worker.

    A reserved worker admits no other task, except that one reserved for a batch task still admits
    tasks of high priority.
    """

    def __init__(
        self, capacity_tracker: CapacityTracker, failures: FailureEvidence, generator: random.Random
    ) -> None:
        self._capacity_tracker = capacity_tracker
        self._failures = failures
        self._generator = generator
        self._by_task: dict[str, Reservation] = {}
        self._by_worker: dict[str, Reservation] = {}
        self._worker_ids: list[str] = []

    def __len__(self) -> int:
        return len(self._by_task)

    def reserve(self, request: PlacementRequest, is_high_priority: bool = False) -> bool:
        """Reserves a worker for a task, if there is a suitable one.

        The worker is chosen from a random sample. For a task of high priority, batch tasks on the
        worker count as free, since they may be evicted.

        Args:
            request: the task.
            is_high_priority: whether the task is urgent or belongs to a service.

        Returns:
            True if a worker is reserved for the task, now or from before.
        """
        if request.task_id in self._by_task:
            return True
        if len(self) >= self._limit(is_high_priority):
            return False
        load = self._best_worker(request, is_high_priority)
        if load is None:
            return False
        reservation = Reservation(load.worker_id, request, is_high_priority)
        self._by_task[request.task_id] = reservation
        self._by_worker[load.worker_id] = reservation
        return True

    def cancel(self, task_id: str) -> None:
        """Cancels the reservation of a task, if there is one."""
        reservation = self._by_task.pop(task_id, None)
        if reservation is not None:
            del self._by_worker[reservation.worker_id]

    def drop_worker(self, worker_id: str) -> None:
        """Cancels the reservation of a worker that is no longer schedulable."""
        reservation = self._by_worker.get(worker_id)
        if reservation is not None:
            self.cancel(reservation.request.task_id)

    def worker_for(self, task_id: str) -> str | None:
        """Returns the worker reserved for a task, None if there is none."""
        reservation = self._by_task.get(task_id)
        return None if reservation is None else reservation.worker_id

    def admits(self, worker_id: str, is_high_priority: bool) -> bool:
        """Returns True if a worker may be given a task that it is not reserved for."""
        reservation = self._by_worker.get(worker_id)
        return reservation is None or (is_high_priority and not reservation.is_high_priority)

    def active(self) -> list[Reservation]:
        """Returns all reservations."""
        return list(self._by_task.values())

    def ready(self) -> list[Reservation]:
        """Returns the reservations whose worker has room for the task."""
        return [
            r
            for r in self.active()
            if r.request.resources.fits(self._capacity_tracker.free(r.worker_id))
        ]

    def _limit(self, is_high_priority: bool) -> int:
        workers = len(self._capacity_tracker.loads_by_worker)
        return workers if is_high_priority else max(workers // WORKERS_PER_RESERVATION, 1)

    def _best_worker(self, request: PlacementRequest, is_high_priority: bool) -> WorkerLoad | None:
        best: WorkerLoad | None = None
        for load in self._candidates():
            available = load.free + self._evictable(load) if is_high_priority else load.capacity
            if not request.resources.fits(available):
                continue
            if not self._failures.admits(load.worker_id, request.task_id):
                continue
            if best is None or load.free.cores > best.free.cores:
                best = load
        return best

    def _candidates(self) -> list[WorkerLoad]:
        loads_by_worker = self._capacity_tracker.loads_by_worker
        if len(self._worker_ids) != len(loads_by_worker):
            self._worker_ids = list(loads_by_worker)
        count = min(SAMPLED_WORKERS, len(self._worker_ids))
        loads = [loads_by_worker.get(i) for i in self._generator.sample(self._worker_ids, count)]
        return [
            load
            for load in loads
            if load is not None and load.is_schedulable and load.worker_id not in self._by_worker
        ]

    def _evictable(self, load: WorkerLoad) -> Resources:
        total = NO_RESOURCES
        for task_id, request in load.requests_by_task.items():
            if not request.urgent and not self._capacity_tracker.is_service(task_id):
                total = total + request.resources
        return total
