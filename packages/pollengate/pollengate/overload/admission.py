"""Refusal of jobs that would be of no use to their callers by the time at which they could end."""

import collections
import dataclasses
import math
import zlib

from pollengate.overload.backlog import ArrivalRank, PoolState, ShardBacklog
from pollengate.overload.cost import JobCost, Use, cost_of
from pollengate.overload.room import Pool
from pollengate.workflow.job_service import NotAccepted
from pollengate.workflow.model import Queue
from pollengate.workflow.policy import OverloadPolicy
from pollengate.workflow.progress import JobProgress

__all__ = ["OverloadAdmission", "REASON"]

REASON = "overload"
MIN_RETRY_AFTER_S = 1.0
# A shortage that lasts longer is looked at again then.
MAX_RETRY_AFTER_S = 30.0
# Estimates are off by a factor of two, and with them the wait. To refuse a job that would have met
# its objective costs its caller all of its use; one that is accepted and falls back delays only
# jobs that have fallen back, too.
WAIT_TOLERANCE = 2.0
# Refused jobs whose repetitions are no new arrivals.
MAX_REFUSED_JOBS = 4096


@dataclasses.dataclass(slots=True)
class _Floor:
    """What a queue is owed, in jobs.

    Attributes:
        by_time: jobs owed by the floor in jobs a second, 1 at most.
        by_share: jobs owed by the floor in share of the arrivals.
        updated_at: clock time of the last arrival.
    """

    by_time: float
    by_share: float
    updated_at: float

    def record_arrival(self, policy: OverloadPolicy, is_new: bool, now: float) -> None:
        """Adds what the time since the last arrival and a new job earn."""
        earned = (now - self.updated_at) * policy.floor_jobs_per_s
        self.by_time = min(self.by_time + earned, max(policy.floor_jobs_per_s, 1.0))
        self.updated_at = now
        if is_new:
            self.by_share += policy.floor_share

    def admits(self, policy: OverloadPolicy) -> bool:
        """Returns True if the queue is owed a job."""
        is_owed_by_time = policy.floor_jobs_per_s > 0 and self.by_time >= 1
        is_owed_by_share = policy.floor_share > 0 and self.by_share >= 1
        return is_owed_by_time or is_owed_by_share

    def record_accepted(self) -> None:
        """Counts an accepted job."""
        self.by_time = max(self.by_time - 1, 0.0)
        self.by_share = max(self.by_share - 1, 0.0)


class OverloadAdmission:
    """Decides at submission which jobs are refused in a shortage.

    Args:
        backlog: measures shortages.
        policy: settings.
        may_get_workers: whether other shards may release workers to this one. They do so for tasks
            that reserve cores, so that a shortage of the shard says nothing of the deployment's
            room for these tasks, and no job is refused for it.
    """

    def __init__(
        self, backlog: ShardBacklog, policy: OverloadPolicy, may_get_workers: bool = False
    ) -> None:
        self._backlog = backlog
        self._policy = policy
        self._kinds_of_room = (True,) if may_get_workers else (False, True)
        self._floor_by_queue: dict[str, _Floor] = {}
        self._refused: collections.OrderedDict[str, None] = collections.OrderedDict()

    def find_refusal(self, job: JobProgress, queue: Queue, now: float) -> NotAccepted | None:
        """Returns why a new job is refused, None if it is accepted."""
        cost = cost_of(job, None, queue, self._backlog.run_times, self._policy.useful_factor)
        floor = self._floor_by_queue.get(queue.name)
        if floor is None:
            floor = self._floor_by_queue[queue.name] = _Floor(1.0, 1.0, now)
        floor.record_arrival(self._policy, job.job_id not in self._refused, now)
        pool = self._find_hopeless_pool(job, cost, queue, now)
        if pool is None or floor.admits(self._policy):
            floor.record_accepted()
            self._refused.pop(job.job_id, None)
            self._backlog.record_accepted(cost, queue.service, now)
            return None
        self._refused[job.job_id] = None
        if len(self._refused) > MAX_REFUSED_JOBS:
            self._refused.popitem(last=False)
        retry_after_s = self._retry_after_s(job.job_id, pool, queue.priority)
        return NotAccepted(REASON, retry_after_s, is_overload=True)

    def _find_hopeless_pool(
        self, job: JobProgress, cost: JobCost, queue: Queue, now: float
    ) -> Pool | None:
        """Returns the pool in which a job would not end in time to be of use."""
        steps = job.workflow.steps
        if job.workflow.repeat_count or any(step.is_long_running for step in steps):
            return None
        for is_filler in self._kinds_of_room:
            pool = Pool(queue.service, is_filler)
            state = self._backlog.states_by_pool.get(pool)
            if state is None or not state.is_short(queue.priority):
                continue
            images = {step.image for step in steps if step.is_filler is is_filler}
            if not images & state.unstarted_images:
                continue  # such tasks start at once: what waits can't run where they can
            if not self._can_be_of_use(cost, pool, state, now):
                return pool
        return None

    def _can_be_of_use(self, cost: JobCost, pool: Pool, state: PoolState, now: float) -> bool:
        rank = state.rank(cost, Use.FULL, pool.is_filler)
        if self._end_after_s(cost, pool, state, rank, WAIT_TOLERANCE) <= cost.due_at - now:
            return True
        # It will miss its objective, and goes behind all that can still meet theirs.
        rank = state.rank(cost, Use.LITTLE, pool.is_filler)
        return self._end_after_s(cost, pool, state, rank, 1.0) <= cost.useful_until - now

    def _end_after_s(
        self,
        cost: JobCost,
        pool: Pool,
        state: PoolState,
        rank: ArrivalRank,
        tolerance: float,
    ) -> float:
        """Returns the time until a job with a rank ends, if what comes ahead goes on coming.

        Args:
            cost: the job.
            pool: the pool.
            state: what is known of the pool.
            rank: place of the job.
            tolerance: factor by which the wait may turn out to be shorter.
        """
        ahead_core_s = self._backlog.work_before(pool, rank)
        cores = state.room_cores - self._backlog.arrival_rate_before(pool, rank)
        if cores <= 0:
            return math.inf
        wait_s = ahead_core_s / cores / tolerance
        return max(wait_s + cost.chain_s, wait_s + cost.core_s(pool.is_filler) / cores)

    def _retry_after_s(self, job_id: str, pool: Pool, priority: int) -> float:
        """Returns the drain time of the backlog to twice that, spread by the job's id."""
        state = self._backlog.states_by_pool[pool]
        waiting_core_s = self._backlog.work_before(pool, (priority, Use.NONE, -math.inf))
        drain_s = waiting_core_s / state.room_cores if state.room_cores > 0 else math.inf
        bounded_s = min(max(drain_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return bounded_s * (1 + zlib.crc32(job_id.encode()) / 2**32)
