"""Reaction to interference: throttle a task, or checkpoint it and move it."""

import abc
import dataclasses
from collections.abc import Sequence

from pollengate.worker import TaskUsage

__all__ = ["Action", "Evict", "NoReaction", "Observation", "Reaction", "ReactionChain", "Throttle"]


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Measurements of one worker.

    Attributes:
        worker_id: the worker.
        measured_at: loop time of the measurement, not of its arrival.
        usage: one entry a task.
    """

    worker_id: str
    measured_at: float
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


class ReactionChain(Reaction):
    """Asks several reactions in order; the first to act on a task is followed."""

    def __init__(self, reactions: Sequence[Reaction]) -> None:
        self._reactions = tuple(reactions)

    def observe(self, observation: Observation) -> None:
        """Passes measurements on."""
        for reaction in self._reactions:
            reaction.observe(observation)

    def decide(self, now: float) -> list[Action]:
        """Returns at most one action a task."""
        action_by_task: dict[str, Action] = {}
        for reaction in self._reactions:
            for action in reaction.decide(now):
                action_by_task.setdefault(action.task_id, action)
        return list(action_by_task.values())

    def task_left(self, task_id: str) -> None:
        """Passes the end of a task's stay on."""
        for reaction in self._reactions:
            reaction.task_left(task_id)
