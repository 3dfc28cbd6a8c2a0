"""Observations of workers and callers, recorded outside the system under test."""

import asyncio
import dataclasses
from collections.abc import Sequence

from pollengate.jobs import JobSpec, Resources
from pollengate.worker import OrderReply, ReportState, TaskOrder, TaskRef
from pollengate_standins.worker_model import WorkerModel

__all__ = ["CallerRecord", "Recorder", "RecordingWorker", "Run"]


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt at a task on one worker.

    Attributes:
        zone: the zone of the worker.
        worker_id: the worker.
        order: the start order.
        started_at: loop time of the start.
        ended_at: loop time of the end, None while it runs.
        end_state: how it ended, None while it runs or if its worker failed.
        end_checkpoint: checkpoint from which a later attempt may resume, empty if there is none.
        has_failed: whether the worker's VM failed, during the run or later.
    """

    zone: str
    worker_id: str
    order: TaskOrder
    started_at: float
    ended_at: float | None = None
    end_state: ReportState | None = None
    end_checkpoint: str = ""
    has_failed: bool = False

    @property
    def task_id(self) -> str:
        """The task's id."""
        return self.order.ref.task_id

    @property
    def job_id(self) -> str:
        """The id of the task's job."""
        return self.task_id.rpartition(".")[0]


@dataclasses.dataclass(slots=True)
class CallerRecord:
    """What the callers know about one job.

    Attributes:
        spec: the submitted job.
        accepted_at: loop time at which it was accepted, None if it was not.
        refused_as_not_run: whether it was refused with the outcome that it was not run.
        cancelled_at: loop time at which its cancellation was confirmed, None if it was not.
    """

    spec: JobSpec
    accepted_at: float | None = None
    refused_as_not_run: bool = False
    cancelled_at: float | None = None


@dataclasses.dataclass(slots=True)
class Recorder:
    """The observations in one cell of the matrix.

    Attributes:
        runs: all runs in the order of their starts.
        refusals: rejected start orders, as (worker id, reply).
        jobs_by_id: the jobs that callers submitted.
        out_periods_by_zone: periods in loop time during which a zone was out of service.
        leaving_at_by_worker: loop time at which a worker was last marked as leaving.
        capacity_by_worker: the resources of each worker.
    """

    runs: list[Run] = dataclasses.field(default_factory=list)
    refusals: list[tuple[str, OrderReply]] = dataclasses.field(default_factory=list)
    jobs_by_id: dict[str, CallerRecord] = dataclasses.field(default_factory=dict)
    out_periods_by_zone: dict[str, list[tuple[float, float]]] = dataclasses.field(
        default_factory=dict
    )
    leaving_at_by_worker: dict[str, float] = dataclasses.field(default_factory=dict)
    capacity_by_worker: dict[str, Resources] = dataclasses.field(default_factory=dict)

    def runs_of(self, task_id: str) -> list[Run]:
        """Returns a task's runs in the order of their starts."""
        return [run for run in self.runs if run.task_id == task_id]


class RecordingWorker(WorkerModel):
    """A worker that records its runs and whose VM can fail.

    Attributes:
        zone: its availability zone.
        has_failed: whether its VM has failed.
        renewals: loop times at which the heartbeats were sent that renewed its lease.
        is_cut_off: whether calls to it and heartbeats from it are lost.
    """

    def __init__(
        self,
        zone: str,
        worker_id: str,
        capacity: Resources,
        recorder: Recorder,
        ignores_epoch: bool = False,
        ignores_lease: bool = False,
    ) -> None:
        super().__init__(worker_id, capacity)
        self.zone = zone
        self.has_failed = False
        self.is_cut_off = False
        self.renewals: list[float] = []
        self._ignores_epoch = ignores_epoch
        self._ignores_lease = ignores_lease
        self._recorder = recorder
        self._runs_by_ref: dict[TaskRef, Run] = {}
        recorder.capacity_by_worker[worker_id] = capacity

    def start(self, epoch: int, session: int, orders: Sequence[TaskOrder]) -> list[OrderReply]:
        """Handles start orders and records the runs and the rejected orders."""
        now = asyncio.get_running_loop().time()
        if self._ignores_epoch:
            epoch, session = self.epoch, self.session
        replies = []
        for order in orders:
            starts_before = len(self.starts)
            reply = super().start(epoch, session, [order])[0]
            replies.append(reply)
            if len(self.starts) > starts_before:
                run = Run(self.zone, self.worker_id, order, now)
                self._runs_by_ref[order.ref] = run
                self._recorder.runs.append(run)
            elif not reply.accepted:
                self._recorder.refusals.append((self.worker_id, reply))
        return replies

    def fail_vm(self) -> None:
        """Fails the VM, which ends all its runs."""
        self.has_failed = True
        now = asyncio.get_running_loop().time()
        for run in self._runs_by_ref.values():
            run.has_failed = True
            if run.ended_at is None:
                run.ended_at = now
        for task in self._running_by_id.values():
            task.timer.cancel()
        self._running_by_id.clear()

    def _renew(self, sent_at: float, lease_s: float) -> None:
        self.renewals.append(sent_at)
        super()._renew(sent_at, lease_s)

    def expire_lease(self) -> None:
        """Stops every task because the lease has expired, unless this rule is disabled."""
        if not self._ignores_lease:
            super().expire_lease()

    def end(self, ref: TaskRef, state: ReportState) -> None:
        """Ends a task and records how it ended."""
        super().end(ref, state)
        run = self._runs_by_ref[ref]
        run.ended_at = asyncio.get_running_loop().time()
        run.end_state = state
        run.end_checkpoint = self._ended_by_ref[ref].checkpoint
