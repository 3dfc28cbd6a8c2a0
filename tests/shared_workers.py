"""Plays serving tasks and fillers on shared workers, with interference as on the print floor.

The latency of a serving task is its idle latency divided by the capacity that its own load and the
fillers beside it leave over. Loads swing with a period of 20 s, each job's at its own phase. A
third of the pairs of images interfere strongly, the others little; all amounts change within
seconds.
"""

import dataclasses
import enum
import itertools
import math
import random

from pollengate.interference.latency_model import LatencyModel
from pollengate.interference.speeds import SpeedController
from pollengate.workflow.clients import EndKind
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.model import Demand
from pollengate.workflow.planner import Planner
from pollengate.workflow.progress import JobProgress, JobState, Run, RunState, StepProgress

from tests.workflow_builders import (
    build_job,
    build_job_table,
    build_lease_worker,
    build_planner,
    build_step,
)

__all__ = ["Outcome", "Policy", "SharedWorkers"]

TICK_S = 0.05
REPORT_INTERVAL_S = 0.4
WINDOW_S = 0.5
ORDER_S = 0.1
TARGET_MS = 150
IDLE_MS = 25.0
SERVING_IMAGES = ("s0", "s1", "s2", "s3", "s4")
FILLER_IMAGES = tuple(f"f{number}" for number in range(9))
USEFUL_FACTOR = 3.0
# Capacity that a strongly interfering filler takes with all processors, as a share.
STRONG = 1.3


class Policy(enum.Enum):
    """How fillers are kept from serving tasks.

    Attributes:
        AMOUNTS: by the model, which learns what each filler takes, and by speeds.
        VERDICT: a filler never starts beside an image with which it interferes strongly, which is
            known from the beginning; speeds are not set.
        NONE: not at all; they go to the worker with the most unused processors.
    """

    AMOUNTS = "amounts"
    VERDICT = "verdict"
    NONE = "none"


@dataclasses.dataclass(slots=True)
class Outcome:
    """What callers got.

    Attributes:
        in_time: share of the fillers' work in jobs that met their objective.
        late: share in jobs that ended by three times their objective.
        over_target: share of the serving tasks' time over the target because of fillers.
        longest_over_s: longest time on end that a task was.
        speed_orders: orders that changed a speed.
        stops: fillers that were stopped.
    """

    in_time: float = 0.0
    late: float = 0.0
    over_target: float = 0.0
    longest_over_s: float = 0.0
    speed_orders: int = 0
    stops: int = 0


