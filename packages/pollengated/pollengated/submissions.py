"""Accepts the jobs submitted to one shard.

A job is recorded in the ledger before its tasks are queued, so that it is neither lost nor run
twice.
"""

import asyncio

from pollengate.failpoints import Failpoint
from pollengate.jobs import JobSpec
from pollengate.ledger import Accepted, JobConflict, LedgerConflict, LedgerFailure
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.store import FailureKind
from result import Err, Ok, Result

from pollengated.ownership_term import OwnershipTerm

__all__ = ["Submissions", "ledger_refusal"]

RESOLVE_INTERVAL_S = 0.5
STORE_RETRY_AFTER_S = 2.0


class Submissions:
    """Accepts jobs; retries each write of unknown outcome until its outcome is known."""

    def __init__(self, term: OwnershipTerm) -> None:
        self._term = term
        self._unresolved_by_job_id: dict[str, JobSpec] = {}

    async def submit(self, spec: JobSpec) -> Result[Accepted, Refusal]:
        """Records a job in the ledger and queues its tasks.

        A write of unknown outcome is retried once. If the outcome is still unknown, the refusal
        says so, and `run` keeps retrying the write.
        """
        await self._term.failpoints.reach(Failpoint.SUBMIT_RECEIVED, spec.job_id)
        result = await self._accept(spec)
        if isinstance(result, Err) and _is_unknown(result.err_value):
            result = await self._accept(spec)
        if isinstance(result, Ok):
            return result
        if _is_unknown(result.err_value):
            self._unresolved_by_job_id[spec.job_id] = spec
        return Err(self._refuse(spec, result.err_value))

    async def run(self) -> None:
        """Retries submissions of unknown outcome until cancelled."""
        while True:
            await asyncio.sleep(RESOLVE_INTERVAL_S)
            for job_id, spec in list(self._unresolved_by_job_id.items()):
                result = await self._accept(spec)
                if isinstance(result, Ok) or isinstance(result.err_value, JobConflict):
                    del self._unresolved_by_job_id[job_id]

    async def _accept(self, spec: JobSpec) -> Result[Accepted, JobConflict | LedgerFailure]:
        term = self._term
        if not term.is_serving():
            return Err(LedgerConflict("this process does not own the shard"))
        result = await term.ledger.accept(spec, term.epoch)
        await term.failpoints.reach(Failpoint.SUBMIT_RECORDED, spec.job_id)
        if isinstance(result, Err):
            return result
        location = result.ok_value.location
        if result.ok_value.is_new:
            term.shard_state.accept(spec).accepted_at = asyncio.get_running_loop().time()
        elif term.ledger.is_local(location) and spec.job_id not in term.shard_state.jobs_by_id:
            loaded = await self._load_job(spec.job_id)
            if isinstance(loaded, Err):
                return loaded
        return result

    async def _load_job(self, job_id: str) -> Result[None, LedgerFailure]:
        record = await self._term.ledger.read_job(job_id)
        if isinstance(record, Err):
            return record
        if record.ok_value is not None:
            self._term.shard_state.admit(record.ok_value)
        return Ok(None)

    def _refuse(self, spec: JobSpec, failure: JobConflict | LedgerFailure) -> Refusal:
        if isinstance(failure, JobConflict):
            detail = f"task {spec.job_id!r} exists with another body"
            return Refusal(Outcome.NOT_RUN, Reason.TASK_CONFLICT, detail)
        if isinstance(failure, LedgerConflict):
            self._term.drop()
        return ledger_refusal(failure)


def ledger_refusal(failure: LedgerFailure) -> Refusal:
    """Returns the refusal for a request that the ledger could not record."""
    if isinstance(failure, LedgerConflict):
        detail = "this process does not own the shard"
        return Refusal(Outcome.NOT_RUN, Reason.NO_OWNER, detail, 1.0)
    outcome = Outcome.UNKNOWN if failure.kind is FailureKind.UNKNOWN else Outcome.NOT_RUN
    detail = "the platform's store did not reply"
    return Refusal(outcome, Reason.STORE_UNAVAILABLE, detail, STORE_RETRY_AFTER_S)


def _is_unknown(failure: JobConflict | LedgerFailure) -> bool:
    kind = getattr(failure, "kind", None)
    return kind is FailureKind.UNKNOWN
