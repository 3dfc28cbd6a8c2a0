"""Handles requests for the jobs of one shard during one ownership term."""

from collections.abc import Callable

from pollengate.accounts.job_access import Requester
from pollengate.workflow.job_service import (
    RETRY_AFTER_S,
    Accepted,
    Cancelled,
    Found,
    JobResponse,
    NoSuchJob,
    NotAccepted,
    Undecided,
    WaitingCount,
    remaining_outage_s,
)
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Workflow
from pollengate.workflow.progress import JobProgress, JobState
from pollengate.workflow.shard_lease import ShardLease

from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import Committer, JobRecord
from pollengated.logs import Log

__all__ = ["JobRequestHandler"]

# Shorter than the time for which a gate waits for a reply; the gate sends the request again.
DURABLE_TIMEOUT_S = 0.8


class JobRequestHandler:
    """Accepts, shows, cancels and counts the jobs of a shard.

    Args:
        shard: number of the shard.
        job_table: jobs of the shard.
        committer: makes changes durable; a client gets a positive response only after that.
        shard_lease: the owner's lease; unless it is confirmed, another owner may know jobs that
            this one doesn't.
        clocks: the process's clocks.
        on_change: called after each change of the job table.
        on_accepted: called with each accepted job and the clock time before it is scheduled.
        find_overload: returns why a new job is refused for lack of room at a clock time, None if it
            is accepted.

    Attributes:
        is_closing: whether the shard is being handed over and accepts no new jobs.
    """

    def __init__(
        self,
        shard: int,
        job_table: JobTable,
        committer: Committer,
        shard_lease: ShardLease,
        clocks: Clocks,
        on_change: Callable[[], None],
        on_accepted: Callable[[JobProgress, float], None],
        find_overload: Callable[[JobProgress, float], NotAccepted | None],
    ) -> None:
        self.is_closing = False
        self._shard = shard
        self._job_table = job_table
        self._committer = committer
        self._shard_lease = shard_lease
        self._clocks = clocks
        self._on_change = on_change
        self._on_accepted = on_accepted
        self._find_overload = find_overload
        self._submissions_by_id: dict[str, _Submission] = {}
        self._log = Log("owner")

    async def submit(
        self, queue_name: str, job_id: str, workflow: Workflow, account: str
    ) -> JobResponse:
        """Accepts a job of a client account; responds when its record is durable."""
        existing_job = self._job_table.jobs_by_id.get(job_id)
        if existing_job is not None:
            return Accepted() if _is_same_client(existing_job, account) else _ID_IN_USE
        # If an earlier request for the job is pending, its record may already be on its way to the
        # store, so that this request can't be refused.
        record = self._submissions_by_id.get(job_id)
        if record is not None and not _is_same_client(record.job, account):
            return _ID_IN_USE
        if record is None:
            refusal = self._find_refusal()
            if refusal is not None:
                return refusal
            now, now_ms = self._clocks.monotonic_s(), self._clocks.unix_ms()
            job = JobProgress(job_id, queue_name, workflow, now_ms, now, account=account)
            refusal = self._find_overload(job, now)
            if refusal is not None:
                return refusal
            record = _Submission(self._shard, job, self._add_accepted_job)
            record.record_number = self._committer.add(record)
            self._submissions_by_id[job_id] = record
        record.waiting_count += 1
        try:
            is_durable = await self._committer.wait_durable(record.record_number, DURABLE_TIMEOUT_S)
        finally:
            record.waiting_count -= 1
        if is_durable:
            return Accepted()
        # The record number says nothing of a withdrawn record, so none may be waited for.
        if not record.waiting_count and self._committer.withdraw(record):
            self._submissions_by_id.pop(job_id, None)
            return self._store_unavailable()
        return Undecided("store_unavailable")

    def _find_refusal(self) -> NotAccepted | None:
        """Returns why new jobs are refused at present, None if they are accepted."""
        if self.is_closing:
            return NotAccepted("handing_over", RETRY_AFTER_S)
        if self._committer.is_stalled or not self._shard_lease.is_confirmed(
            self._clocks.monotonic_s()
        ):
            return self._store_unavailable()
        return None

    def _store_unavailable(self) -> NotAccepted:
        silent_s = self._shard_lease.silent_s(self._clocks.monotonic_s())
        outage_s = max(self._committer.stalled_s, silent_s)
        return NotAccepted("store_unavailable", remaining_outage_s(outage_s))

    async def show(self, job_id: str, requester: Requester) -> JobResponse:
        """Returns the state of a job; an end state only when it is durable."""
        job = self._find_job(job_id, requester)
        if job is not None:
            return Found(job.visible_state)
        if self._find_submission(job_id, requester) is not None:
            return Found(JobState.QUEUED)
        if not self._shard_lease.is_confirmed(self._clocks.monotonic_s()):
            return NotAccepted("owner_unconfirmed", RETRY_AFTER_S)
        return NoSuchJob()

    async def cancel(self, job_id: str, requester: Requester) -> JobResponse:
        """Cancels a job; responds when the cancellation is durable."""
        submission = self._find_submission(job_id, requester)
        if submission is not None and not await self._committer.wait_durable(
            submission.record_number, DURABLE_TIMEOUT_S
        ):
            return Undecided("store_unavailable")
        job = self._find_job(job_id, requester)
        if job is None:
            if not self._shard_lease.is_confirmed(self._clocks.monotonic_s()):
                return NotAccepted("owner_unconfirmed", RETRY_AFTER_S)
            return NoSuchJob()
        if not job.is_ended:
            self._job_table.cancel(job, self._clocks.unix_ms())
            self._log.info("job cancelled", job=job_id)
            self._on_change()
        record_number = self._committer.last_record_number
        if await self._committer.wait_durable(record_number, DURABLE_TIMEOUT_S):
            return Cancelled()
        return Undecided("store_unavailable")

    async def count_waiting(self, queue_name: str) -> JobResponse:
        """Returns the number of jobs of a queue of which no task has started."""
        count = sum(
            job.queue_name == queue_name and job.state is JobState.QUEUED
            for job in self._job_table.jobs_by_id.values()
        )
        return WaitingCount(count)

    def current_refusal(self) -> NotAccepted | None:
        """Returns why a new job would be refused now, None if it would be accepted."""
        return self._find_refusal()

    def _find_job(self, job_id: str, requester: Requester) -> JobProgress | None:
        job = self._job_table.jobs_by_id.get(job_id)
        return job if job is not None and self._may_access(job, requester) else None

    def _find_submission(self, job_id: str, requester: Requester) -> "_Submission | None":
        record = self._submissions_by_id.get(job_id)
        return record if record is not None and self._may_access(record.job, requester) else None

    def _may_access(self, job: JobProgress, requester: Requester) -> bool:
        return requester.may_access(job.queue_name, job.account, self._job_table.deployment)

    def _add_accepted_job(self, job: JobProgress) -> None:
        """Adds a job to the job table when its record is durable, so that it is scheduled."""
        self._submissions_by_id.pop(job.job_id, None)
        now = self._clocks.monotonic_s()
        self._on_accepted(job, now)
        self._job_table.add(job, now, self._clocks.unix_ms())
        queue = self._job_table.deployment.queue(job.queue_name)
        self._log.info(
            "job accepted",
            job=job.job_id,
            queue=job.queue_name,
            tasks=sum(step.count for step in job.workflow.steps),
            objective_s=round(job.objective_s(queue), 3) if queue else None,
            **({"account": job.account} if job.account else {}),
        )
        self._on_change()


# Answers a submission with an id that a job of another client account has.
_ID_IN_USE = NotAccepted("id_in_use", RETRY_AFTER_S)


def _is_same_client(job: JobProgress, account: str) -> bool:
    """Returns True unless a job is known to be of another account; older records name none."""
    return not job.account or job.account == account


class _Submission(JobRecord):
    """Record of a new job; calls a function when it is durable.

    Attributes:
        job: the job.
        record_number: number of the record in the committer.
        waiting_count: number of requests that wait until the record is durable.
    """

    def __init__(
        self, shard: int, job: JobProgress, on_durable: Callable[[JobProgress], None]
    ) -> None:
        super().__init__(shard, job)
        self.job = job
        self.record_number = 0
        self.waiting_count = 0
        self._on_durable = on_durable

    def on_committed(self) -> None:
        """Passes the job to the function."""
        self._on_durable(self.job)
