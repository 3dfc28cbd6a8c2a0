"""Recorded loads of a shard with too little room, and a driver that plays them on a job table."""

import collections
import dataclasses
import heapq
import random
from typing import Any

from pollengate.interference.latency_model import LatencyModel
from pollengate.overload.admission import OverloadAdmission
from pollengate.overload.backlog import ShardBacklog
from pollengate.overload.order import OverloadOrder
from pollengate.workflow.clients import EndKind
from pollengate.workflow.model import Demand, Deployment, Queue, Step, Workflow
from pollengate.workflow.ordering import StepOrder
from pollengate.workflow.placement import Placer
from pollengate.workflow.planner import Planner
from pollengate.workflow.policy import OverloadPolicy
from pollengate.workflow.progress import JobProgress, Run, StepProgress
from pollengate.workflow.tickets import TicketCache

from tests.workflow_builders import SERVICE, build_job_table, build_lease_worker

WORKERS, WORKER_CORES = 8, 16
ROOM_CORES = WORKERS * WORKER_CORES
TASK_CORES = 2
LOAD_S = 16.0
TICK_S = 0.05
# Priority, steps, tasks of a step, run time, factor and constant of the objective, share of the
# work: the urgent and the batch jobs of the deployment with too little available capacity, and
# urgent jobs of eight times the size.
KINDS = {
    "urgent": (0, 1, 4, 1.0, 1.5, 300, 0.35),
    "large": (0, 2, 16, 1.0, 1.5, 300, 0.35),
    "batch": (2, 2, 10, 2.2, 2.0, 1000, 0.3),
}


@dataclasses.dataclass
class Recorded:
    """A job as recorded: when it came and how long its tasks really run, by step and index."""

    at: float
    job_id: str
    queue: str
    steps: tuple[Step, ...]
    true_s: list[list[float]]

    @property
    def alone_s(self) -> float:
        """The time that it needs if it is alone."""
        return sum(map(max, self.true_s)) + 2 * TICK_S

    @property
    def true_core_s(self) -> float:
        """The work that it really needs."""
        return TASK_CORES * sum(map(sum, self.true_s))


def record_load(
    factor: float,
    error: float,
    seed: int,
    load_s: float = LOAD_S,
    kinds: tuple[str, ...] = tuple(KINDS),
) -> list[Recorded]:
    """Returns a load of `factor` times the room, with estimates wrong by a factor of `error`."""
    generator = random.Random(seed)
    load: list[Recorded] = []
    for queue in kinds:
        _, steps, count, run_s, _, _, share = KINDS[queue]
        work = factor * share * ROOM_CORES * load_s
        while work > 0:
            true_s, specs = [], []
            for number in range(steps):
                mean_s = run_s * generator.uniform(0.5, 1.5)
                estimate_s = mean_s * error ** generator.choice([-1, 1])
                true_s.append(
                    [mean_s * (7 if generator.random() < 0.03 else 1) for _ in range(count)]
                )
                specs.append(
                    Step(
                        count,
                        Demand(TASK_CORES * 1000, 1),
                        int(estimate_s * 1000),
                        (number - 1,) if number else (),
                        image=queue,
                    )
                )
            at = generator.uniform(0, load_s)
            job = Recorded(at, f"{generator.getrandbits(64):016x}", queue, tuple(specs), true_s)
            load.append(job)
            work -= job.true_core_s
    return sorted(load, key=lambda job: job.at)


class ArrivalOrder(StepOrder):
    """First come, first served."""

    def key(self, step: StepProgress, queue: Queue | None, now: float) -> tuple[Any, ...]:
        return (step.job.accepted_at,)


class LeastLoadedOrder(StepOrder):
    """The queue with the fewest running tasks first; `Play` counts them."""

    def __init__(self) -> None:
        self.running_by_queue: collections.Counter[str] = collections.Counter()

    def key(self, step: StepProgress, queue: Queue | None, now: float) -> tuple[Any, ...]:
        return self.running_by_queue[step.job.queue_name], step.job.accepted_at


