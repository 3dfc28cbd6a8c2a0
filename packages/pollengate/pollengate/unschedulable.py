"""Tasks that can't run at present, and why."""

import enum
import itertools
from collections.abc import Callable

from pollengate.capacity import CapacityTracker
from pollengate.failure_evidence import FailureEvidence
from pollengate.placement_request import PlacementRequest

__all__ = ["UnschedulableReason", "UnschedulableTasks"]

MAX_RECHECKED_TASKS = 500


class UnschedulableReason(enum.StrEnum):
    """Why a task can't run at present."""

    JOB_KEEPS_FAILING = "job_keeps_failing"
    QUOTA_TOO_SMALL = "quota_too_small"
    TASK_TOO_LARGE = "task_too_large"


class UnschedulableTasks:
    """Tasks that are excluded from the queue until the reason no longer applies."""

    def __init__(self, capacity_tracker: CapacityTracker, failures: FailureEvidence) -> None:
        self._capacity_tracker = capacity_tracker
        self._failures = failures
        self._requests_by_task: dict[str, PlacementRequest] = {}
        self._reason_by_task: dict[str, UnschedulableReason] = {}

    def __len__(self) -> int:
        return len(self._reason_by_task)

    def reason(self, task_id: str) -> UnschedulableReason | None:
        """Returns why a task is unschedulable, None if it is not."""
        return self._reason_by_task.get(task_id)

    def add_if_unschedulable(self, request: PlacementRequest, exceeds_quota: bool) -> bool:
        """Adds a task if it can't run at present.

        Args:
            request: the task.
            exceeds_quota: whether the task alone is larger than its team's quota.

        Returns:
            True if the task was added.
        """
        reason = self._reason_for(request, exceeds_quota)
        if reason is None:
            return False
        self._requests_by_task[request.task_id] = request
        self._reason_by_task[request.task_id] = reason
        return True

    def discard(self, task_id: str) -> None:
        """Removes a task, if it is there."""
        self._requests_by_task.pop(task_id, None)
        self._reason_by_task.pop(task_id, None)

    def pop_schedulable(
        self, exceeds_quota: Callable[[PlacementRequest], bool]
    ) -> list[PlacementRequest]:
        """Rechecks up to `MAX_RECHECKED_TASKS` tasks; removes and returns those that can run."""
        schedulable = []
        for request in list(itertools.islice(self._requests_by_task.values(), MAX_RECHECKED_TASKS)):
            self.discard(request.task_id)
            if not self.add_if_unschedulable(request, exceeds_quota(request)):
                schedulable.append(request)
        return schedulable

    def has_failed(self, task_id: str) -> bool:
        """Returns True if a task has failed on some worker, which it is not placed on again."""
        return self._failures.has_failed(task_id)

    def _reason_for(
        self, request: PlacementRequest, exceeds_quota: bool
    ) -> UnschedulableReason | None:
        if not self._capacity_tracker.has_shape_for(request.resources):
            return UnschedulableReason.TASK_TOO_LARGE
        if exceeds_quota:
            return UnschedulableReason.QUOTA_TOO_SMALL
        if self._failures.is_job_failing(request.job_id):
            return UnschedulableReason.JOB_KEEPS_FAILING
        return None
