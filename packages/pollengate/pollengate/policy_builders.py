"""The policies that a shard's owner builds anew each time it takes the shard."""

import dataclasses
from collections.abc import Callable

from pollengate.configuration import Configuration
from pollengate.placement import FirstFit, Placement
from pollengate.reaction import NoReaction, Reaction
from pollengate.task_outcomes import NullOutcomeListener, TaskOutcomeListener
from pollengate.task_queue import FifoQueue, TaskQueue

__all__ = ["ShardPolicyBuilders"]


def _ignore(configuration: Configuration) -> None:
    """Takes no settings."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShardPolicyBuilders:
    """Builders of the policies of one shard; `make_placement` is called first.

    Attributes:
        make_placement: builds the placement.
        make_queue: builds the queue.
        make_reaction: builds the reaction.
        make_outcome_listener: builds the listener to the ends of tasks.
        configure: gives what was built last the configuration in force.
    """

    make_placement: Callable[[], Placement] = FirstFit
    make_queue: Callable[[], TaskQueue] = FifoQueue
    make_reaction: Callable[[], Reaction] = NoReaction
    make_outcome_listener: Callable[[], TaskOutcomeListener] = NullOutcomeListener
    configure: Callable[[Configuration], None] = _ignore
