"""Bounds the memory that the accepted jobs of a shard take.

A job stays accepted until it has ended, and each process that acquires its shard has to load it. So
a shard holds no more than its part of what one process may use for all shards together: then each
process can take over any shard, beside those that it owns. Jobs that would exceed it are rejected
before they are stored.
"""

from collections.abc import Iterable

from pollengate.workflow.job_service import NotAccepted
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Workflow
from pollengate.workflow.progress import JobProgress

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.logs import Log
from pollengated.request_limits import BYTES_PER_MB

__all__ = ["AcceptedWork", "max_accepted_bytes", "memory_bytes"]

# A takeover holds the records of a shard as text, as values and as jobs at the same time.
ACCEPTED_MEMORY_DIVISOR = 8
JOB_BYTES = 2_000
STEP_BYTES = 1_500
# A task without progress is a flag in its step's queue and a bit in the set of those that are done.
TASKS_PER_BYTE = 0.8
REFRESH_S = 0.5
# Jobs of some seconds end in about this time.
RETRY_AFTER_S = 5.0
LOG_INTERVAL_S = 10.0


def max_accepted_bytes(memory_mb: int, shards: int) -> int:
    """Returns the bytes that the accepted jobs of one shard may take.

    Args:
        memory_mb: memory that the process may use, in MB.
        shards: number of shards of the deployment.
    """
    return memory_mb * BYTES_PER_MB // ACCEPTED_MEMORY_DIVISOR // max(1, shards)


def memory_bytes(workflow: Workflow, occurrences: int = 1) -> int:
    """Returns the bytes that a job takes while its tasks wait, rounded up.

    Args:
        workflow: its steps.
        occurrences: number of its occurrences that are open at the same time.
    """
    steps = sum(STEP_BYTES + int(step.count / TASKS_PER_BYTE) for step in workflow.steps)
    return JOB_BYTES + len(workflow.payload) + max(1, occurrences) * steps


class AcceptedWork:
    """Rejects jobs for whose tasks a shard has no memory.

    Args:
        shard: number of the shard.
        job_table: the shard's jobs.
        max_bytes: bytes that they may take.
        clocks: the process's clocks.
        metrics: exports the bytes that they take.
    """

    def __init__(
        self, shard: int, job_table: JobTable, max_bytes: int, clocks: Clocks, metrics: EdgeMetrics
    ) -> None:
        self._shard = shard
        self._job_table = job_table
        self._max_bytes = max_bytes
        self._clocks = clocks
        self._metrics = metrics
        self._used_bytes = 0
        self._computed_at = float("-inf")
        self._logged_at = float("-inf")
        self._log = Log("owner")

    def find_refusal(
        self, workflow: Workflow, pending: Iterable[JobProgress] = ()
    ) -> NotAccepted | None:
        """Returns why a job can't be accepted, None if there is memory for it.

        Args:
            workflow: its steps.
            pending: jobs that are being accepted.
        """
        pending_bytes = sum(memory_bytes(job.workflow) for job in pending)
        used_bytes = self._refresh() + pending_bytes
        if used_bytes + memory_bytes(workflow) <= self._max_bytes:
            return None
        now = self._clocks.monotonic_s()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            self._log.warning(
                "no memory for more jobs; rejecting them",
                shard=self._shard,
                used_bytes=used_bytes,
                max_bytes=self._max_bytes,
                jobs=len(self._job_table.jobs_by_id),
            )
        return NotAccepted("memory_full", RETRY_AFTER_S)

    def record_accepted(self, job: JobProgress) -> None:
        """Counts a job that has just been added to the job table."""
        self._used_bytes += memory_bytes(job.workflow)

    def _refresh(self) -> int:
        now = self._clocks.monotonic_s()
        if now - self._computed_at >= REFRESH_S:
            self._computed_at = now
            self._used_bytes = sum(
                memory_bytes(job.workflow, len(job.occurrences_by_number))
                for job in self._job_table.jobs_by_id.values()
            )
            self._metrics.accepted_bytes.labels(str(self._shard)).set(self._used_bytes)
        return self._used_bytes
