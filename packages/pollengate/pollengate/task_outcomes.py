"""Listeners that are notified when tasks start on a worker and leave it."""

import abc
import enum
from collections.abc import Callable

from pollengate.capacity import CapacityTracker
from pollengate.class_profiles import ClassProfiles
from pollengate.failure_evidence import FailureEvidence, RetryDecision

__all__ = ["LearningOutcomeListener", "NullOutcomeListener", "TaskEnd", "TaskOutcomeListener"]


class TaskEnd(enum.StrEnum):
    """How the run of a task on a worker ended."""

    FINISHED = "finished"
    FAILED = "failed"
    REJECTED = "refused"
    LEFT = "left"


class TaskOutcomeListener(abc.ABC):
    """Interface of a listener to the starts and ends of tasks on workers."""

    @abc.abstractmethod
    def on_ended(self, task_id: str, end: TaskEnd) -> RetryDecision:
        """Called when a task's run on a worker ends, before its resources are released.

        Returns:
            Whether a task that failed should be retried.
        """

    @abc.abstractmethod
    def on_started(self, task_id: str) -> None:
        """Called when a worker has confirmed the start of a task."""


class NullOutcomeListener(TaskOutcomeListener):
    """Ignores all notifications; failed tasks are not retried."""

    def on_ended(self, task_id: str, end: TaskEnd) -> RetryDecision:
        """Returns `GIVE_UP`."""
        return RetryDecision.GIVE_UP

    def on_started(self, task_id: str) -> None:
        """Does nothing."""


class LearningOutcomeListener(TaskOutcomeListener):
    """Updates the failure evidence and the run times of the class profiles."""

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

    def on_started(self, task_id: str) -> None:
        """Records the start time of a task if it is still on a worker."""
        if self._capacity_tracker.worker_of(task_id) is not None:
            self._started_at_by_task[task_id] = self._clock()

    def remaining_s(self, task_id: str) -> float:
        """Returns the seconds until a task is expected to finish, infinity if unknown.

        The estimate does not account for progress made in earlier attempts.
        """
        request = self._capacity_tracker.request_of(task_id)
        started_at = self._started_at_by_task.get(task_id)
        if request is None or started_at is None:
            return float("inf")
        return max(self._profiles.run_time_s(request) - (self._clock() - started_at), 0.0)

    def on_ended(self, task_id: str, end: TaskEnd) -> RetryDecision:
        """Records an end and returns whether a failed task should be retried.

        The end of a task that is on no worker is ignored.
        """
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
        elif end is TaskEnd.REJECTED:
            self._failures.record_rejection(request.job_id, worker_id)
        else:
            self._failures.record_departure(task_id, worker_id)
        return RetryDecision.RETRY
