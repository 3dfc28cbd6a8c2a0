"""What gates answer, as data classes; fields that this version does not know are left out."""

import dataclasses
from collections.abc import Iterable
from typing import Any, TypeVar

__all__ = [
    "AcceptedPatchView",
    "ConfigurationView",
    "HistoryEntryView",
    "ProcessView",
    "ServiceView",
    "StatusView",
    "ArrayTaskView",
    "TaskSubmission",
    "TaskView",
    "ZoneView",
    "process_from_document",
    "status_from_document",
    "task_from_document",
    "decode_view",
    "decode_views",
]

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationView:
    """A version of the configuration and its document."""

    version: int
    configuration: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedPatchView:
    """An accepted patch: the version that it made and the key to repeat it with."""

    version: int
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntryView:
    """An accepted patch as the history holds it; `patch` is None if it was too long to keep."""

    version: int
    key: str = ""
    process_id: str = ""
    patch: dict[str, Any] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceView:
    """A configured service."""

    name: str
    slots: int
    connections: int
    default_timeout_ms: int
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneView:
    """An availability zone."""

    name: str
    in_service: bool
    owners: int
    workers: int
    queued: int
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker in its owner's books."""

    worker_id: str
    state: str
    cores_free: int
    memory_free_mb: int
    accelerators_free: int
    tasks: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShardView:
    """An owned shard."""

    zone: str
    shard: int
    epoch: int
    queued: int
    running: int
    workers: tuple[WorkerView, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessView:
    """A gate or a scheduler; `configuration_version` is None if it did not answer."""

    process_id: str
    role: str
    zone: str
    configuration_version: int | None
    shards: tuple[ShardView, ...] = ()
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusView:
    """The system as one gate sees it."""

    process_id: str
    configuration_version: int
    zones: tuple[ZoneView, ...]
    processes: tuple[ProcessView, ...]
    refusals_by_reason: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSubmission:
    """What is submitted: one task, or an array of `count` like tasks."""

    team: str
    task_class: str = "default"
    cores: int = 1
    memory_mb: int = 1000
    accelerators: int = 0
    count: int = 1
    duration_ms: int = 1000
    idempotent: bool = True
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ArrayTaskView:
    """One task of an array."""

    task_id: str
    state: str
    worker_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskView:
    """A batch task or array."""

    task_id: str
    team: str
    state: str
    zone: str
    count: int
    tasks: tuple[ArrayTaskView, ...] = ()


def decode_view(cls: type[T], document: dict[str, Any]) -> T:
    """Decodes a flat document.

    Raises:
        TypeError: a field is missing.
    """
    names = {field.name for field in dataclasses.fields(cls)}  # type: ignore[arg-type]
    return cls(**{name: value for name, value in document.items() if name in names})


def decode_views(cls: type[T], documents: Iterable[dict[str, Any]]) -> tuple[T, ...]:
    """Decodes flat documents."""
    return tuple(decode_view(cls, document) for document in documents)


def task_from_document(document: dict[str, Any]) -> TaskView:
    """Decodes a task."""
    return decode_view(
        TaskView, document | {"tasks": decode_views(ArrayTaskView, document["tasks"])}
    )


def process_from_document(document: dict[str, Any]) -> ProcessView:
    """Decodes a process."""
    shards = tuple(
        decode_view(ShardView, shard | {"workers": decode_views(WorkerView, shard["workers"])})
        for shard in document["shards"]
    )
    return decode_view(ProcessView, document | {"shards": shards})


def status_from_document(document: dict[str, Any]) -> StatusView:
    """Decodes the status of the system."""
    processes = tuple(process_from_document(process) for process in document["processes"])
    zones = decode_views(ZoneView, document["zones"])
    return decode_view(StatusView, document | {"processes": processes, "zones": zones})
