"""Handles requests for the jobs of one shard during one ownership term."""

from collections.abc import Callable

from pollengate.accounts.job_access import Requester
from pollengate.workflow.decision_guard import DecisionGuard
from pollengate.workflow.job_placement import first_steps
from pollengate.workflow.job_service import (
    RETRY_AFTER_S,
    Accepted,
    Cancelled,
    Found,
    JobResponse,
    NoSuchJob,
    NoSuchQueue,
    NotAccepted,
    OwnerResponse,
    PlacedElsewhere,
    Undecided,
    WaitingCount,
    remaining_outage_s,
)
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Workflow
from pollengate.workflow.progress import JobProgress, JobState
from pollengate.workflow.shard_lease import ShardLease
from pollengate.workflow.shard_room import RoomSummary, ShardRoom

from pollengated.edge.accepted_work import AcceptedWork
from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import Committer, JobRecord
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.job_placer import JobPlacer, PendingPlacement
from pollengated.edge.other_shards import OtherShards
from pollengated.edge.placement_acceptor import PlacementAcceptor
from pollengated.edge.placement_context import PlacementContext
from pollengated.edge.section_timer import Section, SectionTimer
from pollengated.edge.task_delegator import TaskDelegator
from pollengated.edge.task_returner import TaskReturner
from pollengated.logs import Log

__all__ = ["JobRequestHandler"]

