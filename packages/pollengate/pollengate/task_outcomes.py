"""Listeners to what became of the tasks that were started."""

import abc
import enum
from collections.abc import Callable

from pollengate.capacity import CapacityTracker
from pollengate.class_profiles import ClassProfiles
from pollengate.failure_evidence import FailureEvidence, RetryDecision

__all__ = ["LearningOutcomeListener", "NullOutcomeListener", "TaskEnd", "TaskOutcomeListener"]


class TaskEnd(enum.StrEnum):
    """How a task's stay on a worker ended."""

    FINISHED = "finished"
    FAILED = "failed"
    REFUSED = "refused"
    LEFT = "left"


class TaskOutcomeListener(abc.ABC):
    """Is told how each stay on a worker ended, before the task is released."""

    @abc.abstractmethod
    def ended(self, task_id: str, end: TaskEnd) -> RetryDecision:
        """Takes in an end and tells whether a failed task should be tried again."""

    @abc.abstractmethod
    def started(self, task_id: str) -> None:
        """Takes in a start that a worker confirmed."""


class NullOutcomeListener(TaskOutcomeListener):
    """Learns nothing; a failed task is not tried again."""

    def ended(self, task_id: str, end: TaskEnd) -> RetryDecision:
        """Gives up."""
        return RetryDecision.GIVE_UP

    def started(self, task_id: str) -> None:
        """Ignores a start."""


class LearningOutcomeListener(TaskOutcomeListener):
    """Passes outcomes on to the evidence of failures and to the classes' profiles."""

    def __init__(
        self,
        capacity_tracker: CapacityTracker,
        profiles: ClassProfiles,
        failures: FailureEvidence,
        clock: Callable[[], float],
    ) -> None:
        self._capacity_tracker = capacity_tracker
        self._profiles = profiles
        self._failures = failures
        self._clock = clock
        self._started_at_by_task: dict[str, float] = {}

    def started(self, task_id: str) -> None:
        """Notes the start of a task that is on a worker."""
        if self._capacity_tracker.worker_of(task_id) is not None:
            self._started_at_by_task[task_id] = self._clock()

    def remaining_s(self, task_id: str) -> float:
        """Returns how much longer a task is expected to run, as if it had not run before."""
        request = self._capacity_tracker.request_of(task_id)
        started_at = self._started_at_by_task.get(task_id)
        if request is None or started_at is None:
            return float("inf")
        return max(self._profiles.run_time_s(request) - (self._clock() - started_at), 0.0)

    def ended(self, task_id: str, end: TaskEnd) -> RetryDecision:
        """Learns from an end; a task that is on no worker is given up."""
        started_at = self._started_at_by_task.pop(task_id, None)
        request = self._capacity_tracker.request_of(task_id)
        worker_id = self._capacity_tracker.worker_of(task_id)
        if request is None or worker_id is None:
            return RetryDecision.RETRY
        if end is TaskEnd.FINISHED:
            self._failures.record_success(task_id, request.job_id, worker_id)
            if started_at is not None and not request.resumed:
                self._profiles.observe_run_time(request, self._clock() - started_at)
        elif end is TaskEnd.FAILED:
            count = self._capacity_tracker.schedulable_worker_count
            return self._failures.record_failure(task_id, request.job_id, worker_id, count)
        elif end is TaskEnd.REFUSED:
            self._failures.record_refusal(request.job_id, worker_id)
        else:
            self._failures.record_departure(task_id, worker_id)
        return RetryDecision.RETRY
