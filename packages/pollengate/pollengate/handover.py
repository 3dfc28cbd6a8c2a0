"""Handover: what a stopping owner knew to run where, for its successor."""

import dataclasses
import json

__all__ = ["Assignment", "decode_handover", "encode_handover"]


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A task that runs on a worker or may run there."""

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
