"""The life cycle of one shard in one process: acquire, recover, serve, hand over."""

import asyncio
from collections.abc import Callable
from typing import Any

from pollengate.failpoints import Failpoint, FailpointHook, NoFailpoints
from pollengate.job_entry import JobEntry
from pollengate.jobs import JobSpec
from pollengate.ledger import Accepted, Ledger
from pollengate.owner_lease import AcquiredShard, OwnerLease
from pollengate.ownership import Ownership
from pollengate.ownership_guard import OwnershipGuard, StoreGuard
from pollengate.policy_builders import ShardPolicyBuilders
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.shard import Shard
from pollengate.store import Store
from pollengate.worker import Heartbeat, HeartbeatReply, ReportState, WorkerClient
from pollengate.worker_entry import lease_expiry
from prometheus_client import Gauge
from result import Err, Ok, Result

from pollengated.configuration_cache import ConfigurationCache
from pollengated.logs import Log
from pollengated.metrics import Metrics
from pollengated.ownership_term import OwnershipTerm
from pollengated.shard_server import ShardServer
from pollengated.vm_directory import VmDirectory

__all__ = ["ShardOwner"]

RENEW_INTERVAL_S = 0.8
STANDBY_POLL_INTERVAL_S = 1.0
WATCH_RETRY_DELAY_S = 1.0

_FAILPOINT_BY_REPORT_STATE = {
    ReportState.FINISHED: Failpoint.FINISH_REPORTED,
    ReportState.CHECKPOINTED: Failpoint.CHECKPOINT_REPORTED,
}


