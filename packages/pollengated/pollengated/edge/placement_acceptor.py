"""Takes jobs for which their home shards have no room.

The job's record and its placement record are written in one transaction, apart from the group
commit. It expects both owner keys to be unchanged and the placement record to be absent, so that no
owner that has been replaced takes part, and at most one shard gets the job.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from pollengate.store import CommitResult, FailureKind, Put, Unchanged
from pollengate.workflow.delegated_siblings import are_siblings
from pollengate.workflow.job_placement import (
    StoredPlacement,
    decode_placement,
    encode_placement,
    first_steps,
    with_spare_tasks,
)
from pollengate.workflow.job_service import NotAccepted
from pollengate.workflow.keys import job_key, owner_key, placement_key, progress_key
from pollengate.workflow.model import Queue
from pollengate.workflow.placement import count_places
from pollengate.workflow.progress import JobProgress, JobState
from pollengate.workflow.records import encode_job, encode_progress
from result import Err

from pollengated.edge.accepted_work import AcceptedWork
from pollengated.edge.other_shards import (
    Placed,
    PlacementOutcome,
    PlacementRequest,
    PlacementUnknown,
    Refused,
)
from pollengated.edge.placement_context import PlacementContext, present_entries
from pollengated.logs import Log

__all__ = ["PlacementAcceptor"]

# Shorter than the time for which the home shard's owner waits for a reply.
REPLY_TIMEOUT_S = 0.4
RETRY_S = 0.1


@dataclasses.dataclass(slots=True)
class _PendingPlacement:
    """A job whose transaction has no known outcome yet."""

    job: JobProgress
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    outcome: PlacementOutcome = PlacementUnknown("pending")


class PlacementAcceptor:
    """Takes jobs from other shards' owners during one ownership term.

    Args:
        context: the ownership term.
        find_refusal: returns why the shard accepts no new jobs at present, None if it does.
        accepted_work: rejects jobs for which there is no memory.
        is_returning: whether a task is being returned to the shard that asked for it before.
        add_job: adds a job whose record is durable to the job table.
    """

    def __init__(
        self,
        context: PlacementContext,
        find_refusal: Callable[[], NotAccepted | None],
        accepted_work: AcceptedWork,
        is_returning: Callable[[str], bool],
        add_job: Callable[[JobProgress], None],
    ) -> None:
        self._context = context
        self._shard = context.shard
        self._job_table = context.job_table
        self._room = context.room
        self._shard_lease = context.shard_lease
        self._clocks = context.clocks
        self._find_refusal = find_refusal
        self._accepted_work = accepted_work
        self._is_returning = is_returning
        self._add_job = add_job
        self._pending_by_id: dict[str, _PendingPlacement] = {}
        self._log = Log("placement")

    def pending_job(self, job_id: str) -> JobProgress | None:
        """Returns a job that may already be in the shard's records, None if there is none."""
        pending = self._pending_by_id.get(job_id)
        return None if pending is None else pending.job

    async def wait_ended(self, job_id: str, timeout_s: float) -> bool:
        """Waits until it is known whether the shard has a job; returns False after the timeout."""
        pending = self._pending_by_id.get(job_id)
        return pending is None or await _wait(pending.ended, timeout_s)

    async def accept(self, request: PlacementRequest) -> PlacementOutcome:
        """Takes a job if the shard has room for it; replies when its record is durable."""
        if self._is_returning(request.job_id):
            return Refused("returning")
        known = self._job_table.jobs_by_id.get(request.job_id)
        if known is not None:
            return Placed() if known.account == request.account else Refused("id_in_use")
        pending = self._pending_by_id.get(request.job_id)
        if pending is None:
            checked = self._check(request)
            if isinstance(checked, Refused):
                return checked
            pending = self._begin(request, checked)
        await _wait(pending.ended, REPLY_TIMEOUT_S)
        return pending.outcome

    def _check(self, request: PlacementRequest) -> Queue | Refused:
        """Returns the queue of a job that the shard may take, or why it is refused."""
        refusal = self._find_refusal()
        if refusal is not None:
            return Refused(refusal.reason)
        pending = [placement.job for placement in self._pending_by_id.values()]
        refusal = self._accepted_work.find_refusal(request.workflow, pending)
        if refusal is not None:
            return Refused(refusal.reason)
        queue = self._job_table.deployment.queue(request.queue_name)
        if queue is None:
            return Refused("no_queue")
        if not self._context.is_settled():
            return Refused("unsettled")
        if request.task is not None and not self._fits_beside_siblings(request, queue):
            return Refused("siblings_here")
        now = self._clocks.monotonic_s()
        steps = first_steps(request.workflow)
        if request.task is None:
            steps = with_spare_tasks(steps)
        places = self._room.count_places(queue.service, steps, now)
        return queue if places >= request.min_tasks else Refused("no_room")

    def _fits_beside_siblings(self, request: PlacementRequest, queue: Queue) -> bool:
        """Whether a worker has room for a delegated task within the limit of its step.

        The siblings that have no run yet take the first places.
        """
        if not request.workflow.steps[0].max_per_worker:
            return True
        job = self._create_job(request, queue)
        (step,) = job.occurrences_by_number[0].steps
        self._job_table.delegated_siblings.join(step)
        waiting = sum(
            are_siblings(job, other) and not other.run_count and not other.is_ended
            for other in [
                *self._job_table.jobs_by_id.values(),
                *(pending.job for pending in self._pending_by_id.values()),
            ]
        )
        evidence = self._job_table.evidence
        workers = self._job_table.fleet.schedulable_workers(
            queue.service, self._clocks.monotonic_s()
        )
        places = sum(
            count_places(step, view)
            for view in workers
            if not evidence.is_quarantined(view.worker_id)
        )
        return places > waiting

    def _begin(self, request: PlacementRequest, queue: Queue) -> _PendingPlacement:
        job = self._create_job(request, queue)
        if request.task is not None:
            (task,) = job.occurrences_by_number[0].steps[0].tasks
            task.keep_checkpoint(request.task.checkpoint)
            self._job_table.continue_run_numbers(task, request.task.last_run)
        now = self._clocks.monotonic_s()
        self._room.reserve(job.job_id, queue.service, first_steps(job.workflow), now)
        pending = self._pending_by_id[job.job_id] = _PendingPlacement(job)
        self._context.spawn(self._run(pending, request))
        return pending

    def _create_job(self, request: PlacementRequest, queue: Queue) -> JobProgress:
        job = JobProgress(
            request.job_id,
            request.queue_name,
            request.workflow,
            self._clocks.unix_ms(),
            self._clocks.monotonic_s(),
            queue=queue,
            account=request.account,
        )
        if request.task is not None:
            job.delegated_by = request.home_shard
            job.state = job.visible_state = JobState.RUNNING
            job.open_occurrence(0)
        return job

    async def _run(self, pending: _PendingPlacement, request: PlacementRequest) -> None:
        """Writes the records of a job until the outcome is known or the lease is lost."""
        pending.outcome = await self._write(pending.job, request)
        del self._pending_by_id[request.job_id]
        if isinstance(pending.outcome, Placed):
            self._add_job(pending.job)
        self._room.release(request.job_id)
        pending.ended.set()

    async def _write(self, job: JobProgress, request: PlacementRequest) -> PlacementOutcome:
        key = placement_key(request.home_shard, job.job_id)
        revision = 0 if request.task is None else request.task.placement_revision
        conditions = (
            Unchanged(owner_key(request.home_shard), request.home_token),
            Unchanged(owner_key(self._shard), self._shard_lease.token),
            Unchanged(key, revision),
        )
        queue = "" if request.task is None else request.queue_name
        placement = StoredPlacement(self._shard, request.account, queue)
        operations = [
            Put(key, encode_placement(placement)),
            Put(job_key(self._shard, job.job_id), encode_job(job)),
        ]
        if request.task is not None:
            operations.append(Put(progress_key(self._shard, job.job_id), encode_progress(job)))
        may_be_written = False
        while not self._shard_lease.is_lost:
            result = await self._context.store.commit(conditions, operations)
            if not isinstance(result, Err):
                if result.ok_value.succeeded:
                    return Placed()
                return self._resolve_conflict(key, request, result.ok_value)
            may_be_written |= result.err_value.kind is FailureKind.UNKNOWN
            if not may_be_written:
                return Refused("store_unavailable")
            self._log.warning(
                "placement was not confirmed; trying again",
                job=job.job_id,
                shard=self._shard,
                cause=result.err_value.detail,
            )
            await asyncio.sleep(RETRY_S)
        return PlacementUnknown("lease_lost")

    def _resolve_conflict(
        self, key: str, request: PlacementRequest, conflict: CommitResult
    ) -> PlacementOutcome:
        """Returns the outcome of a transaction of which a condition did not hold.

        It may be the repetition of one that took effect; the placement record then names the shard.
        """
        current = present_entries(conflict)
        owner = current.get(owner_key(self._shard))
        if owner is None or owner.revision != self._shard_lease.token:
            self._log.warning(
                "this process no longer owns the shard; ending placements",
                shard=self._shard,
                token=self._shard_lease.token,
            )
            self._shard_lease.mark_lost()
            return PlacementUnknown("lease_lost")
        entry = current.get(key)
        if entry is None:
            return Refused("home_owner_changed")
        decoded = decode_placement(entry.value)
        if isinstance(decoded, Err):
            self._log.warning(
                "placement record is unreadable", job=request.job_id, cause=decoded.err_value
            )
            return PlacementUnknown("unreadable")
        return Placed() if decoded.ok_value.shard == self._shard else Refused("placed_before")


async def _wait(event: asyncio.Event, timeout_s: float) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
