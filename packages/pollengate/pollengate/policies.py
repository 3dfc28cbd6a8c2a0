"""The policies that a shard's owner builds anew each time it takes the shard."""

import dataclasses
from collections.abc import Callable

from pollengate.placement import FirstFit, Placement
from pollengate.reaction import NoReaction, Reaction
from pollengate.task_queue import FifoQueue, TaskQueue

__all__ = ["ShardPolicies"]


@dataclasses.dataclass(frozen=True, slots=True)
class ShardPolicies:
    """Builders of the policies of one shard."""

    make_placement: Callable[[], Placement] = FirstFit
    make_queue: Callable[[], TaskQueue] = FifoQueue
    make_reaction: Callable[[], Reaction] = NoReaction
