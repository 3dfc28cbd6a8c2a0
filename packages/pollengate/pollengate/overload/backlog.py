"""Work that waits in a shard, the rate at which it is completed, and whether that is too little.

There is a shortage for a priority if the work of that priority and of higher ones that waits and is
due exceeds what the room can complete by the time at which it is due.
"""

import bisect
import collections
import dataclasses
import itertools
from collections.abc import Callable, Iterable

from pollengate.overload.cost import JobCost, Use, cost_of
from pollengate.overload.room import DrainMeter, Pool, Usage, declared_free_cores, usage_of
from pollengate.overload.run_times import RunTimes
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Queue
from pollengate.workflow.policy import OverloadPolicy
from pollengate.workflow.progress import Occurrence, Run, StepProgress

__all__ = ["ArrivalRank", "PoolState", "RankedWork", "ShardBacklog", "Shortage"]

# An owner with less history has not seen enough of arrivals and ends.
MIN_HISTORY_S = 2.0
# Time over which the rate of accepted work is measured.
ARRIVAL_WINDOW_S = 5.0
# An arrival takes 2 us, and the rate over 5 s changes little in this time.
ARRIVALS_INTERVAL_S = 0.5
# A burst that the planner places within a few rounds is no shortage.
ENTER_HOLD_S = 0.3
LEAVE_HOLD_S = 1.0
# A step whose tasks have waited for this long found no room: plans are made every 0.06 s at least.
SATURATED_AFTER_S = 0.2
# A job takes some 10 us, so that an update of more jobs is made less often: 4 ms a second.
UPDATE_INTERVAL_S = 0.1
UPDATE_INTERVAL_S_PER_JOB = 3e-3
MAX_UPDATE_INTERVAL_S = 1.0
# Waiting time that discounts the use of a job by a factor of e, in mean run times of the chains
# that wait. Rules of this kind usually use 1 to 3.
LOOK_AHEAD_CHAINS = 2.0
MIN_LOOK_AHEAD_S = 0.1
DEFAULT_LOOK_AHEAD_S = 1.0
# Stands for a factor without bound in logs and metrics.
MAX_FACTOR = 1000.0

# Priority, use and rank of waiting work; lower ones go first.
ArrivalRank = tuple[int, int, float]


class RankedWork:
    """Work by its place in the order.

    Args:
        items: rank and core-seconds of each job.
    """

    def __init__(self, items: Iterable[tuple[ArrivalRank, float]] = ()) -> None:
        ordered = sorted(items)
        self._ranks = [rank for rank, _ in ordered]
        self._sums = list(itertools.accumulate((work for _, work in ordered), initial=0.0))

    def before(self, rank: ArrivalRank) -> float:
        """Returns the core-seconds of all jobs before a rank."""
        return self._sums[bisect.bisect_left(self._ranks, rank)]


@dataclasses.dataclass(slots=True)
class Shortage:
    """Whether there is a shortage for one priority of a pool.

    Attributes:
        factor: due work divided by what the room can complete by the time at which it is due.
        since: clock time of its beginning, None if there is none.
    """

    factor: float = 0.0
    since: float | None = None
    _crossed_at: float | None = None

    def update(self, factor: float, policy: OverloadPolicy, now: float) -> bool:
        """Applies a new factor; returns whether the shortage began or ended."""
        self.factor = min(factor, MAX_FACTOR)
        if self.since is None:
            is_crossed, hold_s = factor >= policy.enter_factor, ENTER_HOLD_S
        else:
            leave_factor = min(policy.leave_factor, policy.enter_factor)
            is_crossed, hold_s = factor < leave_factor, LEAVE_HOLD_S
        if not is_crossed:
            self._crossed_at = None
            return False
        if self._crossed_at is None:
            self._crossed_at = now
        if now - self._crossed_at < hold_s:
            return False
        self.since = now if self.since is None else None
        self._crossed_at = None
        return True


