"""Distinguishes faulty workers from faulty tasks and jobs by where failures occur.

A worker on which tasks of several otherwise healthy jobs fail is quarantined; a task that fails on
several healthy workers is given up.
"""

import dataclasses
import enum
from collections.abc import Callable

from pollengate.bounded import BoundedDict

__all__ = ["FailureEvidence", "RetryDecision"]

MAX_TASKS = 8192
MAX_JOBS = 4096
MAX_WORKERS = 8192
MAX_IDS_PER_SET = 8
# Failures are evidence only if they concern at least this many distinct workers, jobs or tasks.
MIN_FAILED_WORKERS = 3
MIN_FAILED_JOBS = 3
MIN_FAILED_TASKS = 3
# A task that waits for other workers than those on which it failed may return after this time.
FIRST_RETURN_AFTER_S = 2.0
MAX_RETURN_AFTER_S = 5.0
FIRST_PROBE_AFTER_S = 60.0
MAX_PROBE_AFTER_S = 3600.0


class RetryDecision(enum.StrEnum):
    """Whether a failed task is tried again on another worker."""

    RETRY = "retry"
    GIVE_UP = "give_up"


@dataclasses.dataclass(frozen=True, slots=True)
class _Failures:
    count: int
    newest_at: float


@dataclasses.dataclass(slots=True)
class _JobEvidence:
    failed_tasks: set[str] = dataclasses.field(default_factory=set)
    failed_workers: set[str] = dataclasses.field(default_factory=set)
    has_finished: bool = False
    next_probe_at: float = 0.0
    next_probe_after_s: float = FIRST_PROBE_AFTER_S


@dataclasses.dataclass(slots=True)
class _WorkerEvidence:
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    is_quarantined: bool = False
    probe_at: float = 0.0
    probe_after_s: float = FIRST_PROBE_AFTER_S
    probe: str = ""


