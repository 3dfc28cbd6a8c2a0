"""Reactions to measurements of workers: actions that throttle or evict tasks."""

import abc
import dataclasses
from collections.abc import Sequence

from pollengate.worker import TaskUsage

__all__ = ["Action", "Evict", "NoReaction", "Observation", "Reaction", "ReactionChain", "Throttle"]


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Measurements of the tasks of one worker.

    Attributes:
        worker_id: the worker.
        measured_at: event loop time of the measurement, not of its arrival, in seconds.
        usage: one entry per task.
    """

    worker_id: str
    measured_at: float
    usage: tuple[TaskUsage, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Throttle:
    """Limits a task to a share of its processors; a share of 1 removes the limit."""

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
    """Decides which tasks to throttle or evict; measurements may arrive late."""

    @abc.abstractmethod
    def observe(self, observation: Observation) -> None:
        """Records measurements of a worker."""

    @abc.abstractmethod
    def decide(self, now: float) -> list[Action]:
        """Returns the actions to take; `now` is the event loop time in seconds."""

    @abc.abstractmethod
    def on_task_left(self, task_id: str) -> None:
        """Drops the state of a task that left its worker."""


class NoReaction(Reaction):
    """A reaction that takes no actions."""

    def observe(self, observation: Observation) -> None:
        """Ignores measurements."""

    def decide(self, now: float) -> list[Action]:
        """Returns no actions."""
        return []

    def on_task_left(self, task_id: str) -> None:
        """Does nothing, as there is no state."""


class ReactionChain(Reaction):
    """Combines several reactions; for each task, the first one that acts on it takes precedence."""

    def __init__(self, reactions: Sequence[Reaction]) -> None:
        self._reactions = tuple(reactions)

    def observe(self, observation: Observation) -> None:
        """Passes measurements on to every reaction."""
        for reaction in self._reactions:
            reaction.observe(observation)

    def decide(self, now: float) -> list[Action]:
        """Returns at most one action per task."""
        action_by_task: dict[str, Action] = {}
        for reaction in self._reactions:
            for action in reaction.decide(now):
                action_by_task.setdefault(action.task_id, action)
        return list(action_by_task.values())

    def on_task_left(self, task_id: str) -> None:
        """Notifies every reaction that a task left its worker."""
        for reaction in self._reactions:
            reaction.on_task_left(task_id)