class SharedWorkers:
    """A shard of workers that serving tasks nearly fill.

    Args:
        seed: seed of arrivals, sizes, loads and interference.
        workers: number of workers.
        jobs_per_s: arrivals of jobs of fillers.
        policy: how fillers are kept from serving tasks.
    """

    def __init__(
        self,
        seed: int,
        workers: int = 24,
        jobs_per_s: float = 2.2,
        policy: Policy = Policy.AMOUNTS,
    ) -> None:
        self.random = random.Random(seed)
        self.policy = policy
        self.model = LatencyModel()
        self.speeds = SpeedController(self.model)
        self.jobs_per_s = jobs_per_s
        self.job_table = build_job_table(
            *(
                build_lease_worker(
                    f"w{n:03}", capacity=Demand(24_000 if n % 3 == 2 else 16_000, 64_000)
                )
                for n in range(workers)
            ),
            stretch=2.0,
            target_ms=1000,
        )
        self.views = list(self.job_table.fleet.workers_by_id.values())
        self.planner: Planner = build_planner(self.job_table, self.model)
        if policy is not Policy.AMOUNTS:
            self.planner.placer.fillers.strain = self._strain_by_verdict  # type: ignore[method-assign]
        self.outcome = Outcome()
        self._coefficients = {
            pair: (
                self.random.uniform(1.3, 3.0)
                if self.random.random() < 0.35
                else self.random.uniform(0.05, 0.35)
            )
            for pair in itertools.product(SERVING_IMAGES, FILLER_IMAGES)
        }
        self._phase_by_image = {f: self.random.uniform(0, math.tau) for f in FILLER_IMAGES}
        self._load_phase_by_job: dict[str, float] = {}
        self._work_s_by_task: dict[str, float] = {}
        self._percent_by_run: dict[Run, float] = {}
        self._used_by_run: dict[Run, list[float]] = {}
        self._latencies_by_run: dict[Run, list[float]] = {}
        self._over_since: dict[Run, float] = {}
        self._speed_orders: list[tuple[float, Run, int]] = []
        self._speed_by_run: dict[Run, int] = {}
        self._ids = (f"{number:016x}" for number in itertools.count(1))
        self._jobs: list[tuple[JobProgress, float]] = []
        self._serving_s = 0.0
        self._over_s = 0.0

    def play(self, seconds: float = 60.0) -> Outcome:
        """Fills the workers with serving tasks, then submits fillers for the given time."""
        self._start_serving()
        next_arrival = 0.0
        for number in range(round(seconds / TICK_S)):
            now = number * TICK_S
            while next_arrival <= now:
                self._submit(now)
                next_arrival += self.random.expovariate(self.jobs_per_s)
            self._plan(now)
            self._work(now)
            for index, view in enumerate(self.views):
                if (number + index) % round(REPORT_INTERVAL_S / TICK_S) == 0:
                    self._report(view, now)
            self._carry_out(now)
        self._judge(seconds)
        return self.outcome

    def _strain_by_verdict(self, step: StepProgress, view: WorkerView, now: float) -> float:
        is_strong = self.policy is Policy.VERDICT and any(
            self._coefficients[serving, step.spec.image] > STRONG for serving in view.serving_images
        )
        return math.inf if is_strong else 0.0

    def _start_serving(self) -> None:
        capacity = sum(view.info.capacity.cpu_millis for view in self.views)
        while sum(view.committed_millis for view in self.views) < 0.85 * capacity:
            job = build_job(
                next(self._ids),
                build_step(
                    self.random.randint(2, 10),
                    demand=Demand(self.random.randrange(1800, 4800, 50), 4000),
                    is_long_running=True,
                    target_ms=TARGET_MS,
                    image=self.random.choice(SERVING_IMAGES),
                    may_miss=1,
                ),
            )
            self._load_phase_by_job[job.job_id] = self.random.uniform(0, math.tau)
            self.job_table.add(job, 0.0, 0)
            for run in self.planner.plan(0.0):
                self.job_table.mark_started(run, 0.0)
                run.percent = 100.0
        for step in list(self.job_table.open_steps):
            self.job_table.cancel(step.job, 0)

    def _submit(self, now: float) -> None:
        count = min(32, max(1, round(self.random.lognormvariate(2.0, 0.6))))
        work_s = min(5.4, self.random.lognormvariate(0.65, 0.5))
        demand = Demand(self.random.randrange(1000, 3000, 50), 2000)
        step = build_step(
            count,
            demand=demand,
            estimate_ms=round(1000 * work_s * self.random.uniform(0.8, 1.2)),
            is_filler=True,
            saves_progress=self.random.random() < 0.85,
            image=self.random.choice(FILLER_IMAGES),
        )
        steps = [step, dataclasses.replace(step, after=(0,))]
        job = build_job(next(self._ids), *steps)
        job.accepted_at = now
        self.job_table.add(job, now, round(now * 1000))
        for task in job.tasks():
            self._work_s_by_task[task.name] = work_s * self.random.uniform(0.8, 1.2)
        self._jobs.append((job, 2 * count * work_s * demand.cpu_millis))

    def _plan(self, now: float) -> None:
        for run in self.planner.plan(now):
            self.job_table.mark_started(run, now)
            self._percent_by_run[run] = self._percent_by_run.get(run, self._resumed(run))
            run.percent = self._percent_by_run[run]
            self._used_by_run[run] = []
            self._speed_by_run[run] = 100
            self._adjust(self.job_table.fleet.workers_by_id[run.worker_id], now)

    def _resumed(self, run: Run) -> float:
        return float(run.task.checkpoint or 0.0)

    def _work(self, now: float) -> None:
        for view in self.views:
            unused = max(0.0, view.info.capacity.cpu_millis - view.estimated_use_millis)
            wanted = sum(
                run.task.step.spec.demand.cpu_millis * self._speed_by_run[run] / 100
                for run in view.fillers
            )
            share = min(1.0, unused / wanted) if wanted else 1.0
            for run in list(view.fillers):
                speed = self._speed_by_run[run] / 100 * share
                self._used_by_run[run].append(run.task.step.spec.demand.cpu_millis * speed)
                work_s = self._work_s_by_task[run.task.name]
                self._percent_by_run[run] += 100 * TICK_S * speed / work_s
            for run in view.serving:
                self._serve(view, run, now)
            for run in list(view.fillers):
                if self._percent_by_run[run] >= 100:
                    self.job_table.mark_ended(run, EndKind.DONE, "", now, round(now * 1000))

    def _serve(self, view: WorkerView, run: Run, now: float) -> None:
        phase = self._load_phase_by_job[run.task.step.job.job_id]
        load = 0.48 * (1 + 0.5 * math.sin(math.tau * now / 20 + phase))
        taken = sum(self._taken(view, run, filler, now) for filler in view.fillers)
        latency = IDLE_MS / max(0.005, 1 - load - taken)
        self._latencies_by_run.setdefault(run, []).append(latency)
        self._serving_s += TICK_S
        if latency > TARGET_MS and IDLE_MS / (1 - load) <= TARGET_MS:
            self._over_s += TICK_S
            since = self._over_since.setdefault(run, now)
            self.outcome.longest_over_s = max(self.outcome.longest_over_s, now - since)
        else:
            self._over_since.pop(run, None)

    def _taken(self, view: WorkerView, run: Run, filler: Run, now: float) -> float:
        image = filler.task.step.spec.image
        swing = 1 + 0.25 * math.sin(math.tau * now / 7 + self._phase_by_image[image])
        used = self._used_by_run[filler][-1] / view.info.capacity.cpu_millis
        return self._coefficients[run.task.step.spec.image, image] * swing * used

    def _report(self, view: WorkerView, now: float) -> None:
        window = round(WINDOW_S / TICK_S)
        for run in view.fillers:
            run.percent = self._percent_by_run[run]
            used = self._used_by_run[run][-window:]
            self._measure(run, sum(used) / len(used) if len(used) == window else 0.0)
            if run.task.step.spec.saves_progress:
                run.task.checkpoint = str(max(0.0, run.percent - 10))
        for run in view.serving:
            latencies = self._latencies_by_run.get(run, [])[-window:]
            if latencies:
                mean = len(latencies) / sum(1 / latency for latency in latencies)
                self._measure(run, mean * self.random.uniform(0.93, 1.07))
        self.model.observe(view, now)
        self._adjust(view, now)
        if self.policy is not Policy.AMOUNTS:
            return
        for run in self.speeds.runs_to_relocate(view, now):
            if self.planner.ends_sooner_elsewhere(run, now):
                self.outcome.stops += 1
                run.task.checkpoint = str(self._percent_by_run[run])
                self.job_table.mark_ended(run, EndKind.STOPPED, run.task.checkpoint, now, 0)

    def _measure(self, run: Run, measurement: float) -> None:
        run.measurement_change = round(measurement) - run.measurement
        run.measurement = round(measurement)

    def _adjust(self, view: WorkerView, now: float) -> None:
        if self.policy is not Policy.AMOUNTS:
            return
        for change in self.speeds.adjust(view, now):
            self.outcome.speed_orders += 1
            change.apply(now)
            self._speed_orders.append((now + ORDER_S, change.run, change.percent))

    def _carry_out(self, now: float) -> None:
        due = [order for order in self._speed_orders if order[0] <= now]
        self._speed_orders = [order for order in self._speed_orders if order[0] > now]
        for _, run, percent in due:
            if run.state is RunState.RUNNING:
                self._speed_by_run[run] = percent

    def _judge(self, seconds: float) -> None:
        queue = self.job_table.deployment.queues[0]
        owed = earned = late = 0.0
        for job, work in self._jobs:
            objective_s = job.objective_s(queue)
            if job.accepted_at + USEFUL_FACTOR * objective_s > seconds:
                continue
            owed += work
            took_s = job.finished_ms / 1000 - job.accepted_at
            if job.state is JobState.COMPLETED and took_s <= objective_s:
                earned += work
            elif job.state is JobState.COMPLETED and took_s <= USEFUL_FACTOR * objective_s:
                late += work
        self.outcome.in_time, self.outcome.late = earned / owed, late / owed
        self.outcome.over_target = self._over_s / self._serving_s
