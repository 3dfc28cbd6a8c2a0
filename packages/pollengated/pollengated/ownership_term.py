"""One ownership term: a period in which this process owns a shard."""

import asyncio
from collections.abc import Callable

from pollengate.failpoints import FailpointHook
from pollengate.ledger import Ledger
from pollengate.ownership import Ownership
from pollengate.shard import Shard

__all__ = ["OwnershipTerm"]


class OwnershipTerm:
    """The state of a shard in one epoch.

    Code that still holds an earlier term finds `is_valid` False once a later term has begun, so it
    can't act on the later term's state.

    Attributes:
        ownership: whether, and until when, this process owns the shard.
        epoch: the epoch of this term.
        shard_state: the shard's jobs and workers in memory.
        ledger: the shard's durable records.
        failpoints: the hook that tests use to inject faults.
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

    def is_valid(self) -> bool:
        """Whether this process owns the shard in this term and may act for it now."""
        now = asyncio.get_running_loop().time()
        return self.ownership.epoch == self.epoch and self.ownership.is_valid(now)

    def is_serving(self) -> bool:
        """Whether the shard is served in this term and may answer calls now."""
        now = asyncio.get_running_loop().time()
        return self.ownership.epoch == self.epoch and self.ownership.is_serving(now)

    def may_start(self) -> bool:
        """Whether both the ownership and the configuration allow a task to be started now."""
        return self.is_serving() and self._may_start()

    def drop(self) -> None:
        """Gives up ownership of the shard, unless a later term has begun."""
        if self.ownership.epoch == self.epoch:
            self.ownership.drop()
