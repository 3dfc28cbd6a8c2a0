"""Tells workers that fail every task apart from tasks that fail on every worker."""

import dataclasses
import enum
from collections.abc import Callable

from pollengate.bounded import BoundedDict

__all__ = ["FailureEvidence", "RetryDecision"]

MAX_TASKS = 8192
MAX_JOBS = 4096
MAX_WORKERS = 8192
MAX_IDS_PER_SET = 8
MIN_FAILED_WORKERS = 3
MIN_FAILED_JOBS = 3
MIN_FAILED_TASKS = 3
FIRST_PROBE_AFTER_S = 60.0
MAX_PROBE_AFTER_S = 3600.0


class RetryDecision(enum.StrEnum):
    """What a failure means for the task."""

    RETRY = "retry"
    GIVE_UP = "give_up"


@dataclasses.dataclass(slots=True)
class _Job:
    failed_tasks: set[str] = dataclasses.field(default_factory=set)
    failed_workers: set[str] = dataclasses.field(default_factory=set)
    has_finished: bool = False
    retry_at: float = 0.0
    retry_after_s: float = FIRST_PROBE_AFTER_S


@dataclasses.dataclass(slots=True)
class _Worker:
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    is_quarantined: bool = False
    probe_at: float = 0.0
    probe_after_s: float = FIRST_PROBE_AFTER_S
    probe_task: str = ""


