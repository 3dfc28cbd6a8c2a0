"""Owns one shard: takes it, recovers it, starts its tasks and records their ends."""

import asyncio
import zlib
from collections.abc import Callable

from pollengate.jobs import JobSpec
from pollengate.ledger import Accepted, Ledger, LedgerConflict
from pollengate.ownership import OWNER_LEASE_S, Ownership, owner_key
from pollengate.policy import ShardPolicy
from pollengate.reaction import Action, Throttle
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.shard import (
    CLOCK_MARGIN_S,
    WORKER_LEASE_S,
    JobBook,
    Shard,
    StartOrders,
)
from pollengate.store import FailureKind, Put, Store, Unchanged
from pollengate.worker import Heartbeat, HeartbeatAnswer, TaskRef, WorkerClient
from prometheus_client import Gauge
from result import Err, Ok, Result

from pollengated.configuration_follower import ConfigurationFollower
from pollengated.logs import Log
from pollengated.metrics import Metrics
from pollengated.owner_directory import owner_to_value
from pollengated.vm_directory import VmDirectory

__all__ = ["ShardOwner"]

TICK_INTERVAL_S = 0.1
RENEW_INTERVAL_S = 1.0
STANDBY_INTERVAL_S = 0.5
START_BATCH = 200


class ShardOwner:
    """Runs one shard for as long as this process owns it."""

    def __init__(
        self,
        zone: str,
        shard: int,
        process_id: str,
        address: str,
        store: Store,
        follower: ConfigurationFollower,
        vms: VmDirectory,
        connect: Callable[[str], WorkerClient],
        metrics: Metrics,
    ) -> None:
        self.zone = zone
        self.number = shard
        self.ownership = Ownership(zone, shard)
        self.books = self._new_books()
        self._process_id = process_id
        self._address = address
        self._store = store
        self._ledger = Ledger(store, zone, shard)
        self._follower = follower
        self._vms = vms
        self._connect = connect
        self._clients_by_worker: dict[str, WorkerClient] = {}
        self._metrics = metrics
        self._lease_id = 0
        self._log = Log("owner")

    async def run(self) -> None:
        """Takes the shard whenever it is free and runs it, until cancelled."""
        while True:
            if await self._take():
                await self._run_owned()
                self._drop()
            await asyncio.sleep(STANDBY_INTERVAL_S)

    def is_held(self) -> bool:
        """Tells whether this process may act for the shard now."""
        return self.ownership.is_held(asyncio.get_running_loop().time())

    async def submit(self, spec: JobSpec) -> Result[Accepted, Refusal]:
        """Records a job and queues its tasks."""
        if not self.is_held():
            return Err(_no_owner())
        result = await self._ledger.accept(spec, self.ownership.epoch)
        if isinstance(result, Err):
            return Err(self._ledger_refusal(result.err_value))
        if result.ok_value.is_new:
            self.books.accept(spec)
        return Ok(result.ok_value)

    async def cancel(self, job_id: str) -> Result[JobBook, Refusal]:
        """Cancels a job and records it before the answer."""
        if not self.is_held():
            return Err(_no_owner())
        job = self.books.jobs_by_id.get(job_id)
        if job is None:
            return Err(_not_found(job_id))
        stops = self.books.cancel(job_id)
        recorded = await self._flush()
        await self._stop_tasks(stops)
        if isinstance(recorded, Err):
            return recorded
        return Ok(job)

    def heartbeat(self, beat: Heartbeat) -> HeartbeatAnswer:
        """Takes in a worker's heartbeat."""
        if not self.is_held() or beat.epoch != self.ownership.epoch:
            return HeartbeatAnswer(accepted=False)
        return self.books.heartbeat(beat, asyncio.get_running_loop().time())

    async def _take(self) -> bool:
        loop = asyncio.get_running_loop()
        key = owner_key(self.zone, self.number)
        present = await self._store.get(key)
        if isinstance(present, Err) or present.ok_value is not None:
            return False
        asked_at = loop.time()
        lease = await self._store.grant_lease(OWNER_LEASE_S)
        if isinstance(lease, Err):
            return False
        value = owner_to_value(self._process_id, self._address)
        write = Put(key, value, lease.ok_value)
        result = await self._store.commit((Unchanged(key, 0),), (write,))
        if isinstance(result, Err) or not result.ok_value.succeeded:
            return False
        self._lease_id = lease.ok_value
        self.ownership.take(result.ok_value.revision, asked_at, OWNER_LEASE_S)
        return await self._recover()

    async def _recover(self) -> bool:
        records = await self._ledger.read()
        if isinstance(records, Err):
            return False
        for record in records.ok_value:
            self.books.accept(record.spec)
            for state, task_ids in record.ended_by_state.items():
                self.books.restore(record.spec.job_id, task_ids, state)
        self._gauge().set(self.ownership.epoch)
        self._log.info("shard taken", zone=self.zone, shard=self.number, epoch=self._epoch())
        return True

    async def _run_owned(self) -> None:
        loop = asyncio.get_running_loop()
        leases_lapse_at = loop.time() + WORKER_LEASE_S + CLOCK_MARGIN_S
        renew_at = 0.0
        while self.is_held():
            if loop.time() >= renew_at:
                await self._renew()
                renew_at = loop.time() + RENEW_INTERVAL_S
            self._policy.configure(self._follower.current)
            await self._attach_workers(leases_lapse_at)
            self.books.expire_workers(loop.time())
            if loop.time() >= leases_lapse_at:
                await self._start_tasks()
            await self._act()
            await self._flush()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _renew(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        result = await self._store.keep_lease(self._lease_id)
        if isinstance(result, Ok) and result.ok_value > 0:
            self.ownership.renew(asked_at, result.ok_value)

    async def _attach_workers(self, leases_lapse_at: float) -> None:
        machines = self._vms.workers(self.zone)
        worker_ids = self.books.list_machines(machines, leases_lapse_at)
        await asyncio.gather(*(self._attach(worker_id) for worker_id in worker_ids))

    async def _attach(self, worker_id: str) -> None:
        result = await self._client(worker_id).attach(self._epoch(), self._address)
        if isinstance(result, Err) or not result.ok_value.accepted or not self.is_held():
            return
        now = asyncio.get_running_loop().time()
        self.books.attach(worker_id, result.ok_value.reports, now)

    async def _start_tasks(self) -> None:
        now = asyncio.get_running_loop().time()
        follower = self._follower
        if not follower.freshness.is_fresh(now) or not follower.current.is_in_service(self.zone):
            return
        plans = self.books.plan_starts(START_BATCH)
        await asyncio.gather(*(self._send_starts(plan) for plan in plans))

    async def _send_starts(self, plan: StartOrders) -> None:
        result = await self._client(plan.worker_id).start(self._epoch(), plan.orders)
        if isinstance(result, Ok):
            self.books.answer_starts(result.ok_value)
            self._metrics.starts.inc(sum(answer.accepted for answer in result.ok_value))
        elif not result.err_value.sent:
            self.books.withdraw_starts(plan.orders)

    async def _act(self) -> None:
        """Carries out throttles and evictions; one that fails is decided on again later."""
        planned = self.books.plan_actions(asyncio.get_running_loop().time())
        await asyncio.gather(*(self._act_once(action, ref) for action, ref in planned))

    async def _act_once(self, action: Action, ref: TaskRef) -> None:
        client = self._client(action.worker_id)
        if isinstance(action, Throttle):
            await client.throttle(self._epoch(), ref, action.share)
            self._metrics.throttles.inc()
        else:
            await client.stop(self._epoch(), (ref,), checkpoint=True)
            self._metrics.evictions.inc()

    async def _stop_tasks(self, stops: list[tuple[str, TaskRef]]) -> None:
        refs_by_worker: dict[str, list[TaskRef]] = {}
        for worker_id, ref in stops:
            refs_by_worker.setdefault(worker_id, []).append(ref)
        for worker_id, refs in refs_by_worker.items():
            await self._client(worker_id).stop(self._epoch(), refs, checkpoint=False)

    async def _flush(self) -> Result[None, Refusal]:
        changed = self.books.take_changed_jobs()
        if not changed:
            return Ok(None)
        result = await self._ledger.flush(changed, self._epoch())
        if isinstance(result, Ok):
            return Ok(None)
        for job in changed:
            job.is_changed = True
        return Err(self._ledger_refusal(result.err_value))

    def _ledger_refusal(self, failure: object) -> Refusal:
        if isinstance(failure, LedgerConflict):
            self.ownership.drop()
            return _no_owner()
        kind = getattr(failure, "kind", FailureKind.UNKNOWN)
        outcome = Outcome.UNKNOWN if kind is FailureKind.UNKNOWN else Outcome.NOT_RUN
        detail = "the platform's store did not answer"
        return Refusal(outcome, Reason.STORE_UNAVAILABLE, detail, 2.0)

    def _drop(self) -> None:
        self._log.info("shard lost", zone=self.zone, shard=self.number, epoch=self._epoch())
        self.ownership.drop()
        self.books = self._new_books()
        self._gauge().set(0)

    def _new_books(self) -> Shard:
        """Builds empty books with a policy that has learned nothing."""
        seed = zlib.crc32(f"{self.zone}/{self.number}".encode())
        self._policy = ShardPolicy(self.zone, seed, asyncio.get_running_loop().time)
        policy = self._policy
        return Shard(policy.placement, policy.queue, policy.reaction, policy.outcomes)

    def _client(self, worker_id: str) -> WorkerClient:
        client = self._clients_by_worker.get(worker_id)
        if client is None:
            client = self._connect(self.books.workers_by_id[worker_id].vm.address)
            self._clients_by_worker[worker_id] = client
        return client

    def _epoch(self) -> int:
        return self.ownership.epoch

    def _gauge(self) -> Gauge:
        return self._metrics.owner_epoch.labels(self.zone, str(self.number))


def _no_owner() -> Refusal:
    detail = "this process does not own the shard"
    return Refusal(Outcome.NOT_RUN, Reason.NO_OWNER, detail, 1.0)


def _not_found(job_id: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, f"task {job_id!r} does not exist")
