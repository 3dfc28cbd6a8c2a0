"""The store lease by which one process owns a shard."""

import asyncio
import dataclasses

from result import Err, Ok

from pollengate.failpoints import Failpoint, FailpointHook
from pollengate.handover import Assignment, decode_handover, encode_handover
from pollengate.ledger import ledger_prefix
from pollengate.ownership import OWNER_LEASE_S, Ownership, encode_owner, owner_key
from pollengate.ownership_guard import OwnershipGuard
from pollengate.store import Delete, FailureKind, Operation, Put, Store, Unchanged

__all__ = ["OwnerLease", "AcquiredShard"]


@dataclasses.dataclass(frozen=True, slots=True)
class AcquiredShard:
    """A shard that this process has taken.

    Attributes:
        assignments: tasks handed over by the previous owner, None if it handed over nothing.
    """

    assignments: list[Assignment] | None


class OwnerLease:
    """Takes, renews and releases the owner key of one shard."""

    def __init__(
        self,
        store: Store,
        ownership: Ownership,
        process_id: str,
        address: str,
        failpoints: FailpointHook,
        guard: OwnershipGuard,
    ) -> None:
        self._store = store
        self._ownership = ownership
        self._value = encode_owner(process_id, address)
        self._failpoints = failpoints
        self._guard = guard
        self._key = owner_key(ownership.zone, ownership.shard)
        self._handover_key = ledger_prefix(ownership.zone, ownership.shard) + "handover"
        self._lease_id = 0

    @property
    def key(self) -> str:
        """The store key that names the owner."""
        return self._key

    async def acquire(self) -> AcquiredShard | None:
        """Takes the shard; returns None if it is not free or the store did not reply."""
        present = await self._store.get(self._key)
        if isinstance(present, Err) or present.ok_value is not None:
            return None
        plan = await self._guard.prepare_takeover(self._ownership.zone, self._ownership.shard)
        if plan is None:
            return None
        await asyncio.sleep(plan.wait_s)
        handover = await self._store.get(self._handover_key)
        if isinstance(handover, Err):
            return None
        await self._failpoints.reach(Failpoint.TAKE_STARTED)
        requested_at = asyncio.get_running_loop().time()
        lease = await self._store.grant_lease(OWNER_LEASE_S)
        if isinstance(lease, Err):
            return None
        self._lease_id = lease.ok_value
        await self._failpoints.reach(Failpoint.LEASE_GRANTED)
        entry = handover.ok_value
        conditions = [
            Unchanged(self._key, 0),
            Unchanged(self._handover_key, entry.revision if entry else 0),
            *plan.conditions,
        ]
        owner_put = Put(self._key, self._value, self._lease_id)
        writes: list[Operation] = [owner_put, *plan.operations]
        if entry is not None:
            writes.append(Delete(self._handover_key))
        epoch = await self._write_owner(conditions, writes)
        if epoch is None:
            await self._store.revoke_lease(self._lease_id)
            return None
        self._ownership.acquire(epoch, requested_at, OWNER_LEASE_S)
        await self._failpoints.reach(Failpoint.OWNER_TAKEN)
        return AcquiredShard(decode_handover(entry.value) if entry is not None else None)

    async def renew(self) -> None:
        """Renews the ownership once, unless another process may have taken the shard."""
        await self._failpoints.reach(Failpoint.OWNER_RENEWING)
        await self._guard.renew(self._ownership, self._lease_id)
        await self._failpoints.reach(Failpoint.OWNER_RENEWED)

    async def hand_over(self, assignments: list[Assignment] | None) -> bool:
        """Releases the shard; the caller must first stop everything that it does as the owner.

        Args:
            assignments: tasks that run or may run on workers, for the next owner; None if they
                are not known, so that the next owner has to query the workers.

        Returns:
            Whether the store confirmed the release. If not, the next owner may have to wait until
            the lease expires.
        """
        condition = Unchanged(self._key, self._ownership.epoch)
        writes: list[Operation] = [Delete(self._key)]
        if assignments is not None:
            writes.append(Put(self._handover_key, encode_handover(assignments)))
        self._ownership.drop()
        await self._failpoints.reach(Failpoint.HANDOVER_WRITING)
        result = await self._store.commit((condition,), writes)
        await self._failpoints.reach(Failpoint.HANDOVER_WRITTEN)
        await self._store.revoke_lease(self._lease_id)
        await self._failpoints.reach(Failpoint.LEASE_RELEASED)
        return isinstance(result, Ok) and result.ok_value.succeeded

    async def _write_owner(
        self, conditions: list[Unchanged], writes: list[Operation]
    ) -> int | None:
        result = await self._store.commit(conditions, writes)
        if isinstance(result, Ok):
            return result.ok_value.revision if result.ok_value.succeeded else None
        if result.err_value.kind is not FailureKind.UNKNOWN:
            return None
        entry = await self._store.get(self._key)
        if isinstance(entry, Err) or entry.ok_value is None:
            return None
        return entry.ok_value.revision if entry.ok_value.lease_id == self._lease_id else None
