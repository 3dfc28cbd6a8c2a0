"""Room of a shard's workers beside the tasks that wait and the jobs that it has agreed to take.

The owner of a shard checks room exactly. Other owners know a summary, the distribution of free
millicores over the workers, which is small enough to be sent with each heartbeat.
"""

import bisect
import dataclasses
import heapq
import math
from collections.abc import Callable, Iterable, Sequence

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import Step

__all__ = ["FREE_MILLIS_STEPS", "FreeWorkers", "RoomSummary", "ShardRoom"]

# Lower bounds of the classes into which a summary sorts workers by free millicores.
FREE_MILLIS_STEPS = (
    *(250, 500, 1_000, 2_000, 3_000, 4_000, 6_000, 8_000, 12_000),
    *(16_000, 20_000, 24_000, 32_000, 48_000, 64_000, 96_000),
)
# Room is computed anew after this time; a plan is made about as often under load.
REFRESH_AFTER_S = 0.1
# Each summary is sent to many processes.
SUMMARIZE_AFTER_S = 0.2


@dataclasses.dataclass(slots=True)
class _FreeWorker:
    """What is free on one worker."""

    millis: int
    memory_mb: float = math.inf
    accelerators: float = math.inf
    labels: tuple[str, ...] = ()

    @classmethod
    def of(cls, view: WorkerView) -> "_FreeWorker":
        capacity = view.info.capacity
        return cls(
            capacity.cpu_millis - view.committed_millis,
            capacity.memory_mb - view.memory_mb,
            capacity.accelerators - view.accelerators,
            view.info.labels,
        )

    def fits(self, step: Step) -> bool:
        demand = step.demand
        return (
            demand.cpu_millis <= self.millis
            and demand.memory_mb <= self.memory_mb
            and demand.accelerators <= self.accelerators
            and (not step.required_label or step.required_label in self.labels)
        )

    def count_places(self, step: Step) -> int:
        if not self.fits(step):
            return 0
        demand = step.demand
        limits = [
            int(free // needed)
            for free, needed in (
                (self.millis, demand.cpu_millis),
                (self.memory_mb, demand.memory_mb),
                (self.accelerators, demand.accelerators),
            )
            if needed and free < math.inf
        ]
        return min([step.max_per_worker or step.count, *limits])

    def take(self, step: Step, tasks: int = 1) -> None:
        self.millis -= tasks * step.demand.cpu_millis
        self.memory_mb -= tasks * step.demand.memory_mb
        self.accelerators -= tasks * step.demand.accelerators


class FreeWorkers:
    """What is free on each of some workers; tasks are put on the emptiest one, as placement does.

    Args:
        workers: the workers.
    """

    def __init__(self, workers: Iterable[_FreeWorker]) -> None:
        self._workers = list(workers)
        self._largest_millis = max((worker.millis for worker in self._workers), default=0)

    @property
    def free_millis(self) -> int:
        """Millicores that are free on all workers together."""
        return sum(worker.millis for worker in self._workers)

    def copy(self) -> "FreeWorkers":
        """Returns a copy that can be changed."""
        return FreeWorkers(dataclasses.replace(worker) for worker in self._workers)

    def take(self, step: Step, count: int) -> int:
        """Puts up to `count` tasks of a step on the workers; returns how many found room."""
        if step.demand.cpu_millis > self._largest_millis:
            return 0
        taken = (
            self._take_many(step, count)
            if count > len(self._workers)
            else self._take_one_by_one(step, count)
        )
        if taken:
            self._largest_millis = max(worker.millis for worker in self._workers)
        return taken

    def _take_many(self, step: Step, count: int) -> int:
        """Does what `_take_one_by_one` does in time that doesn't grow with the number of tasks.

        Each task of a worker lowers what is free there by the same amount. The tasks that are taken
        are those that find the most free, so that it suffices to find the lowest such level.
        """
        places = [worker.count_places(step) for worker in self._workers]
        needed = max(1, step.demand.cpu_millis)

        def count_from(level: int) -> list[int]:
            """Returns the tasks of each worker that find at least `level` millicores free."""
            return [
                min(limit, max(0, (worker.millis - level) // needed + 1))
                for worker, limit in zip(self._workers, places, strict=True)
            ]

        if sum(places) > count and step.demand.cpu_millis:
            low, high = 0, self._largest_millis + 1  # too many tasks, or enough, from `low` on
            while high - low > 1:
                level = (low + high) // 2
                if sum(count_from(level)) >= count:
                    low = level
                else:
                    high = level
            at_level, places = count_from(low), count_from(high)
        else:
            # Tasks that need no millicores fill the emptiest worker, then the next.
            at_level, places = places, [0] * len(places)
        left = count - sum(places)
        order = sorted(range(len(places)), key=lambda number: -self._workers[number].millis)
        for number in order if not step.demand.cpu_millis else range(len(places)):
            more = min(at_level[number] - places[number], left)
            places[number] += more
            left -= more
        for worker, tasks in zip(self._workers, places, strict=True):
            worker.take(step, tasks)
        return sum(places)

    def _take_one_by_one(self, step: Step, count: int) -> int:
        emptiest = [(-w.millis, n, 0) for n, w in enumerate(self._workers) if w.fits(step)]
        heapq.heapify(emptiest)
        taken = 0
        while emptiest and taken < count:
            _, number, tasks = emptiest[0]
            worker = self._workers[number]
            worker.take(step)
            taken += 1
            is_at_limit = step.max_per_worker and tasks + 1 >= step.max_per_worker
            if worker.fits(step) and not is_at_limit:
                heapq.heapreplace(emptiest, (-worker.millis, number, tasks + 1))
            else:
                heapq.heappop(emptiest)
        return taken

    def take_all(self, steps: Sequence[Step]) -> int:
        """Puts the tasks of all steps on the workers; returns how many found room."""
        largest_first = sorted(steps, key=lambda step: -step.demand.cpu_millis)
        return sum(self.take(step, step.count) for step in largest_first)

    def summarize(self) -> "RoomSummary":
        """Returns the distribution of free millicores."""
        counts = [0] * len(FREE_MILLIS_STEPS)
        for worker in self._workers:
            number = bisect.bisect_right(FREE_MILLIS_STEPS, worker.millis)
            if number:
                counts[number - 1] += 1
        return RoomSummary(tuple(counts))


@dataclasses.dataclass(frozen=True, slots=True)
class RoomSummary:
    """Room for one service in a shard.

    Attributes:
        worker_counts: number of workers in each class of `FREE_MILLIS_STEPS`; missing ones are 0.
    """

    worker_counts: tuple[int, ...] = ()

    def expand(self) -> FreeWorkers:
        """Returns workers with the least room that the summary allows; memory is not limited."""
        return FreeWorkers(
            _FreeWorker(millis)
            for millis, count in zip(FREE_MILLIS_STEPS, self.worker_counts, strict=False)
            for _ in range(count)
        )

    @property
    def free_millis(self) -> int:
        """The least number of millicores that may be free on all workers together."""
        return sum(
            millis * count
            for millis, count in zip(FREE_MILLIS_STEPS, self.worker_counts, strict=False)
        )

    def count_places(self, step: Step) -> int:
        """Returns how many tasks of one step find room at least; memory is not limited."""
        demand = max(1, step.demand.cpu_millis)
        limit = step.max_per_worker or math.inf
        places = (
            min(millis // demand, limit) * count
            for millis, count in zip(FREE_MILLIS_STEPS, self.worker_counts, strict=False)
        )
        return int(sum(places))

    def may_hold(self, cpu_millis: int) -> bool:
        """Returns True unless it is certain that no worker has so many millicores free."""
        upper_bounds = (*FREE_MILLIS_STEPS[1:], math.inf)
        return any(
            count and cpu_millis < upper_bound
            for upper_bound, count in zip(upper_bounds, self.worker_counts, strict=False)
        )


class ShardRoom:
    """Computes the room of one shard during an ownership term.

    Args:
        job_table: the shard's jobs, runs and workers.
        is_settled: returns True once no unreported run of an earlier owner can exist any more.
    """

    def __init__(self, job_table: JobTable, is_settled: Callable[[], bool]) -> None:
        self._job_table = job_table
        self._is_settled = is_settled
        self._free_by_service: dict[str, FreeWorkers] = {}
        self._computed_at = float("-inf")
        self._summaries_by_service: dict[str, RoomSummary] = {}
        self._summarized_at = float("-inf")
        self._reserved_by_job_id: dict[str, tuple[str, Sequence[Step]]] = {}

    def count_places(self, service: str, steps: Sequence[Step], now: float) -> int:
        """Returns how many tasks of the steps find room at once on the workers of a service."""
        free = self._refresh(now).get(service)
        return 0 if free is None else free.copy().take_all(steps)

    def reserve(self, job_id: str, service: str, steps: Sequence[Step], now: float) -> None:
        """Counts a job that is about to be accepted, until `release` is called."""
        free = self._refresh(now).get(service)
        if free is not None:
            free.take_all(steps)
        self._reserved_by_job_id[job_id] = service, steps

    def release(self, job_id: str) -> None:
        """Ends a reservation, as the job is in the job table or is not accepted."""
        self._reserved_by_job_id.pop(job_id, None)

    def summaries_by_service(self, now: float) -> dict[str, RoomSummary]:
        """Returns the room that the shard offers to others, none before its runs are known."""
        if not self._is_settled():
            return {}
        if now - self._summarized_at >= SUMMARIZE_AFTER_S:
            self._summarized_at = now
            self._summaries_by_service = {
                service: free.summarize() for service, free in self._refresh(now).items()
            }
        return self._summaries_by_service

    def _refresh(self, now: float) -> dict[str, FreeWorkers]:
        if now - self._computed_at >= REFRESH_AFTER_S:
            self._computed_at = now
            self._free_by_service = self._compute(now)
        return self._free_by_service

    def _compute(self, now: float) -> dict[str, FreeWorkers]:
        evidence = self._job_table.evidence
        workers_by_service: dict[str, list[_FreeWorker]] = {}
        for view in self._job_table.fleet.all_schedulable(now):
            if not evidence.is_quarantined(view.worker_id):
                workers = workers_by_service.setdefault(view.info.service, [])
                workers.append(_FreeWorker.of(view))
        free_by_service = {
            service: FreeWorkers(workers) for service, workers in workers_by_service.items()
        }
        for step in self._job_table.open_steps:
            queue = self._job_table.queue_of(step)
            if queue is not None and queue.service in free_by_service and not step.spec.is_filler:
                free_by_service[queue.service].take(step.spec, len(step.waiting))
        for service, steps in self._reserved_by_job_id.values():
            if service in free_by_service:
                free_by_service[service].take_all(steps)
        return free_by_service