class FailureEvidence:
    """Failures by task, job and worker, and the decisions that follow from them.

    A failure on a worker counts against the task only if the worker is not itself suspected of
    being faulty, and a failure of a job counts against the worker only if the job is not known to
    fail on other workers. A quarantined worker and a failing job are probed with one task at a
    time; the interval between probes doubles after each failure. All tables are bounded.

    Args:
        clock: returns the time in seconds.
        first_probe_after_s: seconds until a quarantined worker or a failing job is first probed.
        max_probe_after_s: longest time between two probes of a worker or a job, in seconds.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        first_probe_after_s: float = FIRST_PROBE_AFTER_S,
        max_probe_after_s: float = MAX_PROBE_AFTER_S,
    ) -> None:
        self._clock = clock
        self._first_probe_after_s = first_probe_after_s
        self._max_probe_after_s = max_probe_after_s
        self._workers_by_task: BoundedDict[str, set[str]] = BoundedDict(MAX_TASKS)
        self._failures_by_probe_id: BoundedDict[str, _Failures] = BoundedDict(MAX_TASKS)
        self._jobs_by_id: BoundedDict[str, _JobEvidence] = BoundedDict(MAX_JOBS)
        self._workers_by_id: BoundedDict[str, _WorkerEvidence] = BoundedDict(MAX_WORKERS)

    def record_failure(
        self, task_id: str, job_id: str, worker_id: str, worker_count: int, probe_id: str = ""
    ) -> RetryDecision:
        """Records that a task failed on a worker.

        Args:
            task_id: the task that failed.
            job_id: its job.
            worker_id: the worker that it ran on.
            worker_count: number of workers that it could run on.
            probe_id: see `admits`.

        Returns:
            `GIVE_UP` if the task failed on enough workers that are not suspected, else `RETRY`.
        """
        workers = self._workers_by_task.get(task_id) or set()
        _add_bounded(workers, worker_id)
        self._workers_by_task.put(task_id, workers)
        earlier = self._failures_by_probe_id.get(probe_id or task_id)
        count = 1 if earlier is None else earlier.count + 1
        self._failures_by_probe_id.put(probe_id or task_id, _Failures(count, self._clock()))
        job = self._job_evidence(job_id)
        _add_bounded(job.failed_tasks, task_id)
        _add_bounded(job.failed_workers, worker_id)
        self._schedule_job_probe(job)
        self.record_rejection(job_id, worker_id)
        credible = [w for w in workers if not self._is_suspect(w, job_id)]
        if len(credible) >= min(MIN_FAILED_WORKERS, max(worker_count, 1)):
            return RetryDecision.GIVE_UP
        return RetryDecision.RETRY

    def record_rejection(self, job_id: str, worker_id: str) -> None:
        """Records that a worker rejected a task; this counts only against the worker."""
        worker = self._worker_evidence(worker_id)
        _add_bounded(worker.failed_jobs, job_id)
        if worker.is_quarantined:
            if self._clock() < worker.probe_at:
                return  # the task started before the quarantine
            worker.probe_after_s = min(2.0 * worker.probe_after_s, self._max_probe_after_s)
            self._quarantine(worker)
        elif self._count_jobs_failing_only_on(worker, worker_id) >= MIN_FAILED_JOBS:
            self._quarantine(worker)

    def record_given_up(self, task_id: str, job_id: str) -> None:
        """Records that a task has failed too often, so that its job has failed.

        If it failed on several workers, the fault is its own: the job counts against none of them.
        """
        worker_ids = self._workers_by_task.get(task_id) or set()
        if len(worker_ids) < 2:
            return
        for worker_id in worker_ids:
            worker = self._workers_by_id.get(worker_id)
            if worker is None:
                continue
            worker.failed_jobs.discard(job_id)
            if self._count_jobs_failing_only_on(worker, worker_id) < MIN_FAILED_JOBS:
                worker.is_quarantined = False

    def record_success(self, task_id: str, job_id: str, worker_id: str) -> None:
        """Records a success and drops the failures of the task, its job and the worker."""
        self._workers_by_task.pop(task_id)
        self._failures_by_probe_id.pop(task_id)
        self._workers_by_id.pop(worker_id)
        job = self._jobs_by_id.get(job_id)
        if job is not None:
            job.has_finished = True
            job.failed_tasks.clear()
            job.failed_workers.clear()

    def record_departure(self, task_id: str, worker_id: str, probe_id: str = "") -> None:
        """Records that a task left a worker without a result; ends its probe, if it was one.

        Args:
            task_id: the task.
            worker_id: the worker.
            probe_id: see `admits`.
        """
        worker = self._workers_by_id.get(worker_id)
        if worker is not None and worker.probe == (probe_id or task_id):
            worker.probe = ""

    def admits(self, worker_id: str, task_id: str, probe_id: str = "") -> bool:
        """Returns True if a task may be placed on a worker.

        A quarantined worker admits only a probe that is due; any other worker admits every task
        that has not failed on it.

        Args:
            worker_id: the worker.
            task_id: the task.
            probe_id: name of the tasks that are one probe together, empty if the task is one alone.
        """
        worker = self._workers_by_id.get(worker_id)
        if worker is not None and worker.is_quarantined:
            is_probed = worker.probe not in ("", probe_id)
            return not is_probed and self._clock() >= worker.probe_at
        return not self.has_failed_on(worker_id, task_id)

    def has_failed_on(self, worker_id: str, task_id: str) -> bool:
        """Returns True if a task has failed on a worker."""
        workers = self._workers_by_task.get(task_id)
        return workers is not None and worker_id in workers

    def failed_worker_ids(self, task_id: str) -> frozenset[str]:
        """Returns the workers on which a task has failed."""
        return frozenset(self._workers_by_task.get(task_id) or ())

    def may_return(self, probe_id: str) -> bool:
        """Returns True if a task has failed and has waited long enough for other workers.

        It then returns to one on which it failed unless another one has room: one that has none may
        be full for ever. The wait doubles with each failure, so that a worker that fails tasks for
        some seconds does not use up a task's attempts.

        Args:
            probe_id: the task, or the gang that it is a member of.
        """
        failures = self._failures_by_probe_id.get(probe_id)
        if failures is None:
            return False
        wait_s = min(FIRST_RETURN_AFTER_S * 2.0 ** (failures.count - 1), MAX_RETURN_AFTER_S)
        return self._clock() - failures.newest_at >= wait_s

    def may_probe_early(self, worker_id: str) -> bool:
        """Returns True unless a worker is probed now, or failed within the first interval.

        A task that no other worker can get need not wait for an interval that was doubled.
        """
        worker = self._workers_by_id.get(worker_id)
        if worker is None or not worker.is_quarantined:
            return True
        quarantined_at = worker.probe_at - worker.probe_after_s
        return not worker.probe and (self._clock() >= quarantined_at + self._first_probe_after_s)

    def has_failed(self, task_id: str) -> bool:
        """Returns True if a task has failed on some worker."""
        return task_id in self._workers_by_task

    def record_placement(
        self, task_id: str, job_id: str, worker_id: str, probe_id: str = ""
    ) -> None:
        """Records that a task was placed.

        The task serves as a probe of the worker if the worker is quarantined, and as a probe of its
        job if the job is failing.

        Args:
            task_id: the task.
            job_id: its job.
            worker_id: the worker.
            probe_id: see `admits`.
        """
        job = self._jobs_by_id.get(job_id)
        if job is not None:
            self._schedule_job_probe(job)
        worker = self._workers_by_id.get(worker_id)
        if worker is not None and worker.is_quarantined:
            worker.probe = probe_id or task_id
            # The failure of an early probe counts, too.
            worker.probe_at = min(worker.probe_at, self._clock())

    def is_quarantined(self, worker_id: str) -> bool:
        """Returns True if a worker is given only probes."""
        worker = self._workers_by_id.get(worker_id)
        return worker is not None and worker.is_quarantined

    def is_job_failing(self, job_id: str) -> bool:
        """Returns True if a job fails on every worker and its next probe is not yet due."""
        job = self._jobs_by_id.get(job_id)
        return job is not None and self._fails_everywhere(job) and self._clock() < job.next_probe_at

    def _fails_everywhere(self, job: _JobEvidence) -> bool:
        credible = [w for w in job.failed_workers if not self.is_quarantined(w)]
        return (
            not job.has_finished
            and len(job.failed_tasks) >= MIN_FAILED_TASKS
            and len(credible) >= MIN_FAILED_WORKERS
        )

    def _schedule_job_probe(self, job: _JobEvidence) -> None:
        now = self._clock()
        if not self._fails_everywhere(job) or now < job.next_probe_at:
            return
        job.next_probe_at = now + job.next_probe_after_s
        job.next_probe_after_s = min(2.0 * job.next_probe_after_s, self._max_probe_after_s)

    def _is_suspect(self, worker_id: str, job_id: str) -> bool:
        """Returns True if a worker is quarantined or several other jobs fail on it alone."""
        worker = self._workers_by_id.get(worker_id)
        if worker is None:
            return False
        other_jobs = sum(
            self._fails_only_on(j, worker_id) for j in worker.failed_jobs if j != job_id
        )
        return worker.is_quarantined or other_jobs >= MIN_FAILED_JOBS - 1

    def _count_jobs_failing_only_on(self, worker: _WorkerEvidence, worker_id: str) -> int:
        return sum(self._fails_only_on(job_id, worker_id) for job_id in worker.failed_jobs)

    def _fails_only_on(self, job_id: str, worker_id: str) -> bool:
        job = self._jobs_by_id.get(job_id)
        return job is None or job.has_finished or len(job.failed_workers - {worker_id}) < 2

    def _quarantine(self, worker: _WorkerEvidence) -> None:
        worker.is_quarantined = True
        worker.probe = ""
        worker.probe_at = self._clock() + worker.probe_after_s

    def _job_evidence(self, job_id: str) -> _JobEvidence:
        job = self._jobs_by_id.get(job_id) or _JobEvidence(
            next_probe_after_s=self._first_probe_after_s
        )
        self._jobs_by_id.put(job_id, job)
        return job

    def _worker_evidence(self, worker_id: str) -> _WorkerEvidence:
        worker = self._workers_by_id.get(worker_id) or _WorkerEvidence(
            probe_after_s=self._first_probe_after_s
        )
        self._workers_by_id.put(worker_id, worker)
        return worker


def _add_bounded(items: set[str], item: str) -> None:
    """Adds an item to a set that is below its limit; more items would change no decision."""
    if len(items) < MAX_IDS_PER_SET:
        items.add(item)