class ShardOwner:
    """Acquires one shard when it has no owner, serves it, and is a standby otherwise.

    Attributes:
        zone: the zone of the shard.
        number: its number within the zone.
        ownership: whether, and until when, this process owns the shard.
        shard_state: the shard's jobs and workers in the current or the last ownership term.
    """

    def __init__(
        self,
        zone: str,
        shard: int,
        process_id: str,
        address: str,
        store: Store,
        configuration_cache: ConfigurationCache,
        vms: VmDirectory,
        connect: Callable[[str], WorkerClient],
        metrics: Metrics,
        policies: ShardPolicyBuilders | None = None,
        failpoints: FailpointHook | None = None,
        shard_count: int = 1,
        guard: OwnershipGuard | None = None,
    ) -> None:
        self.zone = zone
        self.number = shard
        self.ownership = Ownership(zone, shard)
        self._policies = policies if policies is not None else ShardPolicyBuilders()
        self._failpoints = failpoints if failpoints is not None else NoFailpoints()
        self.shard_state = self._new_shard_state()
        self._address = address
        self._store = store
        self._configuration_cache = configuration_cache
        self._vms = vms
        self._connect = connect
        self._metrics = metrics
        self._shard_count = shard_count
        guard = guard if guard is not None else StoreGuard(store)
        self._lease = OwnerLease(
            store, self.ownership, process_id, address, self._failpoints, guard
        )
        self._server: ShardServer | None = None
        self._stopping = asyncio.Event()
        self._released = asyncio.Event()
        self._log = Log("owner")

    async def run(self) -> None:
        """Acquires the shard whenever it has no owner and serves it, until stopped or cancelled."""
        watcher = asyncio.create_task(self._watch_release())
        try:
            while not self._stopping.is_set():
                self._released.clear()
                acquired = await self._lease.acquire()
                if acquired is not None:
                    await self._run_term(acquired)
                else:
                    await self._wait_for_release()
        finally:
            watcher.cancel()

    def stop(self) -> None:
        """Makes `run` hand the shard over and return."""
        self._stopping.set()
        self._released.set()

    def is_valid(self) -> bool:
        """Whether this process owns the shard now, in any state."""
        return self.ownership.is_valid(asyncio.get_running_loop().time())

    def is_serving(self) -> bool:
        """Whether this process owns the shard now and answers calls for it."""
        return self.ownership.is_serving(asyncio.get_running_loop().time())

    async def submit(self, spec: JobSpec) -> Result[Accepted, Refusal]:
        """Records a job in the ledger and queues its tasks.

        Returns:
            The job's location and whether it is new, or why it was refused.
        """
        if self._server is None or not self.is_serving():
            return Err(self._no_owner())
        return await self._server.submit(spec)

    async def cancel(self, job_id: str) -> Result[JobEntry, Refusal]:
        """Cancels a job.

        Returns:
            The job once its cancellation is durable; its tasks may still be stopping. Otherwise
            why it was refused.
        """
        server = self._server
        if server is None or not self.is_serving():
            return Err(self._no_owner())
        await self._failpoints.reach(Failpoint.CANCEL_RECEIVED, job_id)
        job = await server.find_job(job_id)
        if job is None:
            detail = f"task {job_id!r} does not exist"
            return Err(Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, detail))
        result = await server.cancel(job)
        return result.map(lambda _: job)

    async def find_job(self, job_id: str) -> JobEntry | None:
        """Returns a job of the shard, also one whose transfer is in progress; None if unknown."""
        server = self._server
        return await server.find_job(job_id) if server is not None else None

    async def heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Applies a worker's heartbeat; it is rejected unless it names the current epoch."""
        await self._failpoints.reach(Failpoint.HEARTBEAT_RECEIVED, heartbeat.worker_id)
        if self._server is None or not self.is_serving() or heartbeat.epoch != self.ownership.epoch:
            return HeartbeatReply(accepted=False)
        reply = self._server.heartbeat(heartbeat)
        for report in heartbeat.reports:
            if report.state in _FAILPOINT_BY_REPORT_STATE:
                await self._failpoints.reach(
                    _FAILPOINT_BY_REPORT_STATE[report.state], report.ref.task_id
                )
        await self._failpoints.reach(Failpoint.HEARTBEAT_ANSWERING, heartbeat.worker_id)
        return reply

    async def _run_term(self, acquired: AcquiredShard) -> None:
        term = OwnershipTerm(
            self.ownership,
            self._new_shard_state(),
            Ledger(self._store, self.zone, self.number),
            self._failpoints,
            self._may_start,
        )
        renewing = asyncio.create_task(self._renew(term))
        try:
            if await self._recover(term, acquired):
                await self._serve(term, renewing)
        finally:
            renewing.cancel()
            self._server = None
            term.drop()
            self._epoch_gauge().set(0)
            self._log.info(
                "ownership of shard ended", zone=self.zone, shard=self.number, epoch=term.epoch
            )

    async def _recover(self, term: OwnershipTerm, acquired: AcquiredShard) -> bool:
        previous_leases_expire_at = lease_expiry(asyncio.get_running_loop().time())
        contents = await term.ledger.read()
        await self._failpoints.reach(Failpoint.LEDGER_READ)
        if isinstance(contents, Err) or not term.is_valid():
            return False
        self.shard_state = term.shard_state
        self._policies.configure(self._configuration_cache.current)
        for record in contents.ok_value.records:
            self.shard_state.restore(record)
        workers = contents.ok_value.workers
        if acquired.assignments is None:
            self.shard_state.begin_recovery(workers, previous_leases_expire_at)
        else:
            self.shard_state.apply_handover(
                acquired.assignments, workers, previous_leases_expire_at
            )
        self._server = ShardServer(
            term,
            self._store,
            self._configuration_cache,
            self._vms,
            self._connect,
            self._address,
            self._metrics,
            self._policies,
            previous_leases_expire_at,
            self._shard_count,
        )
        self.ownership.mark_recovered()
        self._epoch_gauge().set(term.epoch)
        self._log.info("shard taken", zone=self.zone, shard=self.number, epoch=term.epoch)
        return True

    async def _serve(self, term: OwnershipTerm, renewing: asyncio.Task[None]) -> None:
        server = self._server
        assert server is not None
        serving = asyncio.create_task(server.run())
        stopping = asyncio.create_task(self._stopping.wait())
        try:
            await asyncio.wait((renewing, serving, stopping), return_when=asyncio.FIRST_COMPLETED)
            if stopping.done() and not serving.done():
                await self._hand_over(term, server)
            for task in (serving, renewing):
                if task.done():
                    task.result()
        finally:
            await _cancel_all(serving, stopping)
            await server.close()

    async def _hand_over(self, term: OwnershipTerm, server: ShardServer) -> None:
        await self._failpoints.reach(Failpoint.STOP_REQUESTED)
        if not term.is_serving():
            return
        self.ownership.stop()
        await server.quiesce()
        await self._failpoints.reach(Failpoint.STARTS_DRAINED)
        if isinstance(await server.flush(), Ok) and term.is_valid():
            shard_state = term.shard_state
            assignments = shard_state.assignments() if shard_state.is_recovered else None
            is_confirmed = await self._lease.hand_over(assignments)
            self._log.info("shard handed over", shard=self.number, confirmed=is_confirmed)

    async def _renew(self, term: OwnershipTerm) -> None:
        loop = asyncio.get_running_loop()
        while term.is_valid():
            next_at = loop.time() + RENEW_INTERVAL_S
            await self._lease.renew()
            await asyncio.sleep(max(0.0, next_at - loop.time()))

    async def _wait_for_release(self) -> None:
        try:
            async with asyncio.timeout(STANDBY_POLL_INTERVAL_S):
                await self._released.wait()
        except TimeoutError:
            return

    async def _watch_release(self) -> None:
        while True:
            async for event in self._store.watch(self._lease.key, 0):
                if event.entry is None:
                    self._released.set()
            await asyncio.sleep(WATCH_RETRY_DELAY_S)

    def _new_shard_state(self) -> Shard:
        policies = self._policies
        placement, queue = policies.build_placement(), policies.build_queue()
        return Shard(placement, queue, self.ownership.epoch, policies.build_outcome_listener())

    def _may_start(self) -> bool:
        now = asyncio.get_running_loop().time()
        configuration_cache = self._configuration_cache
        return configuration_cache.freshness.is_fresh(
            now
        ) and configuration_cache.current.is_in_service(self.zone)

    def _no_owner(self) -> Refusal:
        if self._stopping.is_set():
            detail = f"shard {self.number} of {self.zone} is being handed over"
            return Refusal(Outcome.NOT_RUN, Reason.STOPPING, detail, 1.0)
        detail = f"this process does not own shard {self.number} of {self.zone}"
        return Refusal(Outcome.NOT_RUN, Reason.NO_OWNER, detail, 1.0)

    def _epoch_gauge(self) -> Gauge:
        return self._metrics.owner_epoch.labels(self.zone, str(self.number))


async def _cancel_all(*tasks: asyncio.Task[Any]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