class Play:
    """Plays a load on a job table with the planner, on its own clock, with an order or a policy."""

    def __init__(
        self, load: list[Recorded], order: StepOrder | None, policy: OverloadPolicy | None
    ) -> None:
        self.load = {job.job_id: job for job in load}
        self.took_s: dict[str, float] = {}
        self.refused: dict[str, float] = {}
        self.starts: list[tuple[str, float]] = []
        self.was_short = False
        self.end = 0.0
        capacity = Demand(WORKER_CORES * 1000, 100_000)
        self.job_table = build_job_table(
            *(build_lease_worker(f"w{n}", capacity=capacity) for n in range(WORKERS))
        )
        self.job_table.deployment = Deployment(
            1,
            tuple(
                Queue(name, "host", f"/{name}/", SERVICE, kind[0], 2, kind[4], kind[5])
                for name, kind in KINDS.items()
            ),
        )
        self.backlog = self.admission = None
        if policy is not None:
            self.backlog = ShardBacklog(self.job_table, policy, lambda: True)
            self.admission = OverloadAdmission(self.backlog, policy)
            order = OverloadOrder(self.backlog)
        self._order = order
        placer = Placer(self.job_table.evidence, LatencyModel(), TicketCache())
        self._planner = Planner(self.job_table, placer, lambda: True, order)
        self._ends: list[tuple[float, int, Run]] = []
        self._pending = list(load)

    def run(self, until: float = 600.0) -> "Play":
        """Plays until all jobs have ended."""
        tick = 0
        while self._pending or self._ends or self.job_table.open_steps:
            now = tick * TICK_S
            assert now < until, "the backlog does not end"
            self._end_runs(now)
            self._submit(now)
            for run in self._planner.plan(now):
                self.job_table.mark_started(run, now)
                job_id, _, step, index = run.task.name.split(".")
                true_s = self.load[job_id].true_s[int(step)][int(index)]
                self.starts.append((run.task.step.job.queue_name, now))
                self._count_running(run, 1)
                heapq.heappush(self._ends, (now + true_s, len(self.starts), run))
            if self.backlog is not None and tick % 2 == 0:
                self._update(now)
            tick += 1
        return self

    def _update(self, now: float) -> None:
        assert self.backlog is not None and isinstance(self._order, OverloadOrder)
        self.backlog.update(now)
        self._order.update(now)
        states = self.backlog.states_by_pool.values()
        self.was_short |= any(state.is_short(p) for state in states for p in (0, 2))

    def _end_runs(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            at, _, run = heapq.heappop(self._ends)
            self.job_table.mark_ended(run, EndKind.DONE, "", at, 0)
            self._count_running(run, -1)
            job = run.task.step.job
            if job.is_ended:
                self.took_s[job.job_id] = at - self.load[job.job_id].at
                self.end = at

    def _count_running(self, run: Run, change: int) -> None:
        if isinstance(self._order, LeastLoadedOrder):
            self._order.running_by_queue[run.task.step.job.queue_name] += change

    def _submit(self, now: float) -> None:
        while self._pending and self._pending[0].at <= now:
            recorded = self._pending.pop(0)
            workflow = Workflow("", recorded.steps)
            job = JobProgress(recorded.job_id, recorded.queue, workflow, 0, recorded.at)
            queue = self.job_table.deployment.queue(recorded.queue)
            assert queue is not None
            refusal = self.admission and self.admission.find_refusal(job, queue, now)
            if refusal:
                self.refused[job.job_id] = refusal.retry_after_s
            else:
                self.job_table.add(job, now, 0)

    def use(self, job_id: str, took_s: float | None = None) -> float:
        """Returns the use of a job that took a time, by default that of the play: 1, 1/4 or 0."""
        recorded = self.load[job_id]
        queue = self.job_table.deployment.queue(recorded.queue)
        assert queue is not None
        job = JobProgress(job_id, recorded.queue, Workflow("", recorded.steps), 0, 0.0)
        if took_s is None:
            took_s = self.took_s.get(job_id, float("inf"))
        ratio = took_s / job.objective_s(queue)
        return 1.0 if ratio <= 1 else 0.25 if ratio <= OverloadPolicy().useful_factor else 0.0

    def cost(self, job_id: str) -> float:
        """Returns the use that waiting or a refusal took from a job that would run alone."""
        return max(self.use(job_id, self.load[job_id].alone_s) - self.use(job_id), 0.0)

    def total_cost(self, *queues: str) -> float:
        """Returns the cost to the callers of some queues."""
        return sum(self.cost(job.job_id) for job in self.load.values() if job.queue in queues)
