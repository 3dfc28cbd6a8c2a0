"""Which workers the waiting tasks of a shard could use.

A shard gives no worker away that its own tasks wait for, but all others, even while it is short of
capacity itself: otherwise two shards that each need what the other one has wait for ever.
"""

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.ordering import runs_again
from pollengate.workflow.placement import is_allowed
from pollengate.workflow.start_filter import StartFilter
from pollengate.workflow.worker_need import WorkerNeed

__all__ = ["RecentNeeds", "find_waiting_need"]


class RecentNeeds:
    """The needs of a shard for which it has lately lacked room.

    A task that has just started on a worker which the shard received may be followed by others of
    its kind, so that workers do not go back and forth between shards.

    Args:
        keep_s: seconds for which a need counts after it was last recorded.
    """

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        # By need, and whether tasks that have run before have it.
        self._recorded_at_by_key: dict[tuple[WorkerNeed, bool], float] = {}

    def record(self, need: WorkerNeed, is_restart: bool, now: float) -> None:
        """Records that the shard lacks room at clock time `now`.

        Args:
            need: what the task needs.
            is_restart: whether it is a long-running task that has run before.
            now: clock time.
        """
        self._recorded_at_by_key[need, is_restart] = now

    def find(self, view: WorkerView, restarts_only: bool, now: float) -> WorkerNeed | None:
        """Returns a need that a worker meets, None if there is none.

        Args:
            view: the worker.
            restarts_only: whether only long-running tasks that have run before count.
            now: clock time.
        """
        for key, recorded_at in list(self._recorded_at_by_key.items()):
            need, is_restart = key
            if now - recorded_at >= self._keep_s:
                del self._recorded_at_by_key[key]
            elif (is_restart or not restarts_only) and need.is_met_by(view):
                return need
        return None


def find_waiting_need(
    job_table: JobTable,
    view: WorkerView,
    restarts_only: bool,
    start_filter: StartFilter | None = None,
) -> WorkerNeed | None:
    """Returns the need of a waiting task of the shard that a worker meets, None if there is none.

    Fillers do not count, as they only use processors that other tasks leave unused.

    Args:
        job_table: the shard's jobs, runs and workers.
        view: the worker.
        restarts_only: whether only long-running tasks that have run before count.
        start_filter: holds back tasks that a worker would not help to start.
    """
    for step in job_table.open_steps:
        if not step.waiting or step.spec.is_filler or (restarts_only and not runs_again(step)):
            continue
        queue = job_table.queue_of(step)
        if queue is None or queue.service != view.info.service:
            continue
        need = WorkerNeed.of(step, queue)
        if not (need.is_met_by(view) and is_allowed(step, view)):
            continue
        if start_filter is None or start_filter.count_startable(step):
            return need
    return None
