"""Encoding of jobs and their progress as records in the store."""

import dataclasses
import re

import msgspec
from result import Err, Ok, Result

from pollengate.decoding import Amount, DocumentDecoder
from pollengate.workflow.model import Workflow
from pollengate.workflow.progress import JobProgress, JobState, Occurrence, TaskProgress
from pollengate.workflow.validation import find_fault

__all__ = ["StoredJob", "StoredProgress", "decode_job", "decode_progress", "encode_job"]
__all__ += ["encode_progress", "restore"]


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
class StoredProgress:
    """Progress record of a job."""

    state: JobState
    finished_ms: Amount
    due_count: Amount
    occurrences: dict[int, StoredOccurrence]


_HEXADECIMAL = re.compile("[0-9a-f]+")
_JOB_DECODER = DocumentDecoder(StoredJob)
_PROGRESS_DECODER = DocumentDecoder(StoredProgress)


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
        if job.is_ended
        else {
            number: _store_occurrence(occurrence)
            for number, occurrence in job.occurrences_by_number.items()
        }
    )
    stored = StoredProgress(job.state, job.finished_ms, job.due_count, occurrences)
    return msgspec.json.encode(stored)


def decode_progress(value: bytes) -> Result[StoredProgress, str]:
    """Decodes a progress record; the error is the decoder's message."""
    return _PROGRESS_DECODER.decode(value)


def restore(
    stored: StoredJob, progress: StoredProgress | None, now: float
) -> Result[JobProgress, str]:
    """Rebuilds a job from its records.

    Args:
        stored: the job's record.
        progress: its progress record, None if there is none.
        now: clock time.

    Returns:
        The job, or a message that says why the progress record does not belong to it.
    """
    job = JobProgress(stored.job_id, stored.queue, stored.workflow, stored.accepted_ms, now)
    job.is_restored = True
    job.account = stored.account
    job.delegated_by = stored.delegated_by
    job.run_number_offset = stored.run_number_offset
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
    return Ok(job)


def _store_occurrence(occurrence: Occurrence) -> StoredOccurrence:
    stored = StoredOccurrence([])
    for step in occurrence.steps:
        bits = 0
        for task in step.tasks:
            if task.is_done:
                bits |= 1 << task.index
            else:
                _store_task(stored, task)
        stored.done.append(f"{bits:x}")
    return stored


def _store_task(stored: StoredOccurrence, task: TaskProgress) -> None:
    key = _task_key(task)
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
        for task in step.tasks:
            key = _task_key(task)
            task.is_done = bool(bits >> task.index & 1)
            task.failed_runs = set(saved.failed_runs.get(key, ()))
            task.last_run = saved.runs.get(key, 0)
            task.has_run = task.last_run > 0 and key not in refused
            task.checkpoint = saved.checkpoints.get(key, "")
            task.crashes = saved.crashes.get(key, 0)
        step.done = sum(task.is_done for task in step.tasks)


def _task_key(task: TaskProgress) -> str:
    return f"{task.step.number}.{task.index}"
