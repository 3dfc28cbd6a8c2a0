"""What a worker must have to run a task once it is empty."""

import dataclasses

from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.model import Demand, Queue
from pollengate.workflow.progress import StepProgress

__all__ = ["WorkerNeed"]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerNeed:
    """What a worker must have to run a task once it is empty.

    Attributes:
        service: the worker's service.
        required_label: a label that the worker must have, empty for none.
        demand: resources of the task.
    """

    service: str
    required_label: str
    demand: Demand

    @classmethod
    def of(cls, step: StepProgress, queue: Queue) -> "WorkerNeed":
        """Returns what the tasks of a step in a queue need."""
        return cls(queue.service, step.spec.required_label, step.spec.demand)

    def is_met_by(self, view: WorkerView) -> bool:
        """Returns True if a worker has the label, and is large enough."""
        capacity = view.info.capacity
        return (
            view.info.service == self.service
            and (not self.required_label or self.required_label in view.info.labels)
            and self.demand.cpu_millis <= capacity.cpu_millis
            and self.demand.memory_mb <= capacity.memory_mb
            and self.demand.accelerators <= capacity.accelerators
        )
