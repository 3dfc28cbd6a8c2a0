"""Simulates one scenario under one policy in virtual time."""

import dataclasses
import random
import zlib

from pollengate.configuration import Policy
from pollengate.failure_evidence import RetryDecision
from pollengate.jobs import Resources
from pollengate.placement_request import PlacementRequest
from pollengate.reaction import Throttle
from pollengate.task_outcomes import TaskEnd
from pollengate.zone_choice import ZoneLoad, choose_zone

from benchmarks.placement_policies import BASELINES, ZonePolicies, build_zone_policies, configure
from benchmarks.placement_world import (
    CHECKPOINT_S,
    RESUME_S,
    WORKER_SIZE,
    DelayedReports,
    FakeTask,
    FakeWorker,
    InterferenceTable,
    LatencyHistogram,
    make_classes,
)

__all__ = ["DEPLOYMENTS", "Deployment", "Result", "Run"]

ZONES = ("a", "b", "c")
REPORT_INTERVAL_S = 5
LOAD_REPORT_INTERVAL_S = 10
MAX_STARTS_PER_SECOND = 200
SERVICE_CORES = 8
WARM_UP_S = 120


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The size of a simulated deployment.

    Attributes:
        name: name of the deployment.
        workers: workers of all zones.
        services: service tasks of all zones.
        batch_load: declared load of batch tasks, as a share of the cores that services leave.
    """

    name: str
    workers: int
    services: int
    batch_load: float


DEPLOYMENTS = {
    "league": Deployment("league", 30, 30, 0.85),
    "registry": Deployment("registry", 25, 25, 0.7),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Measures of one run.

    Attributes:
        p99: 99th percentile of service latency, relative to one request on an idle worker.
        work: core-seconds of batch work done, without work that was lost.
        evictions: tasks evicted from workers of zones in service.
        urgent_s: longest time that an urgent task was queued, in seconds.
        failures: task runs that failed.
        given_up: tasks that were given up although they could have run.
    """

    p99: float
    work: float
    evictions: int
    urgent_s: float
    failures: int
    given_up: int


