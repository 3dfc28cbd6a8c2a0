"""Settings that the platform gives to a scheduler process on a VM."""

import dataclasses

__all__ = ["Bounds", "NodeSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits and durations that the platform guarantees or requires.

    Attributes:
        max_worker_lease_s: longest lease that a worker accepts.
        max_stop_s: maximum time that a worker takes to stop a run.
        gang_wait_s: time that a gang member waits for the other members.
        cancel_s: time after a job's cancellation from which none of its tasks may start.
        max_early_start_s: how long before its due time an occurrence may start.
        status_s: how long the state of an ended job is kept.
        other_rack_factor: factor on the run time of a task off the rack on which it is fast.
        restore_s: time that resuming from a checkpoint takes.
        checkpoint_interval_s: work time between two checkpoints.
        graceful_stop_s: time between SIGTERM and SIGKILL.
        latency_miss_s: how long fillers may keep a serving task over its latency target.
        absence_detection_s: time after which a serving task that does not run counts as absent.
        registration_timeout_s: shortest time after which a silent worker is no longer registered.
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
    registration_timeout_s: float = 0.0


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
        max_value_bytes: limit of the store for a value.
        advice_address: `ip:port` of the advice service, empty if there is none.
        cores: processors that the process may use.
        memory_mb: memory that the process may use.
        is_first_start: whether the whole system starts for the first time.
        bounds: limits and durations of the platform.
        max_fds: file descriptors that the process may use.
    """

    node: str
    zone: str
    zones: tuple[str, ...]
    client_address: str
    readiness_address: str
    rpc_address: str
    metrics_address: str
    store_address: str
    max_value_bytes: int
    advice_address: str
    cores: float
    memory_mb: int
    is_first_start: bool
    bounds: Bounds
    max_fds: int = 4096
