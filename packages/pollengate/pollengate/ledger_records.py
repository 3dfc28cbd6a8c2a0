"""The ledger's job records and segments, and their compact encoding."""

import base64
import dataclasses
import json
from collections.abc import Iterable, Sequence
from typing import Any

from pollengate.jobs import ENDED_STATES, JobSpec, Resources, Task, TaskState

__all__ = [
    "Checkpoint",
    "JobChange",
    "JobRecord",
    "decode_indices",
    "decode_record",
    "decode_segment",
    "encode_indices",
    "encode_record",
    "encode_segment",
]

BITMAP_PREFIX = "b"


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """The point from which a task resumes, and the attempt that saved it."""

    epoch: int
    attempt: int
    value: str


@dataclasses.dataclass(slots=True)
class JobChange:
    """Changes of a job since it was last recorded.

    Attributes:
        job_id: the job.
        ended_by_state: indices of tasks that have ended, by their final state.
        checkpoints_by_index: checkpoints saved, by index of the task.
        intents_by_index: for non-idempotent tasks, whether a start may have been sent.
        is_cancelled: whether the job was cancelled.
    """

    job_id: str
    ended_by_state: dict[TaskState, set[int]] = dataclasses.field(default_factory=dict)
    checkpoints_by_index: dict[int, Checkpoint] = dataclasses.field(default_factory=dict)
    intents_by_index: dict[int, bool] = dataclasses.field(default_factory=dict)
    is_cancelled: bool = False

    def record_task(self, task: Task) -> None:
        """Adds the end of a task or, if it has not ended, its checkpoint and its start intent."""
        if task.state in ENDED_STATES:
            self.ended_by_state.setdefault(task.state, set()).add(task.index)
            return
        if task.checkpoint:
            checkpoint = Checkpoint(task.epoch, task.attempt, task.checkpoint)
            self.checkpoints_by_index[task.index] = checkpoint
        if not task.spec.idempotent:
            self.intents_by_index[task.index] = task.has_intent

    def indices(self) -> set[int]:
        """Returns the indices of the tasks that changed."""
        changed = {*self.checkpoints_by_index, *self.intents_by_index}
        return changed.union(*self.ended_by_state.values())

    def merge(self, newer: "JobChange") -> None:
        """Merges a later change of the same job into this one."""
        for state, indices in newer.ended_by_state.items():
            self.ended_by_state.setdefault(state, set()).update(indices)
        self.checkpoints_by_index.update(newer.checkpoints_by_index)
        self.intents_by_index.update(newer.intents_by_index)
        self.is_cancelled |= newer.is_cancelled


@dataclasses.dataclass(slots=True)
class JobRecord:
    """The record of a job in the ledger.

    Attributes:
        spec: the submitted specification.
        sequence: number of the last segment whose changes the record includes.
        ended_by_state: indices of tasks that have ended, by their final state.
        checkpoints_by_index: checkpoints from which unfinished tasks resume, by index.
        intents: indices of unfinished non-idempotent tasks whose start may have been sent.
        is_cancelled: whether the job was cancelled.
    """

    spec: JobSpec
    sequence: int = 0
    ended_by_state: dict[TaskState, set[int]] = dataclasses.field(default_factory=dict)
    checkpoints_by_index: dict[int, Checkpoint] = dataclasses.field(default_factory=dict)
    intents: set[int] = dataclasses.field(default_factory=set)
    is_cancelled: bool = False

    def apply(self, change: JobChange) -> None:
        """Applies a later change to the record."""
        for state, indices in change.ended_by_state.items():
            self.ended_by_state.setdefault(state, set()).update(indices)
        self.checkpoints_by_index.update(change.checkpoints_by_index)
        for index, is_set in change.intents_by_index.items():
            if is_set:
                self.intents.add(index)
            else:
                self.intents.discard(index)
        self.is_cancelled |= change.is_cancelled


