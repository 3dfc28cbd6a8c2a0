"""A task queue with priority tiers and dominant-resource fair sharing among teams."""

import collections
import dataclasses
import enum
import heapq
import itertools
from collections.abc import Callable, Mapping
from typing import NamedTuple

from pollengate.bounded import BoundedDict
from pollengate.capacity import CapacityTracker
from pollengate.class_profiles import ClassProfiles
from pollengate.configuration import Quota
from pollengate.dominant_share import dominant_share
from pollengate.jobs import Resources
from pollengate.placement_request import PlacementRequest
from pollengate.reservations import Reservations
from pollengate.task_queue import TaskQueue
from pollengate.unschedulable import UnschedulableReason, UnschedulableTasks

__all__ = ["FairQueue", "PriorityTier"]

MAX_RUN_TIME_PENALTY_S = 300.0
RUN_TIME_WEIGHT = 0.2
RESUMED_BOOST_S = 60.0
RESERVE_AFTER_S = 30.0
RESERVE_URGENT_AFTER_S = 0.1
RESERVE_WAIT_FACTOR = 3.0
WAIT_SMOOTHING_WEIGHT = 0.05
RECHECK_INTERVAL_S = 5.0
MAX_KINDS_OFFERED_PER_TEAM = 8
MAX_REFUSALS_PER_ROUND = 24
MAX_REFUSED_KINDS = 1024
REFUSAL_TTL_S = 0.5
MAX_RESERVED_PER_KIND = 64


class PriorityTier(enum.IntEnum):
    """Priority of a group of tasks; the lowest value is offered first."""

    SERVICE = 0
    URGENT = 1
    BATCH = 2


class _Kind(NamedTuple):
    """Task class and declared resources; the queue treats tasks of one kind as equivalent."""

    task_class: str
    cores: int
    memory_mb: int
    accelerators: int


@dataclasses.dataclass(slots=True)
class _QueuedTask:
    request: PlacementRequest
    kind: _Kind
    queued_at: float
    tier: PriorityTier


PlaceFunction = Callable[[PlacementRequest], bool]


class _TeamQueue:
    """The waiting tasks of one team in one tier, by kind and in order of arrival."""

    def __init__(self) -> None:
        self.queues_by_kind: collections.OrderedDict[
            _Kind, collections.OrderedDict[str, _QueuedTask]
        ] = collections.OrderedDict()

    def add(self, waiting: _QueuedTask) -> None:
        queue = self.queues_by_kind.setdefault(waiting.kind, collections.OrderedDict())
        queue[waiting.request.task_id] = waiting
        if waiting.request.resumed:
            queue.move_to_end(waiting.request.task_id, last=False)

    def remove(self, waiting: _QueuedTask) -> None:
        queue = self.queues_by_kind[waiting.kind]
        del queue[waiting.request.task_id]
        if not queue:
            del self.queues_by_kind[waiting.kind]

    def first_of_kind(self, waiting: _QueuedTask, count: int) -> list[_QueuedTask]:
        """Returns the first `count` tasks of the same kind as `waiting`."""
        return list(itertools.islice(self.queues_by_kind[waiting.kind].values(), count))

    def heads(self) -> list[_QueuedTask]:
        """Returns the first task of each of the first `MAX_KINDS_OFFERED_PER_TEAM` kinds."""
        queues = itertools.islice(self.queues_by_kind.values(), MAX_KINDS_OFFERED_PER_TEAM)
        return [next(iter(queue.values())) for queue in queues]

    def defer(self, kind: _Kind) -> None:
        """Moves a kind behind the others if not all kinds can be offered in one round."""
        if len(self.queues_by_kind) > MAX_KINDS_OFFERED_PER_TEAM:
            self.queues_by_kind.move_to_end(kind)


