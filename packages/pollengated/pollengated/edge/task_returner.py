"""Gives delegated tasks back to the shards that have their jobs, if they find no room here.

One transaction of the shard's owner deletes the task's records here and writes a placement record
that names the job's shard and has the task's progress. From then on only that shard may start the
task, or delegate it again. Until the outcome is known nobody does.
"""

import asyncio

from pollengate.store import CommitResult, Delete, Put, Unchanged
from pollengate.workflow.decision_guard import changing_job_table
from pollengate.workflow.job_placement import (
    StoredPlacement,
    decode_placement,
    encode_placement,
    rank_restart_shards,
)
from pollengate.workflow.keys import job_key, owner_key, placement_key, progress_key
from pollengate.workflow.progress import JobProgress, TaskProgress
from pollengate.workflow.task_delegation import DelegationCandidates, is_returnable
from result import Err

from pollengated.edge.committer import RecordRemoval
from pollengated.edge.other_shards import OtherShards
from pollengated.edge.placement_context import PlacementContext, present_entries
from pollengated.logs import Log

__all__ = ["TaskReturner"]

RETRY_S = 0.2
# The progress of a task is recorded before it is returned.
DURABLE_TIMEOUT_S = 0.5


class TaskReturner:
    """Returns delegated tasks during one ownership term of the shard that has them.

    Args:
        context: the ownership term.
        other_shards: reaches the owners of the other shards.
    """

    def __init__(self, context: PlacementContext, other_shards: OtherShards) -> None:
        self._context = context
        self._shard = context.shard
        self._job_table = context.job_table
        self._other_shards = other_shards
        self._candidates = DelegationCandidates(context.job_table, is_returnable)
        self._pending_names: set[str] = set()
        self._log = Log("placement")

    def is_returning(self, job_id: str) -> bool:
        """Returns True while it is not known which shard has a task."""
        return job_id in self._pending_names

    def update(self, now: float) -> None:
        """Begins to return the tasks that wait here in vain while another shard has room."""
        due = self._candidates.find_due(now)
        if not due or not self._context.is_settled():
            return
        for task in due:
            job = task.step.job
            if job.delegated_by is not None and self._has_room_elsewhere(task):
                with changing_job_table():
                    self._job_table.delegate(task)
                    self._pending_names.add(job.job_id)
                    self._context.spawn(self._run(task, job, job.delegated_by))

    def _has_room_elsewhere(self, task: TaskProgress) -> bool:
        queue = self._job_table.queue_of(task.step)
        if queue is None:
            return False
        summaries = dict(self._other_shards.summaries_by_shard(queue.service))
        summaries.pop(self._shard, None)
        return bool(rank_restart_shards(task.step.spec, summaries))

    async def _run(self, task: TaskProgress, job: JobProgress, to_shard: int) -> None:
        """Returns a task, or queues it here again if it was not returned."""
        is_returned = await self._return(task, job, to_shard)
        if is_returned is None:
            return
        self._candidates.forget(task)
        if not is_returned:
            self._pending_names.discard(job.job_id)
            self._job_table.reclaim(task)
            return
        self._job_table.forget(job)
        await self._remove_late_progress(job)
        self._pending_names.discard(job.job_id)
        self._log.info(
            "delegated task returned", task=job.job_id, shard=self._shard, to_shard=to_shard
        )
        await self._other_shards.notify_returned(to_shard, job.job_id)

    async def _remove_late_progress(self, job: JobProgress) -> None:
        """Deletes a progress record that was queued before the transaction and written after it.

        The task is not accepted again before, as its new record would be deleted.
        """
        committer = self._context.committer
        number = committer.add(RecordRemoval(progress_key(self._shard, job.job_id)))
        while not self._context.shard_lease.is_lost:
            if await committer.wait_durable(number, DURABLE_TIMEOUT_S):
                return

    async def _return(self, task: TaskProgress, job: JobProgress, to_shard: int) -> bool | None:
        """Returns whether a task was returned, None if the lease was lost."""
        committer = self._context.committer
        if not await committer.wait_durable(committer.last_record_number, DURABLE_TIMEOUT_S):
            return False
        key = placement_key(to_shard, job.job_id)
        read = await self._context.store.get(key)
        entry = None if isinstance(read, Err) else read.ok_value
        current = None if entry is None else decode_placement(entry.value).ok()
        if entry is None or current is None or current.shard != self._shard:
            return False
        last_run = self._job_table.next_run_number(task) - 1
        placement = StoredPlacement(
            to_shard, job.account, job.queue_name, last_run, task.checkpoint
        )
        conditions = (
            Unchanged(owner_key(self._shard), self._context.shard_lease.token),
            Unchanged(key, entry.revision),
        )
        operations = (
            Put(key, encode_placement(placement)),
            Delete(job_key(self._shard, job.job_id)),
            Delete(progress_key(self._shard, job.job_id)),
        )
        while not self._context.shard_lease.is_lost:
            result = await self._context.store.commit(conditions, operations)
            if not isinstance(result, Err):
                # While this shard has the task, only its owner changes the record.
                return True if result.ok_value.succeeded else self._is_owner(result.ok_value)
            self._log.warning(
                "return of a delegated task was not confirmed; trying again",
                task=job.job_id,
                shard=self._shard,
                cause=result.err_value.detail,
            )
            await asyncio.sleep(RETRY_S)
        return None

    def _is_owner(self, conflict: CommitResult) -> bool | None:
        """Returns True if a conflict is with the own write of a lost reply, None with an owner."""
        owner = present_entries(conflict).get(owner_key(self._shard))
        if owner is not None and owner.revision == self._context.shard_lease.token:
            return True
        self._context.shard_lease.mark_lost()
        return None
