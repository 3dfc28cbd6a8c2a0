"""Jobs and their tasks."""

import dataclasses
import enum

__all__ = ["JobSpec", "Resources", "Task", "TaskState", "task_id_of"]


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
    """Where a task stands in the owner's books."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    LOST = "lost"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True)
class Task:
    """One task of a job.

    Attributes:
        task_id: `<job_id>.<index>`.
        spec: the job that it belongs to.
        state: where it stands.
        worker_id: the worker that runs it or may still run it, empty if none.
        attempt: grows with each start; a worker refuses a lower one.
        checkpoint: where the next start resumes, empty for the beginning.
    """

    task_id: str
    spec: JobSpec
    state: TaskState = TaskState.QUEUED
    worker_id: str = ""
    attempt: int = 0
    checkpoint: str = ""


def task_id_of(job_id: str, index: int) -> str:
    """Names one task of a job."""
    return f"{job_id}.{index}"