class _OfferRound:
    """Tasks that were refused or skipped while the tasks of one tier are offered once."""

    def __init__(self, refused_until: BoundedDict[_Kind, float], now: float) -> None:
        self.blocked: list[_QueuedTask] = []
        self._refused_until = refused_until
        self._now = now
        self._skipped: set[tuple[str, _Kind]] = set()
        self._refused_by_class: dict[str, list[_Kind]] = {}

    def skip(self, waiting: _QueuedTask) -> None:
        """Excludes the team's tasks of the same kind from the rest of the round."""
        self._skipped.add((waiting.request.team, waiting.kind))

    def refuse(self, waiting: _QueuedTask, is_task_specific: bool) -> None:
        """Records that a task could not be placed.

        Args:
            waiting: the task.
            is_task_specific: whether the reason may not apply to other tasks of its kind.
        """
        self.skip(waiting)
        self.blocked.append(waiting)
        if not is_task_specific:
            self._refused_by_class.setdefault(waiting.kind.task_class, []).append(waiting.kind)
            if waiting.tier is PriorityTier.BATCH:
                self._refused_until.put(waiting.kind, self._now + REFUSAL_TTL_S)

    def should_skip(self, waiting: _QueuedTask) -> bool:
        """Returns True if a task can't be placed in this round.

        This is the case if its kind was skipped or recently refused, or if a task of its class
        that is no larger was refused. After a refusal, records that the task is blocked, too.
        """
        kind = waiting.kind
        if (waiting.request.team, kind) in self._skipped:
            return True
        refused = self._refused_by_class.get(kind.task_class, ())
        if self._was_refused(waiting) or any(_is_within(size, kind) for size in refused):
            self.refuse(waiting, is_task_specific=True)
            return True
        return False

    def _was_refused(self, waiting: _QueuedTask) -> bool:
        if waiting.tier is not PriorityTier.BATCH:
            return False
        until = self._refused_until.get(waiting.kind)
        return until is not None and self._now < until


