"""Guards an ownership with the help of the zone's other schedulers."""

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
    """Renews one shard by store, relay or promises; makes others withhold them to take it."""

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
        """Lengthens the belief in an ownership by any way that is safe."""
        await self._renewer.renew(ownership, lease_id)

    async def prepare_takeover(self, zone: str, shard: int) -> TakeoverPlan | None:
        """Makes the zone's schedulers withhold promises from earlier owners."""
        return await self._takeover_fence.prepare_takeover(zone, shard)