class FailureEvidence:
    """Weighs failures by task, job and worker.

    A worker's failure counts against a task only while the worker is not itself under suspicion,
    and a job's failure counts against a worker only while the job is not known to fail elsewhere.

    Args:
        clock: seconds.
        first_probe_after_s: seconds until a worker or job under suspicion is first tried again.
    """

    def __init__(
        self, clock: Callable[[], float], first_probe_after_s: float = FIRST_PROBE_AFTER_S
    ) -> None:
        self._clock = clock
        self._first_probe_after_s = first_probe_after_s
        self._workers_by_task: BoundedDict[str, set[str]] = BoundedDict(MAX_TASKS)
        self._jobs_by_id: BoundedDict[str, _Job] = BoundedDict(MAX_JOBS)
        self._workers_by_id: BoundedDict[str, _Worker] = BoundedDict(MAX_WORKERS)

    def record_failure(
        self, task_id: str, job_id: str, worker_id: str, worker_count: int
    ) -> RetryDecision:
        """Takes in a failure.

        Args:
            task_id: the task that failed.
            job_id: its job.
            worker_id: where it ran.
            worker_count: workers that it could run on.

        Returns:
            Whether the task should be tried on another worker.
        """
        workers = self._workers_by_task.get(task_id) or set()
        _add_bounded(workers, worker_id)
        self._workers_by_task.put(task_id, workers)
        job = self._job(job_id)
        _add_bounded(job.failed_tasks, task_id)
        _add_bounded(job.failed_workers, worker_id)
        self._defer_job(job)
        self.record_refusal(job_id, worker_id)
        credible = [w for w in workers if not self._is_suspect(w, job_id)]
        if len(credible) >= min(MIN_FAILED_WORKERS, max(worker_count, 1)):
            return RetryDecision.GIVE_UP
        return RetryDecision.RETRY

    def record_refusal(self, job_id: str, worker_id: str) -> None:
        """Takes in a worker's refusal to start a task, which says nothing about the task."""
        worker = self._worker(worker_id)
        _add_bounded(worker.failed_jobs, job_id)
        if worker.is_quarantined:
            worker.probe_after_s = min(2.0 * worker.probe_after_s, MAX_PROBE_AFTER_S)
            self._quarantine(worker)
        elif self._count_own_failures(worker, worker_id) >= MIN_FAILED_JOBS:
            self._quarantine(worker)

    def record_success(self, task_id: str, job_id: str, worker_id: str) -> None:
        """Takes in a success, which clears the worker, the job and the task."""
        self._workers_by_task.pop(task_id)
        self._workers_by_id.pop(worker_id)
        job = self._jobs_by_id.get(job_id)
        if job is not None:
            job.has_finished = True
            job.failed_tasks.clear()
            job.failed_workers.clear()

    def record_departure(self, task_id: str, worker_id: str) -> None:
        """Ends a probe that had no outcome."""
        worker = self._workers_by_id.get(worker_id)
        if worker is not None and worker.probe_task == task_id:
            worker.probe_task = ""

    def admits(self, worker_id: str, task_id: str) -> bool:
        """Tells whether a task may be tried on a worker."""
        worker = self._workers_by_id.get(worker_id)
        if worker is not None and worker.is_quarantined:
            return not worker.probe_task and self._clock() >= worker.probe_at
        workers = self._workers_by_task.get(task_id)
        return workers is None or worker_id not in workers

    def has_failed(self, task_id: str) -> bool:
        """Tells whether a task failed on some worker."""
        return task_id in self._workers_by_task

    def record_placement(self, task_id: str, job_id: str, worker_id: str) -> None:
        """Notes that a task was placed; it probes a failing job and a quarantined worker."""
        job = self._jobs_by_id.get(job_id)
        if job is not None:
            self._defer_job(job)
        worker = self._workers_by_id.get(worker_id)
        if worker is not None and worker.is_quarantined:
            worker.probe_task = task_id

    def is_quarantined(self, worker_id: str) -> bool:
        """Tells whether a worker takes nothing but probes."""
        worker = self._workers_by_id.get(worker_id)
        return worker is not None and worker.is_quarantined

    def is_job_failing(self, job_id: str) -> bool:
        """Tells whether tasks of a job fail on every worker; false now and then, for a probe."""
        job = self._jobs_by_id.get(job_id)
        return job is not None and self._fails_everywhere(job) and self._clock() < job.retry_at

    def _fails_everywhere(self, job: _Job) -> bool:
        credible = [w for w in job.failed_workers if not self.is_quarantined(w)]
        return (
            not job.has_finished
            and len(job.failed_tasks) >= MIN_FAILED_TASKS
            and len(credible) >= MIN_FAILED_WORKERS
        )

    def _defer_job(self, job: _Job) -> None:
        now = self._clock()
        if not self._fails_everywhere(job) or now < job.retry_at:
            return
        job.retry_at = now + job.retry_after_s
        job.retry_after_s = min(2.0 * job.retry_after_s, MAX_PROBE_AFTER_S)

    def _is_suspect(self, worker_id: str, job_id: str) -> bool:
        """Tells whether a worker also fails jobs that don't fail elsewhere."""
        worker = self._workers_by_id.get(worker_id)
        if worker is None:
            return False
        others = sum(self._fails_only_on(j, worker_id) for j in worker.failed_jobs if j != job_id)
        return worker.is_quarantined or others >= MIN_FAILED_JOBS - 1

    def _count_own_failures(self, worker: _Worker, worker_id: str) -> int:
        return sum(self._fails_only_on(job_id, worker_id) for job_id in worker.failed_jobs)

    def _fails_only_on(self, job_id: str, worker_id: str) -> bool:
        job = self._jobs_by_id.get(job_id)
        return job is None or job.has_finished or len(job.failed_workers - {worker_id}) < 2

    def _quarantine(self, worker: _Worker) -> None:
        worker.is_quarantined = True
        worker.probe_task = ""
        worker.probe_at = self._clock() + worker.probe_after_s

    def _job(self, job_id: str) -> _Job:
        job = self._jobs_by_id.get(job_id) or _Job(retry_after_s=self._first_probe_after_s)
        self._jobs_by_id.put(job_id, job)
        return job

    def _worker(self, worker_id: str) -> _Worker:
        worker = self._workers_by_id.get(worker_id) or _Worker(
            probe_after_s=self._first_probe_after_s
        )
        self._workers_by_id.put(worker_id, worker)
        return worker


def _add_bounded(items: set[str], item: str) -> None:
    """Adds to a set that stays small; beyond the limit one more tells nothing new."""
    if len(items) < MAX_IDS_PER_SET:
        items.add(item)
