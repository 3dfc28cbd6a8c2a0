"""Serves an owned shard: starts and stops its tasks and records their progress."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

from pollengate.failpoints import Failpoint
from pollengate.job_entry import JobEntry
from pollengate.jobs import JobSpec
from pollengate.ledger import Accepted, LedgerFailure
from pollengate.policy_builders import ShardPolicyBuilders
from pollengate.reaction import Evict, Observation, Throttle
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.shard import StartOrders
from pollengate.store import Store
from pollengate.worker import Heartbeat, HeartbeatReply, ReportState, WorkerClient
from pollengate.worker_entry import shard_of
from result import Err, Ok, Result

from pollengated.configuration_cache import ConfigurationCache
from pollengated.inbox import Inbox
from pollengated.ledger_writer import LedgerWriter
from pollengated.metrics import Metrics
from pollengated.ownership_term import OwnershipTerm
from pollengated.submissions import Submissions, ledger_refusal
from pollengated.vm_directory import VmDirectory
from pollengated.worker_calls import WorkerCalls
from pollengated.zone_drain import ZoneDrain

__all__ = ["ShardServer"]

TICK_INTERVAL_S = 0.1
WORKER_LIST_INTERVAL_S = 0.5
MAX_STARTS_PER_TICK = 200
TRANSFER_RETRY_AFTER_S = 1.0


class ShardServer:
    """Serves one shard during one ownership term.

    Runs the tick loop, the ledger writer, the inbox and the zone drain.
    """

    def __init__(
        self,
        term: OwnershipTerm,
        store: Store,
        configuration_cache: ConfigurationCache,
        vms: VmDirectory,
        connect: Callable[[str], WorkerClient],
        address: str,
        metrics: Metrics,
        policies: ShardPolicyBuilders,
        previous_leases_expire_at: float,
        shard_count: int,
    ) -> None:
        self._term = term
        self._shard_state = term.shard_state
        self._failpoints = term.failpoints
        self._configuration_cache = configuration_cache
        self._vms = vms
        self._configure_policies = policies.configure
        self._metrics = metrics
        self._reaction = policies.build_reaction()
        self._previous_leases_expire_at = previous_leases_expire_at
        self._shard_count = shard_count
        self._calls = WorkerCalls(term, connect, address, metrics)
        self._writer = LedgerWriter(term, store)
        self._submissions = Submissions(term)
        self._inbox = Inbox(term)
        self._drain = ZoneDrain(term, store, configuration_cache)
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._recording: asyncio.Task[None] | None = None
        self._was_recovered = False

    async def run(self) -> None:
        """Runs the background loops until ownership is lost or one loop fails; cancels the rest."""
        loops = [
            self._run_ticks(),
            self._writer.run(),
            self._submissions.run(),
            self._inbox.run(),
            self._drain.run(),
        ]
        tasks = [asyncio.create_task(loop) for loop in loops]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def submit(self, spec: JobSpec) -> Result[Accepted, Refusal]:
        """Records a job in the ledger and queues its tasks."""
        result = await self._submissions.submit(spec)
        self._wake.set()
        return result

    async def find_job(self, job_id: str) -> JobEntry | None:
        """Returns a job of the shard, None if unknown; polls the inbox first if necessary."""
        if job_id not in self._shard_state.jobs_by_id:
            await self._inbox.poll()
        return self._shard_state.jobs_by_id.get(job_id)

    async def cancel(self, job: JobEntry) -> Result[None, Refusal]:
        """Records a cancellation; concurrent calls share one ledger write.

        Returns:
            A refusal if the job is being transferred, or if the write failed. After a failed write
            the outcome is unknown, since the change stays pending and a later write may record it.
        """
        if job.is_transferring:
            detail = f"task {job.spec.job_id!r} is being transferred to another availability zone"
            return Err(Refusal(Outcome.NOT_RUN, Reason.NO_OWNER, detail, TRANSFER_RETRY_AFTER_S))
        if not job.is_cancelled and not job.has_ended:
            self._shard_state.changes.add_cancellation(job.spec.job_id)
            result = await self._writer.wait_until_recorded()
            if isinstance(result, Err):
                refusal = ledger_refusal(result.err_value)
                return Err(dataclasses.replace(refusal, outcome=Outcome.UNKNOWN))
            await self._failpoints.reach(Failpoint.CANCEL_RECORDED, job.spec.job_id)
            self._wake.set()
        return Ok(None)

    def heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Applies a heartbeat and passes its usage measurements to the reaction policy."""
        now = asyncio.get_running_loop().time()
        reply = self._shard_state.heartbeat(heartbeat, now)
        if reply.accepted and heartbeat.usage:
            measured_at = now - heartbeat.usage_age_s
            self._reaction.observe(Observation(heartbeat.worker_id, measured_at, heartbeat.usage))
        if any(report.state is not ReportState.RUNNING for report in heartbeat.reports):
            self._wake.set()
        return reply

    async def quiesce(self) -> None:
        """Withdraws unsent start orders and waits for calls in flight."""
        await self._calls.drain_starts()
        if self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def flush(self) -> Result[None, LedgerFailure]:
        """Writes every pending change to the ledger."""
        return await self._writer.wait_until_recorded()

    async def close(self) -> None:
        """Cancels the calls to workers and closes their connections."""
        tasks = [*self._tasks, *([self._recording] if self._recording else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._calls.close()

    async def _run_ticks(self) -> None:
        loop = asyncio.get_running_loop()
        next_listing_at = 0.0
        while self._term.is_valid():
            self._wake.clear()
            if loop.time() >= next_listing_at:
                self._update_workers()
                next_listing_at = loop.time() + WORKER_LIST_INTERVAL_S
            await self._tick()
            try:
                async with asyncio.timeout(TICK_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _tick(self) -> None:
        self._configure_policies(self._configuration_cache.current)
        self._shard_state.expire_workers(asyncio.get_running_loop().time())
        await self._apply_reactions()
        self._calls.call_pending_workers()
        self._record_workers()
        self._start_tasks()
        if self._shard_state.is_recovered and not self._was_recovered:
            self._was_recovered = True
            await self._failpoints.reach(Failpoint.RECOVERY_FINISHED)

    def _update_workers(self) -> None:
        zone, number = self._term.ownership.zone, self._term.ownership.shard
        machines = [
            vm for vm in self._vms.workers(zone) if shard_of(vm.vm_id, self._shard_count) == number
        ]
        self._shard_state.apply_vm_listing(machines, self._previous_leases_expire_at)

    def _record_workers(self) -> None:
        is_recording = self._recording is not None and not self._recording.done()
        if self._shard_state.workers.unrecorded and not is_recording:
            self._recording = asyncio.create_task(self._record_workers_once())

    async def _record_workers_once(self) -> None:
        worker_ids = list(self._shard_state.workers.unrecorded)
        machines = self._shard_state.workers.vms_to_record()
        result = await self._term.ledger.record_workers(machines, self._term.epoch)
        await self._failpoints.reach(Failpoint.WORKER_RECORDED)
        if isinstance(result, Ok):
            self._shard_state.workers.mark_recorded(worker_ids)
            self._wake.set()

    def _start_tasks(self) -> None:
        if not self._term.may_start():
            return
        for plan in self._shard_state.plan_starts(MAX_STARTS_PER_TICK):
            if plan.has_intents:
                self._spawn(self._start_recorded(plan))
            else:
                self._calls.send_starts(plan)

    async def _start_recorded(self, plan: StartOrders) -> None:
        await self._failpoints.reach(Failpoint.START_PLANNED, plan.worker_id)
        result = await self._writer.wait_until_recorded()
        await self._failpoints.reach(Failpoint.INTENT_RECORDED, plan.worker_id)
        if isinstance(result, Err) or not self._term.may_start():
            self._shard_state.withdraw_starts(plan.orders)
        else:
            self._calls.send_starts(plan)

    async def _apply_reactions(self) -> None:
        for task_id in self._shard_state.pop_departed_tasks():
            self._reaction.on_task_left(task_id)
        for action in self._reaction.decide(asyncio.get_running_loop().time()):
            if isinstance(action, Evict):
                await self._failpoints.reach(Failpoint.EVICT_REQUESTED, action.task_id)
                self._shard_state.evict(action.task_id)
                self._metrics.evictions.inc()
            else:
                self._throttle(action)

    def _throttle(self, action: Throttle) -> None:
        found = self._shard_state.find_on_worker(action.task_id)
        if found is not None and found[0] == action.worker_id:
            self._metrics.throttles.inc()
            self._spawn(self._calls.throttle(action.worker_id, found[1], action.share))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
