"""Queues of tasks that wait for a worker."""

import abc
from collections.abc import Callable

from pollengate.placement_request import PlacementRequest

__all__ = ["FifoQueue", "TaskQueue"]


class TaskQueue(abc.ABC):
    """Orders the tasks that wait for a worker."""

    @abc.abstractmethod
    def push(self, request: PlacementRequest) -> None:
        """Adds a task; one that waits already stays where it is."""

    @abc.abstractmethod
    def discard(self, task_id: str) -> None:
        """Takes a task out; one that does not wait is ignored."""

    @abc.abstractmethod
    def drain(self, place: Callable[[PlacementRequest], bool], limit: int) -> None:
        """Offers tasks in order to `place` and takes out those that it accepts.

        Args:
            place: returns whether the task was given a worker.
            limit: number of tasks that may be offered.
        """

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns the number of waiting tasks."""


class FifoQueue(TaskQueue):
    """Offers tasks in the order of their arrival."""

    def __init__(self) -> None:
        self._requests_by_id: dict[str, PlacementRequest] = {}

    def push(self, request: PlacementRequest) -> None:
        """Adds a task."""
        self._requests_by_id.setdefault(request.task_id, request)

    def discard(self, task_id: str) -> None:
        """Takes a task out."""
        self._requests_by_id.pop(task_id, None)

    def drain(self, place: Callable[[PlacementRequest], bool], limit: int) -> None:
        """Offers the oldest tasks."""
        for request in list(self._requests_by_id.values())[:limit]:
            if place(request):
                del self._requests_by_id[request.task_id]

    def __len__(self) -> int:
        """Returns the number of waiting tasks."""
        return len(self._requests_by_id)
