"""Jobs and their tasks."""

import dataclasses
import enum
import hashlib

__all__ = [
    "ENDED_STATES",
    "JobSpec",
    "ON_WORKER_STATES",
    "Resources",
    "Task",
    "TaskState",
    "digest_of",
    "task_id_of",
]

DIGEST_BYTES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Processor cores, memory and accelerators that are declared or available."""

    cores: int
    memory_mb: int
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: "Resources") -> bool:
        """Whether these resources fit into `available`."""
        return (
            self.cores <= available.cores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted by a caller: one task or an array of identical tasks.

    Attributes:
        job_id: identifier chosen by the caller; a resubmission under the same id has no effect.
        team: the team whose quota the job counts against.
        task_class: tasks of one class are expected to have similar run times and resource use.
        resources: declared resources of each task.
        count: number of tasks.
        duration_ms: declared run time of each task.
        idempotent: whether a task may run again after a failure.
        urgent: whether the job is scheduled ahead of jobs that are not urgent.
    """

    job_id: str
    team: str
    task_class: str
    resources: Resources
    count: int = 1
    duration_ms: int = 1000
    idempotent: bool = True
    urgent: bool = False


class TaskState(enum.StrEnum):
    """State of a task as its shard's owner knows it; the states of `charts/task.yaml`.

    A task is `lost` while an earlier owner may have started it on a worker that has not
    reported yet. A non-idempotent task that may have run in part ends as `unknown`.
    """

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    EVICTING = "evicting"
    STOPPING = "stopping"
    LOST = "lost"
    FINISHED = "finished"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


ENDED_STATES = frozenset(
    {TaskState.FINISHED, TaskState.FAILED, TaskState.UNKNOWN, TaskState.CANCELLED}
)
ON_WORKER_STATES = frozenset(
    {TaskState.STARTING, TaskState.RUNNING, TaskState.EVICTING, TaskState.STOPPING}
)


@dataclasses.dataclass(slots=True)
class Task:
    """One task of a job.

    Attributes:
        task_id: `<job_id>.<index>`.
        spec: the job that the task belongs to.
        index: index of the task in its job.
        state: current state.
        worker_id: the worker that runs or may still run the task, empty if none.
        epoch: epoch of the owner that made the newest known attempt, 0 for none.
        attempt: number of the newest attempt; each owner counts its own from 1.
        checkpoint: where the next start resumes, empty to start from the beginning.
        has_intent: whether a start order for this non-idempotent task may have been sent.
        detail: why the task failed, empty if unknown.
    """

    task_id: str
    spec: JobSpec
    index: int = 0
    state: TaskState = TaskState.QUEUED
    worker_id: str = ""
    epoch: int = 0
    attempt: int = 0
    checkpoint: str = ""
    has_intent: bool = False
    detail: str = ""


def task_id_of(job_id: str, index: int) -> str:
    """Returns the identifier of one task of a job."""
    return f"{job_id}.{index}"


def digest_of(spec: JobSpec) -> str:
    """Returns a digest of a job, to detect a resubmission whose content differs."""
    fields = repr(dataclasses.astuple(spec)).encode()
    return hashlib.blake2b(fields, digest_size=DIGEST_BYTES).hexdigest()
