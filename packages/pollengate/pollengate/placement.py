"""Placement of tasks on workers."""

import abc

from pollengate.capacity import CapacityTracker, WorkerLoad
from pollengate.jobs import Resources
from pollengate.placement_request import PlacementRequest, request_for

__all__ = ["TrackedPlacement", "FirstFit", "LeastLoaded", "Placement", "PlacementRequest"]
__all__ += ["request_for"]


class Placement(abc.ABC):
    """Chooses workers for tasks and tracks the capacity in use by declared sizes."""

    @abc.abstractmethod
    def add_worker(self, worker_id: str, rack: str, capacity: Resources) -> None:
        """Makes a worker schedulable; tasks assigned to it before stay assigned."""

    @abc.abstractmethod
    def remove_worker(self, worker_id: str) -> None:
        """Makes a worker unschedulable; tasks assigned to it stay assigned until released."""

    @abc.abstractmethod
    def place(self, request: PlacementRequest) -> str | None:
        """Chooses a worker and assigns the task to it; returns None if no worker has room."""

    @abc.abstractmethod
    def assign(self, request: PlacementRequest, worker_id: str) -> None:
        """Assigns a task to a given worker, for example one that reported it, even without room."""

    @abc.abstractmethod
    def release(self, task_id: str) -> None:
        """Removes a task from its worker; does nothing if it is on none."""

    @abc.abstractmethod
    def free(self, worker_id: str) -> Resources:
        """Returns the capacity of a worker less the declared resources of its tasks."""


class TrackedPlacement(Placement):
    """Tracks the capacity in use in a `CapacityTracker`; subclasses choose the worker."""

    def __init__(self, capacity_tracker: CapacityTracker | None = None) -> None:
        self.capacity_tracker = capacity_tracker or CapacityTracker()

    def add_worker(self, worker_id: str, rack: str, capacity: Resources) -> None:
        """Makes a worker schedulable."""
        self._on_load_changed(self.capacity_tracker.add_worker(worker_id, rack, capacity))

    def remove_worker(self, worker_id: str) -> None:
        """Makes a worker unschedulable."""
        load = self.capacity_tracker.loads_by_worker.get(worker_id)
        self.capacity_tracker.remove_worker(worker_id)
        if load is not None:
            self._on_load_changed(load)

    def place(self, request: PlacementRequest) -> str | None:
        """Chooses a worker and assigns the task to it."""
        worker_id = self._choose_worker(request)
        if worker_id is not None:
            self.assign(request, worker_id)
        return worker_id

    def assign(self, request: PlacementRequest, worker_id: str) -> None:
        """Assigns a task to a worker."""
        self._on_load_changed(self.capacity_tracker.add_task(request, worker_id))

    def release(self, task_id: str) -> None:
        """Removes a task from its worker."""
        load = self.capacity_tracker.remove_task(task_id)
        if load is not None:
            self._on_load_changed(load)

    def free(self, worker_id: str) -> Resources:
        """Returns the free resources of a worker."""
        return self.capacity_tracker.free(worker_id)

    @abc.abstractmethod
    def _choose_worker(self, request: PlacementRequest) -> str | None:
        """Returns a schedulable worker with room for the task, None if there is none."""

    def _on_load_changed(self, load: WorkerLoad) -> None:
        """Hook for subclasses, called after each change of a worker's load."""
        return


class FirstFit(TrackedPlacement):
    """Chooses the first worker with room."""

    def _choose_worker(self, request: PlacementRequest) -> str | None:
        for worker_id, load in self.capacity_tracker.loads_by_worker.items():
            if load.is_schedulable and request.resources.fits(load.free):
                return worker_id
        return None


class LeastLoaded(TrackedPlacement):
    """Chooses the worker with the largest free share of cores; scans all workers."""

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