# Shorter than the time for which a gate waits for a reply; the gate sends the request again.
DURABLE_TIMEOUT_S = 0.8
RETURN_INTERVAL_S = 0.25


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
        room: room of the shard.
        accepted_work: rejects jobs for which there is no memory.

    Attributes:
        is_closing: whether the shard is being handed over and accepts no new jobs.
        placer: places new jobs in other shards; set before the first request.
        acceptor: takes jobs and tasks from other shards; set before the first request.
        delegator: places single tasks in other shards; set before the first request.
        returner: returns such tasks of other shards' jobs; set before the first request.
        guard: contains errors of what is offered to other shards; set before the first request.
    """

    placer: JobPlacer
    acceptor: PlacementAcceptor
    delegator: TaskDelegator
    returner: TaskReturner
    guard: DecisionGuard
    _sections: SectionTimer

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
        room: ShardRoom,
        accepted_work: AcceptedWork,
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
        self._room = room
        self._accepted_work = accepted_work
        self._return_at = clocks.monotonic_s()
        self._submissions_by_id: dict[str, _Submission] = {}
        self._log = Log("owner")

    def create_placement(
        self,
        context: PlacementContext,
        other_shards: OtherShards,
        metrics: EdgeMetrics,
        guard: DecisionGuard,
    ) -> None:
        """Creates what exchanges jobs and tasks with other shards' owners."""
        self.guard = guard
        self._sections = metrics.sections
        self.placer = JobPlacer(context, other_shards, metrics)
        self.delegator = TaskDelegator(context, other_shards, metrics, self.current_refusal)
        self.returner = TaskReturner(context, other_shards)
        self.acceptor = PlacementAcceptor(
            context,
            self.current_refusal,
            self._accepted_work,
            self.returner.is_returning,
            self.add_accepted_job,
        )

    async def submit(
        self,
        queue_name: str,
        job_id: str,
        workflow: Workflow,
        account: str,
        configuration_version: int = 0,
    ) -> JobResponse:
        """Accepts a job of a client account; responds when its record is durable.

        A job for which the shard has no room is offered to other shards first.

        Args:
            queue_name: the job's queue.
            job_id: its id.
            workflow: its steps.
            account: the client account, empty for none.
            configuration_version: version of the configuration that routed the request, 0 if it is
                not known.
        """
        is_known = job_id in self._job_table.jobs_by_id or job_id in self._submissions_by_id
        if not is_known:
            placement = self.placer.find(job_id)
            if placement is not None:
                return Accepted() if _is_account(placement.account, account) else _ID_IN_USE
            pending = self.placer.find_pending(job_id)
            if pending is None:
                refusal = self._find_refusal(queue_name, configuration_version, workflow)
                if refusal is not None:
                    return refusal
                pending = self.placer.begin(self._create_job(queue_name, job_id, workflow, account))
            if pending is not None:
                response = await self._wait_placed(pending, account)
                if response is not None:
                    return response
        return await self._submit_at_home(
            queue_name, job_id, workflow, account, configuration_version
        )

    def _find_refusal(
        self, queue_name: str, configuration_version: int, workflow: Workflow
    ) -> NotAccepted | NoSuchQueue | None:
        """Returns why a job of a queue can't be accepted, None if it can."""
        refusal = self.current_refusal()
        if refusal is not None:
            return refusal
        deployment = self._job_table.deployment
        if deployment.queue(queue_name) is not None:
            pending = [submission.job for submission in self._submissions_by_id.values()]
            return self._accepted_work.find_refusal(workflow, pending)
        if 0 < configuration_version < deployment.version:
            return NoSuchQueue()
        return NotAccepted("queue_not_known_yet", RETRY_AFTER_S)

    async def _wait_placed(self, pending: PendingPlacement, account: str) -> JobResponse | None:
        """Waits until other shards have been asked; returns None if the job stays at home."""
        if not _is_same_client(pending.job, account):
            return _ID_IN_USE
        if not await self.placer.wait_ended(pending, DURABLE_TIMEOUT_S):
            return Undecided("placement_pending")
        return None if pending.shard is None else Accepted()

    async def _submit_at_home(
        self,
        queue_name: str,
        job_id: str,
        workflow: Workflow,
        account: str,
        configuration_version: int,
    ) -> JobResponse:
        existing_job = self._job_table.jobs_by_id.get(job_id)
        if existing_job is not None:
            return Accepted() if _is_same_client(existing_job, account) else _ID_IN_USE
        # If an earlier request for the job is pending, its record may already be on its way to the
        # store, so that this request can't be refused.
        record = self._submissions_by_id.get(job_id)
        if record is not None and not _is_same_client(record.job, account):
            return _ID_IN_USE
        if record is None:
            refusal = self._find_refusal(queue_name, configuration_version, workflow)
            if refusal is not None:
                return refusal
            job = self._create_job(queue_name, job_id, workflow, account)
            refusal = self._find_overload(job, job.accepted_at)
            if refusal is not None:
                return refusal
            record = _Submission(self._shard, job, self.add_accepted_job)
            record.record_number = self._committer.add(record)
            self._submissions_by_id[job_id] = record
            self._reserve_room(job)
        record.waiting_count += 1
        try:
            is_durable = await self._committer.wait_durable(record.record_number, DURABLE_TIMEOUT_S)
        finally:
            record.waiting_count -= 1
        if record.is_refused:
            self._submissions_by_id.pop(job_id, None)
            self._room.release(job_id)
            return NotAccepted("record_refused", RETRY_AFTER_S)
        if is_durable:
            return Accepted()
        # The record number says nothing of a withdrawn record, so none may be waited for.
        if not record.waiting_count and self._committer.withdraw(record):
            self._submissions_by_id.pop(job_id, None)
            self._room.release(job_id)
            return self._store_unavailable()
        return Undecided("store_unavailable")

    def _create_job(
        self, queue_name: str, job_id: str, workflow: Workflow, account: str
    ) -> JobProgress:
        now, now_ms = self._clocks.monotonic_s(), self._clocks.unix_ms()
        queue = self._job_table.deployment.queue(queue_name)
        return JobProgress(job_id, queue_name, workflow, now_ms, now, queue=queue, account=account)

    def _reserve_room(self, job: JobProgress) -> None:
        queue = self._job_table.deployment.queue(job.queue_name)
        if queue is not None and not job.workflow.repeat_count:
            steps = first_steps(job.workflow)
            self._room.reserve(job.job_id, queue.service, steps, job.accepted_at)

    def current_refusal(self) -> NotAccepted | None:
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

    async def show(self, job_id: str, requester: Requester) -> OwnerResponse:
        """Returns the state of a job; an end state only when it is durable."""
        job = self._find_job(job_id, requester)
        if job is not None:
            return Found(job.visible_state)
        placement = self.placer.find(job_id)
        if placement is not None:
            return PlacedElsewhere(placement.shard)
        if self._find_pending_job(job_id, requester) is not None:
            return Found(JobState.QUEUED)
        if not self._shard_lease.is_confirmed(self._clocks.monotonic_s()):
            return NotAccepted("owner_unconfirmed", RETRY_AFTER_S)
        return NoSuchJob()

    async def cancel(self, job_id: str, requester: Requester) -> OwnerResponse:
        """Cancels a job; responds when the cancellation is durable."""
        pending = self.placer.find_pending(job_id)
        if pending is not None and not await self.placer.wait_ended(pending, DURABLE_TIMEOUT_S):
            return Undecided("placement_pending")
        placement = self.placer.find(job_id)
        if placement is not None:
            return PlacedElsewhere(placement.shard)
        if not await self.acceptor.wait_ended(job_id, DURABLE_TIMEOUT_S):
            return Undecided("placement_pending")
        if self.returner.is_returning(job_id):
            return Undecided("returning")
        is_accepted = job_id in self._job_table.jobs_by_id or job_id in self._submissions_by_id
        if pending is not None and not is_accepted:
            # A submission that waited for the same placement may accept the job after this.
            return Undecided("placement_pending")
        submission = self._find_submission(job_id, requester)
        if submission is not None and not await self._committer.wait_durable(
            submission.record_number, DURABLE_TIMEOUT_S
        ):
            return Undecided("store_unavailable")
        job = self._find_job(job_id, requester)
        if job is None:
            if not self._shard_lease.is_confirmed(self._clocks.monotonic_s()):
                return NotAccepted("owner_unconfirmed", RETRY_AFTER_S)
            if self.delegator.has_live_tasks(job_id):
                return Undecided("delegated_tasks")
            return NoSuchJob()
        began_at = self._clocks.monotonic_s()
        if not job.is_ended:
            self._job_table.cancel(job, self._clocks.unix_ms())
            self._log.info("job cancelled", job=job_id)
            self._on_change()
        record_number = self._committer.last_record_number
        if not await self._committer.wait_durable(record_number, DURABLE_TIMEOUT_S):
            return Undecided("store_unavailable")
        remaining_s = DURABLE_TIMEOUT_S - (self._clocks.monotonic_s() - began_at)
        if await self.delegator.wait_ended(job_id, remaining_s):
            return Cancelled()
        return Undecided("delegated_tasks")

    async def count_waiting(self, queue_name: str) -> JobResponse:
        """Returns the number of jobs of a queue of which no task has started."""
        count = sum(
            job.queue_name == queue_name and job.state is JobState.QUEUED
            for job in self._job_table.jobs_by_id.values()
        )
        return WaitingCount(count)

    def update(self, now: float) -> None:
        """Places tasks that wait in other shards, ends those of ended jobs, and forgets others."""
        self.placer.update(now)
        self.guard.attempt("delegate_tasks", "", now, lambda: self.delegator.update(now))
        if now >= self._return_at and self.current_refusal() is None:
            self._return_at = now + RETURN_INTERVAL_S
            self.guard.attempt("return_tasks", "", now, lambda: self.returner.update(now))

    def offered_room(self, now: float) -> dict[str, RoomSummary]:
        """Returns the room by service that the shard offers to jobs of other shards."""
        if self.current_refusal() is not None:
            return {}
        # The heartbeats of all shards of this process name the room of each.
        rooms: list[dict[str, RoomSummary]] = []
        self.guard.attempt(
            "offer_room", "", now, lambda: rooms.append(self._room.summaries_by_service(now))
        )
        return rooms[0] if rooms else {}

    def _find_job(self, job_id: str, requester: Requester) -> JobProgress | None:
        job = self._job_table.jobs_by_id.get(job_id)
        return job if job is not None and self._may_access(job, requester) else None

    def _find_submission(self, job_id: str, requester: Requester) -> "_Submission | None":
        record = self._submissions_by_id.get(job_id)
        return record if record is not None and self._may_access(record.job, requester) else None

    def _find_pending_job(self, job_id: str, requester: Requester) -> JobProgress | None:
        """Returns a job that may already be accepted, although it is not in the job table."""
        submission = self._submissions_by_id.get(job_id)
        placement = self.placer.find_pending(job_id)
        if submission is not None:
            job: JobProgress | None = submission.job
        elif placement is not None:
            job = placement.job
        else:
            job = self.acceptor.pending_job(job_id)
        return job if job is not None and self._may_access(job, requester) else None

    def _may_access(self, job: JobProgress, requester: Requester) -> bool:
        return requester.may_access(job.queue_name, job.account, self._job_table.deployment)

    def add_accepted_job(self, job: JobProgress) -> None:
        """Adds a job to the job table when its record is durable, so that it is scheduled."""
        self._submissions_by_id.pop(job.job_id, None)
        self._room.release(job.job_id)
        now = self._clocks.monotonic_s()
        if job.delegated_by is None:
            self._on_accepted(job, now)
        with self._sections.measure(Section.ADD_JOB, job.job_id):
            self._job_table.add(job, now, self._clocks.unix_ms())
        self._accepted_work.record_accepted(job)
        if job.delegated_by is not None:
            self._log.info(
                "delegated task accepted",
                task=job.job_id,
                queue=job.queue_name,
                shard=self._shard,
                from_shard=job.delegated_by,
            )
            self._on_change()
            return
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
    return _is_account(job.account, account)


def _is_account(recorded: str, account: str) -> bool:
    return not recorded or recorded == account


class _Submission(JobRecord):
    """Record of a new job; calls a function when it is durable.

    Attributes:
        job: the job.
        record_number: number of the record in the committer.
        waiting_count: number of requests that wait until the record is durable.
        is_refused: whether the store will never accept the record.
    """

    def __init__(
        self, shard: int, job: JobProgress, on_durable: Callable[[JobProgress], None]
    ) -> None:
        super().__init__(shard, job)
        self.job = job
        self.record_number = 0
        self.waiting_count = 0
        self.is_refused = False
        self._on_durable = on_durable

    def on_committed(self) -> None:
        """Passes the job to the function."""
        self._on_durable(self.job)

    def on_refused(self) -> None:
        """Lets the requests that wait tell their clients."""
        self.is_refused = True
