"""Why a task can't run as things stand."""

import enum
import itertools
from collections.abc import Callable

from pollengate.capacity import CapacityTracker
from pollengate.failure_evidence import FailureEvidence
from pollengate.placement_request import PlacementRequest

__all__ = ["UnschedulableReason", "UnschedulableTasks"]

MAX_RECHECKED_TASKS = 500


class UnschedulableReason(enum.StrEnum):
    """Why a task is parked."""

    JOB_KEEPS_FAILING = "job_keeps_failing"
    QUOTA_TOO_SMALL = "quota_too_small"
    TASK_TOO_LARGE = "task_too_large"


class UnschedulableTasks:
    """Decides which tasks are kept out of the queue, and until when."""

    def __init__(self, capacity_tracker: CapacityTracker, failures: FailureEvidence) -> None:
        self._capacity_tracker = capacity_tracker
        self._failures = failures
        self._requests_by_task: dict[str, PlacementRequest] = {}
        self._reason_by_task: dict[str, UnschedulableReason] = {}

    def __len__(self) -> int:
        return len(self._reason_by_task)

    def reason(self, task_id: str) -> UnschedulableReason | None:
        """Returns why a task is parked, None if it is not."""
        return self._reason_by_task.get(task_id)

    def add_if_unschedulable(self, request: PlacementRequest, exceeds_quota: bool) -> bool:
        """Parks a task that can't run.

        Args:
            request: the task.
            exceeds_quota: whether the task alone is larger than its team's quota.

        Returns:
            Whether it was parked.
        """
        reason = self._reason_for(request, exceeds_quota)
        if reason is None:
            return False
        self._requests_by_task[request.task_id] = request
        self._reason_by_task[request.task_id] = reason
        return True

    def discard(self, task_id: str) -> None:
        """Forgets a task."""
        self._requests_by_task.pop(task_id, None)
        self._reason_by_task.pop(task_id, None)

    def pop_schedulable(
        self, exceeds_quota: Callable[[PlacementRequest], bool]
    ) -> list[PlacementRequest]:
        """Looks at some parked tasks and returns those whose reason no longer holds."""
        schedulable = []
        for request in list(itertools.islice(self._requests_by_task.values(), MAX_RECHECKED_TASKS)):
            self.discard(request.task_id)
            if not self.add_if_unschedulable(request, exceeds_quota(request)):
                schedulable.append(request)
        return schedulable

    def has_failed(self, task_id: str) -> bool:
        """Tells whether a task failed on some worker, which it now avoids."""
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
