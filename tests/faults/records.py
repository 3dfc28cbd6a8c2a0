"""What workers and callers saw, recorded outside the system under test."""

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
        order: what it was told to run.
        started_at: loop time of the start.
        ended_at: loop time of the end, None while it runs.
        end_state: how it ended, None while it runs or when its worker failed.
        end_checkpoint: where a later attempt may resume.
        has_failed: whether the worker failed, then or later.
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
        """Returns the task."""
        return self.order.ref.task_id

    @property
    def job_id(self) -> str:
        """Returns the job that the task belongs to."""
        return self.task_id.rpartition(".")[0]


@dataclasses.dataclass(slots=True)
class CallerRecord:
    """What the callers know of one job.

    Attributes:
        spec: what was submitted.
        accepted_at: loop time of the first positive answer, None without one.
        refused_as_not_run: whether the last word was that it was not run.
        cancelled_at: loop time at which a cancellation was confirmed, None without one.
    """

    spec: JobSpec
    accepted_at: float | None = None
    refused_as_not_run: bool = False
    cancelled_at: float | None = None


@dataclasses.dataclass(slots=True)
class Recorder:
    """Every run, refusal and answer of one cell of the matrix.

    Attributes:
        runs: in the order of their starts.
        refusals: a worker's id and its answer to a start order.
        jobs_by_id: what callers submitted.
        out_periods_by_zone: periods during which a zone was out of service.
        leaving_at_by_worker: when a worker was first listed as leaving.
        capacity_by_worker: what each worker holds.
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
    """A worker that records its runs and can fail as a whole.

    Attributes:
        zone: its availability zone.
        has_failed: whether its VM has failed.
        renewals: loop times at which heartbeats were sent that were answered.
        is_cut_off: whether no call reaches it and no heartbeat leaves it.
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
        """Starts what fits and records it."""
        now = asyncio.get_running_loop().time()
        if self._ignores_epoch:
            epoch, session = self.epoch, self.session
        answers = []
        for order in orders:
            before = len(self.starts)
            answer = super().start(epoch, session, [order])[0]
            answers.append(answer)
            if len(self.starts) > before:
                run = Run(self.zone, self.worker_id, order, now)
                self._runs_by_ref[order.ref] = run
                self._recorder.runs.append(run)
            elif not answer.accepted:
                self._recorder.refusals.append((self.worker_id, answer))
        return answers

    def fail_vm(self) -> None:
        """Ends the VM with all that runs on it."""
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
        """Stops every task once the lease has lapsed, unless this rule is left out."""
        if not self._ignores_lease:
            super().expire_lease()

    def end(self, ref: TaskRef, state: ReportState) -> None:
        """Ends a task and records it."""
        super().end(ref, state)
        run = self._runs_by_ref[ref]
        run.ended_at = asyncio.get_running_loop().time()
        run.end_state = state
        run.end_checkpoint = self._ended_by_ref[ref].checkpoint
