"""Placement by capacity, expected interference, load and racks."""

import dataclasses
import random
from collections.abc import Mapping

from pollengate.capacity import CapacityTracker, WorkerLoad
from pollengate.class_profiles import ClassProfiles
from pollengate.failure_evidence import FailureEvidence
from pollengate.free_index import FreeIndex
from pollengate.interference.slowdowns import InterferenceModel
from pollengate.placement import TrackedPlacement
from pollengate.placement_request import PlacementRequest
from pollengate.reservations import Reservations

__all__ = ["InterferencePlacement", "PlacementWeights"]

SAMPLED_WORKERS = 8
RACK_SPREAD_COST = 1.0
# Keeps workers with accelerators free for the tasks that need them.
ACCELERATOR_COST = 10.0
# A batch task that adds less slowdown to a service is not checked against the limit.
NEGLIGIBLE_SLOWDOWN = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementWeights:
    """Weights of the terms in the cost of a worker.

    Attributes:
        service_interference: weight of the slowdown of tasks of latency-critical services.
        batch_interference: weight of the slowdown of batch tasks.
        load: weight of the squared share of processors in use.
        max_service_slowdown: a batch task is not placed on a worker where it would raise the
            expected slowdown of a service above this; None for no limit.
    """

    service_interference: float = 8.0
    batch_interference: float = 8.0
    load: float = 0.1
    max_service_slowdown: float | None = None


class InterferencePlacement(TrackedPlacement):
    """Chooses the worker with the lowest cost from a small random sample of those with room.

    A task that has a reserved worker with room gets that one.
    """

    def __init__(
        self,
        capacity_tracker: CapacityTracker,
        reservations: Reservations,
        model: InterferenceModel,
        profiles: ClassProfiles,
        failures: FailureEvidence,
        generator: random.Random,
        weights: PlacementWeights | None = None,
    ) -> None:
        super().__init__(capacity_tracker)
        self.weights = weights or PlacementWeights()
        self._reservations = reservations
        self._model = model
        self._profiles = profiles
        self._failures = failures
        self._index = FreeIndex(generator)
        self._shares_by_worker: dict[str, Mapping[str, float]] = {}
        self._rack_counts_by_job: dict[str, dict[str, int]] = {}

    def assign(self, request: PlacementRequest, worker_id: str) -> None:
        """Assigns a task to a worker, whether it fits or not."""
        super().assign(request, worker_id)
        self._failures.record_placement(request.task_id, request.job_id, worker_id)
        self._update_rack_count(request, worker_id, 1)

    def release(self, task_id: str) -> None:
        """Removes a task from its worker; does nothing if it is on none."""
        worker_id = self.capacity_tracker.worker_of(task_id)
        request = self.capacity_tracker.request_of(task_id)
        if worker_id is not None and request is not None:
            self._update_rack_count(request, worker_id, -1)
        super().release(task_id)

    def _choose_worker(self, request: PlacementRequest) -> str | None:
        reserved = self._reservations.worker_for(request.task_id)
        if reserved is not None and request.resources.fits(self.capacity_tracker.free(reserved)):
            return reserved
        is_service = request.task_class in self.capacity_tracker.service_classes
        is_high_priority = is_service or request.urgent
        best: str | None = None
        best_cost = float("inf")
        for worker_id in self._index.sample(request.resources, SAMPLED_WORKERS):
            if not self._reservations.admits(worker_id, is_high_priority):
                continue
            if not self._failures.admits(worker_id, request.task_id):
                continue
            cost = self._cost(request, self.capacity_tracker.loads_by_worker[worker_id], is_service)
            if cost < best_cost:
                best, best_cost = worker_id, cost
        return best

    def _cost(self, request: PlacementRequest, load: WorkerLoad, is_service: bool) -> float:
        """Returns the cost of a worker, infinite if the task must not be placed on it."""
        shares = self._shares(load)
        capacity = max(load.capacity.cores, 1)
        added_share = self._expected_cores(request.task_class, request.resources.cores) / capacity
        used = sum(shares.values()) + added_share
        level = self._model.level_of(used)
        if not is_service and self._exceeds_limit(request.task_class, shares, added_share, level):
            return float("inf")
        weights = self.weights
        own_weight = weights.service_interference if is_service else weights.batch_interference
        cost = weights.load * used * used
        for task_class, share in shares.items():
            is_victim_service = task_class in self.capacity_tracker.service_classes
            weight = (
                weights.service_interference if is_victim_service else weights.batch_interference
            )
            caused = self._model.coefficient(task_class, request.task_class, level)
            suffered = self._model.coefficient(request.task_class, task_class, level)
            cost += (weight * caused + own_weight * suffered) * share * added_share
        if load.capacity.accelerators and not request.resources.accelerators:
            cost += ACCELERATOR_COST
        return cost + self._rack_cost(request, load) if is_service else cost

    def _exceeds_limit(
        self, task_class: str, shares: Mapping[str, float], added_share: float, level: int
    ) -> bool:
        """Returns True if a batch task would slow down a service of the worker beyond the limit."""
        limit = self.weights.max_service_slowdown
        if limit is None:
            return False
        for victim in self.capacity_tracker.service_classes & shares.keys():
            added_slowdown = self._model.coefficient(victim, task_class, level) * added_share
            if added_slowdown < NEGLIGIBLE_SLOWDOWN:
                continue
            present_slowdown = sum(
                self._model.coefficient(victim, aggressor, level) * share
                for aggressor, share in shares.items()
            )
            if 1.0 + present_slowdown + added_slowdown > limit:
                return True
        return False

    def _shares(self, load: WorkerLoad) -> Mapping[str, float]:
        """Returns the share of the worker's processors that each class is expected to use."""
        shares = self._shares_by_worker.get(load.worker_id)
        if shares is None:
            capacity = max(load.capacity.cores, 1)
            shares = {
                task_class: self._expected_cores(task_class, cores) / capacity
                for task_class, cores in load.cores_by_class.items()
            }
            self._shares_by_worker[load.worker_id] = shares
        return shares

    def _expected_cores(self, task_class: str, declared: int) -> float:
        return declared * self._profiles.cores_ratio(task_class)

    def _rack_cost(self, request: PlacementRequest, load: WorkerLoad) -> float:
        counts = self._rack_counts_by_job.get(request.job_id)
        if not counts:
            return 0.0
        return RACK_SPREAD_COST * counts.get(load.rack, 0) / sum(counts.values())

    def _update_rack_count(self, request: PlacementRequest, worker_id: str, change: int) -> None:
        if request.task_class not in self.capacity_tracker.service_classes:
            return
        rack = self.capacity_tracker.loads_by_worker[worker_id].rack
        counts = self._rack_counts_by_job.setdefault(request.job_id, {})
        counts[rack] = counts.get(rack, 0) + change
        if counts[rack] <= 0:
            del counts[rack]
        if not counts:
            del self._rack_counts_by_job[request.job_id]

    def _on_load_changed(self, load: WorkerLoad) -> None:
        self._shares_by_worker.pop(load.worker_id, None)
        self._index.update(load.worker_id, load.free if load.is_schedulable else None)
        if not load.is_schedulable:
            self._reservations.drop_worker(load.worker_id)
