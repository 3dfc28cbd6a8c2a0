"""Fences the earlier owners of a shard before it is taken over."""

import asyncio

from pollengate.membership import Member, MemberList, find_unfenced_schedulers
from pollengate.ownership import epoch_key
from pollengate.ownership_guard import TakeoverPlan
from pollengate.peer import FenceReply, PeerClient, ShardRequest
from pollengate.refusals import Reason
from pollengate.store import Put, Store, Unchanged
from result import Err

from pollengated.member_registry import MemberRegistry
from pollengated.metrics import Metrics
from pollengated.peer_request_handler import PeerRequestHandler

__all__ = ["TakeoverFence"]


class TakeoverFence:
    """Makes the schedulers of a zone refuse peer leases to a shard's earlier owners."""

    def __init__(
        self,
        store: Store,
        registry: MemberRegistry,
        peers: PeerClient,
        peer_handler: PeerRequestHandler,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._registry = registry
        self._peers = peers
        self._peer_handler = peer_handler
        self._metrics = metrics

    async def prepare_takeover(self, zone: str, shard: int) -> TakeoverPlan | None:
        """Asks every scheduler of the zone to refuse peer leases to earlier owners.

        Returns:
            The plan of the takeover; None while an earlier owner may still renew its ownership.
        """
        if not self._registry.is_registered(asyncio.get_running_loop().time()):
            return None
        key = epoch_key(zone, shard)
        # Read before the member list: an owner that the list lacks has to write this key when it
        # takes the shard, and the conditional write of this takeover then fails.
        last_epoch = await self._store.get(key)
        listing = await self._registry.read_members()
        if isinstance(last_epoch, Err) or isinstance(listing, Err):
            return None
        own = listing.ok_value.find(self._registry.member.process_id)
        if own is None:
            return None
        request = ShardRequest(own.process_id, zone, shard, listing.ok_value.revision)
        replies = await self._fence_schedulers(listing.ok_value, own, request)
        fencing_ids = [reply.process_id for reply in replies]
        if find_unfenced_schedulers(listing.ok_value, zone, own.process_id, fencing_ids):
            self._metrics.count_refusal(Reason.OWNER_MAY_REMAIN)
            return None
        revision = last_epoch.ok_value.revision if last_epoch.ok_value else 0
        wait_s = max(reply.expires_in_s for reply in replies)
        write = Put(key, own.process_id.encode())
        return TakeoverPlan(wait_s, (Unchanged(key, revision),), (write,))

    async def _fence_schedulers(
        self, listing: MemberList, own: Member, request: ShardRequest
    ) -> list[FenceReply]:
        replies = [self._peer_handler.fence(request)]
        others = [m for m in listing.schedulers(request.zone) if m.process_id != own.process_id]
        results = await asyncio.gather(
            *(self._peers.fence(other.address, request) for other in others)
        )
        for other, result in zip(others, results, strict=True):
            if not isinstance(result, Err) and result.ok_value.process_id == other.process_id:
                replies.append(result.ok_value)
        return replies
