"""Simulated workers whose tasks interfere by a rule that the policies don't know.

A task's slowdown is the product of `1 + coefficient * share * load ** power` over the classes of
the tasks on its worker, times the overload of the processors. `coefficient` and `power` are drawn
for each ordered pair of classes; `share` is the share of the processors that the tasks of the
class use, and `load` that of all tasks. The policy assumes a sum over pairs and four load levels,
so its model never matches exactly. Reports are made every few seconds, arrive late and out of
order, and have noise with outliers.
"""

import dataclasses
import heapq
import math
import random
from collections.abc import Iterable

from pollengate.jobs import Resources
from pollengate.placement_request import PlacementRequest
from pollengate.reaction import Observation
from pollengate.worker import TaskUsage

__all__ = [
    "FakeTask",
    "FakeWorker",
    "InterferenceTable",
    "LatencyHistogram",
    "TaskClass",
    "make_classes",
]

WORKER_SIZE = Resources(64, 250_000)
NO_INTERFERENCE_PROBABILITY = 0.6
MAX_COEFFICIENT = 5.0
SERVICE_UTILIZATION = 0.35
NOISE_SIGMA = 0.15
OUTLIER_PROBABILITY = 0.02
CHECKPOINT_S = 2.0
RESUME_S = 5.0
FAILS_AFTER_S = 2.0
NOISE_QUANTILES = tuple(math.exp(0.25 * z) for z in (-1.6, -0.9, -0.4, 0, 0.4, 0.9, 1.6, 2.3))


@dataclasses.dataclass(slots=True)
class TaskClass:
    """The true behaviour of the tasks of a class.

    Attributes:
        name: name of the class.
        is_service: whether the tasks are latency-critical and run without end.
        cores_ratio: processors used, as a share of those declared.
        run_ratio: run time, as a share of that declared.
        step_s: length of a step, during part of which no checkpoint is possible; 0 for none.
        intensity: factor on the processors used and on the request rate of services.
    """

    name: str
    is_service: bool
    cores_ratio: float = 1.0
    run_ratio: float = 1.0
    step_s: float = 0.0
    intensity: float = 1.0


class InterferenceTable:
    """The true interference: `(coefficient, power)` by pair of victim and aggressor class."""

    def __init__(self, classes: Iterable[str], generator: random.Random) -> None:
        self.by_pair: dict[tuple[str, str], tuple[float, int]] = {}
        names = list(classes)
        for victim in names:
            for aggressor in names:
                coefficient = 0.0
                if generator.random() >= NO_INTERFERENCE_PROBABILITY:
                    coefficient = min(generator.lognormvariate(-0.3, 0.8), MAX_COEFFICIENT)
                self.by_pair[victim, aggressor] = (coefficient, generator.choice((0, 1, 2)))


def make_classes(generator: random.Random) -> dict[str, TaskClass]:
    """Returns two service classes and eight random batch classes by name."""
    classes = [TaskClass(f"service-{n}", True) for n in range(2)]
    for number in range(8):
        step_s = generator.choice((0.0, 0.0, 60.0, 120.0))
        ratio = generator.uniform(0.6, 1.1)
        classes.append(TaskClass(f"batch-{number}", False, ratio, 1.0, step_s))
    return {one.name: one for one in classes}


@dataclasses.dataclass(slots=True)
class FakeTask:
    """A task and its remaining work.

    Attributes:
        request: the task as the policies see it.
        kind: true behaviour of its class.
        remaining_s: remaining work, in seconds at full speed.
        done_s: work done, in seconds at full speed.
        share: speed that throttling allows, 1 for full speed.
        rate: actual speed, after throttling and interference.
        ends_at: when the task ends or has saved its checkpoint.
        checkpoint_at: when an eviction has saved the checkpoint; infinite if not evicted.
        fails: whether the run ends with a failure.
    """

    request: PlacementRequest
    kind: TaskClass
    remaining_s: float
    done_s: float = 0.0
    share: float = 1.0
    rate: float = 1.0
    ends_at: float = math.inf
    checkpoint_at: float = math.inf
    fails: bool = False

    @property
    def cores(self) -> float:
        """Processors that the task uses."""
        utilization = SERVICE_UTILIZATION if self.kind.is_service else 1.0
        ratio = self.kind.cores_ratio * self.kind.intensity * self.share * utilization
        return self.request.resources.cores * ratio

    def in_step(self) -> bool:
        """Whether no checkpoint is possible now: true during the last two thirds of each step."""
        return self.kind.step_s > 0 and (self.done_s % self.kind.step_s) > self.kind.step_s / 3


class LatencyHistogram:
    """Service latencies in logarithmic bins, weighted by time and load."""

    def __init__(self) -> None:
        self._weight_by_bin: dict[int, float] = {}

    def add(self, latency: float, weight: float) -> None:
        """Adds requests whose latencies are spread around `latency`."""
        for factor in NOISE_QUANTILES:
            index = int(math.log(latency * factor) * 50)
            self._weight_by_bin[index] = self._weight_by_bin.get(index, 0.0) + weight

    def clear(self) -> None:
        """Removes all latencies."""
        self._weight_by_bin.clear()

    def quantile(self, fraction: float) -> float:
        """Returns a quantile, relative to the latency of one request on an idle worker."""
        total = sum(self._weight_by_bin.values())
        seen = 0.0
        for index in sorted(self._weight_by_bin):
            seen += self._weight_by_bin[index]
            if seen >= fraction * total:
                return math.exp(index / 50)
        return math.nan