class Run:
    """The workers, the load and the policies of three zones."""

    def __init__(
        self, deployment: Deployment, policy_name: str, settings: Policy, seed: int
    ) -> None:
        self.now = 0.0
        self.deployment = deployment
        self.generator = random.Random(seed)
        self.classes = make_classes(self.generator)
        self.interference = InterferenceTable(self.classes, self.generator)
        self.zones_in_service: tuple[str, ...] = ZONES
        self.workers_by_id: dict[str, FakeWorker] = {}
        self.unrunnable_jobs: set[str] = set()
        self._settings = settings
        self._histogram = LatencyHistogram()
        self._load_generator = random.Random(seed + 1)
        self._reports = DelayedReports(random.Random(seed + 2))
        self._route_generator = random.Random(seed + 3)
        self._routes_by_load = policy_name not in (*BASELINES, "no-zone-choice")
        self._version = 1
        self._policies_by_zone = {
            zone: build_zone_policies(policy_name, zone, settings, seed, lambda: self.now)
            for zone in ZONES
        }
        self._tasks_by_id: dict[str, FakeTask] = {}
        self._zone_by_task: dict[str, str] = {}
        self._queued_at_by_task: dict[str, float] = {}
        self._in_service_at = dict.fromkeys(ZONES, -1000.0)
        self._loads: list[ZoneLoad] = []
        self._jobs = 0
        self._evictions = self._failures = self._given_up = 0
        self._lost_core_s = self._urgent_s = 0.0
        self._add_workers()
        self._services_at = self._plan_services()

    def run(self, seconds: int, script: dict[int, object]) -> Result:
        """Simulates the load and returns its measures.

        Args:
            seconds: length of the run in virtual seconds.
            script: functions called with this run, by the second of the call.
        """
        for second in range(seconds):
            self.now = float(second)
            if second in script:
                script[second](self)  # type: ignore[operator]
            self._run_second(second)
        for worker in self.workers_by_id.values():
            worker.advance(self.now)
        work = sum(worker.work_done for worker in self.workers_by_id.values()) - self._lost_core_s
        return Result(
            self._histogram.quantile(0.99),
            work,
            self._evictions,
            self._urgent_s,
            self._failures,
            self._given_up,
        )

    def submit(
        self, class_name: str, count: int, cores: int, run_s: float, urgent: bool = False
    ) -> str:
        """Queues a job, all tasks of it in one zone, and returns its id."""
        self._jobs += 1
        job_id = f"job-{self._jobs}"
        zone = self._route()
        kind = self.classes[class_name]
        for index in range(count):
            request = PlacementRequest(
                task_id=f"{job_id}.{index}",
                task_class=class_name,
                team=f"team-{self._jobs % 20}",
                resources=Resources(cores, 1000 * cores),
                duration_ms=int(run_s * 1000),
                urgent=urgent,
                job_id=job_id,
            )
            self._tasks_by_id[request.task_id] = FakeTask(request, kind, run_s * kind.run_ratio)
            self._queue(request, zone)
        return job_id

    def cancel(self, fraction: float) -> None:
        """Cancels about this fraction of the batch jobs, chosen by a hash of their ids."""
        for task_id, task in list(self._tasks_by_id.items()):
            job = task.request.job_id
            if task.kind.is_service or zlib.crc32(job.encode()) % 100 >= fraction * 100:
                continue
            zone = self._zone_by_task[task_id]
            self._policies_by_zone[zone].queue.discard(task_id)
            self._remove_from_worker(task_id, TaskEnd.LEFT)
            del self._tasks_by_id[task_id]

    def take_zone_out(self, zone: str) -> None:
        """Takes a zone out of service.

        A baseline evicts all tasks of the zone at once; the policy drains it.
        """
        self.zones_in_service = tuple(z for z in self.zones_in_service if z != zone)
        self._configure()
        if self._policies_by_zone[zone].policy is None:
            for worker in self.workers_by_id.values():
                if worker.zone == zone:
                    for task_id in list(worker.tasks_by_id):
                        self._evict(task_id)
        for task_id, home in self._zone_by_task.items():
            if home == zone and task_id in self._queued_at_by_task:
                self._policies_by_zone[zone].queue.discard(task_id)
                self._queue(self._tasks_by_id[task_id].request, self._route())

    def bring_zone_back(self, zone: str) -> None:
        """Puts a zone back in service."""
        self.zones_in_service = tuple(sorted((*self.zones_in_service, zone)))
        self._in_service_at[zone] = self.now
        self._configure()

    def refresh_workers(self) -> None:
        """Computes the slowdowns of all workers again after the task classes have changed."""
        for worker in self.workers_by_id.values():
            worker.advance(self.now)
            worker.update(self.now)

    def _add_workers(self) -> None:
        for number in range(self.deployment.workers):
            zone = ZONES[number % len(ZONES)]
            rack = f"{zone}-{number // len(ZONES) // 8}"
            worker = FakeWorker(f"w{number}", rack, zone, self.interference, self._histogram)
            self.workers_by_id[worker.worker_id] = worker
            self._policies_by_zone[zone].placement.add_worker(worker.worker_id, rack, WORKER_SIZE)

    def _plan_services(self) -> list[tuple[float, FakeTask, str]]:
        """Returns the start time, task and zone of each service task, sorted by time.

        The starts are spread over the first half of the warm-up, while batch tasks run.
        """
        planned = []
        for number in range(self.deployment.services):
            zone = ZONES[number % len(ZONES)]
            name = f"service-{number // len(ZONES) % 2}"
            resources = Resources(SERVICE_CORES, 8000)
            job_id = f"{name}-{zone}"
            request = PlacementRequest(
                f"{job_id}.{number}", name, "services", resources, 10**9, job_id=job_id
            )
            starts_at = self._load_generator.uniform(0.0, WARM_UP_S / 2)
            planned.append((starts_at, FakeTask(request, self.classes[name], 10.0**9), zone))
        return sorted(planned, key=lambda plan: plan[0])

    def _start_services(self) -> None:
        while self._services_at and self._services_at[0][0] <= self.now:
            _, task, zone = self._services_at.pop(0)
            self._tasks_by_id[task.request.task_id] = task
            self._queue(task.request, zone)

    def _run_second(self, second: int) -> None:
        self._start_services()
        self._submit_batch_jobs()
        if second == WARM_UP_S:
            self._reset_after_warm_up()
        self._end_tasks()
        if second % LOAD_REPORT_INTERVAL_S == 0:
            self._loads = [self._load(zone) for zone in ZONES]
        for number, worker in enumerate(self.workers_by_id.values()):
            if (second + number) % REPORT_INTERVAL_S == 0 and worker.tasks_by_id:
                self._reports.send(worker.report(self.now, self.generator), self.now)
        for observation in self._reports.due(self.now):
            zone = self.workers_by_id[observation.worker_id].zone
            self._policies_by_zone[zone].reaction.observe(observation)
        for zone, policies in self._policies_by_zone.items():
            if zone in self.zones_in_service:
                policies.queue.offer_tasks(
                    lambda r, d=policies: self._place(d, r), MAX_STARTS_PER_SECOND
                )
            self._apply_actions(policies)

    def _reset_after_warm_up(self) -> None:
        self._histogram.clear()
        self._lost_core_s = 0.0
        self._evictions = 0
        for worker in self.workers_by_id.values():
            worker.advance(self.now)
            worker.work_done = 0.0

    def _submit_batch_jobs(self) -> None:
        """Submits one second's worth of the deployment's batch load."""
        deployment = self.deployment
        cores = deployment.workers * WORKER_SIZE.cores - deployment.services * SERVICE_CORES
        generator = self._load_generator
        budget = cores * deployment.batch_load
        while budget > 0:
            count = generator.choice((1, 1, 2, 4, 8))
            size = generator.choice((1, 2, 2, 4, 4, 8, 16))
            run_s = min(max(generator.lognormvariate(4.1, 0.8), 10.0), 600.0)
            core_s = count * size * run_s
            if generator.random() > budget / core_s:
                break
            name = f"batch-{generator.randrange(8)}"
            self.submit(name, count, size, run_s, generator.random() < 0.02)
            budget -= core_s

    def _end_tasks(self) -> None:
        for worker in self.workers_by_id.values():
            while worker.next_end() <= self.now:
                worker.advance(self.now)
                for task_id, task in list(worker.tasks_by_id.items()):
                    if task.ends_at <= self.now:
                        self._end_task(task_id, task)

    def _end_task(self, task_id: str, task: FakeTask) -> None:
        if task.checkpoint_at <= self.now:
            self._remove_from_worker(task_id, TaskEnd.LEFT)
            self._resume(task)
        elif task.fails:
            verdict = self._remove_from_worker(task_id, TaskEnd.FAILED)
            self._failures += 1
            if verdict is RetryDecision.RETRY:
                self._queue(task.request, self._zone_by_task[task_id])
            else:
                self._given_up += task.request.job_id not in self.unrunnable_jobs
                del self._tasks_by_id[task_id]
        else:
            self._remove_from_worker(task_id, TaskEnd.FINISHED)
            del self._tasks_by_id[task_id]

    def _resume(self, task: FakeTask) -> None:
        request = dataclasses.replace(task.request, resumed=True)
        zone = self._zone_by_task[request.task_id]
        if zone not in self.zones_in_service:
            zone = self._route()
        remaining_s = task.remaining_s + RESUME_S
        self._lost_core_s += RESUME_S * request.resources.cores
        self._tasks_by_id[request.task_id] = FakeTask(request, task.kind, remaining_s, task.done_s)
        self._queue(request, zone)

    def _apply_actions(self, policies: ZonePolicies) -> None:
        for action in policies.reaction.decide(self.now):
            task = self._tasks_by_id.get(action.task_id)
            worker = self.workers_by_id[action.worker_id]
            if task is None or action.task_id not in worker.tasks_by_id:
                continue
            if isinstance(action, Throttle):
                worker.advance(self.now)
                task.share = action.share
                worker.update(self.now)
            else:
                self._evict(action.task_id)

    def _evict(self, task_id: str) -> None:
        """Evicts a task after a checkpoint.

        If no checkpoint is possible now, the work since the start of the step is lost.
        """
        zone = self._zone_by_task[task_id]
        worker_id = self._policies_by_zone[zone].placement.capacity_tracker.worker_of(task_id)
        task = self._tasks_by_id[task_id]
        if worker_id is None or task.checkpoint_at <= self.now + CHECKPOINT_S:
            return
        self._evictions += zone in self.zones_in_service
        worker = self.workers_by_id[worker_id]
        worker.advance(self.now)
        if task.in_step():
            lost_s = task.done_s % task.kind.step_s
            task.done_s -= lost_s
            task.remaining_s += lost_s
            self._lost_core_s += lost_s * task.request.resources.cores
        task.checkpoint_at = self.now + CHECKPOINT_S
        worker.update(self.now)

    def _remove_from_worker(self, task_id: str, end: TaskEnd) -> RetryDecision:
        policies = self._policies_by_zone[self._zone_by_task[task_id]]
        worker_id = policies.placement.capacity_tracker.worker_of(task_id)
        if worker_id is None:
            return RetryDecision.RETRY
        self.workers_by_id[worker_id].remove(task_id, self.now)
        verdict = policies.outcomes.on_ended(task_id, end)
        policies.reaction.on_task_left(task_id)
        policies.placement.release(task_id)
        return verdict

    def _place(self, policies: ZonePolicies, request: PlacementRequest) -> bool:
        worker_id = policies.placement.place(request)
        if worker_id is None:
            return False
        task = self._tasks_by_id[request.task_id]
        worker = self.workers_by_id[worker_id]
        is_unrunnable = request.job_id in self.unrunnable_jobs
        task.fails = is_unrunnable or (worker.is_faulty and not task.kind.is_service)
        worker.add(task, self.now)
        policies.outcomes.on_started(request.task_id)
        waited_s = self.now - self._queued_at_by_task.pop(request.task_id)
        if request.urgent and not request.resumed:
            self._urgent_s = max(self._urgent_s, waited_s)
        return True

    def _queue(self, request: PlacementRequest, zone: str) -> None:
        self._zone_by_task[request.task_id] = zone
        self._queued_at_by_task.setdefault(request.task_id, self.now)
        self._policies_by_zone[zone].queue.push(request)

    def _route(self) -> str:
        if not self._routes_by_load:
            return self._route_generator.choice(self.zones_in_service)
        loads = [load for load in self._loads if load.zone in self.zones_in_service]
        return choose_zone(loads, self._route_generator) or self.zones_in_service[0]

    def _load(self, zone: str) -> ZoneLoad:
        cores = sum(w.zone == zone for w in self.workers_by_id.values()) * WORKER_SIZE.cores
        committed = sum(
            task.request.resources.cores
            for task_id, task in self._tasks_by_id.items()
            if self._zone_by_task[task_id] == zone
        )
        return ZoneLoad(zone, cores, committed, self.now - self._in_service_at[zone])

    def _configure(self) -> None:
        self._version += 1
        for policies in self._policies_by_zone.values():
            if policies.policy is not None:
                configure(policies.policy, self.zones_in_service, self._settings, self._version)
