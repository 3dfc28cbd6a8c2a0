"""Renewal of ownerships, and conditions under which a shard may be taken over."""

import abc
import asyncio
import dataclasses

from result import Err

from pollengate.ownership import Ownership
from pollengate.store import Operation, Store, Unchanged

__all__ = ["TakeoverPlan", "OwnershipGuard", "StoreGuard"]


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverPlan:
    """How a candidate takes a free shard without overlapping with an earlier owner.

    Attributes:
        wait_s: seconds to wait before taking the shard, until the peer leases granted to an
            earlier owner have expired.
        conditions: additional conditions of the transaction that takes the shard.
        operations: additional operations of that transaction.
    """

    wait_s: float = 0.0
    conditions: tuple[Unchanged, ...] = ()
    operations: tuple[Operation, ...] = ()


class OwnershipGuard(abc.ABC):
    """Renews ownerships and prevents two processes from owning a shard at the same time."""

    @abc.abstractmethod
    async def renew(self, ownership: Ownership, lease_id: int) -> None:
        """Extends an ownership, if no other process can have taken the shard.

        Args:
            ownership: the ownership to extend.
            lease_id: the store lease that the owner key is bound to.
        """

    @abc.abstractmethod
    async def prepare_takeover(self, zone: str, shard: int) -> TakeoverPlan | None:
        """Prevents earlier owners of a free shard from renewing their ownership.

        Returns:
            How to take the shard, None while an earlier owner may still be active.
        """


class StoreGuard(OwnershipGuard):
    """Relies on the store alone: an owner that can't reach the store loses its shards."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def renew(self, ownership: Ownership, lease_id: int) -> None:
        """Renews the store lease, and on success extends the ownership."""
        requested_at = asyncio.get_running_loop().time()
        epoch = ownership.epoch
        result = await self._store.renew_lease(lease_id)
        if isinstance(result, Err) or result.ok_value <= 0 or ownership.epoch != epoch:
            return
        ownership.renew(requested_at, result.ok_value)

    async def prepare_takeover(self, zone: str, shard: int) -> TakeoverPlan | None:
        """Allows the takeover without a wait, since no owner outlasts its store lease."""
        return TakeoverPlan()