@dataclasses.dataclass(slots=True)
class PoolState:
    """What is known of a pool since the last update.

    Attributes:
        room_cores: core-seconds of work that it can complete a second.
        waiting_core_s: work that waits.
        look_ahead_s_by_priority: see `JobCost.rank`.
        jobs: the jobs that wait.
        unstarted_images: images with tasks that have found no room.
        shortages_by_priority: by priority.
        meter: measures its drain rate.
        left_core_s: work that its running tasks have left.
        held_cores: cores that they hold.
        backlog: the work that waits, by rank; computed when it is needed.
        arrivals: the work accepted in the last seconds, by rank as if it arrived at `arrivals_at`.
        arrivals_at: clock time at which it was ranked.
    """

    room_cores: float = 0.0
    waiting_core_s: float = 0.0
    look_ahead_s_by_priority: dict[int, float] = dataclasses.field(default_factory=dict)
    jobs: list[tuple[Occurrence, JobCost]] = dataclasses.field(default_factory=list)
    unstarted_images: set[str] = dataclasses.field(default_factory=set)
    shortages_by_priority: dict[int, Shortage] = dataclasses.field(default_factory=dict)
    meter: DrainMeter = dataclasses.field(default_factory=DrainMeter)
    left_core_s: float = 0.0
    held_cores: float = 0.0
    backlog: RankedWork | None = None
    arrivals: RankedWork = dataclasses.field(default_factory=RankedWork)
    arrivals_at: float = float("-inf")

    def is_short(self, priority: int) -> bool:
        """Returns True if there is a shortage for a priority."""
        shortage = self.shortages_by_priority.get(priority)
        return shortage is not None and shortage.since is not None

    def rank(self, cost: JobCost, use: Use, is_filler: bool) -> ArrivalRank:
        """Returns the place of a job with a use."""
        return cost.priority, use, cost.rank(use, is_filler, self.look_ahead_s(cost.priority))

    def look_ahead_s(self, priority: int) -> float:
        """Returns the waiting time that discounts the use of a priority's jobs by a factor of e."""
        return self.look_ahead_s_by_priority.get(priority, DEFAULT_LOOK_AHEAD_S)


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    at: float
    cost: JobCost


