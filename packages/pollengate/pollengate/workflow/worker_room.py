"""What is free on a worker, and what would be if only its long-running tasks were left."""

import dataclasses

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.model import NO_DEMAND, Demand
from pollengate.workflow.progress import StepProgress

__all__ = ["WorkerRoom"]


@dataclasses.dataclass(slots=True)
class WorkerRoom:
    """Room on one worker beside the demand that was planned for it.

    Attributes:
        free_millis: free millicores; negative if more is planned than is free.
        free_mb: the same for memory.
        free_accelerators: the same for devices.
        later_millis: millicores that are free once all but the long-running tasks have ended.
        later_mb: the same for memory.
        later_accelerators: the same for devices.
    """

    free_millis: int
    free_mb: int
    free_accelerators: int
    later_millis: int
    later_mb: int
    later_accelerators: int

    @classmethod
    def of(cls, view: WorkerView) -> "WorkerRoom":
        """Returns the room of a worker with nothing planned."""
        capacity = view.info.capacity
        lasting = [run.task.step.spec.demand for run in view.long_running]
        return cls(
            capacity.cpu_millis - view.committed_millis,
            capacity.memory_mb - view.memory_mb,
            capacity.accelerators - view.accelerators,
            capacity.cpu_millis - sum(demand.cpu_millis for demand in lasting),
            capacity.memory_mb - sum(demand.memory_mb for demand in lasting),
            capacity.accelerators - sum(demand.accelerators for demand in lasting),
        )

    def can_hold(self, step: StepProgress) -> bool:
        """Returns True if a task of a step fits now."""
        return self.shortfall(step) <= 0

    def can_hold_later(self, step: StepProgress, moved: Demand = NO_DEMAND) -> bool:
        """Returns True if a task fits beside the long-running tasks.

        Args:
            step: the task's step.
            moved: demand of a long-running task there that moves away.
        """
        demand = step.spec.demand
        return (
            demand.cpu_millis <= self.later_millis + moved.cpu_millis
            and demand.memory_mb <= self.later_mb + moved.memory_mb
            and demand.accelerators <= self.later_accelerators + moved.accelerators
        )

    def shortfall(self, step: StepProgress) -> float:
        """Returns what still has to be freed for a task, as a share of its demand."""
        demand = step.spec.demand
        wanted_and_free = (
            (demand.cpu_millis, self.free_millis),
            (demand.memory_mb, self.free_mb),
            (demand.accelerators, self.free_accelerators),
        )
        # A worker may run more than it has by now, and a task may need none of a resource.
        return max(max(0, wanted - free) / max(1, wanted) for wanted, free in wanted_and_free)

    def plan(self, step: StepProgress) -> None:
        """Plans a task of a step for the worker."""
        demand = step.spec.demand
        self.free_millis -= demand.cpu_millis
        self.free_mb -= demand.memory_mb
        self.free_accelerators -= demand.accelerators
        self.later_millis -= demand.cpu_millis
        self.later_mb -= demand.memory_mb
        self.later_accelerators -= demand.accelerators
