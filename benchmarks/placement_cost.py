"""Measures the processor time of placement decisions against the number of workers.

Shares of a core are those at 90 starts/s.

.venv/bin/python -m benchmarks.placement_cost
"""

import random
import statistics
import time
import tracemalloc

import click
from pollengate.configuration import Configuration, Limits, Policy, Quota, Zone
from pollengate.jobs import Resources
from pollengate.placement_request import PlacementRequest
from pollengate.reaction import Observation
from pollengate.shard_policy import ShardPolicy
from pollengate.worker import TaskUsage

SIZES = (30, 330, 3300)
TEAMS = 160
CLASSES = 40
SERVICE_CLASSES = 2
STARTS_PER_S = 90
TICKS = 300
TICK_S = 0.1
MAX_STARTS_PER_TICK = 200
REPORT_INTERVAL_S = 5.0
CAPACITY = Resources(64, 250_000)


class Load:
    """A full shard with a backlog, in which tasks end and start at a steady rate."""

    def __init__(self, workers: int, backlog: int) -> None:
        self.now = 0.0
        self.generator = random.Random(workers)
        self.policy = ShardPolicy("a", 1, lambda: self.now)
        settings = Policy(service_classes=("class-0", "class-1"), max_service_slowdown=1.2)
        quotas = {f"team-{n}": Quota(10**6, 10**9) for n in range(TEAMS)}
        self.policy.configure(Configuration(1, {"a": Zone()}, {}, quotas, Limits(), settings))
        for number in range(workers):
            self.policy.placement.add_worker(f"w{number}", f"r{number // 8}", CAPACITY)
        self.running: list[str] = []
        self._count = 0
        self._is_filled = False
        while True:
            self.submit(workers)
            before = len(self.running)
            self.offer_tasks(workers)
            if len(self.running) == before:
                break
        self._drop_waiting_services()
        self._is_filled = True
        while len(self.policy.queue) < backlog:
            self.submit(1)

    def submit(self, count: int) -> None:
        """Adds random tasks to the queue."""
        generator = self.generator
        for _ in range(count):
            self._count += 1
            cores = generator.choice((1, 2, 2, 4, 8))
            request = PlacementRequest(
                f"job-{self._count}.0",
                self._choose_class(),
                f"team-{generator.randrange(TEAMS)}",
                Resources(cores, 2000 * cores),
                60_000,
                job_id=f"job-{self._count}",
            )
            self.policy.queue.push(request)

    def _drop_waiting_services(self) -> None:
        for number in range(self._count):
            self.policy.queue.discard(f"job-{number + 1}.0")

    def _choose_class(self) -> str:
        """Draws a task class; service classes are drawn only while the shard is first filled."""
        first = SERVICE_CLASSES if self._is_filled else 0
        return f"class-{min(first + int(self.generator.expovariate(0.1)), CLASSES - 1)}"

    def offer_tasks(self, limit: int = MAX_STARTS_PER_TICK) -> None:
        """Starts queued tasks that fit, at most `limit`."""

        def place(request: PlacementRequest) -> bool:
            if self.policy.placement.place(request) is None:
                return False
            self.running.append(request.task_id)
            return True

        self.policy.queue.offer_tasks(place, limit)

    def end(self, count: int) -> None:
        """Ends running tasks, chosen at random."""
        for _ in range(count):
            position = self.generator.randrange(len(self.running))
            self.running[position], self.running[-1] = self.running[-1], self.running[position]
            self.policy.placement.release(self.running.pop())

    def report(self, worker_id: str) -> Observation:
        """Returns a resource report of one worker's tasks."""
        requests = self.policy.capacity_tracker.loads_by_worker[worker_id].requests_by_task.values()
        usage = tuple(
            TaskUsage(r.task_id, r.resources.cores * 0.8, 1, self.generator.uniform(1.0, 1.3))
            for r in requests
        )
        return Observation(worker_id, self.now, usage)


def measure_starts(load: Load) -> tuple[float, float, float]:
    """Returns the microseconds per start, median and maximum of the ticks, and the core share."""
    costs = []
    count = int(STARTS_PER_S * TICK_S)
    for _ in range(TICKS):
        load.now += TICK_S
        before = len(load.running)
        started_at = time.process_time()
        load.end(count)
        load.submit(count)
        load.offer_tasks()
        spent = time.process_time() - started_at
        costs.append(spent / max(len(load.running) - before + count, 1) * 1e6)
    median = statistics.median(costs)
    return median, max(costs), median * STARTS_PER_S / 1e6


def measure_reports(load: Load, workers: int) -> tuple[float, float]:
    """Returns the microseconds per report, and the core share if all workers report regularly."""
    reports = [load.report(f"w{n % workers}") for n in range(300)]
    started_at = time.process_time()
    for report in reports:
        load.policy.reaction.observe(report)
        load.policy.reaction.decide(load.now)
    cost = (time.process_time() - started_at) / len(reports)
    return cost * 1e6, cost * workers / REPORT_INTERVAL_S


@click.command()
@click.option("--backlog", default=5000)
def main(backlog: int) -> None:
    """Prints a table row for each number of workers."""
    click.echo("| workers | tasks | us/start | worst tick | core | us/report | core | MB |")
    click.echo("|---|---|---|---|---|---|---|---|")
    for workers in SIZES:
        tracemalloc.start()
        load = Load(workers, backlog)
        megabytes = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        median, worst, core = measure_starts(load)
        report, report_core = measure_reports(load, workers)
        click.echo(
            f"| {workers} | {len(load.running)} | {median:.0f} | {worst:.0f} | {core:.1%} "
            f"| {report:.0f} | {report_core:.1%} | {megabytes:.1f} |"
        )


if __name__ == "__main__":
    main()
