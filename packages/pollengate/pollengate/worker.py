"""The platform's workers: orders, reports and the client that carries them."""

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
    """What a worker says about a task."""

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
        attempt: grows with each start by one owner.
        epoch: the owner that sent the start.
    """

    task_id: str
    attempt: int
    epoch: int = 0

    @property
    def sort_key(self) -> tuple[int, int]:
        """Returns what orders the attempts at one task, across owners."""
        return (self.epoch, self.attempt)


@dataclasses.dataclass(frozen=True, slots=True)
class TaskOrder:
    """An order to start one attempt at a task."""

    ref: TaskRef
    resources: Resources
    duration_ms: int
    task_class: str
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReport:
    """What a worker says about one attempt.

    Attributes:
        ref: the attempt.
        state: what has become of it.
        checkpoint: where a later attempt may resume; of a running one, where it resumed.
        detail: why it failed.
    """

    ref: TaskRef
    state: ReportState
    checkpoint: str = ""
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskUsage:
    """Measured use of one task.

    Attributes:
        task_id: the task.
        cores: processors in use.
        memory_mb: memory in use.
        slowdown: 1 for none, 0 when not measured; a throttle does not count.
        in_step: whether it is in a step that can't be checkpointed.
    """

    task_id: str
    cores: float
    memory_mb: int
    slowdown: float
    in_step: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """A worker's answer to one order; `reason` says why it was refused."""

    ref: TaskRef
    accepted: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Attachment:
    """A worker's answer to an owner that attaches it.

    Attributes:
        accepted: False when the worker has seen a higher epoch, or a higher session of it.
        epoch: the highest epoch that the worker has seen.
        reports: every task that runs or has ended without acknowledgement; a start order
            of a lower session that is not among them will never run.
    """

    accepted: bool
    epoch: int
    reports: tuple[TaskReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A worker's request for a renewal of its lease.

    Attributes:
        worker_id: the sender.
        epoch: the owner's epoch that the worker is attached at.
        reports: every task that runs or has ended without acknowledgement.
        usage: the newest measurements.
        usage_age_s: seconds since they were taken.
        session: the session of that epoch that the worker is attached at.
        number: grows with each heartbeat of one session.
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
    """The owner's answer to a heartbeat.

    Attributes:
        accepted: False when the owner does not own this worker at this epoch.
        lease_s: length of the lease, counted from when the worker sent the heartbeat.
        acknowledged: ended attempts that the worker may forget.
        unknown: running attempts that the worker must stop.
        start_window_s: time, counted like the lease, within which the worker may start tasks;
            an order that arrives later waited somewhere and is refused.
    """

    accepted: bool
    lease_s: float = 0.0
    acknowledged: tuple[TaskRef, ...] = ()
    unknown: tuple[TaskRef, ...] = ()
    start_window_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerCallFailure:
    """A call without an answer; `sent` tells whether the worker may have got it."""

    sent: bool
    detail: str


class WorkerClient(abc.ABC):
    """Calls from an owner to one worker."""

    @abc.abstractmethod
    async def attach(
        self, epoch: int, session: int, owner_address: str
    ) -> Result[Attachment, WorkerCallFailure]:
        """Makes the worker send its heartbeats to this owner.

        Args:
            epoch: the owner's; a worker refuses a lower one than it has seen.
            session: fences start orders of lower sessions of the epoch.
            owner_address: `ip:port` that takes heartbeats.
        """

    @abc.abstractmethod
    async def start(
        self, epoch: int, session: int, orders: Sequence[TaskOrder]
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Starts tasks; each is answered on its own, and refused at another session."""

    @abc.abstractmethod
    async def stop(
        self, epoch: int, tasks: Sequence[TaskRef], checkpoint: bool
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Stops tasks, with a checkpoint where asked for and possible."""

    @abc.abstractmethod
    async def throttle(
        self, epoch: int, task: TaskRef, share: float
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Limits a task to a share of its processors, above 0 and at most 1."""

    async def close(self) -> None:
        """Releases connections."""
        return
