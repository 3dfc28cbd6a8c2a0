"""Accounting of the declared resources of tasks, by worker and by team."""

import dataclasses

from pollengate.bounded import BoundedDict
from pollengate.errors import InvariantViolation
from pollengate.jobs import Resources
from pollengate.placement_request import PlacementRequest

__all__ = ["NO_RESOURCES", "CapacityTracker", "WorkerLoad"]

NO_RESOURCES = Resources(0, 0, 0)
MAX_RECENTLY_REMOVED_TASKS = 8192


@dataclasses.dataclass(slots=True)
class WorkerLoad:
    """The capacity of a worker and the tasks assigned to it.

    Attributes:
        worker_id: the worker.
        rack: its rack; empty until the worker is added.
        capacity: its total resources; zero until the worker is added.
        free: capacity less the declared resources of its tasks; negative if they exceed it.
        is_schedulable: whether tasks may be placed on it.
        requests_by_task: requests of the assigned tasks.
        cores_by_class: declared cores of the assigned tasks, by task class.
    """

    worker_id: str
    rack: str
    capacity: Resources
    free: Resources
    is_schedulable: bool = False
    requests_by_task: dict[str, PlacementRequest] = dataclasses.field(default_factory=dict)
    cores_by_class: dict[str, int] = dataclasses.field(default_factory=dict)


