"""An owner's books on one worker: its session, its lease and what may run there."""

import dataclasses
import enum
import zlib

from pollengate.charts import load_chart
from pollengate.clock_drift import MAX_CLOCK_DRIFT_RATIO
from pollengate.ownership import CLOCK_MARGIN_S
from pollengate.virtual_machines import VirtualMachine, VmState
from pollengate.worker import TaskRef

__all__ = [
    "START_WINDOW_S",
    "StopOrder",
    "WORKER_LEASE_S",
    "WorkerEntry",
    "WorkerState",
    "lease_expiry",
    "shard_of",
]

# Longer than a takeover, so that tasks outlive the death of their shard's owner.
WORKER_LEASE_S = 10.0
# Together with the age of a configuration below the time after which a zone gets no start.
START_WINDOW_S = 1.8

_CHART = load_chart("worker")


class WorkerState(enum.StrEnum):
    """Whether a worker has reported to this owner; the states of `charts/worker.yaml`."""

    DETACHED = "detached"
    ATTACHED = "attached"


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """An attempt that its worker has to stop, with a checkpoint or without."""

    ref: TaskRef
    checkpoint: bool


@dataclasses.dataclass(slots=True)
class WorkerEntry:
    """What the owner knows of one worker.

    Attributes:
        vm: the machine as listed or as an earlier owner recorded it.
        state: whether it has reported to this owner.
        lease_expires_at: loop time by which its lease has lapsed on every clock.
        session: the attach call that its starts and heartbeats belong to.
        last_heartbeat_number: the last heartbeat taken in of that session.
        has_lease: whether it asked for a lease in that session.
        is_recorded: whether the ledger names it as one that may hold leases.
        is_schedulable: whether placement may choose it.
        task_ids: tasks that run there or may run there.
        stops_by_task: attempts that have to stop and are not known to have.
    """

    vm: VirtualMachine
    lease_expires_at: float
    state: WorkerState = WorkerState.DETACHED
    session: int = 0
    last_heartbeat_number: int = -1
    has_lease: bool = False
    is_recorded: bool = False
    is_schedulable: bool = False
    task_ids: set[str] = dataclasses.field(default_factory=set)
    stops_by_task: dict[str, StopOrder] = dataclasses.field(default_factory=dict)

    def transition(self, event: str) -> None:
        """Moves the worker along the chart.

        Raises:
            InvariantViolation: the chart does not allow the event.
        """
        self.state = WorkerState(_CHART.next_state(self.state, event))

    @property
    def may_start(self) -> bool:
        """Tells whether tasks may be placed there."""
        return (
            self.state is WorkerState.ATTACHED
            and self.vm.state is VmState.LIVE
            and self.has_lease
            and self.is_recorded
        )

    def extend_lease(self, now: float) -> None:
        """Counts a lease that the worker may get by an answer sent at loop time `now`."""
        self.lease_expires_at = max(self.lease_expires_at, lease_expiry(now))


def lease_expiry(granted_at: float) -> float:
    """Returns the loop time by which a worker's lease has lapsed on every clock."""
    return granted_at + WORKER_LEASE_S * (1 + MAX_CLOCK_DRIFT_RATIO) + CLOCK_MARGIN_S


def shard_of(worker_id: str, shards: int) -> int:
    """Returns the shard that a worker belongs to, by a stable hash of its id."""
    return zlib.crc32(worker_id.encode()) % shards
