"""Messages between an owner and the platform's workers, and the client interface."""

import abc
import dataclasses
import enum
from collections.abc import Sequence

from result import Result

from pollengate.jobs import Resources

__all__ = [
    "Attachment",
    "Heartbeat",
    "HeartbeatReply",
    "ReportState",
    "OrderReply",
    "TaskOrder",
    "TaskRef",
    "TaskReport",
    "TaskUsage",
    "WorkerClient",
    "WorkerCallFailure",
]


class ReportState(enum.StrEnum):
    """State of an attempt at a task in a worker's report."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRef:
    """One attempt at a task.

    Attributes:
        task_id: the task.
        attempt: number of the attempt; each owner counts its own.
        epoch: epoch of the owner that sent the start order.
    """

    task_id: str
    attempt: int
    epoch: int = 0

    @property
    def sort_key(self) -> tuple[int, int]:
        """Key that sorts the attempts at one task by age, across owners."""
        return (self.epoch, self.attempt)


@dataclasses.dataclass(frozen=True, slots=True)
class TaskOrder:
    """An order to start one attempt at a task.

    Attributes:
        ref: the attempt.
        resources: declared resources of the task.
        duration_ms: declared run time of the task.
        task_class: class of the task.
        checkpoint: where the attempt resumes, empty to start from the beginning.
    """

    ref: TaskRef
    resources: Resources
    duration_ms: int
    task_class: str
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReport:
    """A worker's report on one attempt.

    Attributes:
        ref: the attempt.
        state: state of the attempt.
        checkpoint: where a later attempt may resume; for a running attempt, the checkpoint that
            it was resumed from.
        detail: why the attempt failed.
    """

    ref: TaskRef
    state: ReportState
    checkpoint: str = ""
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskUsage:
    """Measured resource use of one task.

    Attributes:
        task_id: the task.
        cores: processor cores in use.
        memory_mb: memory in use.
        slowdown: run time relative to undisturbed execution, without the effect of a throttle;
            1 for no slowdown, 0 if not measured.
        in_step: whether the task is in a step that can't be checkpointed.
    """

    task_id: str
    cores: float
    memory_mb: int
    slowdown: float
    in_step: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """A worker's reply to one order; `reason` says why the order was rejected."""

    ref: TaskRef
    accepted: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Attachment:
    """A worker's reply to an attach call.

    Attributes:
        accepted: False if the worker has seen a higher epoch, or a higher session in this epoch.
        epoch: the highest epoch that the worker has seen.
        reports: every attempt that runs or whose end is not acknowledged; a start order of a
            lower session whose attempt is not among them will never be carried out.
    """

    accepted: bool
    epoch: int
    reports: tuple[TaskReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A worker's report and request for the renewal of its lease.

    Attributes:
        worker_id: the worker that sends the heartbeat.
        epoch: epoch of the owner that the worker is attached to.
        reports: every attempt that runs or whose end is not acknowledged.
        usage: the latest measurements.
        usage_age_s: seconds since the measurements were taken.
        session: session, within the epoch, in which the worker is attached.
        number: increases with each heartbeat of one session.
    """

    worker_id: str
    epoch: int
    reports: tuple[TaskReport, ...]
    usage: tuple[TaskUsage, ...] = ()
    usage_age_s: float = 0.0
    session: int = 0
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The owner's reply to a heartbeat.

    Attributes:
        accepted: False if the lease is not renewed, because the owner does not have the worker
            attached at this epoch and session or has already applied a newer heartbeat.
        lease_s: duration of the lease, counted from when the worker sent the heartbeat.
        acknowledged: ended attempts that the worker may forget.
        unknown: running attempts that the worker must stop.
        start_window_s: duration, counted like that of the lease, within which the worker may
            start tasks; it rejects start orders that arrive later, since they were delayed.
    """

    accepted: bool
    lease_s: float = 0.0
    acknowledged: tuple[TaskRef, ...] = ()
    unknown: tuple[TaskRef, ...] = ()
    start_window_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerCallFailure:
    """A call to a worker that got no reply.

    Attributes:
        sent: whether the worker may have received the call.
        detail: description of the failure.
    """

    sent: bool
    detail: str


class WorkerClient(abc.ABC):
    """Client with which an owner calls one worker."""

    @abc.abstractmethod
    async def attach(
        self, epoch: int, session: int, owner_address: str
    ) -> Result[Attachment, WorkerCallFailure]:
        """Attaches the worker: it reports its tasks and sends its heartbeats to this owner.

        Args:
            epoch: epoch of the owner; the worker rejects epochs lower than one it has seen.
            session: the worker rejects start orders of lower sessions in the same epoch.
            owner_address: `ip:port` of the owner's heartbeat endpoint.
        """

    @abc.abstractmethod
    async def start(
        self, epoch: int, session: int, orders: Sequence[TaskOrder]
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Starts tasks.

        Returns:
            One reply per order; the worker rejects all orders if it is attached in another
            session.
        """

    @abc.abstractmethod
    async def stop(
        self, epoch: int, tasks: Sequence[TaskRef], checkpoint: bool
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Stops tasks.

        Args:
            epoch: epoch of the owner.
            tasks: the attempts to stop.
            checkpoint: whether to save checkpoints of the tasks that support it.
        """

    @abc.abstractmethod
    async def throttle(
        self, epoch: int, task: TaskRef, share: float
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Limits a task to a share of its processor cores, above 0 and at most 1."""

    async def close(self) -> None:
        """Closes the client's connections."""
        return
