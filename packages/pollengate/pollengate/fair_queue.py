"""A queue that shares workers fairly among teams and lets urgent work go first."""

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
MAX_KINDS_OFFERED = 8
MAX_REFUSALS = 24
MAX_REFUSED_KINDS = 1024
REFUSAL_TTL_S = 0.5
MAX_RESERVED_PER_KIND = 64


class PriorityTier(enum.IntEnum):
    """Order in which groups of tasks are offered."""

    SERVICE = 0
    URGENT = 1
    BATCH = 2


class _Kind(NamedTuple):
    """Tasks of one kind are alike to the queue; the oldest is offered first."""

    task_class: str
    cores: int
    memory_mb: int
    accelerators: int


@dataclasses.dataclass(slots=True)
class _Waiting:
    request: PlacementRequest
    kind: _Kind
    queued_at: float
    tier: PriorityTier


Place = Callable[[PlacementRequest], bool]


class _Team:
    """A team's waiting tasks of one lane, by kind and arrival."""

    def __init__(self) -> None:
        self.waiting_by_kind: collections.OrderedDict[
            _Kind, collections.OrderedDict[str, _Waiting]
        ] = collections.OrderedDict()

    def add(self, waiting: _Waiting) -> None:
        queue = self.waiting_by_kind.setdefault(waiting.kind, collections.OrderedDict())
        queue[waiting.request.task_id] = waiting
        if waiting.request.resumed:
            queue.move_to_end(waiting.request.task_id, last=False)

    def remove(self, waiting: _Waiting) -> None:
        queue = self.waiting_by_kind[waiting.kind]
        del queue[waiting.request.task_id]
        if not queue:
            del self.waiting_by_kind[waiting.kind]

    def first_of_kind(self, waiting: _Waiting, count: int) -> list[_Waiting]:
        """Returns the first tasks of a kind."""
        return list(itertools.islice(self.waiting_by_kind[waiting.kind].values(), count))

    def heads(self) -> list[_Waiting]:
        """Returns the oldest task of each of the kinds whose turn it is."""
        queues = itertools.islice(self.waiting_by_kind.values(), MAX_KINDS_OFFERED)
        return [next(iter(queue.values())) for queue in queues]

    def defer(self, kind: _Kind) -> None:
        """Lets other kinds have their turn in the next round."""
        if len(self.waiting_by_kind) > MAX_KINDS_OFFERED:
            self.waiting_by_kind.move_to_end(kind)


class _Round:
    """What found no room while one lane is offered once."""

    def __init__(self, refused_until: BoundedDict[_Kind, float], now: float) -> None:
        self.blocked: list[_Waiting] = []
        self._refused_until = refused_until
        self._now = now
        self._skipped: set[tuple[str, _Kind]] = set()
        self._refused_by_class: dict[str, list[_Kind]] = {}

    def skip(self, waiting: _Waiting) -> None:
        """Leaves the team's tasks of one kind out."""
        self._skipped.add((waiting.request.team, waiting.kind))

    def refuse(self, waiting: _Waiting, is_task_specific: bool) -> None:
        """Notes a task without room; `is_task_specific` if that says nothing of like tasks."""
        self.skip(waiting)
        self.blocked.append(waiting)
        if not is_task_specific:
            self._refused_by_class.setdefault(waiting.kind.task_class, []).append(waiting.kind)
            if waiting.tier is PriorityTier.BATCH:
                self._refused_until.put(waiting.kind, self._now + REFUSAL_TTL_S)

    def should_skip(self, waiting: _Waiting) -> bool:
        """Tells whether a task need not be offered; one larger than a refused one need not."""
        kind = waiting.kind
        if (waiting.request.team, kind) in self._skipped:
            return True
        refused = self._refused_by_class.get(kind.task_class, ())
        if self._was_refused(waiting) or any(_is_within(size, kind) for size in refused):
            self.refuse(waiting, is_task_specific=True)
            return True
        return False

    def _was_refused(self, waiting: _Waiting) -> bool:
        if waiting.tier is not PriorityTier.BATCH:
            return False
        until = self._refused_until.get(waiting.kind)
        return until is not None and self._now < until


