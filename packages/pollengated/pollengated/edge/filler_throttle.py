"""Sends the speeds of the fillers on one worker."""

import asyncio
from collections.abc import Awaitable, Callable

from pollengate.interference.speeds import SpeedChange, SpeedController
from pollengate.workflow.decision_guard import DecisionGuard
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.planner import Planner

from pollengated.logs import Log

__all__ = ["FillerThrottle"]


class FillerThrottle:
    """Adjusts the speeds of fillers after each report of their worker.

    Args:
        view: the worker.
        job_table: jobs of the shard.
        speed_controller: decides the speed of fillers.
        planner: finds other workers for a filler.
        guard: contains the errors of decisions.
        send: sends a filler's new speed.
    """

    def __init__(
        self,
        view: WorkerView,
        job_table: JobTable,
        speed_controller: SpeedController,
        planner: Planner,
        guard: DecisionGuard,
        send: Callable[[SpeedChange], Awaitable[None]],
    ) -> None:
        self._view = view
        self._job_table = job_table
        self._speed_controller = speed_controller
        self._planner = planner
        self._guard = guard
        self._send = send
        self._log = Log("worker")

    def forget(self) -> None:
        """Forgets the speeds of the worker's earlier incarnation."""
        self._speed_controller.forget(self._view.worker_id)

    def adjust(self, now: float) -> None:
        """Changes the speeds of fillers, and stops those that would end sooner elsewhere."""
        worker_id = self._view.worker_id
        self._guard.attempt("adjust_speeds", worker_id, now, lambda: self._change_speeds(now))
        self._guard.attempt("move_slow_fillers", worker_id, now, lambda: self._move_slow(now))

    def _change_speeds(self, now: float) -> None:
        changes = self._speed_controller.adjust(self._view, now)
        if changes:
            self._log.info(
                "speed of fillers changes",
                worker=self._view.worker_id,
                lowest_percent=min(change.percent for change in changes),
                highest_percent=max(change.percent for change in changes),
                fillers=len(changes),
                latencies=[
                    [round(run.measurement), run.task.step.spec.target_ms]
                    for run in self._view.serving
                ],
            )
        for change in changes:
            asyncio.ensure_future(self._send(change))

    def _move_slow(self, now: float) -> None:
        """Stops slow fillers that would end sooner on another worker."""
        for run in self._speed_controller.runs_to_relocate(self._view, now):
            if not self._planner.ends_sooner_elsewhere(run, now):
                continue
            self._log.info(
                "stopping a slow filler so that it runs on another worker",
                task=run.task.name,
                run=run.number,
                worker=self._view.worker_id,
                slow_s=round(now - (run.slow_since or now), 2),
            )
            self._job_table.stop(run)
