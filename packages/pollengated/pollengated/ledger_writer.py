"""Group commit: batches the changes of a shard into few store writes."""

import asyncio
from collections import deque

from pollengate.failpoints import Failpoint
from pollengate.job_entry import JobEntry
from pollengate.ledger import LedgerConflict, LedgerFailure
from pollengate.ledger_records import JobChange
from pollengate.store import Store
from result import Err, Ok, Result

from pollengated.logs import Log
from pollengated.ownership_term import OwnershipTerm

__all__ = ["LedgerWriter"]

FLUSH_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.5
ENDED_JOB_RETENTION_S = 86_400
RETENTION_LEASE_REUSE_S = 3_600


class LedgerWriter:
    """Writes the changes of one shard to its ledger; concurrent callers share one write."""

    def __init__(self, term: OwnershipTerm, store: Store) -> None:
        self._term = term
        self._shard_state = term.shard_state
        self._store = store
        self._flush_requested = asyncio.Event()
        self._waiter: asyncio.Future[Result[None, LedgerFailure]] | None = None
        self._unrecorded_ended_jobs: list[JobEntry] = []
        self._forget_schedule: deque[tuple[float, str]] = deque()
        self._retention_lease_id = 0
        self._retention_lease_reuse_until = 0.0
        self._is_closed = False
        self._log = Log("ledger")

    async def run(self) -> None:
        """Flushes at an interval, or at once if a caller waits, until ownership is lost."""
        try:
            await self._flush_until_lost()
        finally:
            self._is_closed = True
            self._complete(self._waiter, Err(LedgerConflict("the shard is no longer served")))

    async def _flush_until_lost(self) -> None:
        while True:
            try:
                async with asyncio.timeout(FLUSH_INTERVAL_S):
                    await self._flush_requested.wait()
            except TimeoutError:
                pass
            result = await self.flush()
            if isinstance(result, Err):
                if isinstance(result.err_value, LedgerConflict):
                    self._term.drop()
                    return
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def wait_until_recorded(self) -> Result[None, LedgerFailure]:
        """Waits for a write of all changes made so far; returns its result."""
        if self._is_closed:
            return Err(LedgerConflict("the shard is no longer served"))
        if self._waiter is None:
            self._waiter = asyncio.get_running_loop().create_future()
        self._flush_requested.set()
        return await asyncio.shield(self._waiter)

    async def flush(self) -> Result[None, LedgerFailure]:
        """Writes the pending changes, and compacts the ledger if it is due.

        A failed write puts its changes back for the next one.
        """
        waiter, self._waiter = self._waiter, None
        self._flush_requested.clear()
        changes = self._shard_state.changes.pop_unrecorded()
        try:
            result = await self._append(changes)
        except asyncio.CancelledError:
            self._complete(waiter, Err(LedgerConflict("the shard is no longer served")))
            raise
        if isinstance(result, Ok):
            self._shard_state.changes.confirm(changes)
            await self._reach_checkpoint_failpoints(changes)
            self._apply_cancellations(changes)
        else:
            self._shard_state.changes.restore(changes)
        self._complete(waiter, result)
        if isinstance(result, Ok):
            self._forget_ended()
            return await self._compact()
        return result

    @staticmethod
    def _complete(
        waiter: asyncio.Future[Result[None, LedgerFailure]] | None,
        result: Result[None, LedgerFailure],
    ) -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(result)

    async def _append(self, changes: list[JobChange]) -> Result[None, LedgerFailure]:
        if not changes:
            return Ok(None)
        await self._term.failpoints.reach(Failpoint.LEDGER_WRITING)
        if not self._term.is_valid():
            return Err(LedgerConflict("the shard's lease has expired"))
        result = await self._term.ledger.append(changes, self._term.epoch)
        await self._term.failpoints.reach(Failpoint.LEDGER_WRITTEN)
        return result

    async def _reach_checkpoint_failpoints(self, changes: list[JobChange]) -> None:
        for change in changes:
            if change.checkpoints_by_index:
                await self._term.failpoints.reach(Failpoint.CHECKPOINT_RECORDED, change.job_id)

    def _apply_cancellations(self, changes: list[JobChange]) -> None:
        for change in changes:
            if change.is_cancelled and change.job_id in self._shard_state.jobs_by_id:
                self._shard_state.cancel(change.job_id)

    async def _compact(self) -> Result[None, LedgerFailure]:
        if not self._term.ledger.needs_compaction or not self._term.is_valid():
            return Ok(None)
        await self._term.failpoints.reach(Failpoint.LEDGER_COMPACTING)
        lease_id = await self._retention_lease()
        if isinstance(lease_id, Err):
            return lease_id
        result = await self._term.ledger.compact(
            self._shard_state.jobs_by_id, lease_id.ok_value, self._term.epoch
        )
        await self._term.failpoints.reach(Failpoint.LEDGER_COMPACTED)
        return result

    async def _retention_lease(self) -> Result[int, LedgerFailure]:
        now = asyncio.get_running_loop().time()
        if now < self._retention_lease_reuse_until:
            return Ok(self._retention_lease_id)
        lease = await self._store.grant_lease(ENDED_JOB_RETENTION_S)
        if isinstance(lease, Ok):
            self._retention_lease_id = lease.ok_value
            self._retention_lease_reuse_until = now + RETENTION_LEASE_REUSE_S
        return lease

    def _forget_ended(self) -> None:
        now = asyncio.get_running_loop().time()
        unrecorded: list[JobEntry] = []
        for job in (*self._unrecorded_ended_jobs, *self._shard_state.pop_ended_jobs()):
            if self._shard_state.changes.has(job.spec.job_id):
                unrecorded.append(job)
            elif job.spec.job_id in self._shard_state.jobs_by_id:
                job.compact()
                self._forget_schedule.append((now + ENDED_JOB_RETENTION_S, job.spec.job_id))
        self._unrecorded_ended_jobs = unrecorded
        while self._forget_schedule and self._forget_schedule[0][0] <= now:
            _, job_id = self._forget_schedule.popleft()
            if job_id in self._shard_state.jobs_by_id:
                self._shard_state.forget(job_id)