def encode_indices(indices: Iterable[int]) -> str:
    """Encodes task indices as ranges or as a bitmap, whichever is shorter."""
    ordered = sorted(indices)
    ranges: list[str] = []
    start = previous = -1
    for index in [*ordered, None]:
        if index is not None and index == previous + 1 and start >= 0:
            previous = index
            continue
        if start >= 0:
            ranges.append(str(start) if start == previous else f"{start}-{previous}")
        if index is not None:
            start = previous = index
    text = ",".join(ranges)
    if not ordered or len(text) <= 2 + (ordered[-1] // 8 + 1) * 4 // 3:
        return text
    bits = bytearray(ordered[-1] // 8 + 1)
    for index in ordered:
        bits[index // 8] |= 1 << index % 8
    return BITMAP_PREFIX + base64.b64encode(bytes(bits)).decode()


def decode_indices(text: str) -> set[int]:
    """Decodes task indices encoded by `encode_indices`."""
    if text.startswith(BITMAP_PREFIX):
        bits = base64.b64decode(text[len(BITMAP_PREFIX) :])
        return {8 * i + b for i, byte in enumerate(bits) for b in range(8) if byte >> b & 1}
    indices: set[int] = set()
    for part in text.split(",") if text else ():
        first, _, last = part.partition("-")
        indices.update(range(int(first), int(last or first) + 1))
    return indices


def encode_record(record: JobRecord) -> bytes:
    """Encodes a job record."""
    document: dict[str, Any] = {
        "spec": dataclasses.asdict(record.spec),
        "seq": record.sequence,
        "ended": _encode_ended(record.ended_by_state),
    }
    if record.checkpoints_by_index:
        document["checkpoints"] = _encode_checkpoints(record.checkpoints_by_index)
    if record.intents:
        document["intents"] = encode_indices(record.intents)
    if record.is_cancelled:
        document["cancelled"] = True
    return _to_json(document)


def decode_record(value: bytes) -> JobRecord:
    """Decodes a job record."""
    document = json.loads(value)
    fields = document["spec"]
    resources = Resources(**fields.pop("resources"))
    return JobRecord(
        JobSpec(resources=resources, **fields),
        document["seq"],
        _decode_ended(document["ended"]),
        _decode_checkpoints(document.get("checkpoints", {})),
        decode_indices(document.get("intents", "")),
        document.get("cancelled", False),
    )


def encode_segment(changes: Sequence[JobChange]) -> bytes:
    """Encodes a segment, which holds changes of several jobs."""
    return _to_json([_encode_change(change) for change in changes])


def decode_segment(value: bytes) -> list[JobChange]:
    """Decodes a segment into changes of several jobs."""
    return [_decode_change(document) for document in json.loads(value)]


def _encode_change(change: JobChange) -> dict[str, Any]:
    document: dict[str, Any] = {"id": change.job_id}
    if change.ended_by_state:
        document["ended"] = _encode_ended(change.ended_by_state)
    if change.checkpoints_by_index:
        document["checkpoints"] = _encode_checkpoints(change.checkpoints_by_index)
    started = {index for index, is_set in change.intents_by_index.items() if is_set}
    if started:
        document["intents"] = encode_indices(started)
    if len(started) < len(change.intents_by_index):
        document["cleared"] = encode_indices(change.intents_by_index.keys() - started)
    if change.is_cancelled:
        document["cancelled"] = True
    return document


def _decode_change(document: dict[str, Any]) -> JobChange:
    intents = dict.fromkeys(decode_indices(document.get("intents", "")), True)
    intents |= dict.fromkeys(decode_indices(document.get("cleared", "")), False)
    return JobChange(
        document["id"],
        _decode_ended(document.get("ended", {})),
        _decode_checkpoints(document.get("checkpoints", {})),
        intents,
        document.get("cancelled", False),
    )


def _encode_ended(ended: dict[TaskState, set[int]]) -> dict[str, str]:
    return {state.value: encode_indices(indices) for state, indices in ended.items()}


def _decode_ended(document: dict[str, str]) -> dict[TaskState, set[int]]:
    return {TaskState(state): decode_indices(text) for state, text in document.items()}


def _encode_checkpoints(checkpoints: dict[int, Checkpoint]) -> dict[str, list[Any]]:
    return {str(i): [c.epoch, c.attempt, c.value] for i, c in checkpoints.items()}


def _decode_checkpoints(document: dict[str, list[Any]]) -> dict[int, Checkpoint]:
    return {int(i): Checkpoint(*fields) for i, fields in document.items()}


def _to_json(document: Any) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