class FairQueue(TaskQueue):
    """Offers tasks of services first, then urgent tasks, then batch tasks.

    Within a tier, the team with the smallest dominant share of the shard's capacity goes first.
    Within a team, tasks are ordered by arrival plus a fraction of their expected run time, so that
    short tasks go ahead of long ones that arrived at about the same time. If a task can't be
    placed, no task of its class that is as large or larger is offered in the same round. A worker
    is reserved for a batch task that waits much longer than average, and for any other task that
    waits longer than `RESERVE_URGENT_AFTER_S`.
    """

    def __init__(
        self,
        capacity_tracker: CapacityTracker,
        profiles: ClassProfiles,
        reservations: Reservations,
        unschedulable: UnschedulableTasks,
        clock: Callable[[], float],
    ) -> None:
        self._capacity_tracker = capacity_tracker
        self._profiles = profiles
        self._reservations = reservations
        self._unschedulable = unschedulable
        self._clock = clock
        self._recheck_at = 0.0
        self._mean_wait_s = 0.0
        self._refused_until: BoundedDict[_Kind, float] = BoundedDict(MAX_REFUSED_KINDS)
        self._quotas_by_team: Mapping[str, Quota] = {}
        self._shard_count = 1
        self._queued_by_task: dict[str, _QueuedTask] = {}
        self._teams_by_tier: dict[PriorityTier, dict[str, _TeamQueue]] = {
            tier: {} for tier in PriorityTier
        }

    def configure(self, quotas: Mapping[str, Quota], shard_count: int) -> None:
        """Sets the teams' quotas; this shard enforces an equal part of them.

        Args:
            quotas: quotas by team; a team without one has no limit.
            shard_count: number of shards that share the quotas.
        """
        self._quotas_by_team = quotas
        self._shard_count = max(shard_count, 1)

    def push(self, request: PlacementRequest) -> None:
        """Adds a task, either to the queue or to the unschedulable tasks; ignores a queued one."""
        if request.task_id in self._queued_by_task:
            return
        if self._unschedulable.add_if_unschedulable(request, self._exceeds_quota(request)):
            return
        waiting = _QueuedTask(request, _kind_of(request), self._clock(), self._tier_of(request))
        self._queued_by_task[request.task_id] = waiting
        self._teams_by_tier[waiting.tier].setdefault(request.team, _TeamQueue()).add(waiting)

    def discard(self, task_id: str) -> None:
        """Removes a task."""
        self._unschedulable.discard(task_id)
        waiting = self._queued_by_task.get(task_id)
        if waiting is not None:
            self._remove(waiting)

    def offer_tasks(self, place: PlaceFunction, limit: int) -> None:
        """Offers tasks with a ready reservation first, then the other tasks tier by tier."""
        now = self._clock()
        self._recheck_unschedulable(now)
        self._offer_reserved(place)
        for tier in PriorityTier:
            round_ = _OfferRound(self._refused_until, now)
            limit = self._offer_tier(tier, place, limit, round_)
            self._reserve_for(tier, round_.blocked, now)
            for waiting in round_.blocked:
                self._teams_by_tier[tier][waiting.request.team].defer(waiting.kind)

    def __len__(self) -> int:
        """Returns the number of waiting tasks, including unschedulable ones."""
        return len(self._queued_by_task) + len(self._unschedulable)

    def unschedulable_reason(self, task_id: str) -> UnschedulableReason | None:
        """Returns why a task is unschedulable, None if it is not."""
        return self._unschedulable.reason(task_id)

    def _offer_reserved(self, place: PlaceFunction) -> None:
        """Offers tasks whose reserved worker has room, even if they are not first of their kind."""
        for reservation in self._reservations.ready():
            waiting = self._queued_by_task.get(reservation.request.task_id)
            if waiting is not None and place(waiting.request):
                self._remove(waiting)

    def _recheck_unschedulable(self, now: float) -> None:
        if now < self._recheck_at or not len(self._unschedulable):
            return
        self._recheck_at = now + RECHECK_INTERVAL_S
        for request in self._unschedulable.pop_schedulable(self._exceeds_quota):
            self.push(request)

    def _exceeds_quota(self, request: PlacementRequest) -> bool:
        """Returns True if the task alone is larger than its team's quota."""
        quota = self._quotas_by_team.get(request.team)
        return (
            quota is not None
            and self._tier_of(request) is not PriorityTier.SERVICE
            and not request.resources.fits(_size_of(quota))
        )

    def _remove(self, waiting: _QueuedTask) -> None:
        request = waiting.request
        del self._queued_by_task[request.task_id]
        self._reservations.cancel(request.task_id)
        teams = self._teams_by_tier[waiting.tier]
        team = teams[request.team]
        team.remove(waiting)
        if not team.queues_by_kind:
            del teams[request.team]

    def _offer_tier(
        self, tier: PriorityTier, place: PlaceFunction, limit: int, round_: _OfferRound
    ) -> int:
        teams = self._teams_by_tier[tier]
        heap = [(self._dominant_share(name), name) for name in teams]
        heapq.heapify(heap)
        refusals = 0
        while heap and limit > 0 and refusals < MAX_REFUSALS_PER_ROUND:
            _, name = heapq.heappop(heap)
            team = teams.get(name)
            waiting = None if team is None else self._next(team, round_)
            if waiting is None:
                continue
            if self._may_offer(waiting, tier, round_):
                limit -= 1
                if place(waiting.request):
                    self._record_wait(waiting)
                    self._remove(waiting)
                else:
                    refusals += 1
                    round_.refuse(waiting, self._unschedulable.has_failed(waiting.request.task_id))
            heapq.heappush(heap, (self._dominant_share(name), name))
        return limit

    def _record_wait(self, waiting: _QueuedTask) -> None:
        """Updates the mean wait of batch tasks.

        Reservations depend on the mean, so that they go only to tasks that wait much longer than
        others.
        """
        if waiting.tier is PriorityTier.BATCH:
            waited_s = self._clock() - waiting.queued_at
            self._mean_wait_s += WAIT_SMOOTHING_WEIGHT * (waited_s - self._mean_wait_s)

    def _next(self, team: _TeamQueue, round_: _OfferRound) -> _QueuedTask | None:
        """Returns the task that the team offers next in this round, None if it has none left."""
        heads = [head for head in team.heads() if not round_.should_skip(head)]
        return min(heads, key=self._sort_key, default=None)

    def _may_offer(self, waiting: _QueuedTask, tier: PriorityTier, round_: _OfferRound) -> bool:
        """Returns True if a task may be offered now.

        Otherwise, moves it to the unschedulable tasks or, if the quota is used up, skips its kind.
        """
        request = waiting.request
        if self._unschedulable.add_if_unschedulable(request, self._exceeds_quota(request)):
            self._remove(waiting)
            return False
        if not self._is_within_quota(request, tier):
            round_.skip(waiting)
            return False
        return True

    def _sort_key(self, waiting: _QueuedTask) -> float:
        penalty_s = min(self._profiles.run_time_s(waiting.request), MAX_RUN_TIME_PENALTY_S)
        sort_at = waiting.queued_at + RUN_TIME_WEIGHT * penalty_s
        return sort_at - RESUMED_BOOST_S if waiting.request.resumed else sort_at

    def _reserve_for(self, tier: PriorityTier, blocked: list[_QueuedTask], now: float) -> None:
        is_high_priority = tier is not PriorityTier.BATCH
        batch_after_s = RESERVE_AFTER_S + RESERVE_WAIT_FACTOR * self._mean_wait_s
        after_s = RESERVE_URGENT_AFTER_S if is_high_priority else batch_after_s
        count = MAX_RESERVED_PER_KIND if is_high_priority else 1
        teams = self._teams_by_tier[tier]
        due = [
            candidate
            for head in blocked
            if now - head.queued_at >= after_s
            for candidate in teams[head.request.team].first_of_kind(head, count)
            if now - candidate.queued_at >= after_s
        ]
        for waiting in sorted(due, key=lambda w: w.queued_at):
            if not self._reservations.reserve(waiting.request, is_high_priority):
                return

    def _tier_of(self, request: PlacementRequest) -> PriorityTier:
        if request.task_class in self._capacity_tracker.service_classes:
            return PriorityTier.SERVICE
        return PriorityTier.URGENT if request.urgent else PriorityTier.BATCH

    def _dominant_share(self, team: str) -> float:
        """Returns a team's dominant share of the schedulable capacity."""
        used = self._capacity_tracker.usage(team)
        capacity = self._capacity_tracker.schedulable_capacity
        return dominant_share(
            (used.cores, used.memory_mb, used.accelerators),
            (capacity.cores, capacity.memory_mb, capacity.accelerators),
        )

    def _is_within_quota(self, request: PlacementRequest, tier: PriorityTier) -> bool:
        """Returns True if a task fits into what is left of the team's quota in this shard.

        A team without tasks on workers may start one that fits into the whole quota: otherwise a
        task larger than this shard's part of it could never start.
        """
        quota = self._quotas_by_team.get(request.team)
        if quota is None or tier is PriorityTier.SERVICE:
            return True
        used = self._capacity_tracker.usage(request.team)
        if used.cores == 0:
            return request.resources.fits(_size_of(quota))
        shard_quota = Resources(
            quota.cores // self._shard_count,
            quota.memory_mb // self._shard_count,
            quota.accelerators // self._shard_count,
        )
        return (used + request.resources).fits(shard_quota)


def _kind_of(request: PlacementRequest) -> _Kind:
    size = request.resources
    return _Kind(request.task_class, size.cores, size.memory_mb, size.accelerators)


def _is_within(small: _Kind, large: _Kind) -> bool:
    return (
        small.cores <= large.cores
        and small.memory_mb <= large.memory_mb
        and small.accelerators <= large.accelerators
    )


def _size_of(quota: Quota) -> Resources:
    return Resources(quota.cores, quota.memory_mb, quota.accelerators)
