"""Rate limits for evictions by task, worker and shard."""

import dataclasses

from pollengate.bounded import BoundedDict

__all__ = ["EvictionBudget", "EvictionLimits"]

MAX_TRACKED_TASKS = 8192
MAX_TRACKED_WORKERS = 8192


@dataclasses.dataclass(frozen=True, slots=True)
class EvictionLimits:
    """How often tasks may be evicted.

    Attributes:
        task_interval_s: minimum time between evictions of one task, in seconds.
        worker_interval_s: minimum time between evictions on one worker, in seconds.
        shard_evictions_per_minute: maximum rate of evictions in one shard.
    """

    task_interval_s: float = 600.0
    worker_interval_s: float = 60.0
    shard_evictions_per_minute: float = 6.0


class EvictionBudget:
    """Checks evictions against `EvictionLimits` and records them.

    The shard's limit is a token bucket; its size is half a minute's evictions, at least one.
    """

    def __init__(self, limits: EvictionLimits | None = None) -> None:
        self.limits = limits or EvictionLimits()
        self._evicted_at_by_task: BoundedDict[str, float] = BoundedDict(MAX_TRACKED_TASKS)
        self._evicted_at_by_worker: BoundedDict[str, float] = BoundedDict(MAX_TRACKED_WORKERS)
        self._tokens = 0.0
        self._refilled_at: float | None = None

    def allows_task(self, task_id: str, now: float) -> bool:
        """Returns True if the interval between evictions of the task has passed."""
        evicted_at = self._evicted_at_by_task.get(task_id)
        return evicted_at is None or now - evicted_at >= self.limits.task_interval_s

    def allows_worker(self, worker_id: str, now: float) -> bool:
        """Returns True if the limits of the worker and of the shard allow an eviction."""
        self._refill(now)
        evicted_at = self._evicted_at_by_worker.get(worker_id)
        is_due = evicted_at is None or now - evicted_at >= self.limits.worker_interval_s
        return is_due and self._tokens >= 1.0

    def spend(self, task_id: str, worker_id: str, now: float) -> None:
        """Records an eviction.

        Evictions for urgent tasks don't wait for the shard's limit: they may make the number of
        tokens negative, which delays later evictions.
        """
        self._refill(now)
        self._tokens -= 1.0
        self._evicted_at_by_task.put(task_id, now)
        self._evicted_at_by_worker.put(worker_id, now)

    def _refill(self, now: float) -> None:
        burst = max(self.limits.shard_evictions_per_minute / 2.0, 1.0)
        if self._refilled_at is None:
            self._tokens = burst
        else:
            gained = (now - self._refilled_at) * self.limits.shard_evictions_per_minute / 60.0
            self._tokens = min(self._tokens + gained, burst)
        self._refilled_at = now
