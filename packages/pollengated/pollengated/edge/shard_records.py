"""Reads the records of a shard at a takeover."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeVar

from pollengate.store import Entry, Listing, PolledStore, StoreFailure
from pollengate.workflow.keys import (
    TRANSFER_PREFIX,
    commit_key,
    interference_record_key,
    job_prefix,
    placement_prefix,
    progress_prefix,
    run_lists_key,
    settled_incarnations_key,
    unanswered_starts_key,
)
from pollengate.workflow.shard_lease import ShardLease
from result import Err, Ok, Result

from pollengated.edge.clocks import Clocks
from pollengated.edge.recorded_workers import RecordedWorkers
from pollengated.logs import Log

__all__ = ["ReadAbandoned", "ShardRecords", "ShardRecordsReader"]

RETRY_S = 0.1
# If reads fail for this long while renewals of the lease succeed, another process may do better.
STALLED_AFTER_S = 1.5
# The store is not available to this process at all if no renewal succeeds for this long.
RENEWED_WITHIN_S = 1.5

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True)
class ShardRecords:
    """The records of a shard as stored; no process writes them while its new owner reads them.

    Attributes:
        commit: number of the newest commit, None before the first.
        recorded_workers: list of the workers that may run tasks.
        run_lists: lists of what may run on workers that get no starts.
        settled_incarnations: incarnations of workers whose leases all end by their own clocks.
        unanswered_starts: start orders without a response.
        interference: probabilities that images interfere.
        jobs: jobs as accepted.
        progress: progress of the jobs.
        placements: shards in which jobs of the shard were placed.
        transfers: shards of transferred workers, and requests of all shards for workers.
    """

    commit: Entry | None
    recorded_workers: Entry | None
    run_lists: Entry | None
    settled_incarnations: Entry | None
    unanswered_starts: Entry | None
    interference: Entry | None
    jobs: tuple[Entry, ...]
    progress: tuple[Entry, ...]
    placements: tuple[Entry, ...]
    transfers: Listing


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAbandoned:
    """The records could not be read.

    Attributes:
        is_stalled: whether reads failed although renewals of the lease succeeded; False if the
            lease became invalid.
        cause: the last failure, for logs.
    """

    is_stalled: bool
    cause: str


class ShardRecordsReader:
    """Reads the records of a shard; a read that has succeeded is not repeated.

    Args:
        shard: number of the shard.
        store: the platform's store.
        shard_lease: the owner's lease.
        clocks: the process's clocks.
    """

    def __init__(
        self, shard: int, store: PolledStore, shard_lease: ShardLease, clocks: Clocks
    ) -> None:
        self._shard = shard
        self._store = store
        self._shard_lease = shard_lease
        self._clocks = clocks
        self._failing_since: float | None = None
        self._log = Log("owner")

    async def read(self) -> Result[ShardRecords, ReadAbandoned]:
        """Reads all records; takes as long as reads succeed in the end."""
        commit = await self._get(commit_key(self._shard))
        if isinstance(commit, Err):
            return commit
        recorded_workers = await self._get(RecordedWorkers.key_of(self._shard))
        if isinstance(recorded_workers, Err):
            return recorded_workers
        run_lists = await self._get(run_lists_key(self._shard))
        if isinstance(run_lists, Err):
            return run_lists
        settled_incarnations = await self._get(settled_incarnations_key(self._shard))
        if isinstance(settled_incarnations, Err):
            return settled_incarnations
        unanswered_starts = await self._get(unanswered_starts_key(self._shard))
        if isinstance(unanswered_starts, Err):
            return unanswered_starts
        interference = await self._get(interference_record_key(self._shard))
        if isinstance(interference, Err):
            return interference
        jobs = await self._list(job_prefix(self._shard))
        if isinstance(jobs, Err):
            return jobs
        progress = await self._list(progress_prefix(self._shard))
        if isinstance(progress, Err):
            return progress
        placements = await self._list(placement_prefix(self._shard))
        if isinstance(placements, Err):
            return placements
        transfers = await self._list(TRANSFER_PREFIX)
        if isinstance(transfers, Err):
            return transfers
        return Ok(
            ShardRecords(
                commit.ok_value,
                recorded_workers.ok_value,
                run_lists.ok_value,
                settled_incarnations.ok_value,
                unanswered_starts.ok_value,
                interference.ok_value,
                jobs.ok_value.entries,
                progress.ok_value.entries,
                placements.ok_value.entries,
                transfers.ok_value,
            )
        )

    async def _get(self, key: str) -> Result[Entry | None, ReadAbandoned]:
        return await self._repeat(lambda: self._store.get(key))

    async def _list(self, prefix: str) -> Result[Listing, ReadAbandoned]:
        return await self._repeat(lambda: self._store.list(prefix))

    async def _repeat(
        self, read: Callable[[], Awaitable[Result[_T, StoreFailure]]]
    ) -> Result[_T, ReadAbandoned]:
        """Repeats a read until it succeeds or is abandoned."""
        while True:
            result = await read()
            if not isinstance(result, Err):
                self._failing_since = None
                return Ok(result.ok_value)
            cause = result.err_value.detail
            now = self._clocks.monotonic_s()
            if not self._shard_lease.is_valid(now):
                return self._abandon(False, cause)
            if self._is_stalled(now):
                return self._abandon(True, cause)
            self._log.warning(
                "cannot read the shard records; trying again", shard=self._shard, cause=cause
            )
            await asyncio.sleep(RETRY_S)

    def _abandon(self, is_stalled: bool, cause: str) -> Err[ReadAbandoned]:
        self._log.warning(
            "cannot read the shard records; giving up the shard",
            shard=self._shard,
            stalled=is_stalled,
            cause=cause,
        )
        return Err(ReadAbandoned(is_stalled, cause))

    def _is_stalled(self, now: float) -> bool:
        """Records a failure; returns whether reads have failed for too long."""
        if self._shard_lease.silent_s(now) >= RENEWED_WITHIN_S:
            self._failing_since = None
            return False
        if self._failing_since is None:
            self._failing_since = now
        return now - self._failing_since >= STALLED_AFTER_S
