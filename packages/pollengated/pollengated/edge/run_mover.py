"""Stops runs that should run on another worker, and requests copies of slow ones."""

import functools
from collections.abc import Callable

from pollengate.interference.latency_model import LatencyModel
from pollengate.interference.rebalancing import Rebalancer
from pollengate.workflow.decision_guard import DecisionGuard
from pollengate.workflow.draining import runs_to_move
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.large_tasks import LargeTaskReserve
from pollengate.workflow.progress import Run
from pollengate.workflow.restart_room import RestartRoom
from pollengate.workflow.start_filter import StartFilter
from pollengate.workflow.stragglers import Remedy, Straggler, find_stragglers
from pollengate.workflow.waiting import waiting_filler_millis

from pollengated.logs import Log

__all__ = ["RunMover"]

# Serving tasks are moved only if fillers have waited longer than this.
FILLER_WAIT_S = 0.5


class RunMover:
    """Moves runs of one shard off draining workers, away from stragglers, and to make room.

    Args:
        job_table: the shard's jobs, runs and workers.
        latency_model: what fillers take of the headroom of serving images.
        start_filter: holds back tasks for which no room is made.
        guard: contains the errors of each kind of move.
    """

    def __init__(
        self,
        job_table: JobTable,
        latency_model: LatencyModel,
        start_filter: StartFilter,
        guard: DecisionGuard,
    ) -> None:
        self._fleet = job_table.fleet
        self._job_table = job_table
        self._rebalancer = Rebalancer(job_table.fleet, latency_model)
        self._reserve = LargeTaskReserve(job_table, start_filter)
        self._restart_room = RestartRoom(job_table, start_filter)
        self._guard = guard
        self._log = Log("owner")

    def update(self, now: float) -> None:
        """Requests the stops and copies that are due."""
        moves: dict[str, Callable[[float], None]] = {
            "drain_workers": self._move_off_draining_workers,
            "remedy_stragglers": self._remedy_stragglers,
            "rebalance": self._rebalance,
            "make_room_for_large_tasks": self._make_room_for_large_tasks,
            "make_room_for_restarts": self._make_room_for_restarts,
        }
        for kind, move in moves.items():
            self._guard.attempt(kind, "", now, functools.partial(move, now))

    def _move_off_draining_workers(self, now: float) -> None:
        for view in self._fleet.workers_by_id.values():
            for run in runs_to_move(view):
                if self._job_table.unanswered_starts.holds(run.task, now):
                    continue  # until the worker is gone it would start on no other
                self._log.info("stopping a run on a draining worker", **_fields(run))
                self._job_table.stop(run)

    def _remedy_stragglers(self, now: float) -> None:
        for view in self._fleet.workers_by_id.values():
            for straggler in find_stragglers(view, now):
                self._remedy(straggler, view, now)

    def _remedy(self, straggler: Straggler, view: WorkerView, now: float) -> None:
        run = straggler.run
        self._log.info(
            "run is a straggler",
            **_fields(run),
            cause=straggler.cause,
            remedy=straggler.remedy.value,
            percent=run.percent,
            ran_s=round(now - run.ordered_at, 2),
        )
        if straggler.counts_against_worker:
            self._job_table.evidence.record_rejection(run.task.step.job.job_id, view.worker_id)
        if straggler.remedy is Remedy.COPY:
            self._job_table.request_copy(run.task)
        else:
            self._job_table.stop(run)

    def _make_room_for_large_tasks(self, now: float) -> None:
        for run in self._reserve.update(now):
            self._log.info(
                "stopping a long-running task to make room for large ones", **_fields(run)
            )
            self._job_table.stop(run)

    def _make_room_for_restarts(self, now: float) -> None:
        for run in self._restart_room.update(now):
            self._log.info(
                "stopping a long-running task to make room for one that runs again", **_fields(run)
            )
            self._job_table.stop(run)

    def _rebalance(self, now: float) -> None:
        waiting_millis = waiting_filler_millis(self._job_table, now - FILLER_WAIT_S)
        run = self._rebalancer.choose(waiting_millis, now)
        if run is not None:
            self._log.info(
                "stopping a serving task so that it runs on another worker",
                **_fields(run),
                image=run.task.step.spec.image,
            )
            self._job_table.stop(run)


def _fields(run: Run) -> dict[str, object]:
    return {"task": run.task.name, "run": run.number, "worker": run.worker_id}
