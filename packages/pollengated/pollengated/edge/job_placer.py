"""Places the new jobs of a shard in other shards if it has no room for them.

If the reply of another owner is lost, the job's placement record decides: this owner tries to
create it with its own shard. If it is absent until then, no other shard can get the job any more.
"""

import asyncio
import dataclasses
from collections.abc import Iterable

from pollengate.store import Entry
from pollengate.workflow.job_placement import (
    StoredPlacement,
    decode_placement,
    first_steps,
    is_task_name,
    may_be_placed_elsewhere,
    min_places,
    rank_shards,
)
from pollengate.workflow.keys import placement_key, placement_prefix
from pollengate.workflow.progress import JobProgress
from result import Err

from pollengated.edge.committer import RecordRemoval
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.other_shards import OtherShards, Placed, PlacementRequest, Refused
from pollengated.edge.placement_context import PlacementContext
from pollengated.edge.placement_settlement import settle_placement
from pollengated.logs import Log

__all__ = ["JobPlacer", "PendingPlacement"]

# Other shards that are asked for one job before it stays at home.
MAX_REQUESTS = 3
# A shard that had no room is not asked again before its next heartbeats.
REFUSAL_MEMORY_S = 0.5
# Interval at which the placement records of jobs that ended long ago are forgotten.
FORGET_INTERVAL_S = 60.0
# A job that stays at home after a failed placement may be submitted again for this long.
KEEP_HOME_S = 60.0


@dataclasses.dataclass(slots=True)
class PendingPlacement:
    """A job for which other shards are being asked.

    Attributes:
        job: the job.
        ended: set when the outcome is known.
        shard: the shard that has the job; None if it is to be accepted at home, or not known yet.
    """

    job: JobProgress
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    shard: int | None = None


@dataclasses.dataclass(slots=True)
class _KnownPlacement:
    """A placement record, and the clock time since which it is known."""

    placement: StoredPlacement
    known_at: float