class FakeWorker:
    """A worker that computes the progress of its tasks only when something changes."""

    def __init__(
        self,
        worker_id: str,
        rack: str,
        zone: str,
        interference: InterferenceTable,
        histogram: LatencyHistogram,
    ) -> None:
        self.worker_id = worker_id
        self.rack = rack
        self.zone = zone
        self.is_faulty = False
        self.tasks_by_id: dict[str, FakeTask] = {}
        self.work_done = 0.0
        self._interference = interference
        self._histogram = histogram
        self._advanced_at = 0.0
        self._next_end = math.inf
        self._slowdowns: dict[str, float] = {}

    def add(self, task: FakeTask, now: float) -> None:
        """Starts a task.

        Raises:
            AssertionError: the declared cores of its tasks exceed the capacity.
        """
        self.advance(now)
        declared = sum(t.request.resources.cores for t in self.tasks_by_id.values())
        if declared + task.request.resources.cores > WORKER_SIZE.cores:
            raise AssertionError(f"declared cores exceed the capacity of worker {self.worker_id}")
        self.tasks_by_id[task.request.task_id] = task
        self.update(now)

    def remove(self, task_id: str, now: float) -> FakeTask:
        """Removes a task and returns it."""
        self.advance(now)
        task = self.tasks_by_id.pop(task_id)
        self.update(now)
        return task

    def advance(self, now: float) -> None:
        """Records the work and the latencies since the last change."""
        elapsed_s = now - self._advanced_at
        self._advanced_at = now
        for task in self.tasks_by_id.values():
            if task.kind.is_service:
                self._count_latency(task, elapsed_s)
            elif task.checkpoint_at == math.inf:
                work = min(task.rate * elapsed_s, task.remaining_s)
                task.remaining_s -= work
                task.done_s += work
                self.work_done += work * task.request.resources.cores

    def update(self, now: float) -> None:
        """Computes slowdowns and end times after a change."""
        cores_by_class: dict[str, float] = {}
        count_by_class: dict[str, int] = {}
        for task in self.tasks_by_id.values():
            name = task.kind.name
            cores_by_class[name] = cores_by_class.get(name, 0.0) + task.cores
            count_by_class[name] = count_by_class.get(name, 0) + 1
        self._slowdowns = self._slowdowns_of(cores_by_class, count_by_class)
        self._next_end = math.inf
        for task in self.tasks_by_id.values():
            task.rate = task.share / self._slowdowns[task.kind.name]
            if task.kind.is_service:
                task.ends_at = task.checkpoint_at
                self._next_end = min(self._next_end, task.ends_at)
                continue
            task.ends_at = min(now + task.remaining_s / task.rate + 0.001, task.checkpoint_at)
            if task.fails:
                task.ends_at = min(task.ends_at, now + FAILS_AFTER_S)
            self._next_end = min(self._next_end, task.ends_at)

    def next_end(self) -> float:
        """Returns the time at which the next task ends."""
        return self._next_end

    def report(self, now: float, generator: random.Random) -> Observation:
        """Returns a report of the tasks, with noise."""
        usage = []
        for task in self.tasks_by_id.values():
            slowdown = self._slowdowns[task.kind.name]
            slowdown *= math.exp(generator.gauss(0.0, NOISE_SIGMA))
            if generator.random() < OUTLIER_PROBABILITY:
                slowdown *= 3.0
            cores = task.cores * math.exp(generator.gauss(0.0, 0.1))
            usage.append(
                TaskUsage(task.request.task_id, cores, 1, max(slowdown, 1.0), task.in_step())
            )
        return Observation(self.worker_id, now, tuple(usage))

    def _slowdowns_of(
        self, cores_by_class: dict[str, float], count_by_class: dict[str, int]
    ) -> dict[str, float]:
        load = sum(cores_by_class.values()) / WORKER_SIZE.cores
        slowdowns = {}
        for victim in cores_by_class:
            slowdown = max(load, 1.0)
            for aggressor, cores in cores_by_class.items():
                coefficient, power = self._interference.by_pair[victim, aggressor]
                if coefficient == 0.0:
                    continue
                share = cores / WORKER_SIZE.cores
                if victim == aggressor:
                    count = count_by_class[victim]
                    share *= (count - 1) / count
                slowdown *= 1.0 + coefficient * share * min(load, 1.0) ** power
            slowdowns[victim] = slowdown
        return slowdowns

    def _count_latency(self, task: FakeTask, elapsed_s: float) -> None:
        slowdown = self._slowdowns[task.kind.name]
        utilization = min(SERVICE_UTILIZATION * task.kind.intensity * slowdown, 0.95)
        self._histogram.add(slowdown / (1.0 - utilization), elapsed_s * task.kind.intensity)


class DelayedReports:
    """Delivers each report 5 to 30 s after it was made."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._queue: list[tuple[float, int, Observation]] = []
        self._count = 0

    def send(self, observation: Observation, now: float) -> None:
        """Queues a report for delivery."""
        self._count += 1
        arrives_at = now + self._generator.uniform(5.0, 30.0)
        heapq.heappush(self._queue, (arrives_at, self._count, observation))

    def due(self, now: float) -> list[Observation]:
        """Returns the reports that have arrived by `now` and removes them from the queue."""
        due = []
        while self._queue and self._queue[0][0] <= now:
            due.append(heapq.heappop(self._queue)[2])
        return due
