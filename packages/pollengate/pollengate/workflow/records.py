"""Encoding of jobs and their progress as records in the store."""

import dataclasses
import re
from collections.abc import Mapping

import msgspec
from result import Err, Ok, Result

from pollengate.decoding import Amount, DocumentDecoder, Quantity
from pollengate.workflow.model import AdviceTiming, Queue, Workflow
from pollengate.workflow.progress import (
    TASKS_PER_RECORD,
    JobProgress,
    JobState,
    Occurrence,
    StepProgress,
    TaskProgress,
)
from pollengate.workflow.validation import find_fault

__all__ = [
    "StoredJob",
    "StoredPart",
    "StoredProgress",
    "decode_job",
    "decode_part",
    "decode_progress",
    "encode_job",
    "encode_part",
    "encode_progress",
    "restore",
]


class StoredQueue(msgspec.Struct, frozen=True, omit_defaults=True):
    """What scheduling needs of a queue that may have been removed; see `Queue`."""

    service: str
    priority: Amount = 0
    max_attempts: Amount = 1
    stretch: Quantity = 1.0
    target_ms: Amount = 0
    advice: AdviceTiming | None = None

    @classmethod
    def of(cls, queue: Queue) -> "StoredQueue":
        """Returns the record of a queue."""
        return cls(
            queue.service,
            queue.priority,
            queue.max_attempts,
            queue.stretch,
            queue.target_ms,
            queue.advice,
        )

    def restore(self, name: str) -> Queue:
        """Returns the queue, to which no request leads."""
        return Queue(
            name,
            host="",
            prefix="",
            service=self.service,
            priority=self.priority,
            max_attempts=self.max_attempts,
            stretch=self.stretch,
            target_ms=self.target_ms,
            advice=self.advice,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJob:
    """Record of a job as accepted; it never changes."""

    job_id: str
    queue: str
    accepted_ms: Amount
    workflow: Workflow
    account: str = ""
    delegated_by: Amount | None = None
    run_number_offset: Amount = 0
    queue_settings: StoredQueue | None = None


@dataclasses.dataclass(slots=True)
class StoredOccurrence:
    """Progress of one occurrence.

    Attributes:
        done: a bit set of the completed tasks of each step, in hexadecimal.
        failed_runs: numbers of the failed runs by task; the key is `step.index`.
        runs: highest run number by task, unless it is 0.
        checkpoints: newest checkpoint by task, if there is one.
        crashes: number of workers that crashed under a task, unless it is 0.
        refused: tasks in `runs` of which no run has started.
    """

    done: list[str]
    failed_runs: dict[str, list[Amount]] = dataclasses.field(default_factory=dict)
    runs: dict[str, Amount] = dataclasses.field(default_factory=dict)
    checkpoints: dict[str, str] = dataclasses.field(default_factory=dict)
    crashes: dict[str, Amount] = dataclasses.field(default_factory=dict)
    refused: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class StoredPart:
    """Progress of consecutive tasks of a job with more than `TASKS_PER_RECORD`.

    Attributes:
        done: a bit set of the completed tasks, in hexadecimal, by their numbers in the record.
        tasks: progress of the others, as far as they have any, by the same numbers.
    """

    done: str
    tasks: dict[int, "StoredTask"] = dataclasses.field(default_factory=dict)


class StoredTask(msgspec.Struct, omit_defaults=True):
    """Progress of a task; the attributes are those of `TaskProgress`."""

    last_run: Amount = 0
    has_run: bool = False
    failed_runs: list[Amount] = []
    checkpoint: str = ""
    crashes: Amount = 0


@dataclasses.dataclass(slots=True)
class StoredProgress:
    """Progress record of a job; one whose tasks have records of their own has no occurrences."""

    state: JobState
    finished_ms: Amount
    due_count: Amount
    occurrences: dict[int, StoredOccurrence]


_HEXADECIMAL = re.compile("[0-9a-f]+")
_JOB_DECODER = DocumentDecoder(StoredJob)
_PROGRESS_DECODER = DocumentDecoder(StoredProgress)
_PART_DECODER = DocumentDecoder(StoredPart)


def encode_job(job: JobProgress) -> bytes:
    """Encodes the unchanging part of a job."""
    stored = StoredJob(
        job.job_id,
        job.queue_name,
        job.accepted_ms,
        job.workflow,
        job.account,
        job.delegated_by,
        job.run_number_offset,
        None if job.queue is None else StoredQueue.of(job.queue),
    )
    return msgspec.json.encode(stored)


def decode_job(value: bytes) -> Result[StoredJob, str]:
    """Decodes a job's record; the error says why the job cannot be scheduled."""
    decoded = _JOB_DECODER.decode(value)
    fault = None if isinstance(decoded, Err) else find_fault(decoded.ok_value.workflow)
    return decoded if fault is None else Err(fault)


def encode_progress(job: JobProgress) -> bytes:
    """Encodes a job's progress; the record of an ended job has no tasks."""
    occurrences = (
        {}
        if job.is_ended or job.has_parts
        else {
            number: _store_occurrence(occurrence)
            for number, occurrence in job.occurrences_by_number.items()
        }
    )
    stored = StoredProgress(job.state, job.finished_ms, job.due_count, occurrences)
    return msgspec.json.encode(stored)


def encode_part(job: JobProgress, part: int) -> bytes:
    """Encodes the progress of the tasks in one record of a job; see `TASKS_PER_RECORD`."""
    stored = StoredPart("")
    done = 0
    first, size = part * TASKS_PER_RECORD, job.tasks_per_occurrence
    for occurrence in range(first // size, (first + TASKS_PER_RECORD - 1) // size + 1):
        if occurrence in job.completed_occurrences:
            begin, end = occurrence * size - first, (occurrence + 1) * size - first
            done |= _bits(max(0, begin), min(end, TASKS_PER_RECORD))
    for number, step, indexes in job.tasks_of_part(part):
        wanted = _bits(0, len(indexes))
        done |= (step.tasks.done_bits() >> indexes.start & wanted) << number
        for task in step.tasks.kept_between(indexes.start, indexes.stop):
            if not task.is_done and (
                task.last_run or task.failed_runs or task.checkpoint or task.crashes
            ):
                stored.tasks[number + task.index - indexes.start] = StoredTask(
                    task.last_run,
                    task.has_run or bool(task.runs_by_number),
                    sorted(task.failed_runs),
                    task.checkpoint,
                    task.crashes,
                )
    stored.done = f"{done:x}"
    return msgspec.json.encode(stored)


def decode_part(value: bytes) -> Result[StoredPart, str]:
    """Decodes the progress of some of a job's tasks; the error says what is wrong."""
    decoded = _PART_DECODER.decode(value)
    if not isinstance(decoded, Err) and not _HEXADECIMAL.fullmatch(decoded.ok_value.done):
        return Err("the completed tasks are no hexadecimal number")
    return decoded


def decode_progress(value: bytes) -> Result[StoredProgress, str]:
    """Decodes a progress record; the error is the decoder's message."""
    return _PROGRESS_DECODER.decode(value)


def restore(
    stored: StoredJob,
    progress: StoredProgress | None,
    now: float,
    parts_by_number: Mapping[int, StoredPart] | None = None,
) -> Result[JobProgress, str]:
    """Rebuilds a job from its records.

    Args:
        stored: the job's record.
        progress: its progress record, None if there is none.
        now: clock time.
        parts_by_number: the records of its tasks, if they have records of their own.

    Returns:
        The job, or a message that says why the progress record does not belong to it.
    """
    job = JobProgress(stored.job_id, stored.queue, stored.workflow, stored.accepted_ms, now)
    job.is_restored = True
    job.account = stored.account
    if stored.queue_settings is not None:
        job.queue = stored.queue_settings.restore(stored.queue)
    job.delegated_by = stored.delegated_by
    job.run_number_offset = stored.run_number_offset
    parts_by_number = parts_by_number or {}
    job.stored_parts.update(parts_by_number)
    if progress is None:
        return Ok(job)
    job.state = job.visible_state = progress.state
    job.finished_ms = progress.finished_ms
    if job.is_ended:
        return Ok(job)
    for number, saved in sorted(progress.occurrences.items()):
        if not _matches(stored.workflow, number, saved):
            return Err(f"occurrence {number} does not match the job")
        _restore_occurrence(job.open_occurrence(number), saved)
    job.due_count = min(max(job.due_count, progress.due_count), job.occurrence_count)
    if job.has_parts and not progress.occurrences:
        _restore_parts(job, parts_by_number)
    else:
        # The record is of a version that knew no parts; the next one has none of its tasks.
        job.mark_all_changed()
        job.completed_occurrences.update(range(job.due_count))
        job.completed_occurrences.difference_update(job.occurrences_by_number)
    return Ok(job)


def _restore_parts(job: JobProgress, parts_by_number: Mapping[int, StoredPart]) -> None:
    """Opens the occurrences that are due, also those without any progress, and applies records."""
    for number in range(job.due_count):
        job.open_occurrence(number)
    for part_number, part in parts_by_number.items():
        done = int(part.done, 16)
        for first, step, indexes in job.tasks_of_part(part_number):
            for index in indexes:
                number = first + index - indexes.start
                if done >> number & 1:
                    step.tasks.mark_done(index)
                elif number in part.tasks:
                    _restore_task(step.tasks[index], part.tasks[number])
    for occurrence in list(job.occurrences_by_number.values()):
        _count_complete(occurrence)


def _restore_task(task: TaskProgress, saved: StoredTask) -> None:
    task.failed_runs = set(saved.failed_runs)
    task.last_run = saved.last_run
    task.has_run = saved.has_run
    if saved.checkpoint:
        task.keep_checkpoint(saved.checkpoint)
    task.crashes = saved.crashes


def _count_complete(occurrence: Occurrence) -> None:
    """Counts the tasks and steps of a restored occurrence that are done."""
    for step in occurrence.steps:
        step.done = step.tasks.done_bits().bit_count()
        occurrence.job.incomplete_steps -= step.is_complete
    occurrence.job.forget_complete(occurrence)


def _bits(begin: int, end: int) -> int:
    """Returns a bit set of the numbers from `begin` up to, but without, `end`."""
    return (1 << end) - (1 << begin)


def _store_occurrence(occurrence: Occurrence) -> StoredOccurrence:
    stored = StoredOccurrence([])
    for step in occurrence.steps:
        for task in step.tasks.kept():
            if not task.is_done:
                _store_task(stored, task)
        stored.done.append(f"{step.tasks.done_bits():x}")
    return stored


def _store_task(stored: StoredOccurrence, task: TaskProgress) -> None:
    key = _task_key(task.step, task.index)
    if task.failed_runs:
        stored.failed_runs[key] = sorted(task.failed_runs)
    if task.last_run:
        stored.runs[key] = task.last_run
        if not task.has_run and not task.runs_by_number:
            stored.refused.append(key)
    if task.checkpoint:
        stored.checkpoints[key] = task.checkpoint
    if task.crashes:
        stored.crashes[key] = task.crashes


def _matches(workflow: Workflow, number: int, saved: StoredOccurrence) -> bool:
    return (
        0 <= number < max(1, workflow.repeat_count)
        and len(saved.done) == len(workflow.steps)
        and all(_HEXADECIMAL.fullmatch(digits) for digits in saved.done)
    )


def _restore_occurrence(occurrence: Occurrence, saved: StoredOccurrence) -> None:
    refused = frozenset(saved.refused)
    for step, digits in zip(occurrence.steps, saved.done, strict=True):
        bits = int(digits, 16)
        for index in range(step.spec.count):
            key = _task_key(step, index)
            if bits >> index & 1:
                step.tasks.mark_done(index)
            elif any(
                key in f for f in (saved.failed_runs, saved.runs, saved.checkpoints, saved.crashes)
            ):
                task = step.tasks[index]
                task.failed_runs = set(saved.failed_runs.get(key, ()))
                task.last_run = saved.runs.get(key, 0)
                task.has_run = task.last_run > 0 and key not in refused
                if checkpoint := saved.checkpoints.get(key):
                    task.keep_checkpoint(checkpoint)
                task.crashes = saved.crashes.get(key, 0)
    _count_complete(occurrence)


def _task_key(step: StepProgress, index: int) -> str:
    return f"{step.number}.{index}"
