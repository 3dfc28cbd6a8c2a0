"""Reaction to interference: throttle a task, or checkpoint it and move it."""

import abc
import dataclasses

from pollengate.worker import TaskUsage

__all__ = ["Action", "Evict", "NoReaction", "Observation", "Reaction", "Throttle"]


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Measurements of one worker.

    Attributes:
        worker_id: the worker.
        taken_at: loop time of the measurement, not of its arrival.
        usage: one entry a task.
    """

    worker_id: str
    taken_at: float
    usage: tuple[TaskUsage, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Throttle:
    """Limits a task to a share of its processors; 1 lifts the limit."""

    worker_id: str
    task_id: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Evict:
    """Checkpoints a task, stops it and queues it again."""

    worker_id: str
    task_id: str


Action = Throttle | Evict


class Reaction(abc.ABC):
    """Decides from late measurements what to do about harm between tasks."""

    @abc.abstractmethod
    def observe(self, observation: Observation) -> None:
        """Takes in measurements."""

    @abc.abstractmethod
    def decide(self, now: float) -> list[Action]:
        """Returns the actions to take at loop time `now`."""

    @abc.abstractmethod
    def task_left(self, task_id: str) -> None:
        """Forgets a task that left its worker."""


class NoReaction(Reaction):
    """Never acts."""

    def observe(self, observation: Observation) -> None:
        """Ignores measurements."""

    def decide(self, now: float) -> list[Action]:
        """Returns no action."""
        return []

    def task_left(self, task_id: str) -> None:
        """Keeps no state."""
