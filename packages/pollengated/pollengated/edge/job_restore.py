"""Rebuilds the jobs of a shard from its records at a takeover."""

from pollengate.workflow.job_table import JobTable
from pollengate.workflow.keys import progress_key
from pollengate.workflow.records import StoredProgress, decode_job, decode_progress, restore
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
    encoded_progress_by_key = {entry.key: entry.value for entry in records.progress}
    for entry in records.jobs:
        _restore_job(shard, entry.value, encoded_progress_by_key, job_table, clocks, log)


def _restore_job(
    shard: int,
    value: bytes,
    encoded_progress_by_key: dict[str, bytes],
    job_table: JobTable,
    clocks: Clocks,
    log: Log,
) -> None:
    stored = decode_job(value)
    if isinstance(stored, Err):
        log.warning("job record is unreadable; ignoring the job", cause=stored.err_value)
        return
    job_id = stored.ok_value.job_id
    progress = _decode_progress(
        job_id, encoded_progress_by_key.get(progress_key(shard, job_id)), log
    )
    now = clocks.monotonic_s()
    job = restore(stored.ok_value, progress, now)
    if isinstance(job, Err):
        log.warning(
            "progress record does not match its job; restoring the job without it",
            job=job_id,
            cause=job.err_value,
        )
        job = restore(stored.ok_value, None, now)
    job_table.add(job.unwrap(), now, clocks.unix_ms())


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