class ShardBacklog:
    """Measures demand and drain rate of one shard during an ownership term.

    Args:
        job_table: the shard's jobs, runs and workers.
        policy: settings.
        is_settled: returns True once all runs of earlier owners are known.

    Attributes:
        run_times: corrects estimates.
        states_by_pool: the pools for which work has waited.
        changes: pools and priorities whose shortage began or ended in the last update.
    """

    def __init__(
        self, job_table: JobTable, policy: OverloadPolicy, is_settled: Callable[[], bool]
    ) -> None:
        self.run_times = RunTimes()
        self.states_by_pool: dict[Pool, PoolState] = {}
        self.changes: list[tuple[Pool, int, Shortage]] = []
        self._job_table = job_table
        self._policy = policy
        self._is_settled = is_settled
        self._settled_since: float | None = None
        self._next_update_at = float("-inf")
        self._measured_at = 0.0
        self._arrivals_by_service: dict[str, collections.deque[_Arrival]] = {}
        self._new_arrivals_by_service: dict[str, list[_Arrival]] = {}
        self._cost_by_occurrence: dict[Occurrence, JobCost] = {}
        job_table.on_run_ended = self._record_run_end

    def is_known(self, now: float) -> bool:
        """Returns True if the owner knows enough of the shard to decide on a shortage."""
        return self._settled_since is not None and now - self._settled_since >= MIN_HISTORY_S

    def cost(self, step: StepProgress, queue: Queue) -> JobCost:
        """Returns the cost of a step's job as of the last update."""
        occurrence = step.occurrence
        cost = self._cost_by_occurrence.get(occurrence)
        if cost is None:
            cost = cost_of(step.job, occurrence, queue, self.run_times, self._policy.useful_factor)
            self._cost_by_occurrence[occurrence] = cost
        return cost

    def record_accepted(self, cost: JobCost, service: str, now: float) -> None:
        """Counts a job that has just been accepted."""
        arrival = _Arrival(now, cost)
        self._arrivals_by_service.setdefault(service, collections.deque()).append(arrival)
        self._new_arrivals_by_service.setdefault(service, []).append(arrival)

    def work_before(self, pool: Pool, rank: ArrivalRank) -> float:
        """Returns the waiting core-seconds that go before a rank.

        Jobs accepted since the update count. Work that runs does not: while it ends, as much of the
        waiting work starts.
        """
        state = self.states_by_pool[pool]
        if state.backlog is None:
            state.backlog = RankedWork(_predict_order(pool, state, self._measured_at))
        new = sum(
            arrival.cost.core_s(pool.is_filler)
            for arrival in self._new_arrivals_by_service.get(pool.service, ())
            if state.rank(arrival.cost, Use.FULL, pool.is_filler) < rank
        )
        return state.backlog.before(rank) + new

    def arrival_rate_before(self, pool: Pool, rank: ArrivalRank) -> float:
        """Returns the core-seconds a second that are accepted and go before a rank."""
        state = self.states_by_pool[pool]
        if self._measured_at - state.arrivals_at >= ARRIVALS_INTERVAL_S:
            state.arrivals_at = self._measured_at
            state.arrivals = RankedWork(self._ranked_arrivals(pool, state))
        return state.arrivals.before(rank) / self._arrival_window_s()

    def _ranked_arrivals(self, pool: Pool, state: PoolState) -> Iterable[tuple[ArrivalRank, float]]:
        for arrival in self._arrivals_by_service.get(pool.service, ()):
            if work := arrival.cost.core_s(pool.is_filler):
                priority, use, rank = state.rank(arrival.cost, Use.FULL, pool.is_filler)
                shift = (self._measured_at - arrival.at) / state.look_ahead_s(priority)
                yield (priority, use, rank + shift), work

    def _arrival_window_s(self) -> float:
        known_s = self._measured_at - (self._settled_since or 0.0)
        return min(max(known_s, UPDATE_INTERVAL_S), ARRIVAL_WINDOW_S)

    def update(self, now: float) -> None:
        """Measures anew if the last time is long enough ago."""
        self.changes = []
        if now < self._next_update_at:
            return
        if self._settled_since is None and self._is_settled():
            self._settled_since = now
        self._measured_at = now
        for arrivals in self._arrivals_by_service.values():
            while arrivals and arrivals[0].at < now - ARRIVAL_WINDOW_S:
                arrivals.popleft()
        self._new_arrivals_by_service = {}
        steps_by_pool = self._collect_waiting()
        for pool in steps_by_pool:
            self.states_by_pool.setdefault(pool, PoolState())
        for pool, state in self.states_by_pool.items():
            self._measure_pool(pool, state, steps_by_pool.get(pool, []), now)
        interval_s = UPDATE_INTERVAL_S_PER_JOB * len(self._cost_by_occurrence)
        # The caller's interval is not exact; half of it leaves out none of its calls.
        interval_s = min(max(interval_s, UPDATE_INTERVAL_S / 2), MAX_UPDATE_INTERVAL_S)
        self._next_update_at = now + interval_s

    def _collect_waiting(self) -> dict[Pool, list[StepProgress]]:
        self._cost_by_occurrence = {}
        steps_by_pool: dict[Pool, list[StepProgress]] = {}
        for step in self._job_table.open_steps:
            if not step.waiting or step.spec.is_long_running:
                continue
            queue = self._job_table.queue_of(step)
            if queue is not None:
                self.cost(step, queue)
                pool = Pool(queue.service, step.spec.is_filler)
                steps_by_pool.setdefault(pool, []).append(step)
        return steps_by_pool

    def _measure_pool(
        self, pool: Pool, state: PoolState, steps: list[StepProgress], now: float
    ) -> None:
        by_occurrence = {step.occurrence: step for step in steps}
        state.jobs = [(found, self._cost_by_occurrence[found]) for found in by_occurrence]
        unstarted = [step for step in steps if now - step.opened_at >= SATURATED_AFTER_S]
        state.unstarted_images = {step.spec.image for step in unstarted}
        state.waiting_core_s = sum(cost.core_s(pool.is_filler) for _, cost in state.jobs)
        chains_s_by_priority: dict[int, list[float]] = {}
        for _, cost in state.jobs:
            chains_s_by_priority.setdefault(cost.priority, []).append(cost.chain_s)
        for priority, chains_s in chains_s_by_priority.items():
            look_ahead_s = LOOK_AHEAD_CHAINS * sum(chains_s) / len(chains_s)
            state.look_ahead_s_by_priority[priority] = max(look_ahead_s, MIN_LOOK_AHEAD_S)
        views = self._job_table.fleet.schedulable_workers(pool.service, now)
        usage = usage_of(views, pool.is_filler, self.run_times, now) if steps else Usage()
        state.held_cores, state.left_core_s = usage.cores, usage.left_core_s
        state.meter.update(bool(unstarted), usage.cores, now)
        if steps:
            state.room_cores = _room_cores(pool, state, views, steps)
        state.backlog = None
        self._measure_shortages(pool, state, bool(views), now)

    def _measure_shortages(
        self, pool: Pool, state: PoolState, has_workers: bool, now: float
    ) -> None:
        priorities = {cost.priority for _, cost in state.jobs}
        for priority in priorities:
            state.shortages_by_priority.setdefault(priority, Shortage())
        due = _due_work(state.jobs, pool.is_filler, now)
        can_judge = has_workers and self.is_known(now)
        for priority, shortage in state.shortages_by_priority.items():
            factor = self._factor(due, pool, priority) if can_judge and priorities else 0.0
            if shortage.update(factor, self._policy, now):
                self.changes.append((pool, priority, shortage))

    def _factor(self, due: list[tuple[float, int, float]], pool: Pool, priority: int) -> float:
        """Returns the highest ratio, over all times, of due work to what the room can complete.

        The work of higher priorities that goes on coming takes its part of the room.
        """
        state = self.states_by_pool[pool]
        higher_core_s = sum(
            arrival.cost.core_s(pool.is_filler)
            for arrival in self._arrivals_by_service.get(pool.service, ())
            if arrival.cost.priority < priority
        )
        cores = state.room_cores - higher_core_s / self._arrival_window_s()
        factor = work = 0.0
        for left_s, job_priority, core_s in due:
            if job_priority > priority:
                continue
            work += core_s
            running = min(state.left_core_s, state.held_cores * left_s)
            room = cores * left_s
            factor = max(factor, (work + running) / room if room > 0 else MAX_FACTOR)
        return factor

    def _record_run_end(self, run: Run, is_done: bool, now: float) -> None:
        step = run.task.step
        spec = step.spec
        queue = self._job_table.queue_of(step)
        if spec.is_long_running or queue is None:
            return
        state = self.states_by_pool.get(Pool(queue.service, spec.is_filler))
        if state is not None:
            state.meter.record_end(run, is_done, self.run_times, now)
        if is_done and run.is_undisturbed:
            estimate_s = spec.estimate_ms / 1000
            self.run_times.record(queue.name, spec.image, estimate_s, now - run.ordered_at)


