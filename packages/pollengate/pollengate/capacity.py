"""Books of declared sizes against the capacity of workers and the usage of teams."""

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
    """One worker's declared load.

    Attributes:
        worker_id: the worker.
        rack: its rack.
        capacity: what it has.
        free: capacity less declared sizes; negative where adopted tasks exceed it.
        is_schedulable: whether tasks may be placed there.
        requests_by_task: tasks counted there.
        cores_by_class: declared cores of those tasks.
    """

    worker_id: str
    rack: str
    capacity: Resources
    free: Resources
    is_schedulable: bool = False
    requests_by_task: dict[str, PlacementRequest] = dataclasses.field(default_factory=dict)
    cores_by_class: dict[str, int] = dataclasses.field(default_factory=dict)


class CapacityTracker:
    """Counts declared sizes; the one place that knows which task is on which worker.

    Attributes:
        loads_by_worker: workers that are offered or still hold tasks.
        version: grows whenever room may have been freed.
        schedulable_capacity: sum over the offered workers.
        service_classes: task classes of latency-critical services; no team's quota counts them.
    """

    def __init__(self) -> None:
        self.service_classes: frozenset[str] = frozenset()
        self.loads_by_worker: dict[str, WorkerLoad] = {}
        self.version = 0
        self.schedulable_capacity = NO_RESOURCES
        self._worker_by_task: dict[str, str] = {}
        self._usage_by_team: dict[str, Resources] = {}
        self._service_tasks: set[str] = set()
        self._workers_by_shape: dict[Resources, int] = {}
        self._recently_removed: BoundedDict[str, PlacementRequest] = BoundedDict(
            MAX_RECENTLY_REMOVED_TASKS
        )

    def add_worker(self, worker_id: str, rack: str, capacity: Resources) -> WorkerLoad:
        """Offers a worker; tasks counted there stay counted."""
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
        self._workers_by_shape[capacity] = self._workers_by_shape.get(capacity, 0) + 1
        self.version += 1
        return load

    def remove_worker(self, worker_id: str) -> None:
        """Withdraws a worker and forgets it once it holds no task."""
        load = self.loads_by_worker.get(worker_id)
        if load is None:
            return
        self._mark_unschedulable(load)
        self._forget_if_empty(load)

    def add_task(self, request: PlacementRequest, worker_id: str) -> WorkerLoad:
        """Counts a task on a worker, whether it fits or not."""
        if request.task_id in self._worker_by_task:
            raise InvariantViolation(f"task {request.task_id!r} is placed already")
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
        """Ends the counting of a task.

        Returns:
            The worker that it was counted on, None if it was not counted.
        """
        worker_id = self._worker_by_task.pop(task_id, None)
        if worker_id is None:
            return None
        load = self.loads_by_worker[worker_id]
        request = load.requests_by_task.pop(task_id)
        load.free = load.free + request.resources
        self._reduce_class(load, request)
        self._reduce_team(request)
        self._recently_removed.put(task_id, request)
        self.version += 1
        self._forget_if_empty(load)
        return load

    def worker_of(self, task_id: str) -> str | None:
        """Returns the worker that a task is counted on."""
        return self._worker_by_task.get(task_id)

    def request_of(self, task_id: str) -> PlacementRequest | None:
        """Returns the request of a task that is counted or left lately."""
        worker_id = self._worker_by_task.get(task_id)
        if worker_id is None:
            return self._recently_removed.get(task_id)
        return self.loads_by_worker[worker_id].requests_by_task[task_id]

    def usage(self, team: str) -> Resources:
        """Returns the declared sizes of a team's tasks on workers, services' tasks left out."""
        return self._usage_by_team.get(team, NO_RESOURCES)

    def is_service(self, task_id: str) -> bool:
        """Tells whether a task on a worker belongs to a latency-critical service."""
        return task_id in self._service_tasks

    def free(self, worker_id: str) -> Resources:
        """Returns what a worker can still be given; nothing for an unknown one."""
        load = self.loads_by_worker.get(worker_id)
        return NO_RESOURCES if load is None else load.free

    def has_shape_for(self, size: Resources) -> bool:
        """Tells whether an empty offered worker could hold a size; true while none is offered."""
        shapes = self._workers_by_shape
        return not shapes or any(size.fits(shape) for shape in shapes)

    @property
    def task_count(self) -> int:
        """Returns the number of tasks on workers."""
        return len(self._worker_by_task)

    @property
    def schedulable_worker_count(self) -> int:
        """Returns the number of offered workers."""
        return sum(self._workers_by_shape.values())

    def _mark_unschedulable(self, load: WorkerLoad) -> None:
        if not load.is_schedulable:
            return
        load.is_schedulable = False
        self.schedulable_capacity = self.schedulable_capacity - load.capacity
        self._workers_by_shape[load.capacity] -= 1
        if not self._workers_by_shape[load.capacity]:
            del self._workers_by_shape[load.capacity]

    def _reduce_class(self, load: WorkerLoad, request: PlacementRequest) -> None:
        left = load.cores_by_class[request.task_class] - request.resources.cores
        if left > 0:
            load.cores_by_class[request.task_class] = left
        else:
            del load.cores_by_class[request.task_class]

    def _reduce_team(self, request: PlacementRequest) -> None:
        if request.task_id in self._service_tasks:
            self._service_tasks.discard(request.task_id)
            return
        left = self.usage(request.team) - request.resources
        if left == NO_RESOURCES:
            self._usage_by_team.pop(request.team, None)
        else:
            self._usage_by_team[request.team] = left

    def _forget_if_empty(self, load: WorkerLoad) -> None:
        if not load.is_schedulable and not load.requests_by_task:
            del self.loads_by_worker[load.worker_id]
