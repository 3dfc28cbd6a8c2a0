"""Settings of one process of the scheduler on a VM, as the platform gives them."""

import dataclasses

__all__ = ["Bounds", "NodeSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the platform promises or asks for.

    Attributes:
        max_worker_lease_s: longest lease that a worker grants.
        max_stop_s: time that a worker takes to stop a run at most.
        gang_wait_s: time that a member of a gang waits for the others.
        cancel_s: time within which tasks of a cancelled job must not start any more.
        max_early_start_s: how much before its time an occurrence may start.
        status_s: time for which the state of an ended job is kept.
        other_rack_factor: how much slower a task is away from the rack that it wants.
        restore_s: time that resuming from a checkpoint takes.
        checkpoint_interval_s: work between two checkpoints.
        graceful_stop_s: time between SIGTERM and SIGKILL.
        latency_miss_s: time for which fillers may keep a serving task over its target.
        absence_detection_s: time after which an absent serving task counts as away.
    """

    max_worker_lease_s: float
    max_stop_s: float
    gang_wait_s: float
    cancel_s: float
    max_early_start_s: float
    status_s: float
    other_rack_factor: float
    restore_s: float
    checkpoint_interval_s: float
    graceful_stop_s: float
    latency_miss_s: float
    absence_detection_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one process.

    Attributes:
        node: name of the VM, unique in a deployment.
        zone: its availability zone.
        zones: all availability zones.
        client_address: `ip:port` for clients.
        readiness_address: `ip:port` for the platform's readiness probes.
        rpc_address: `ip:port` for the system's other processes.
        metrics_address: `ip:port` for metrics.
        store_address: `ip:port` of the platform's store.
        advice_address: `ip:port` of the advice service, empty if there is none.
        cores: processors that the process may use.
        memory_mb: memory that the process may use.
        is_first_start: whether the whole system starts for the first time.
        bounds: figures of the platform.
    """

    node: str
    zone: str
    zones: tuple[str, ...]
    client_address: str
    readiness_address: str
    rpc_address: str
    metrics_address: str
    store_address: str
    advice_address: str
    cores: float
    memory_mb: int
    is_first_start: bool
    bounds: Bounds
