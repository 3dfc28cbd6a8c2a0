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
    """Processors, memory and accelerators, declared or available."""

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
        """Tells whether these resources fit into `available`."""
        return (
            self.cores <= available.cores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """What a caller submits: one task, or an array of like tasks.

    Attributes:
        job_id: chosen by the caller; a resubmission of the same id is harmless.
        team: whose quota it counts against.
        task_class: tasks of one class are expected to behave alike.
        resources: declared size of each task.
        count: number of tasks.
        duration_ms: declared run time of each task.
        idempotent: whether a task may run again after a failure.
        urgent: whether it goes ahead of other work.
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
    """Where a task stands in the owner's books; the states of `charts/task.yaml`.

    A task is `lost` while an earlier owner may have started it on a worker that has not
    reported yet. It ends as `unknown` if it is non-idempotent and may have run in part.
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
        spec: the job that it belongs to.
        index: its place in the job.
        state: where it stands.
        worker_id: the worker that runs it or may still run it, empty if none.
        epoch: the owner that made the newest known attempt, 0 for none.
        attempt: grows with each start of one owner.
        checkpoint: where the next start resumes, empty for the beginning.
        has_intent: whether a start of a non-idempotent task may have been sent.
        detail: why it failed, empty if unknown.
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
    """Names one task of a job."""
    return f"{job_id}.{index}"


def digest_of(spec: JobSpec) -> str:
    """Returns a digest by which a resubmission with another body is told apart."""
    fields = repr(dataclasses.astuple(spec)).encode()
    return hashlib.blake2b(fields, digest_size=DIGEST_BYTES).hexdigest()
