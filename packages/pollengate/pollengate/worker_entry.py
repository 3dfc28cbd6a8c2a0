"""A shard owner's state of one worker: its session, its lease and its tasks."""

import dataclasses
import enum
import zlib

from pollengate.charts import load_chart
from pollengate.clock_drift import MAX_CLOCK_DRIFT_RATIO
from pollengate.ownership import LEASE_MARGIN_S
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

# Longer than a takeover, so that tasks survive the failure of their shard's owner.
WORKER_LEASE_S = 10.0
# An order may be this late, and the owner's configuration may be `MAX_CONFIGURATION_AGE_S` old as
# well. The sum must stay below the time after which nothing may start in a zone that was taken out
# of service.
START_WINDOW_S = 1.8

_CHART = load_chart("worker")


class WorkerState(enum.StrEnum):
    """Whether a worker is attached to this owner; the states of `charts/worker.yaml`."""

    DETACHED = "detached"
    ATTACHED = "attached"


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """An order to stop an attempt, with or without a checkpoint."""

    ref: TaskRef
    checkpoint: bool


@dataclasses.dataclass(slots=True)
class WorkerEntry:
    """State of one worker as its shard's owner knows it.

    Attributes:
        vm: the VM as listed or as an earlier owner recorded it.
        state: whether the worker is attached to this owner.
        lease_expires_at: loop time by which the lease has expired on every clock.
        session: number of the latest attach call; start orders and heartbeats carry it.
        last_heartbeat_number: number of the latest heartbeat applied in the session.
        has_lease: whether the worker has requested a lease in the session.
        is_recorded: whether the ledger names the worker as a possible holder of leases.
        is_schedulable: whether placement may choose the worker.
        task_ids: tasks that run or may run on the worker.
        stops_by_task: stop orders that have not been reported as carried out.
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
        """Applies an event of the state chart.

        Raises:
            InvariantViolation: the chart does not allow the event in the current state.
        """
        self.state = WorkerState(_CHART.next_state(self.state, event))

    @property
    def may_start(self) -> bool:
        """Whether tasks may be placed on the worker."""
        return (
            self.state is WorkerState.ATTACHED
            and self.vm.state is VmState.LIVE
            and self.has_lease
            and self.is_recorded
        )

    def extend_lease(self, now: float) -> None:
        """Extends `lease_expires_at` for a lease granted by a reply sent at loop time `now`."""
        self.lease_expires_at = max(self.lease_expires_at, lease_expiry(now))


def lease_expiry(granted_at: float) -> float:
    """Returns the loop time by which a worker's lease has expired on every clock.

    Includes an allowance for clock drift and a margin.

    Args:
        granted_at: loop time at which the owner sent the reply that grants the lease.
    """
    return granted_at + WORKER_LEASE_S * (1 + MAX_CLOCK_DRIFT_RATIO) + LEASE_MARGIN_S


def shard_of(worker_id: str, shards: int) -> int:
    """Returns the shard that a worker belongs to, by a stable hash of its id."""
    return zlib.crc32(worker_id.encode()) % shards