class CapacityTracker:
    """Records which task is on which worker and sums up the declared resources.

    Attributes:
        loads_by_worker: workers that are schedulable or still have tasks.
        version: incremented whenever a worker may have got more free resources.
        schedulable_capacity: total capacity of the schedulable workers.
        service_classes: task classes of latency-critical services, which don't count against the
            quota of a team.
    """

    def __init__(self) -> None:
        self.service_classes: frozenset[str] = frozenset()
        self.loads_by_worker: dict[str, WorkerLoad] = {}
        self.version = 0
        self.schedulable_capacity = NO_RESOURCES
        self._worker_by_task: dict[str, str] = {}
        self._usage_by_team: dict[str, Resources] = {}
        self._service_tasks: set[str] = set()
        self._worker_count_by_shape: dict[Resources, int] = {}
        self._recently_removed: BoundedDict[str, PlacementRequest] = BoundedDict(
            MAX_RECENTLY_REMOVED_TASKS
        )

    def add_worker(self, worker_id: str, rack: str, capacity: Resources) -> WorkerLoad:
        """Makes a worker schedulable or updates its capacity; its tasks stay assigned."""
        load = self.loads_by_worker.get(worker_id)
        if load is None:
            load = WorkerLoad(worker_id, rack, NO_RESOURCES, NO_RESOURCES)
            self.loads_by_worker[worker_id] = load
        self._mark_unschedulable(load)
        load.free = load.free + (capacity - load.capacity)
        load.capacity = capacity
        load.rack = rack
        load.is_schedulable = True
        self.schedulable_capacity = self.schedulable_capacity + capacity
        self._worker_count_by_shape[capacity] = self._worker_count_by_shape.get(capacity, 0) + 1
        self.version += 1
        return load

    def remove_worker(self, worker_id: str) -> None:
        """Makes a worker unschedulable; it is removed once no task is assigned to it."""
        load = self.loads_by_worker.get(worker_id)
        if load is None:
            return
        self._mark_unschedulable(load)
        self._remove_if_unused(load)

    def add_task(self, request: PlacementRequest, worker_id: str) -> WorkerLoad:
        """Assigns a task to a worker, whether it fits or not.

        Raises:
            InvariantViolation: the task is assigned to a worker already.
        """
        if request.task_id in self._worker_by_task:
            raise InvariantViolation(f"task {request.task_id!r} is already assigned to a worker")
        load = self.loads_by_worker.get(worker_id)
        if load is None:
            load = WorkerLoad(worker_id, "", NO_RESOURCES, NO_RESOURCES)
            self.loads_by_worker[worker_id] = load
        load.free = load.free - request.resources
        load.requests_by_task[request.task_id] = request
        cores = load.cores_by_class.get(request.task_class, 0)
        load.cores_by_class[request.task_class] = cores + request.resources.cores
        self._worker_by_task[request.task_id] = worker_id
        if request.task_class in self.service_classes:
            self._service_tasks.add(request.task_id)
        else:
            self._usage_by_team[request.team] = self.usage(request.team) + request.resources
        return load

    def remove_task(self, task_id: str) -> WorkerLoad | None:
        """Removes a task from its worker.

        Returns:
            The load of that worker, None if the task was not assigned to one.
        """
        worker_id = self._worker_by_task.pop(task_id, None)
        if worker_id is None:
            return None
        load = self.loads_by_worker[worker_id]
        request = load.requests_by_task.pop(task_id)
        load.free = load.free + request.resources
        self._subtract_from_class(load, request)
        self._subtract_from_team(request)
        self._recently_removed.put(task_id, request)
        self.version += 1
        self._remove_if_unused(load)
        return load

    def worker_of(self, task_id: str) -> str | None:
        """Returns the worker that a task is assigned to, None if there is none."""
        return self._worker_by_task.get(task_id)

    def request_of(self, task_id: str) -> PlacementRequest | None:
        """Returns the request of a task that is assigned to a worker or was until recently."""
        worker_id = self._worker_by_task.get(task_id)
        if worker_id is None:
            return self._recently_removed.get(task_id)
        return self.loads_by_worker[worker_id].requests_by_task[task_id]

    def usage(self, team: str) -> Resources:
        """Returns the declared resources of a team's tasks on workers, except those of services."""
        return self._usage_by_team.get(team, NO_RESOURCES)

    def is_service(self, task_id: str) -> bool:
        """Returns True if a task on a worker belongs to a latency-critical service."""
        return task_id in self._service_tasks

    def free(self, worker_id: str) -> Resources:
        """Returns the free resources of a worker; zero if it is unknown."""
        load = self.loads_by_worker.get(worker_id)
        return NO_RESOURCES if load is None else load.free

    def has_shape_for(self, size: Resources) -> bool:
        """Returns True if `size` fits into the total capacity of some schedulable worker.

        Also returns True while no worker is schedulable, since the next one may be large enough.
        """
        shapes = self._worker_count_by_shape
        return not shapes or any(size.fits(shape) for shape in shapes)

    @property
    def task_count(self) -> int:
        """The number of tasks assigned to workers."""
        return len(self._worker_by_task)

    @property
    def schedulable_worker_count(self) -> int:
        """The number of schedulable workers."""
        return sum(self._worker_count_by_shape.values())

    def _mark_unschedulable(self, load: WorkerLoad) -> None:
        if not load.is_schedulable:
            return
        load.is_schedulable = False
        self.schedulable_capacity = self.schedulable_capacity - load.capacity
        self._worker_count_by_shape[load.capacity] -= 1
        if not self._worker_count_by_shape[load.capacity]:
            del self._worker_count_by_shape[load.capacity]

    def _subtract_from_class(self, load: WorkerLoad, request: PlacementRequest) -> None:
        remaining = load.cores_by_class[request.task_class] - request.resources.cores
        if remaining > 0:
            load.cores_by_class[request.task_class] = remaining
        else:
            del load.cores_by_class[request.task_class]

    def _subtract_from_team(self, request: PlacementRequest) -> None:
        if request.task_id in self._service_tasks:
            self._service_tasks.discard(request.task_id)
            return
        remaining = self.usage(request.team) - request.resources
        if remaining == NO_RESOURCES:
            self._usage_by_team.pop(request.team, None)
        else:
            self._usage_by_team[request.team] = remaining

    def _remove_if_unused(self, load: WorkerLoad) -> None:
        if not load.is_schedulable and not load.requests_by_task:
            del self.loads_by_worker[load.worker_id]
