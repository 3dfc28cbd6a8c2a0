"""Order of steps in a shortage.

Within a priority, jobs that can still meet their objective go first, then those that can't, then
those past their last useful moment. Among the first two, what saves the most cost by core-second
goes first. A small share of the room goes to the jobs past their last useful moment, the queue that
got it least recently first, so that each of them runs at some time however long the shortage lasts.
That share goes ahead of the highest priority that is short, or a lower priority would never get it.
"""

from typing import Any

from pollengate.overload.backlog import PoolState, ShardBacklog
from pollengate.overload.cost import Use
from pollengate.overload.room import Pool
from pollengate.workflow.model import Queue
from pollengate.workflow.ordering import StepOrder, rank
from pollengate.workflow.progress import Occurrence, StepProgress

__all__ = ["OverloadOrder"]

# What jobs without use cost the others at most. It also bounds how long they wait.
AGED_SHARE = 1 / 32
# The share that is not used is kept for this long.
AGED_BURST_S = 1.0
LONG_RUNNING_CLASS = -2
AGED_CLASS = -1


class _AgedJobs:
    """The jobs of a pool that go first although they are past their last useful moment."""

    def __init__(self) -> None:
        self.number_by_occurrence: dict[Occurrence, int] = {}
        self._budget_core_s = 0.0
        self._last_number_by_queue: dict[str, int] = {}
        self._next_number = 0
        self._updated_at: float | None = None

    def update(self, pool: Pool, state: PoolState, now: float) -> None:
        """Adds jobs as far as the share of the room allows, and forgets those that don't wait."""
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        share_cores = AGED_SHARE * state.room_cores
        self._budget_core_s = min(
            self._budget_core_s + elapsed_s * share_cores, AGED_BURST_S * share_cores
        )
        waiting = dict(state.jobs)
        self.number_by_occurrence = {
            found: number for found, number in self.number_by_occurrence.items() if found in waiting
        }
        if self._budget_core_s <= 0:
            return
        useless = [
            found
            for found, cost in state.jobs
            if cost.use(now) is Use.NONE and found not in self.number_by_occurrence
        ]
        while useless and self._budget_core_s > 0:
            chosen = min(useless, key=self._precedence)
            useless.remove(chosen)
            self.number_by_occurrence[chosen] = self._next_number
            self._last_number_by_queue[chosen.job.queue_name] = self._next_number
            self._next_number += 1
            # May become negative: a large job is paid for afterwards.
            self._budget_core_s -= waiting[chosen].core_s(pool.is_filler)

    def _precedence(self, occurrence: Occurrence) -> tuple[int, float]:
        job = occurrence.job
        return self._last_number_by_queue.get(job.queue_name, -1), job.accepted_at


class OverloadOrder(StepOrder):
    """Orders steps by cost where there is a shortage, and by deadline elsewhere.

    Args:
        backlog: measures shortages; to be updated before each `update`.
    """

    def __init__(self, backlog: ShardBacklog) -> None:
        self._backlog = backlog
        self._aged_by_pool: dict[Pool, _AgedJobs] = {}
        self._first_priority_by_pool: dict[Pool, int] = {}
        self._key_by_step: dict[StepProgress, tuple[Any, ...]] = {}

    def update(self, now: float) -> None:
        """Applies the last update of the backlog."""
        self._first_priority_by_pool = {}
        self._key_by_step = {}
        for pool, state in self._backlog.states_by_pool.items():
            short = [p for p in state.shortages_by_priority if state.is_short(p)]
            if not short:
                self._aged_by_pool.pop(pool, None)
                continue
            self._first_priority_by_pool[pool] = min(short)
            self._aged_by_pool.setdefault(pool, _AgedJobs()).update(pool, state, now)

    def key(self, step: StepProgress, queue: Queue | None, now: float) -> tuple[Any, ...]:
        """Returns the sort key of a step."""
        if queue is None or not self._first_priority_by_pool:
            return rank(step, queue, now)
        known = self._key_by_step.get(step)
        if known is not None:
            return known
        is_filler = step.spec.is_filler
        pool = Pool(queue.service, is_filler)
        first_priority = self._first_priority_by_pool.get(pool)
        if first_priority is None:
            return rank(step, queue, now)
        number = self._aged_by_pool[pool].number_by_occurrence.get(step.occurrence)
        if number is not None:
            return min(first_priority, queue.priority), AGED_CLASS, number
        state = self._backlog.states_by_pool[pool]
        if not state.is_short(queue.priority):
            return rank(step, queue, now)
        if step.spec.is_long_running:
            return queue.priority, LONG_RUNNING_CLASS, rank(step, queue, now)[2]
        cost = self._backlog.cost(step, queue)
        key = self._key_by_step[step] = state.rank(cost, cost.use(now), is_filler)
        return key
