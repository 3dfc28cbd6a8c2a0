"""How an ownership is renewed, and when a shard may be taken."""

import abc
import asyncio
import dataclasses

from result import Err

from pollengate.ownership import Ownership
from pollengate.store import Operation, Store, Unchanged

__all__ = ["TakeoverPlan", "OwnershipGuard", "StoreGuard"]


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverPlan:
    """What a candidate may do once no earlier owner can go on unseen by the store.

    Attributes:
        wait_s: seconds until promises given before have lapsed; the shard is taken after them.
        conditions: of the write that takes the shard.
        operations: of that same write.
    """

    wait_s: float = 0.0
    conditions: tuple[Unchanged, ...] = ()
    operations: tuple[Operation, ...] = ()


class OwnershipGuard(abc.ABC):
    """Renews one ownership and clears the way for its successor."""

    @abc.abstractmethod
    async def renew(self, ownership: Ownership, lease_id: int) -> None:
        """Lengthens the belief in an ownership if that is safe."""

    @abc.abstractmethod
    async def prepare_takeover(self, zone: str, shard: int) -> TakeoverPlan | None:
        """Returns the clearance to take a free shard, None while an earlier owner may go on."""


class StoreGuard(OwnershipGuard):
    """Knows only the store: an owner that can't reach it loses the shard."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def renew(self, ownership: Ownership, lease_id: int) -> None:
        """Renews the lease at the store."""
        requested_at = asyncio.get_running_loop().time()
        epoch = ownership.epoch
        result = await self._store.renew_lease(lease_id)
        if isinstance(result, Err) or result.ok_value <= 0 or ownership.epoch != epoch:
            return
        ownership.renew(requested_at, result.ok_value)

    async def prepare_takeover(self, zone: str, shard: int) -> TakeoverPlan | None:
        """Clears at once; no owner goes on after its lease."""
        return TakeoverPlan()