class JobPlacer:
    """Finds room for the new jobs of one shard during an ownership term.

    Args:
        context: the ownership term.
        other_shards: reaches the owners of the other shards.
        metrics: metrics of this process.
    """

    def __init__(
        self,
        context: PlacementContext,
        other_shards: OtherShards,
        metrics: EdgeMetrics,
    ) -> None:
        self._context = context
        self._shard = context.shard
        self._job_table = context.job_table
        self._shard_lease = context.shard_lease
        self._clocks = context.clocks
        self._other_shards = other_shards
        self._metrics = metrics
        self._known_by_id: dict[str, _KnownPlacement] = {}
        self._pending_by_id: dict[str, PendingPlacement] = {}
        self._refused_at_by_shard: dict[int, float] = {}
        self._forget_at = self._clocks.monotonic_s() + FORGET_INTERVAL_S
        self._log = Log("placement")

    def load(self, entries: Iterable[Entry]) -> None:
        """Loads the placement records that earlier owners of the shard left."""
        for entry in entries:
            self._load_entry(entry)

    def find(self, job_id: str) -> StoredPlacement | None:
        """Returns the placement of a job in another shard, None if there is none."""
        known = self._known_by_id.get(job_id)
        if known is None or known.placement.shard == self._shard:
            return None
        return known.placement

    def find_pending(self, job_id: str) -> PendingPlacement | None:
        """Returns the placement of a job of which the outcome is not known yet."""
        return self._pending_by_id.get(job_id)

    def begin(self, job: JobProgress) -> PendingPlacement | None:
        """Begins to place a new job in another shard; returns None if it stays at home."""
        deployment = self._job_table.deployment
        queue = deployment.queue(job.queue_name)
        if queue is None or job.job_id in self._known_by_id:
            return None
        if not may_be_placed_elsewhere(job.workflow, queue, deployment):
            return None
        now = self._clocks.monotonic_s()
        steps = first_steps(job.workflow)
        room = self._context.room
        home_places = room.count_places(queue.service, steps, now)
        if home_places >= sum(step.count for step in steps):
            return None
        summaries = {
            shard: summary
            for shard, summary in self._other_shards.summaries_by_shard(queue.service).items()
            if shard != self._shard
            and now - self._refused_at_by_shard.get(shard, float("-inf")) >= REFUSAL_MEMORY_S
        }
        shards = rank_shards(steps, home_places, summaries)[:MAX_REQUESTS]
        if not shards:
            self._metrics.placements.labels("no_room_elsewhere").inc()
            return None
        request = PlacementRequest(
            job.job_id,
            job.queue_name,
            job.workflow,
            job.account,
            self._shard,
            self._shard_lease.token,
            min_places(steps, home_places),
        )
        pending = self._pending_by_id[job.job_id] = PendingPlacement(job)
        self._context.spawn(self._run(pending, request, shards))
        return pending

    async def wait_ended(self, pending: PendingPlacement, timeout_s: float) -> bool:
        """Waits until the outcome of a placement is known; returns False after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await pending.ended.wait()
        except TimeoutError:
            return False
        return True

    def update(self, now: float) -> None:
        """Forgets the placements of jobs that ended long ago."""
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_INTERVAL_S
        self._context.spawn(self._forget_removed(now))

    async def _run(
        self, pending: PendingPlacement, request: PlacementRequest, shards: list[int]
    ) -> None:
        """Asks other shards one after the other until the job has a shard."""
        began_at = self._clocks.monotonic_s()
        for shard in shards:
            outcome = await self._other_shards.place(shard, request)
            if isinstance(outcome, Refused):
                self._record_refusal(request, shard, outcome)
                continue
            if isinstance(outcome, Placed):
                self._record(request.job_id, StoredPlacement(shard, request.account))
            else:
                self._log.warning(
                    "outcome of a placement is unknown; settling it in the store",
                    job=request.job_id,
                    shard=self._shard,
                    to_shard=shard,
                    cause=outcome.cause,
                )
                self._metrics.placements.labels("unknown").inc()
                if not await self._settle(request):
                    return
            break
        placement = self.find(request.job_id)
        pending.shard = None if placement is None else placement.shard
        pending.ended.set()
        # The requests that wait for the outcome go on first: if the job stays at home, a further
        # request has to find it accepted there, or it would be offered to other shards again.
        await asyncio.sleep(0)
        del self._pending_by_id[request.job_id]
        if pending.shard is None:
            return
        self._metrics.placements.labels("placed").inc()
        self._log.info(
            "job placed in another shard",
            job=request.job_id,
            queue=request.queue_name,
            shard=self._shard,
            to_shard=pending.shard,
            tasks=sum(step.count for step in first_steps(request.workflow)),
            took_ms=round((self._clocks.monotonic_s() - began_at) * 1000, 1),
        )

    def _record_refusal(self, request: PlacementRequest, shard: int, refusal: Refused) -> None:
        self._refused_at_by_shard[shard] = self._clocks.monotonic_s()
        self._metrics.placements.labels(refusal.reason).inc()
        self._log.info(
            "another shard refused a job",
            job=request.job_id,
            queue=request.queue_name,
            shard=self._shard,
            to_shard=shard,
            reason=refusal.reason,
        )

    def _load_entry(self, entry: Entry) -> bool:
        """Loads the placement record of a job; returns False if it is unreadable."""
        job_id = entry.key.removeprefix(placement_prefix(self._shard))
        if is_task_name(job_id):
            return False
        decoded = decode_placement(entry.value)
        if isinstance(decoded, Err):
            self._log.warning("placement record is unreadable", job=job_id, cause=decoded.err_value)
            return False
        self._record(job_id, decoded.ok_value)
        return True

    async def _settle(self, request: PlacementRequest) -> bool:
        """Records in the store which shard has a job; returns False if the lease is lost."""
        at_home = StoredPlacement(self._shard, request.account)
        return await settle_placement(
            self._context,
            placement_key(self._shard, request.job_id),
            0,
            at_home,
            lambda revision: self._record(request.job_id, at_home),
            self._load_entry,
        )

    def _record(self, job_id: str, placement: StoredPlacement) -> None:
        self._known_by_id[job_id] = _KnownPlacement(placement, self._clocks.monotonic_s())

    async def _forget_removed(self, now: float) -> None:
        """Forgets the placements whose records are gone, and removes those that only name home."""
        listing = await self._context.store.list(placement_prefix(self._shard))
        if isinstance(listing, Err):
            return
        stored = {entry.key for entry in listing.ok_value.entries}
        for job_id, known in list(self._known_by_id.items()):
            key = placement_key(self._shard, job_id)
            if key not in stored:
                if known.known_at < now:
                    del self._known_by_id[job_id]
            elif (
                known.placement.shard == self._shard
                and job_id not in self._job_table.jobs_by_id
                and now - known.known_at > KEEP_HOME_S
            ):
                self._context.committer.add(RecordRemoval(key))
                del self._known_by_id[job_id]
