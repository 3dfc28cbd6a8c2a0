"""Recovery: which restored tasks wait for workers that have not reported yet."""

from collections.abc import Iterable

from pollengate.jobs import Task, TaskState

__all__ = ["Recovery"]


class Recovery:
    """Holds tasks back until every worker that may run them has reported or lapsed."""

    def __init__(self) -> None:
        self._awaited_worker_ids: set[str] = set()
        self._held_tasks_by_id: dict[str, Task] = {}

    @property
    def is_finished(self) -> bool:
        """Tells whether no worker is awaited."""
        return not self._awaited_worker_ids

    def begin(self, worker_ids: Iterable[str]) -> None:
        """Awaits the workers that the ledger names as possible holders of leases."""
        self._awaited_worker_ids = set(worker_ids)

    def hold(self, task: Task) -> None:
        """Holds back a task that may run on an awaited worker."""
        self._held_tasks_by_id[task.task_id] = task

    def stop_awaiting(self, worker_id: str) -> None:
        """Takes note that a worker has reported or its lease has lapsed."""
        self._awaited_worker_ids.discard(worker_id)

    def pop_not_running(self) -> list[Task]:
        """Returns the tasks that run nowhere, once no worker is awaited."""
        if self._awaited_worker_ids or not self._held_tasks_by_id:
            return []
        held, self._held_tasks_by_id = self._held_tasks_by_id, {}
        return [
            task
            for task in held.values()
            if task.state is TaskState.LOST
            or (task.state is TaskState.STOPPING and not task.worker_id)
        ]
