"""Drains a shard whose zone is out of service: transfers its jobs to zones in service."""

import asyncio
import itertools

from pollengate.configuration import Zone
from pollengate.failpoints import Failpoint
from pollengate.job_entry import JobEntry
from pollengate.ledger import JobLocation
from pollengate.ownership import OWNERS_PREFIX, decode_owner
from pollengate.store import FailureKind, Store
from result import Err, Ok

from pollengated.configuration_cache import ConfigurationCache
from pollengated.logs import Log
from pollengated.ownership_term import OwnershipTerm

__all__ = ["ZoneDrain"]

POLL_INTERVAL_S = 0.5
MAX_JOBS_PER_TRANSFER = 24
# Tasks longer than this part of the grace period are checkpointed at once, others after it.
CHECKPOINT_GRACE_FRACTION = 0.5


class ZoneDrain:
    """Evicts tasks within the grace period, with checkpoints; transfers jobs that run nowhere."""

    def __init__(
        self, term: OwnershipTerm, store: Store, configuration_cache: ConfigurationCache
    ) -> None:
        self._term = term
        self._shard_state = term.shard_state
        self._store = store
        self._configuration_cache = configuration_cache
        self._started_at: float | None = None
        self._targets_by_job_id: dict[str, JobLocation] = {}
        self._log = Log("drain")

    async def run(self) -> None:
        """Drains the shard while its zone is out of service, until cancelled."""
        while True:
            zone = self._configuration_cache.current.zones_by_name.get(self._term.ownership.zone)
            await self._resolve_transfers()
            if zone is None or zone.in_service:
                self._started_at = None
            elif self._term.is_serving():
                await self._drain(zone)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _drain(self, zone: Zone) -> None:
        now = asyncio.get_running_loop().time()
        if self._started_at is None:
            self._started_at = now
            await self._term.failpoints.reach(Failpoint.DRAIN_STARTED)
        self._evict(zone.drain_grace_s, now - self._started_at)
        transferable = [
            job for job in self._shard_state.jobs_by_id.values() if self._may_transfer(job)
        ]
        if transferable:
            await self._transfer_jobs(transferable, await self._find_targets())

    def _evict(self, grace_s: float, elapsed_s: float) -> None:
        """Evicts the tasks that are due.

        Long tasks are checkpointed at once, others after `CHECKPOINT_GRACE_FRACTION` of the grace
        period. At its end, idempotent tasks are stopped without a checkpoint.
        """
        for worker_id, worker in list(self._shard_state.workers_by_id.items()):
            stopping = {stop.ref.task_id for stop in self._shard_state.stop_orders(worker_id)}
            for task_id in sorted(worker.task_ids):
                job = self._shard_state.jobs_by_id[task_id.rpartition(".")[0]]
                is_long = job.spec.duration_ms / 1000 > grace_s * CHECKPOINT_GRACE_FRACTION
                if elapsed_s >= grace_s and job.spec.idempotent:
                    self._shard_state.evict(task_id, checkpoint=False)
                elif task_id not in stopping and (
                    is_long or elapsed_s >= grace_s * CHECKPOINT_GRACE_FRACTION
                ):
                    self._shard_state.evict(task_id)

    async def _find_targets(self) -> list[JobLocation]:
        listing = await self._store.list(OWNERS_PREFIX)
        if isinstance(listing, Err):
            return []
        owners = [decode_owner(entry) for entry in listing.ok_value.entries]
        configuration = self._configuration_cache.current
        return [
            JobLocation(owner.zone, owner.shard)
            for owner in owners
            if configuration.is_in_service(owner.zone)
        ]

    async def _transfer_jobs(
        self, transferable: list[JobEntry], targets: list[JobLocation]
    ) -> None:
        for target in itertools.cycle(targets):
            jobs = [job for job in transferable[:MAX_JOBS_PER_TRANSFER] if self._may_transfer(job)]
            transferable = transferable[MAX_JOBS_PER_TRANSFER:]
            if not jobs or not await self._transfer(jobs, target):
                return

    def _may_transfer(self, job: JobEntry) -> bool:
        is_changing = self._shard_state.changes.has(job.spec.job_id)
        return job.is_transferable and not job.is_transferring and not is_changing

    async def _transfer(self, jobs: list[JobEntry], target: JobLocation) -> bool:
        for job in jobs:
            self._shard_state.suspend(job)
        await self._term.failpoints.reach(Failpoint.TRANSFER_WRITING)
        if not self._term.is_serving():
            return False
        for job in jobs:
            self._targets_by_job_id[job.spec.job_id] = target
        result = await self._term.ledger.transfer_jobs(jobs, target, self._term.epoch)
        await self._term.failpoints.reach(Failpoint.TRANSFER_WRITTEN)
        if isinstance(result, Err):
            if getattr(result.err_value, "kind", None) is not FailureKind.UNKNOWN:
                self._cancel_transfers(jobs)
            return False
        self._finish_transfers(jobs)
        self._log.info("jobs transferred", jobs=len(jobs), zone=target.zone, shard=target.shard)
        return True

    def _cancel_transfers(self, jobs: list[JobEntry]) -> None:
        for job in jobs:
            del self._targets_by_job_id[job.spec.job_id]
            self._shard_state.resume(job)

    def _finish_transfers(self, jobs: list[JobEntry]) -> None:
        for job in jobs:
            del self._targets_by_job_id[job.spec.job_id]
            self._shard_state.forget(job.spec.job_id)

    async def _resolve_transfers(self) -> None:
        """Retries transfers whose write got no reply, until each is known to have taken effect."""
        for job_id, target in list(self._targets_by_job_id.items()):
            job = self._shard_state.jobs_by_id.get(job_id)
            if job is None or not job.is_transferring:
                del self._targets_by_job_id[job_id]
            elif self._term.is_serving() and await self._retry_transfer(job, target):
                self._finish_transfers([job])

    async def _retry_transfer(self, job: JobEntry, target: JobLocation) -> bool:
        ledger = self._term.ledger
        result = await ledger.transfer_jobs([job], target, self._term.epoch)
        if isinstance(result, Ok):
            return True
        is_transferred = await ledger.is_transferred(job.spec.job_id)
        return isinstance(is_transferred, Ok) and is_transferred.ok_value
