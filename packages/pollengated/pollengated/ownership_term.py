"""One period during which this process owns a shard."""

import asyncio
from collections.abc import Callable

from pollengate.failpoints import FailpointHook
from pollengate.ledger import Ledger
from pollengate.ownership import Ownership
from pollengate.shard import Shard

__all__ = ["OwnershipTerm"]


class OwnershipTerm:
    """What belongs to one epoch; parts of an earlier one can't act on a later one's books.

    Attributes:
        ownership: what this process may believe about the shard.
        epoch: the epoch of this period.
        shard_state: the shard's books.
        ledger: its durable part.
        failpoints: the hook at named steps.
    """

    def __init__(
        self,
        ownership: Ownership,
        shard_state: Shard,
        ledger: Ledger,
        failpoints: FailpointHook,
        may_start: Callable[[], bool],
    ) -> None:
        self.ownership = ownership
        self.epoch = ownership.epoch
        self.shard_state = shard_state
        self.ledger = ledger
        self.failpoints = failpoints
        self._may_start = may_start

    def is_held(self) -> bool:
        """Tells whether an effect may follow now."""
        now = asyncio.get_running_loop().time()
        return self.ownership.epoch == self.epoch and self.ownership.is_held(now)

    def is_serving(self) -> bool:
        """Tells whether calls may be answered now."""
        now = asyncio.get_running_loop().time()
        return self.ownership.epoch == self.epoch and self.ownership.is_serving(now)

    def may_start(self) -> bool:
        """Tells whether a task may start now, by ownership and by the configuration."""
        return self.is_serving() and self._may_start()

    def drop(self) -> None:
        """Gives up the shard, unless a later period has begun."""
        if self.ownership.epoch == self.epoch:
            self.ownership.drop()
