"""Builders of the policies that a shard's owner creates anew for each ownership term."""

import dataclasses
from collections.abc import Callable

from pollengate.configuration import Configuration
from pollengate.placement import FirstFit, Placement
from pollengate.reaction import NoReaction, Reaction
from pollengate.task_outcomes import NullOutcomeListener, TaskOutcomeListener
from pollengate.task_queue import FifoQueue, TaskQueue

__all__ = ["ShardPolicyBuilders"]


def _ignore(configuration: Configuration) -> None:
    """Ignores the configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShardPolicyBuilders:
    """Builders of the policies of one shard.

    `build_placement` has to be called first, since it may create the object that the
    other policies belong to.

    Attributes:
        build_placement: builds the placement.
        build_queue: builds the queue.
        build_reaction: builds the reaction.
        build_outcome_listener: builds the listener to the outcomes of tasks.
        configure: passes the configuration in force to the policies that were built last.
    """

    build_placement: Callable[[], Placement] = FirstFit
    build_queue: Callable[[], TaskQueue] = FifoQueue
    build_reaction: Callable[[], Reaction] = NoReaction
    build_outcome_listener: Callable[[], TaskOutcomeListener] = NullOutcomeListener
    configure: Callable[[Configuration], None] = _ignore
