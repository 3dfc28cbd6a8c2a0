"""The report of `/status`: zones, processes, shards, workers and refusals."""

import dataclasses

from pollengate_net.messages import scheduler_pb2 as pb

__all__ = [
    "ProcessStatus",
    "ShardStatus",
    "StatusReport",
    "WorkerStatus",
    "ZoneStatus",
    "process_from_reply",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneStatus:
    """Status of an availability zone, from the reports of its shard owners.

    Attributes:
        name: name of the zone.
        in_service: whether tasks may start in the zone.
        owners: number of its shards whose owner has replied.
        workers: number of workers known to these owners.
        queued: number of tasks that wait for a worker.
        running: number of running tasks.
    """

    name: str
    in_service: bool
    owners: int
    workers: int
    queued: int
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerStatus:
    """Status of a worker as recorded by the owner of its shard."""

    worker_id: str
    state: str
    cores_free: int
    memory_free_mb: int
    accelerators_free: int
    tasks: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShardStatus:
    """Status of a shard as reported by its owner."""

    zone: str
    shard: int
    epoch: int
    queued: int
    running: int
    workers: tuple[WorkerStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStatus:
    """Status of a process, or the error if it did not reply.

    Attributes:
        process_id: id of the process.
        role: `gate` or `scheduler`.
        zone: availability zone of the process.
        configuration_version: version in force in the process, None if it did not reply.
        shards: shards that the process owns.
        error: why there is no reply, empty if there is one.
    """

    process_id: str
    role: str
    zone: str
    configuration_version: int | None
    shards: tuple[ShardStatus, ...] = ()
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReport:
    """Status of the system as seen by one gate.

    Attributes:
        process_id: id of the reporting gate.
        configuration_version: version in force at that gate.
        zones: all configured zones, sorted by name.
        processes: all processes known to the gate, including itself.
        refusals_by_reason: number of requests that the gate has refused, by reason.
    """

    process_id: str
    configuration_version: int
    zones: tuple[ZoneStatus, ...]
    processes: tuple[ProcessStatus, ...]
    refusals_by_reason: dict[str, int]


def process_from_reply(reply: pb.StatusReply) -> ProcessStatus:
    """Returns the status in a scheduler's reply."""
    shards = tuple(_shard(shard) for shard in reply.shards)
    return ProcessStatus(
        reply.process_id, "scheduler", reply.zone, reply.configuration_version, shards
    )


def _shard(message: pb.ShardStatus) -> ShardStatus:
    return ShardStatus(
        message.zone,
        message.shard,
        message.epoch,
        message.queued,
        message.running,
        tuple(_worker(worker) for worker in message.workers),
    )


def _worker(message: pb.WorkerStatus) -> WorkerStatus:
    return WorkerStatus(
        message.worker_id,
        message.state,
        message.cores_free,
        message.memory_free_mb,
        message.accelerators_free,
        message.tasks,
    )