class FairQueue(TaskQueue):
    """Offers services' tasks, then urgent ones, then batch tasks by the teams' fair shares.

    The team with the smallest dominant share of the shard goes first. Within a team tasks go by
    arrival, set back by a part of their expected run time. A size that found no room is not
    offered again in the same round, nor is a larger one. A task that waited much longer than
    others do has a worker held for it.
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
        self._waiting_by_task: dict[str, _Waiting] = {}
        self._teams_by_tier: dict[PriorityTier, dict[str, _Team]] = {
            tier: {} for tier in PriorityTier
        }

    def configure(self, quotas: Mapping[str, Quota], shard_count: int) -> None:
        """Takes in the teams' quotas, of which this shard gives out its part.

        Args:
            quotas: quotas by team; a team without one has no limit.
            shard_count: shards that share the quotas.
        """
        self._quotas_by_team = quotas
        self._shard_count = max(shard_count, 1)

    def push(self, request: PlacementRequest) -> None:
        """Adds a task, or parks it if it can't run."""
        if request.task_id in self._waiting_by_task:
            return
        if self._unschedulable.add_if_unschedulable(request, self._exceeds_quota(request)):
            return
        waiting = _Waiting(request, _kind_of(request), self._clock(), self._tier_of(request))
        self._waiting_by_task[request.task_id] = waiting
        self._teams_by_tier[waiting.tier].setdefault(request.team, _Team()).add(waiting)

    def discard(self, task_id: str) -> None:
        """Takes a task out."""
        self._unschedulable.discard(task_id)
        waiting = self._waiting_by_task.get(task_id)
        if waiting is not None:
            self._forget(waiting)

    def drain(self, place: Place, limit: int) -> None:
        """Offers tasks lane by lane."""
        now = self._clock()
        self._recheck_unschedulable(now)
        self._offer_reserved(place)
        for tier in PriorityTier:
            round_ = _Round(self._refused_until, now)
            limit = self._drain_tier(tier, place, limit, round_)
            self._reserve_for(tier, round_.blocked, now)
            for waiting in round_.blocked:
                self._teams_by_tier[tier][waiting.request.team].defer(waiting.kind)

    def __len__(self) -> int:
        """Returns the number of waiting tasks."""
        return len(self._waiting_by_task) + len(self._unschedulable)

    def unschedulable_reason(self, task_id: str) -> UnschedulableReason | None:
        """Returns why a task is parked."""
        return self._unschedulable.reason(task_id)

    def _offer_reserved(self, place: Place) -> None:
        """Offers tasks whose held worker has room, also those behind others of their kind."""
        for reservation in self._reservations.ready():
            waiting = self._waiting_by_task.get(reservation.request.task_id)
            if waiting is not None and place(waiting.request):
                self._forget(waiting)

    def _recheck_unschedulable(self, now: float) -> None:
        if now < self._recheck_at or not len(self._unschedulable):
            return
        self._recheck_at = now + RECHECK_INTERVAL_S
        for request in self._unschedulable.pop_schedulable(self._exceeds_quota):
            self.push(request)

    def _exceeds_quota(self, request: PlacementRequest) -> bool:
        """Tells whether the task could not start even if its team had nothing on a worker."""
        quota = self._quotas_by_team.get(request.team)
        return (
            quota is not None
            and self._tier_of(request) is not PriorityTier.SERVICE
            and not request.resources.fits(_size_of(quota))
        )

    def _forget(self, waiting: _Waiting) -> None:
        request = waiting.request
        del self._waiting_by_task[request.task_id]
        self._reservations.cancel(request.task_id)
        teams = self._teams_by_tier[waiting.tier]
        team = teams[request.team]
        team.remove(waiting)
        if not team.waiting_by_kind:
            del teams[request.team]

    def _drain_tier(self, tier: PriorityTier, place: Place, limit: int, round_: _Round) -> int:
        teams = self._teams_by_tier[tier]
        heap = [(self._dominant_share(name), name) for name in teams]
        heapq.heapify(heap)
        refusals = 0
        while heap and limit > 0 and refusals < MAX_REFUSALS:
            _, name = heapq.heappop(heap)
            team = teams.get(name)
            waiting = None if team is None else self._next(team, round_)
            if waiting is None:
                continue
            if self._may_offer(waiting, tier, round_):
                limit -= 1
                if place(waiting.request):
                    self._record_wait(waiting)
                    self._forget(waiting)
                else:
                    refusals += 1
                    round_.refuse(waiting, self._unschedulable.has_failed(waiting.request.task_id))
            heapq.heappush(heap, (self._dominant_share(name), name))
        return limit

    def _record_wait(self, waiting: _Waiting) -> None:
        """Follows how long batch tasks wait, so that only those passed over get a worker held."""
        if waiting.tier is PriorityTier.BATCH:
            waited_s = self._clock() - waiting.queued_at
            self._mean_wait_s += WAIT_SMOOTHING_WEIGHT * (waited_s - self._mean_wait_s)

    def _next(self, team: _Team, round_: _Round) -> _Waiting | None:
        """Returns the task that the team offers next in this round."""
        heads = [head for head in team.heads() if not round_.should_skip(head)]
        return min(heads, key=self._sort_key, default=None)

    def _may_offer(self, waiting: _Waiting, tier: PriorityTier, round_: _Round) -> bool:
        request = waiting.request
        if self._unschedulable.add_if_unschedulable(request, self._exceeds_quota(request)):
            self._forget(waiting)
            return False
        if not self._is_within_quota(request, tier):
            round_.skip(waiting)
            return False
        return True

    def _sort_key(self, waiting: _Waiting) -> float:
        penalty_s = min(self._profiles.run_time_s(waiting.request), MAX_RUN_TIME_PENALTY_S)
        order = waiting.queued_at + RUN_TIME_WEIGHT * penalty_s
        return order - RESUMED_BOOST_S if waiting.request.resumed else order

    def _reserve_for(self, tier: PriorityTier, blocked: list[_Waiting], now: float) -> None:
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
        """Returns a team's dominant share of the offered capacity."""
        used = self._capacity_tracker.usage(team)
        capacity = self._capacity_tracker.schedulable_capacity
        return max(
            used.cores / max(capacity.cores, 1),
            used.memory_mb / max(capacity.memory_mb, 1),
            used.accelerators / max(capacity.accelerators, 1),
        )

    def _is_within_quota(self, request: PlacementRequest, tier: PriorityTier) -> bool:
        """Checks this shard's part of a quota; a team may always have one task on a worker."""
        quota = self._quotas_by_team.get(request.team)
        if quota is None or tier is PriorityTier.SERVICE:
            return True
        used = self._capacity_tracker.usage(request.team)
        if used.cores == 0:
            return request.resources.fits(_size_of(quota))
        part = Resources(
            quota.cores // self._shard_count,
            quota.memory_mb // self._shard_count,
            quota.accelerators // self._shard_count,
        )
        return (used + request.resources).fits(part)


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
