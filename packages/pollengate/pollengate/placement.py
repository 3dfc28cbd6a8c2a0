"""Placement: which worker a task starts on."""

import abc
import dataclasses

from pollengate.errors import InvariantViolation
from pollengate.jobs import JobSpec, Resources

__all__ = ["FirstFit", "Placement", "PlacementRequest", "request_for"]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A task that waits for a worker.

    Attributes:
        task_id: the task.
        task_class: tasks of one class are expected to behave alike.
        team: whose quota it counts against.
        resources: declared size.
        duration_ms: declared run time.
        urgent: whether it goes ahead of other work.
    """

    task_id: str
    task_class: str
    team: str
    resources: Resources
    duration_ms: int
    urgent: bool = False


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


class FirstFit(Placement):
    """Takes the first worker with room."""

    def __init__(self) -> None:
        self._free_by_worker: dict[str, Resources] = {}
        self._offered: dict[str, None] = {}
        self._placed_by_task: dict[str, tuple[str, Resources]] = {}

    def add_worker(self, worker_id: str, rack: str, capacity: Resources) -> None:
        """Offers a worker."""
        self._free_by_worker.setdefault(worker_id, capacity)
        self._offered[worker_id] = None

    def remove_worker(self, worker_id: str) -> None:
        """Withdraws a worker."""
        self._offered.pop(worker_id, None)

    def place(self, request: PlacementRequest) -> str | None:
        """Chooses the first worker with room."""
        for worker_id in self._offered:
            if request.resources.fits(self._free_by_worker[worker_id]):
                self.adopt(request, worker_id)
                return worker_id
        return None

    def adopt(self, request: PlacementRequest, worker_id: str) -> None:
        """Counts a task on a worker."""
        if request.task_id in self._placed_by_task:
            raise InvariantViolation(f"task {request.task_id!r} is placed already")
        self._free_by_worker[worker_id] = self._free_by_worker[worker_id] - request.resources
        self._placed_by_task[request.task_id] = (worker_id, request.resources)

    def release(self, task_id: str) -> None:
        """Ends the counting of a task."""
        placed = self._placed_by_task.pop(task_id, None)
        if placed is not None:
            worker_id, resources = placed
            self._free_by_worker[worker_id] = self._free_by_worker[worker_id] + resources

    def free(self, worker_id: str) -> Resources:
        """Returns what a worker can still be given."""
        return self._free_by_worker[worker_id]


def request_for(task_id: str, spec: JobSpec) -> PlacementRequest:
    """Returns the placement request of one task of a job."""
    return PlacementRequest(
        task_id=task_id,
        task_class=spec.task_class,
        team=spec.team,
        resources=spec.resources,
        duration_ms=spec.duration_ms,
        urgent=spec.urgent,
    )
