"""Placement: which worker a task starts on."""

import abc

from pollengate.capacity import CapacityTracker, WorkerLoad
from pollengate.jobs import Resources
from pollengate.placement_request import PlacementRequest, request_for

__all__ = ["TrackedPlacement", "FirstFit", "LeastLoaded", "Placement", "PlacementRequest"]
__all__ += ["request_for"]


class Placement(abc.ABC):
    """Chooses workers for tasks and counts declared sizes against their capacity."""

    @abc.abstractmethod
    def add_worker(self, worker_id: str, rack: str, capacity: Resources) -> None:
        """Offers a worker; one offered before keeps the tasks counted there."""

    @abc.abstractmethod
    def remove_worker(self, worker_id: str) -> None:
        """Withdraws a worker; tasks counted there stay counted until released."""

    @abc.abstractmethod
    def place(self, request: PlacementRequest) -> str | None:
        """Chooses a worker and counts the task there; None if none can hold it."""

    @abc.abstractmethod
    def adopt(self, request: PlacementRequest, worker_id: str) -> None:
        """Counts a task on the worker that reported it, whether it fits or not."""

    @abc.abstractmethod
    def release(self, task_id: str) -> None:
        """Ends the counting of a task; one not counted is ignored."""

    @abc.abstractmethod
    def free(self, worker_id: str) -> Resources:
        """Returns what a worker can still be given by declared sizes."""


class TrackedPlacement(Placement):
    """Keeps the books and leaves the choice of a worker to its subclasses."""

    def __init__(self, capacity_tracker: CapacityTracker | None = None) -> None:
        self.capacity_tracker = capacity_tracker or CapacityTracker()

    def add_worker(self, worker_id: str, rack: str, capacity: Resources) -> None:
        """Offers a worker."""
        self._on_load_changed(self.capacity_tracker.add_worker(worker_id, rack, capacity))

    def remove_worker(self, worker_id: str) -> None:
        """Withdraws a worker."""
        load = self.capacity_tracker.loads_by_worker.get(worker_id)
        self.capacity_tracker.remove_worker(worker_id)
        if load is not None:
            self._on_load_changed(load)

    def place(self, request: PlacementRequest) -> str | None:
        """Chooses a worker and counts the task there."""
        worker_id = self._choose_worker(request)
        if worker_id is not None:
            self.adopt(request, worker_id)
        return worker_id

    def adopt(self, request: PlacementRequest, worker_id: str) -> None:
        """Counts a task on a worker."""
        self._on_load_changed(self.capacity_tracker.add_task(request, worker_id))

    def release(self, task_id: str) -> None:
        """Ends the counting of a task."""
        load = self.capacity_tracker.remove_task(task_id)
        if load is not None:
            self._on_load_changed(load)

    def free(self, worker_id: str) -> Resources:
        """Returns what a worker can still be given."""
        return self.capacity_tracker.free(worker_id)

    @abc.abstractmethod
    def _choose_worker(self, request: PlacementRequest) -> str | None:
        """Returns an offered worker with room for the task."""

    def _on_load_changed(self, load: WorkerLoad) -> None:
        """Is called after each change of a worker's load."""
        return


class FirstFit(TrackedPlacement):
    """Takes the first worker with room."""

    def _choose_worker(self, request: PlacementRequest) -> str | None:
        for worker_id, load in self.capacity_tracker.loads_by_worker.items():
            if load.is_schedulable and request.resources.fits(load.free):
                return worker_id
        return None


class LeastLoaded(TrackedPlacement):
    """Takes the worker with the largest free share of processors, by a scan of all."""

    def _choose_worker(self, request: PlacementRequest) -> str | None:
        best: WorkerLoad | None = None
        best_share = -1.0
        for load in self.capacity_tracker.loads_by_worker.values():
            if not load.is_schedulable or not request.resources.fits(load.free):
                continue
            share = load.free.cores / load.capacity.cores
            if share > best_share:
                best, best_share = load, share
        return None if best is None else best.worker_id
