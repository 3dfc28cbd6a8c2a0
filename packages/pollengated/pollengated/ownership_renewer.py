"""Renews the ownership of a shard: at the store, through a relay, or by peer leases."""

import asyncio

from pollengate.membership import Member, MemberList
from pollengate.ownership import Ownership
from pollengate.peer import PeerClient, ShardRequest
from pollengate.peer_leases import PeerLeaseHolder
from pollengate.refusals import Reason
from pollengate.store import Store
from result import Err, Ok

from pollengated.member_registry import MemberRegistry
from pollengated.metrics import Metrics
from pollengated.peer_request_handler import OWNER_PEER_LEASE_S, PeerRequestHandler

__all__ = ["OwnershipRenewer"]

MAX_RELAYS = 3


class OwnershipRenewer:
    """Renews one ownership as long as no other process can have taken the shard.

    Peer leases count only if the store lease was renewed after the member list in use was read.
    """

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
        self._peer_leases = PeerLeaseHolder()
        self._verified_members = MemberList()
        self._verified_epoch = 0
        self._is_store_down = False

    async def renew(self, ownership: Ownership, lease_id: int) -> None:
        """Renews the ownership once.

        Normally it is renewed only at the store. If the store did not reply last time, it is
        renewed through relays and by peer leases as well, concurrently.
        """
        if not self._is_store_down:
            self._is_store_down = not await self._renew_at_store(ownership, lease_id)
            return
        reached, _, _ = await asyncio.gather(
            self._renew_at_store(ownership, lease_id),
            self._renew_by_relay(ownership, lease_id),
            self._renew_by_peer_leases(ownership),
        )
        self._is_store_down = not reached

    async def _renew_at_store(self, ownership: Ownership, lease_id: int) -> bool:
        """Renews the store lease; returns whether the store replied."""
        members, epoch = self._registry.members, ownership.epoch
        requested_at = asyncio.get_running_loop().time()
        result = await self._store.renew_lease(lease_id)
        if isinstance(result, Err):
            return False
        self._record_renewal(ownership, epoch, requested_at, result.ok_value, members)
        return True

    async def _renew_by_relay(self, ownership: Ownership, lease_id: int) -> None:
        members, epoch = self._registry.members, ownership.epoch
        requested_at = asyncio.get_running_loop().time()
        relays = _choose_relays(members, self._registry.member)
        replies = await asyncio.gather(
            *(self._peers.renew_lease(relay.address, lease_id) for relay in relays)
        )
        for reply in replies:
            if isinstance(reply, Ok) and reply.ok_value.store_replied:
                self._record_renewal(
                    ownership, epoch, requested_at, reply.ok_value.remaining_s, members
                )

    def _record_renewal(
        self,
        ownership: Ownership,
        epoch: int,
        requested_at: float,
        remaining_s: float,
        members: MemberList,
    ) -> None:
        if epoch == 0 or epoch != ownership.epoch:
            return
        if remaining_s <= 0:
            self._verified_epoch = 0
            return
        ownership.renew(requested_at, remaining_s)
        self._verified_members, self._verified_epoch = members, epoch

    async def _renew_by_peer_leases(self, ownership: Ownership) -> None:
        members = self._registry.members
        if not self._may_rely_on_members(members, ownership):
            self._metrics.count_refusal(Reason.PROMISE_WITHHELD)
            return
        own = self._registry.member
        request = ShardRequest(own.process_id, ownership.zone, ownership.shard, ownership.epoch)
        others = [m for m in members.schedulers(own.zone) if m.process_id != own.process_id]
        self._peer_leases.rely_on(
            members.revision, [own.process_id, *(m.process_id for m in others)]
        )
        self._grant_to_self(request)
        await asyncio.gather(*(self._request_peer_lease(other, request) for other in others))
        since = self._peer_leases.granted_since()
        is_still_valid = request.epoch == ownership.epoch and self._may_rely_on_members(
            members, ownership
        )
        if since is not None and is_still_valid:
            ownership.renew(since, OWNER_PEER_LEASE_S)
            self._registry.postpone_recording_until(since + OWNER_PEER_LEASE_S)

    def _may_rely_on_members(self, members: MemberList, ownership: Ownership) -> bool:
        now = asyncio.get_running_loop().time()
        return (
            ownership.epoch > 0
            and members is self._registry.members
            and members is self._verified_members
            and ownership.epoch == self._verified_epoch
            and self._registry.recorded_revision > 0
            and self._registry.is_registered(now)
        )

    def _grant_to_self(self, request: ShardRequest) -> None:
        requested_at = asyncio.get_running_loop().time()
        if self._peer_handler.grant(request):
            self._peer_leases.record_grant(request.process_id, requested_at)

    async def _request_peer_lease(self, other: Member, request: ShardRequest) -> None:
        requested_at = asyncio.get_running_loop().time()
        result = await self._peers.request_peer_lease(other.address, request)
        if isinstance(result, Err):
            self._metrics.count_refusal(Reason.PROMISE_UNANSWERED)
        elif result.ok_value == other.process_id:
            self._peer_leases.record_grant(other.process_id, requested_at)
        else:
            self._metrics.count_refusal(Reason.PROMISE_WITHHELD)


def _choose_relays(members: MemberList, own: Member) -> list[Member]:
    """Returns one process per zone, other zones first, up to `MAX_RELAYS`."""
    relays: dict[str, Member] = {}
    for member in members.members:
        if member.process_id != own.process_id:
            relays.setdefault(member.zone, member)
    ordered = sorted(relays.values(), key=lambda member: member.zone == own.zone)
    return ordered[:MAX_RELAYS]
