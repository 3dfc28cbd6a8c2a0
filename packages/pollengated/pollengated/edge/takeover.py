"""The time after a takeover in which runs of an earlier owner may exist that are not known yet."""

import dataclasses
from collections.abc import Iterable

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.progress import TaskProgress
from pollengate.workflow.punctuality import Punctuality
from pollengate.workflow.shard_lease import ShardLease

from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import Committer
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.previous_term import PreviousTerm
from pollengated.edge.run_lists import RunLists
from pollengated.logs import Log

__all__ = ["Takeover"]

# Workers that reply do so within this time after a takeover; the others are logged.
LOG_AFTER_S = 0.5
# Age after which the tasks that may run unseen are determined anew.
REFRESH_AFTER_S = 0.01
# Silence of the workers counts once the owner has been punctual for this long, in which a renewal
# that has failed is repeated.
LISTEN_S = 1.0
# Silence counts this long after the leases have expired, even if the owner is late all the while.
MAX_DEFERRAL_S = 4.0
# Ids in one log line.
MAX_LOGGED_WORKERS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldTasks:
    """Restored tasks that may have a run which is not known: all of them, or some by name."""

    are_all: bool
    names: frozenset[str]


class Takeover:
    """Waits for the workers that an earlier owner recorded, until its leases have expired.

    Args:
        shard: number of the shard.
        job_table: the shard's jobs, runs and workers.
        committer: writes the shard's records.
        previous_term: the workers that may run tasks which an earlier owner started.
        shard_lease: the owner's lease. While it is not confirmed, a later owner may renew the
            leases that an earlier one gave.
        punctuality: tells whether the owner could hear the workers.
        clocks: the process's clocks.
        metrics: metrics of this process.

    Attributes:
        run_lists: lists what may run on silent workers, for the next owner.
    """

    def __init__(
        self,
        shard: int,
        job_table: JobTable,
        committer: Committer,
        previous_term: PreviousTerm,
        shard_lease: ShardLease,
        punctuality: Punctuality,
        clocks: Clocks,
        metrics: EdgeMetrics,
    ) -> None:
        self._shard = shard
        self._job_table = job_table
        self._recorded_ids = tuple(previous_term.addresses_by_id)
        self._previous_leases = previous_term.leases
        self._listed_tasks_by_id = previous_term.listed_tasks_by_id
        self.run_lists = RunLists(
            shard,
            committer,
            job_table.fleet,
            clocks,
            self._leases_expire_at,
            self._listed_tasks_by_id,
        )
        self._held = _HeldTasks(True, frozenset())
        self._held_at = float("-inf")
        self._acquired_at = previous_term.acquired_at
        self._expired_until = float("-inf")
        self._deferred_since: float | None = None
        self._punctuality = punctuality
        self._shard_lease = shard_lease
        self._clocks = clocks
        self._metrics = metrics
        self._logged_ids: list[str] = []
        self._is_reported = False
        self._log = Log("takeover")

    def is_settled(self) -> bool:
        """Whether every run that an earlier owner started is known or has ended."""
        return not self._awaited_ids(self._clocks.monotonic_s())

    def may_run_unseen(self, task: TaskProgress) -> bool:
        """Whether a restored task may have a run of an earlier owner that is not known yet."""
        held = self._refresh_held()
        return held.are_all or task.name in held.names

    def may_all_run_unseen(self) -> bool:
        """Whether all restored tasks may have such a run."""
        return self._refresh_held().are_all

    def _refresh_held(self) -> "_HeldTasks":
        now = self._clocks.monotonic_s()
        if now - self._held_at >= REFRESH_AFTER_S:
            self._held_at = now
            self._held = self._find_held(now)
        return self._held

    def update(self) -> None:
        """Updates the lists of silent workers, and reports on those that are awaited."""
        self.run_lists.update()
        self._report()

    def _report(self) -> None:
        """Logs and exports which workers are awaited, and when the takeover is settled."""
        if self._is_reported:
            return
        now = self._clocks.monotonic_s()
        awaited_ids = self._awaited_ids(now)
        took_s = now - self._acquired_at
        if not awaited_ids:
            silent = sum(map(self._is_silent, self._recorded_views()))
            self._is_reported = True
            self._metrics.awaited_workers.labels(str(self._shard)).set(0)
            self._metrics.takeover_seconds.observe(took_s)
            self._log.info(
                "takeover is settled",
                shard=self._shard,
                took_s=round(took_s, 2),
                by="expiry" if silent else "reports",
                silent=silent,
            )
            return
        self._metrics.awaited_workers.labels(str(self._shard)).set(len(awaited_ids))
        if took_s >= LOG_AFTER_S and awaited_ids != self._logged_ids:
            self._logged_ids = awaited_ids
            self._log.warning(
                "workers of an earlier owner have not replied; restored tasks wait",
                shard=self._shard,
                workers=",".join(awaited_ids[:MAX_LOGGED_WORKERS]),
                silent=len(awaited_ids),
                tasks=self._count_waiting(),
                restarted=self._count_restarted(awaited_ids),
                at_most_s=round(self._longest_wait_s(awaited_ids, now), 2),
            )

    def close(self) -> None:
        """Removes the metrics of a shard whose ownership has ended."""
        self._metrics.awaited_workers.labels(str(self._shard)).set(0)

    def _find_held(self, now: float) -> "_HeldTasks":
        awaited_ids = self._awaited_ids(now)
        lists = [self._listed_tasks_by_id.get(worker_id) for worker_id in awaited_ids]
        known = [tasks for tasks in lists if tasks is not None]
        return _HeldTasks(len(known) < len(lists), frozenset().union(*known))

    def _leases_expire_at(self, view: WorkerView) -> float:
        """Returns the clock time by which the leases of earlier owners on a worker have expired."""
        born_ms = view.born_ms or view.info.born_ms
        return self._previous_leases.expire_at(view.worker_id, born_ms, view.is_registered)

    def _update_expired(self, now: float) -> None:
        """Updates the clock time up to which leases have expired while there was no later owner.

        The workers that are silent may have reported ends that a late owner has not read yet.
        """
        if now < self._previous_leases.settled_expire_at or not self._shard_lease.is_confirmed(now):
            return
        if not self._punctuality.was_late_since(now - LISTEN_S, now):
            self._deferred_since = None
        elif self._deferred_since is None:
            self._deferred_since = now
        if self._deferred_since is None or now >= self._deferred_since + MAX_DEFERRAL_S:
            self._expired_until = now

    def _recorded_views(self) -> Iterable[WorkerView]:
        workers_by_id = self._job_table.fleet.workers_by_id
        return (workers_by_id[i] for i in self._recorded_ids if i in workers_by_id)

    def _awaited_ids(self, now: float) -> list[str]:
        self._update_expired(now)
        if self._expired_until >= self._previous_leases.longest_expire_at:
            return []
        return [
            view.worker_id
            for view in self._recorded_views()
            if self._is_silent(view) and self._leases_expire_at(view) > self._expired_until
        ]

    def _is_silent(self, view: WorkerView) -> bool:
        return not view.is_attached and not view.is_replaced

    def _count_restarted(self, worker_ids: Iterable[str]) -> int:
        """Returns how many workers may hold leases by the clock of an earlier incarnation."""
        views = self._job_table.fleet.workers_by_id
        settled_expire_at = self._previous_leases.settled_expire_at
        return sum(self._leases_expire_at(views[i]) > settled_expire_at for i in worker_ids)

    def _longest_wait_s(self, worker_ids: Iterable[str], now: float) -> float:
        views = self._job_table.fleet.workers_by_id
        return max((self._leases_expire_at(views[i]) - now for i in worker_ids), default=0.0)

    def _count_waiting(self) -> int:
        """Returns the number of restored tasks whose turn has come and that have no known run."""
        held = self._refresh_held()
        if held.are_all:
            steps = self._job_table.open_steps
            return sum(len(step.waiting) for step in steps if step.job.is_restored)
        tasks = map(self._job_table.find_task, held.names)
        return sum(
            task is not None and task.step.job.is_restored and task in task.step.waiting
            for task in tasks
        )
