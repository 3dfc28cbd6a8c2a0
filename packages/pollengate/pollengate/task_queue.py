"""Queues of tasks that are waiting for a worker."""

import abc
from collections.abc import Callable

from pollengate.placement_request import PlacementRequest

__all__ = ["FifoQueue", "TaskQueue"]


class TaskQueue(abc.ABC):
    """Interface of a queue of tasks that are waiting for a worker."""

    @abc.abstractmethod
    def push(self, request: PlacementRequest) -> None:
        """Adds a task; a task that is already queued keeps its position."""

    @abc.abstractmethod
    def discard(self, task_id: str) -> None:
        """Removes a task if it is queued."""

    @abc.abstractmethod
    def offer_tasks(self, place: Callable[[PlacementRequest], bool], limit: int) -> None:
        """Offers tasks to `place` in order and removes those that it places.

        Args:
            place: returns whether it has assigned the task to a worker.
            limit: maximum number of tasks to offer.
        """

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns the number of queued tasks."""


class FifoQueue(TaskQueue):
    """Queue that offers tasks in the order of their arrival."""

    def __init__(self) -> None:
        self._requests_by_id: dict[str, PlacementRequest] = {}

    def push(self, request: PlacementRequest) -> None:
        """Adds a task at the end unless it is already queued."""
        self._requests_by_id.setdefault(request.task_id, request)

    def discard(self, task_id: str) -> None:
        """Removes a task if it is queued."""
        self._requests_by_id.pop(task_id, None)

    def offer_tasks(self, place: Callable[[PlacementRequest], bool], limit: int) -> None:
        """Offers up to `limit` of the oldest tasks to `place` and removes the placed ones."""
        for request in list(self._requests_by_id.values())[:limit]:
            if place(request):
                del self._requests_by_id[request.task_id]

    def __len__(self) -> int:
        """Returns the number of queued tasks."""
        return len(self._requests_by_id)
