"""An ownership guard that uses the peer leases of the zone's other schedulers."""

from pollengate.ownership import Ownership
from pollengate.ownership_guard import OwnershipGuard, TakeoverPlan
from pollengate.peer import PeerClient
from pollengate.store import Store

from pollengated.member_registry import MemberRegistry
from pollengated.metrics import Metrics
from pollengated.ownership_renewer import OwnershipRenewer
from pollengated.peer_request_handler import PeerRequestHandler
from pollengated.takeover_fence import TakeoverFence

__all__ = ["PeerGuard"]


class PeerGuard(OwnershipGuard):
    """Renews an ownership by store, relay or peer leases, and fences earlier owners."""

    def __init__(
        self,
        store: Store,
        registry: MemberRegistry,
        peers: PeerClient,
        peer_handler: PeerRequestHandler,
        metrics: Metrics,
    ) -> None:
        self._renewer = OwnershipRenewer(store, registry, peers, peer_handler, metrics)
        self._takeover_fence = TakeoverFence(store, registry, peers, peer_handler, metrics)

    async def renew(self, ownership: Ownership, lease_id: int) -> None:
        """Renews an ownership once; see `OwnershipRenewer.renew`."""
        await self._renewer.renew(ownership, lease_id)

    async def prepare_takeover(self, zone: str, shard: int) -> TakeoverPlan | None:
        """Fences earlier owners; returns None while one may still renew its ownership."""
        return await self._takeover_fence.prepare_takeover(zone, shard)
