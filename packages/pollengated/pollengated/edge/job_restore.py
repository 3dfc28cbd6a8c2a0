"""Rebuilds the jobs of a shard from its records at a takeover."""

from collections.abc import Iterable

from pollengate.workflow.job_table import JobTable
from pollengate.workflow.keys import progress_key, progress_prefix
from pollengate.workflow.records import (
    StoredPart,
    StoredProgress,
    decode_job,
    decode_part,
    decode_progress,
    restore,
)
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.edge.shard_records import ShardRecords
from pollengated.logs import Log

__all__ = ["restore_jobs"]


def restore_jobs(shard: int, records: ShardRecords, job_table: JobTable, clocks: Clocks) -> None:
    """Adds the jobs of a shard's records to its job table; skips unreadable ones.

    Args:
        shard: number of the shard.
        records: the shard's records.
        job_table: the table without jobs.
        clocks: the process's clocks.
    """
    log = Log("owner")
    encoded_by_key = {entry.key: entry.value for entry in records.progress}
    part_keys_by_progress_key: dict[str, list[str]] = {}
    for key in encoded_by_key:
        progress, separator, _ = key.removeprefix(progress_prefix(shard)).partition("/")
        if separator:
            key_of_job = progress_key(shard, progress)
            part_keys_by_progress_key.setdefault(key_of_job, []).append(key)
    for entry in records.jobs:
        _restore_job(
            shard, entry.value, encoded_by_key, part_keys_by_progress_key, job_table, clocks, log
        )


def _restore_job(
    shard: int,
    value: bytes,
    encoded_by_key: dict[str, bytes],
    part_keys_by_progress_key: dict[str, list[str]],
    job_table: JobTable,
    clocks: Clocks,
    log: Log,
) -> None:
    stored = decode_job(value)
    if isinstance(stored, Err):
        log.warning("job record is unreadable; ignoring the job", cause=stored.err_value)
        return
    job_id = stored.ok_value.job_id
    key = progress_key(shard, job_id)
    progress = _decode_progress(job_id, encoded_by_key.get(key), log)
    parts = _decode_parts(job_id, part_keys_by_progress_key.get(key, ()), encoded_by_key, log)
    now = clocks.monotonic_s()
    job = restore(stored.ok_value, progress, now, parts)
    if isinstance(job, Err):
        log.warning(
            "progress record does not match its job; restoring the job without it",
            job=job_id,
            cause=job.err_value,
        )
        job = restore(stored.ok_value, None, now)
    job_table.add(job.unwrap(), now, clocks.unix_ms())


def _decode_parts(
    job_id: str, keys: Iterable[str], encoded_by_key: dict[str, bytes], log: Log
) -> dict[int, StoredPart]:
    parts_by_number = {}
    for key in keys:
        number = key.rpartition("/")[2]
        decoded = decode_part(encoded_by_key[key])
        if isinstance(decoded, Err):
            log.warning(
                "progress of some tasks is unreadable; restoring the job without it",
                job=job_id,
                part=number,
                cause=decoded.err_value,
            )
        elif number.isdecimal():
            parts_by_number[int(number)] = decoded.ok_value
    return parts_by_number


def _decode_progress(job_id: str, encoded: bytes | None, log: Log) -> StoredProgress | None:
    if encoded is None:
        return None
    decoded = decode_progress(encoded)
    if isinstance(decoded, Err):
        log.warning(
            "progress record is unreadable; restoring the job without it",
            job=job_id,
            cause=decoded.err_value,
        )
        return None
    return decoded.ok_value
