"""Recovery of a shard: restored tasks that wait until workers have reported."""

from collections.abc import Iterable

from pollengate.jobs import Task, TaskState

__all__ = ["Recovery"]


class Recovery:
    """Holds restored tasks until every worker that may run them has reported or lost its lease."""

    def __init__(self) -> None:
        self._awaited_worker_ids: set[str] = set()
        self._held_tasks_by_id: dict[str, Task] = {}

    @property
    def is_finished(self) -> bool:
        """Whether no worker is awaited."""
        return not self._awaited_worker_ids

    def begin(self, worker_ids: Iterable[str]) -> None:
        """Starts to wait for the workers that may hold leases according to the ledger."""
        self._awaited_worker_ids = set(worker_ids)

    def hold(self, task: Task) -> None:
        """Holds a task that may run on an awaited worker."""
        self._held_tasks_by_id[task.task_id] = task

    def stop_awaiting(self, worker_id: str) -> None:
        """Records that a worker has reported or that its lease has expired."""
        self._awaited_worker_ids.discard(worker_id)

    def pop_not_running(self) -> list[Task]:
        """Removes all held tasks and returns those that run on no worker.

        While a worker is awaited, keeps the tasks and returns an empty list.
        """
        if self._awaited_worker_ids or not self._held_tasks_by_id:
            return []
        held, self._held_tasks_by_id = self._held_tasks_by_id, {}
        return [
            task
            for task in held.values()
            if task.state is TaskState.LOST
            or (task.state is TaskState.STOPPING and not task.worker_id)
        ]
