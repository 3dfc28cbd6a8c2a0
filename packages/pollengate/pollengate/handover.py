"""The handover record, in which a stopping owner lists its running tasks for its successor."""

import dataclasses
import json

__all__ = ["Assignment", "decode_handover", "encode_handover"]


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A task that runs or may run on a worker.

    Attributes:
        task_id: the task.
        worker_id: the worker.
        epoch: epoch of the owner that started the attempt.
        attempt: number of the attempt within that epoch.
    """

    task_id: str
    worker_id: str
    epoch: int
    attempt: int


def encode_handover(assignments: list[Assignment]) -> bytes:
    """Encodes the assignments of a shard, grouped by worker."""
    by_worker: dict[str, list[tuple[str, int, int]]] = {}
    for assignment in assignments:
        entry = (assignment.task_id, assignment.epoch, assignment.attempt)
        by_worker.setdefault(assignment.worker_id, []).append(entry)
    return json.dumps(by_worker, separators=(",", ":")).encode()


def decode_handover(value: bytes) -> list[Assignment]:
    """Decodes the assignments of a shard."""
    return [
        Assignment(task_id, worker_id, epoch, attempt)
        for worker_id, entries in json.loads(value).items()
        for task_id, epoch, attempt in entries
    ]
