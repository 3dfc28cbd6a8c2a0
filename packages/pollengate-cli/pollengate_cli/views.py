"""Data classes for the responses of gates; fields unknown to this version are dropped."""

import dataclasses
from collections.abc import Iterable
from typing import Any, TypeVar

__all__ = [
    "AcceptedPatchView",
    "ConfigurationView",
    "ExplanationView",
    "HistoryEntryView",
    "ProcessView",
    "ServiceView",
    "StatusView",
    "StepExplanationView",
    "ArrayTaskView",
    "TaskSubmission",
    "TaskView",
    "ZoneView",
    "process_from_document",
    "explanation_from_document",
    "status_from_document",
    "task_from_document",
    "decode_view",
    "decode_views",
]

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationView:
    """One version of the configuration, with its document."""

    version: int
    configuration: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedPatchView:
    """An accepted patch: the version it created and the key to repeat it with."""

    version: int
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntryView:
    """An accepted patch in the history; `patch` is None if it was too long to keep."""

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
    """An availability zone with its numbers of owners, workers and tasks."""

    name: str
    in_service: bool
    owners: int
    workers: int
    queued: int
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker as recorded by the owner of its shard."""

    worker_id: str
    state: str
    cores_free: int
    memory_free_mb: int
    accelerators_free: int
    tasks: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShardView:
    """A shard and the state that its owner reports."""

    zone: str
    shard: int
    epoch: int
    queued: int
    running: int
    workers: tuple[WorkerView, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessView:
    """A gate or a scheduler; `configuration_version` is None if it did not respond."""

    process_id: str
    role: str
    zone: str
    configuration_version: int | None
    shards: tuple[ShardView, ...] = ()
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusView:
    """Status of the whole system, as seen by one gate."""

    process_id: str
    configuration_version: int
    zones: tuple[ZoneView, ...]
    processes: tuple[ProcessView, ...]
    refusals_by_reason: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSubmission:
    """The body of a submission: one task, or an array of `count` identical tasks."""

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
    """A batch task or an array of them."""

    task_id: str
    team: str
    state: str
    zone: str
    count: int
    tasks: tuple[ArrayTaskView, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StepExplanationView:
    """State of a step of a job and, if it waits, where its next task would go."""

    occurrence: int
    step: int
    state: str
    tasks: int
    waiting: int
    done: int
    place: int | None
    tasks_ahead: int
    cause: str | None
    worker: str | None
    is_last_resort: bool
    workers: int
    suitable: int
    fitting_tasks: int
    against: dict[str, int]
    delegated: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobExplanationView:
    """A job with its steps; `job` and `state` are None if it was never submitted."""

    job: str | None
    queue: str
    account: str
    state: str | None
    occurrences: int
    due_occurrences: int
    waiting_steps: int
    waiting_tasks: int
    steps: tuple[StepExplanationView, ...]
    omitted_steps: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerAgeView:
    """A worker and the age of its newest report, None before its first report."""

    worker: str
    zone: str
    report_age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalView:
    """The refusal that a submission would get."""

    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExplanationView:
    """Where a job would go now and why, as the owner of its shard sees it."""

    shard: int
    shards: int
    owner: str
    is_owner: bool
    configuration_version: int
    configuration_age_s: float | None
    refusal: RefusalView | None
    job: JobExplanationView
    workers: tuple[WorkerAgeView, ...]


def decode_view(cls: type[T], document: dict[str, Any]) -> T:
    """Decodes a document without nested views; unknown fields are dropped.

    Raises:
        TypeError: a required field is missing.
    """
    names = {field.name for field in dataclasses.fields(cls)}  # type: ignore[arg-type]
    return cls(**{name: value for name, value in document.items() if name in names})


def decode_views(cls: type[T], documents: Iterable[dict[str, Any]]) -> tuple[T, ...]:
    """Decodes documents without nested views."""
    return tuple(decode_view(cls, document) for document in documents)


def task_from_document(document: dict[str, Any]) -> TaskView:
    """Decodes a batch task or array with its tasks."""
    return decode_view(
        TaskView, document | {"tasks": decode_views(ArrayTaskView, document["tasks"])}
    )


def process_from_document(document: dict[str, Any]) -> ProcessView:
    """Decodes a process with its shards and their workers."""
    shards = tuple(
        decode_view(ShardView, shard | {"workers": decode_views(WorkerView, shard["workers"])})
        for shard in document["shards"]
    )
    return decode_view(ProcessView, document | {"shards": shards})


def status_from_document(document: dict[str, Any]) -> StatusView:
    """Decodes the status of the system with its zones and processes."""
    processes = tuple(process_from_document(process) for process in document["processes"])
    zones = decode_views(ZoneView, document["zones"])
    return decode_view(StatusView, document | {"processes": processes, "zones": zones})


def explanation_from_document(document: dict[str, Any]) -> ExplanationView:
    """Decodes an explanation with its job, steps and workers."""
    job = document["job"]
    refusal = document["refusal"]
    nested = {
        "job": decode_view(
            JobExplanationView, job | {"steps": decode_views(StepExplanationView, job["steps"])}
        ),
        "refusal": refusal and decode_view(RefusalView, refusal),
        "workers": decode_views(WorkerAgeView, document["workers"]),
    }
    return decode_view(ExplanationView, document | nested)