def _room_cores(
    pool: Pool, state: PoolState, views: list[WorkerView], steps: list[StepProgress]
) -> float:
    """Returns the cores that the pool's tasks hold or could hold."""
    if pool.is_filler and (rate := state.meter.rate()) is not None:
        return rate
    tasks = sum(len(step.waiting) for step in steps)
    millis = sum(len(step.waiting) * step.spec.demand.cpu_millis for step in steps)
    return state.held_cores + declared_free_cores(views, pool.is_filler, millis / tasks)


def _predict_order(pool: Pool, state: PoolState, now: float) -> Iterable[tuple[ArrivalRank, float]]:
    """Returns the place at which each job will start, and its core-seconds.

    A job for which those before it leave no time to meet its objective will have fallen back by
    then, so that it delays no job that comes later and can meet its own.
    """
    ahead_core_s = 0.0
    for priority in sorted({cost.priority for _, cost in state.jobs}):
        costs_by_use: dict[Use, list[JobCost]] = {use: [] for use in Use}
        for _, cost in state.jobs:
            if cost.priority == priority:
                costs_by_use[cost.use(now)].append(cost)
        for use in Use:
            ranked = [(state.rank(cost, use, pool.is_filler), cost) for cost in costs_by_use[use]]
            for rank, cost in sorted(ranked, key=lambda item: item[0]):
                if ahead_core_s > (cost.latest_start(use) - now) * state.room_cores:
                    costs_by_use[Use(use + 1)].append(cost)
                    continue
                core_s = cost.core_s(pool.is_filler)
                ahead_core_s += core_s
                yield rank, core_s


def _due_work(
    jobs: list[tuple[Occurrence, JobCost]], is_filler: bool, now: float
) -> list[tuple[float, int, float]]:
    """Returns time left, priority and core-seconds of the jobs that can still be of use.

    A job that can no longer meet its objective is due as soon as it can end: a later time would
    hide a lasting shortage, in which most jobs miss their objective by a little.
    """
    due = []
    for _, cost in jobs:
        if cost.use(now) is not Use.NONE:
            left_s = max(cost.due_at - now, cost.chain_s)
            due.append((left_s, cost.priority, cost.core_s(is_filler)))
    due.sort()
    return due
