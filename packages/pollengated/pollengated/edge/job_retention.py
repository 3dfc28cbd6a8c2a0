"""Removes jobs that ended long ago."""

from pollengate.workflow.job_table import JobTable
from pollengate.workflow.keys import (
    job_key,
    placement_key,
    progress_key,
    progress_part_key,
    shard_of_job,
)

from pollengated.edge.committer import Committer, RecordRemoval

__all__ = ["JobRetention"]

# Added to the time for which clients may request the state of an ended job.
RETENTION_MARGIN_S = 5.0


class JobRetention:
    """Removes ended jobs whose retention period has passed, and their records.

    The period begins anew at a takeover: times of day differ between processes and may jump.

    Args:
        shard: number of the shard.
        shards: number of shards of the deployment.
        job_table: jobs of the shard.
        committer: removes the records.
        status_s: time for which clients may request the state of an ended job.
    """

    def __init__(
        self, shard: int, shards: int, job_table: JobTable, committer: Committer, status_s: float
    ) -> None:
        self._shard = shard
        self._shards = shards
        self._job_table = job_table
        self._committer = committer
        self._keep_s = status_s + RETENTION_MARGIN_S
        self._ended_since_by_job_id: dict[str, float] = {}

    def update(self, now: float) -> None:
        """Removes the jobs whose period has passed."""
        ended = [job_id for job_id, job in self._job_table.jobs_by_id.items() if job.is_ended]
        for job_id in ended:
            if now - self._ended_since_by_job_id.setdefault(job_id, now) > self._keep_s:
                job = self._job_table.jobs_by_id.pop(job_id)
                del self._ended_since_by_job_id[job_id]
                self._committer.add(RecordRemoval(job_key(self._shard, job_id)))
                self._committer.add(RecordRemoval(progress_key(self._shard, job_id)))
                for part in sorted(job.stored_parts):
                    self._committer.add(RecordRemoval(progress_part_key(self._shard, job_id, part)))
                home_shard = job.delegated_by
                if home_shard is None:
                    home_shard = shard_of_job(job_id, self._shards)
                if home_shard != self._shard:
                    self._committer.add(RecordRemoval(placement_key(home_shard, job_id)))
