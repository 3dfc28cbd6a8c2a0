"""What `/status` tells: zones, owners, configuration versions, workers, queues, refusals."""

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
    """An availability zone.

    Attributes:
        name: its name.
        in_service: whether tasks may start there.
        owners: how many of its shards have an owner that answers.
        workers: its workers that an owner knows.
        queued: its tasks that wait for a worker.
        running: its tasks that run.
    """

    name: str
    in_service: bool
    owners: int
    workers: int
    queued: int
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerStatus:
    """A worker in its owner's books."""

    worker_id: str
    state: str
    cores_free: int
    memory_free_mb: int
    accelerators_free: int
    tasks: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShardStatus:
    """A shard that the process owns."""

    zone: str
    shard: int
    epoch: int
    queued: int
    running: int
    workers: tuple[WorkerStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStatus:
    """A process, as it answered or did not.

    Attributes:
        process_id: its id.
        role: `gate` or `scheduler`.
        zone: its availability zone.
        configuration_version: the version in force there, None without an answer.
        shards: the shards that it owns.
        error: why there is no answer, empty with one.
    """

    process_id: str
    role: str
    zone: str
    configuration_version: int | None
    shards: tuple[ShardStatus, ...] = ()
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReport:
    """The system as one gate sees it.

    Attributes:
        process_id: the gate that reports.
        configuration_version: the version in force at that gate.
        zones: every configured zone, by name.
        processes: every process that it knows.
        refusals_by_reason: requests that this gate refused.
    """

    process_id: str
    configuration_version: int
    zones: tuple[ZoneStatus, ...]
    processes: tuple[ProcessStatus, ...]
    refusals_by_reason: dict[str, int]


def process_from_reply(reply: pb.StatusReply) -> ProcessStatus:
    """Decodes a scheduler's answer."""
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
