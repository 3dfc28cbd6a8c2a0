"""Asks other shards' owners to run long-running tasks for which a shard has no room.

The owner asked takes a task by the same transaction as a whole job, see `placement_acceptor`. The
shard that has the job answers for it: its owner ends the delegated tasks of a job that has ended,
and a cancellation is confirmed once each of them has ended in the records of the shard that has it.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable

from pollengate.accounts.job_access import Requester
from pollengate.store import Entry
from pollengate.workflow.decision_guard import changing_job_table
from pollengate.workflow.job_placement import (
    StoredPlacement,
    decode_placement,
    is_task_name,
    rank_restart_shards,
)
from pollengate.workflow.job_service import Cancelled, Found, NoSuchJob, NotAccepted
from pollengate.workflow.keys import placement_key, placement_prefix
from pollengate.workflow.progress import ENDED_JOB_STATES, JobProgress, JobState, TaskProgress
from pollengate.workflow.task_delegation import DelegationCandidates, delegated_workflow
from result import Err

from pollengated.edge.committer import RecordRemoval
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.other_shards import (
    DelegatedTask,
    OtherShards,
    Placed,
    PlacementRequest,
    Refused,
)
from pollengated.edge.placement_context import PlacementContext
from pollengated.edge.placement_settlement import settle_placement
from pollengated.logs import Log

__all__ = ["TaskDelegator"]

OFFER_INTERVAL_S = 0.25
# Each request is a transaction of the store.
MAX_PENDING = 8
# Other shards that are asked for one task before it is queued again.
MAX_REQUESTS = 3
# A shard that had no room is not asked again before its next heartbeats.
REFUSAL_MEMORY_S = 0.5
RETRY_S = 0.2
# Interval of the checks whether a delegated task was given up, as its workers crash.
CHECK_INTERVAL_S = 10.0
# Interval at which the placement records of jobs that ended long ago are forgotten.
FORGET_INTERVAL_S = 60.0


@dataclasses.dataclass(slots=True)
class _Delegation:
    """A placement record of a task.

    Attributes:
        placement: the record; it names the own shard if a request is settled and the task stayed.
        revision: the record's revision, 0 if it is not known.
        known_at: clock time since which it is known.
        has_ended: whether the shard that has the task has recorded its end.
        is_ending: whether that shard's owner is being asked to end it.
    """

    placement: StoredPlacement
    revision: int
    known_at: float
    has_ended: bool = False
    is_ending: bool = False


class TaskDelegator:
    """Places single tasks of one shard's jobs in other shards during an ownership term.

    Args:
        context: the ownership term.
        other_shards: reaches the owners of the other shards.
        metrics: metrics of this process.
        find_refusal: returns why the shard accepts no new jobs at present, None if it does.
    """

    def __init__(
        self,
        context: PlacementContext,
        other_shards: OtherShards,
        metrics: EdgeMetrics,
        find_refusal: Callable[[], NotAccepted | None],
    ) -> None:
        self._context = context
        self._shard = context.shard
        self._job_table = context.job_table
        self._shard_lease = context.shard_lease
        self._clocks = context.clocks
        self._other_shards = other_shards
        self._metrics = metrics
        self._find_refusal = find_refusal
        self._candidates = DelegationCandidates(context.job_table)
        self._known_by_name: dict[str, _Delegation] = {}
        self._pending_by_name: dict[str, TaskProgress] = {}
        self._refused_at_by_shard: dict[int, float] = {}
        self._changed = asyncio.Event()
        now = self._clocks.monotonic_s()
        self._offer_at = now
        self._check_at = now + CHECK_INTERVAL_S
        self._forget_at = now + FORGET_INTERVAL_S
        self._log = Log("placement")

    def load(self, entries: Iterable[Entry]) -> None:
        """Loads the placement records of tasks; the shard's jobs have to be loaded before."""
        prefix = placement_prefix(self._shard)
        for entry in entries:
            name = entry.key.removeprefix(prefix)
            if is_task_name(name):
                self._load_entry(name, entry)

    def has_live_tasks(self, job_id: str) -> bool:
        """Returns True if a task of a job may be running in another shard or be placed there."""
        prefix = f"{job_id}."
        return any(name.startswith(prefix) for name in self._pending_by_name) or any(
            name.startswith(prefix) and self._is_live(delegation)
            for name, delegation in self._known_by_name.items()
        )

    async def wait_ended(self, job_id: str, timeout_s: float) -> bool:
        """Waits until no task of an ended job is in another shard; returns False after the timeout.

        The end of the job has to be durable.
        """
        self._end_tasks_of_ended_jobs()
        try:
            async with asyncio.timeout(timeout_s):
                while self.has_live_tasks(job_id):
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def update(self, now: float) -> None:
        """Asks other shards to run tasks that wait, and to end those of ended jobs."""
        self._end_tasks_of_ended_jobs()
        if now >= self._forget_at:
            self._forget_at = now + FORGET_INTERVAL_S
            self._context.spawn(self._forget_removed(now))
        if now >= self._check_at:
            self._check_at = now + CHECK_INTERVAL_S
            self._context.spawn(self._find_given_up())
        if now >= self._offer_at:
            self._offer_at = now + OFFER_INTERVAL_S
            self._offer(now)

    def _offer(self, now: float) -> None:
        due = self._candidates.find_due(now)
        if not due or not self._context.is_settled() or self._find_refusal() is not None:
            return
        for task in due:
            if len(self._pending_by_name) >= MAX_PENDING:
                break
            shards = self._shards_with_room(task, now)
            if shards:
                with changing_job_table():
                    self._job_table.delegate(task)
                    self._pending_by_name[task.name] = task
                    self._context.spawn(self._run(task, shards))

    def _shards_with_room(self, task: TaskProgress, now: float) -> list[int]:
        queue = self._job_table.queue_of(task.step)
        if queue is None:
            return []
        summaries = {
            shard: summary
            for shard, summary in self._other_shards.summaries_by_shard(queue.service).items()
            if shard != self._shard
            and now - self._refused_at_by_shard.get(shard, float("-inf")) >= REFUSAL_MEMORY_S
        }
        return rank_restart_shards(task.step.spec, summaries)[:MAX_REQUESTS]

    def _create_request(self, task: TaskProgress) -> PlacementRequest:
        job = task.step.job
        known = self._known_by_name.get(task.name)
        # Numbers that earlier owners may have used without recording them are below the next one.
        last_run = self._job_table.next_run_number(task) - 1
        return PlacementRequest(
            task.name,
            job.queue_name,
            delegated_workflow(task),
            job.account,
            self._shard,
            self._shard_lease.token,
            1,
            DelegatedTask(last_run, task.checkpoint, 0 if known is None else known.revision),
        )

    async def _run(self, task: TaskProgress, shards: list[int]) -> None:
        """Asks other shards one after the other until one of them has the task."""
        request = self._create_request(task)
        for shard in shards:
            if task.step.job.is_ended:
                break
            outcome = await self._other_shards.place(shard, request)
            if isinstance(outcome, Refused):
                self._record_refusal(task, shard, outcome)
                continue
            if isinstance(outcome, Placed):
                placement = StoredPlacement(shard, request.account, request.queue_name)
                self._record(task.name, placement, 0)
            else:
                self._log.warning(
                    "outcome of a delegation is unknown; settling it in the store",
                    task=task.name,
                    shard=self._shard,
                    to_shard=shard,
                    cause=outcome.cause,
                )
                self._metrics.delegations.labels("unknown").inc()
                if not await self._settle(request):
                    return
            break
        self._end_request(task)

    def _end_request(self, task: TaskProgress) -> None:
        del self._pending_by_name[task.name]
        known = self._known_by_name.get(task.name)
        if known is None or known.placement.shard == self._shard:
            self._job_table.reclaim(task)
        else:
            self._candidates.forget(task)
            self._job_table.mark_begun(task)
            self._metrics.delegations.labels("placed").inc()
            self._log.info(
                "long-running task delegated to another shard",
                task=task.name,
                queue=task.step.job.queue_name,
                shard=self._shard,
                to_shard=known.placement.shard,
                cpu_millis=task.step.spec.demand.cpu_millis,
            )
        self._end_tasks_of_ended_jobs()
        self._notify()

    def _record_refusal(self, task: TaskProgress, shard: int, refusal: Refused) -> None:
        self._refused_at_by_shard[shard] = self._clocks.monotonic_s()
        self._metrics.delegations.labels(refusal.reason).inc()
        self._log.info(
            "another shard refused a task",
            task=task.name,
            shard=self._shard,
            to_shard=shard,
            reason=refusal.reason,
        )

    async def _settle(self, request: PlacementRequest) -> bool:
        """Records in the store which shard has a task; returns False if the lease is lost."""
        name = request.job_id
        known = self._known_by_name.get(name)
        at_home = (
            StoredPlacement(self._shard, request.account, request.queue_name)
            if known is None
            else known.placement
        )
        revision = request.task.placement_revision if request.task is not None else 0
        return await settle_placement(
            self._context,
            placement_key(self._shard, name),
            revision,
            at_home,
            lambda written: self._record(name, at_home, written),
            lambda entry: self._load_entry(name, entry),
        )

    def _load_entry(self, name: str, entry: Entry) -> bool:
        decoded = decode_placement(entry.value)
        if isinstance(decoded, Err):
            self._log.warning("placement record is unreadable", job=name, cause=decoded.err_value)
            task = self._job_table.find_task(name)
            if task is not None:
                self._job_table.delegate(task)
            return False
        self._record(name, decoded.ok_value, entry.revision)
        return True

    def _record(self, name: str, placement: StoredPlacement, revision: int) -> None:
        self._known_by_name[name] = _Delegation(placement, revision, self._clocks.monotonic_s())
        task = self._job_table.find_task(name)
        if task is None:
            return
        if placement.shard != self._shard:
            self._job_table.delegate(task)
        elif placement.last_run:
            self._job_table.resume_returned(task, placement.last_run, placement.checkpoint)

    def _is_live(self, delegation: _Delegation) -> bool:
        return delegation.placement.shard != self._shard and not delegation.has_ended

    def _job_of(self, name: str) -> JobProgress | None:
        return self._job_table.jobs_by_id.get(name.partition(".")[0])

    def _end_tasks_of_ended_jobs(self) -> None:
        """Has other owners end the delegated tasks of jobs whose end is durable."""
        for name, delegation in self._known_by_name.items():
            if not self._is_live(delegation) or delegation.is_ending:
                continue
            job = self._job_of(name)
            if job is None or job.visible_state in ENDED_JOB_STATES:
                delegation.is_ending = True
                self._context.spawn(self._end_task(name, delegation))

    async def _end_task(self, name: str, delegation: _Delegation) -> None:
        placement = delegation.placement
        requester = Requester(placement.queue, placement.account)
        is_failing = False
        while not self._shard_lease.is_lost:
            response = await self._other_shards.cancel(placement.shard, name, requester)
            if isinstance(response, Cancelled | NoSuchJob):
                delegation.has_ended = True
                self._notify()
                return
            if not is_failing:
                is_failing = True
                self._log.warning(
                    "cannot end a delegated task yet; trying again",
                    task=name,
                    shard=self._shard,
                    to_shard=placement.shard,
                    cause=str(response),
                )
            await asyncio.sleep(RETRY_S)

    async def _find_given_up(self) -> None:
        """Fails the jobs of which another owner has given up a task, as its workers crash."""
        for name, delegation in list(self._known_by_name.items()):
            job = self._job_of(name)
            if job is None or job.is_ended or not self._is_live(delegation):
                continue
            placement = delegation.placement
            requester = Requester(placement.queue, placement.account)
            response = await self._other_shards.show(placement.shard, name, requester)
            if isinstance(response, NoSuchJob):
                await self._read_returned(name)
            elif response == Found(JobState.FAILED):
                self._log.warning("another shard gave up a delegated task", task=name)
                self._job_table.fail(job, self._clocks.unix_ms())

    def read_again(self, name: str) -> None:
        """Reads the placement record of a task that another shard has returned."""
        self._context.spawn(self._read_returned(name))

    async def _read_returned(self, name: str) -> None:
        """Queues a task again if its placement record names the own shard."""
        known = self._known_by_name.get(name)
        if known is None or known.placement.shard == self._shard:
            return
        read = await self._context.store.get(placement_key(self._shard, name))
        entry = None if isinstance(read, Err) else read.ok_value
        placement = None if entry is None else decode_placement(entry.value).ok()
        if entry is None or placement is None or placement.shard != self._shard:
            return
        if self._known_by_name.get(name) is not known:
            return
        self._record(name, placement, entry.revision)
        task = self._job_table.find_task(name)
        if task is not None:
            self._job_table.reclaim(task)
            self._candidates.set_overdue(task, self._clocks.monotonic_s())
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _forget_removed(self, now: float) -> None:
        """Forgets the placements whose records are gone, and removes those that only name home."""
        listing = await self._context.store.list(placement_prefix(self._shard))
        if isinstance(listing, Err):
            return
        stored = {entry.key for entry in listing.ok_value.entries}
        for name, known in list(self._known_by_name.items()):
            key = placement_key(self._shard, name)
            if self._job_of(name) is not None or name in self._pending_by_name:
                continue
            if known.placement.shard == self._shard and key in stored:
                self._context.committer.add(RecordRemoval(key))
                del self._known_by_name[name]
            elif key not in stored and known.known_at < now:
                del self._known_by_name[name]
