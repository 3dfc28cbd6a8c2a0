"""Answers the calls of other gates and schedulers."""

import asyncio

from pollengate.membership import MemberList
from pollengate.patches import OutstandingPatches
from pollengate.peer import (
    FenceReply,
    FreshnessReply,
    FreshnessRequest,
    LeaseReply,
    ShardRequest,
    StoredConfiguration,
)
from pollengate.peer_leases import PeerLeaseGrantor
from pollengate.store import Store
from result import Err

from pollengated.configuration_cache import ConfigurationCache
from pollengated.member_registry import MemberRegistry

__all__ = ["OWNER_PEER_LEASE_S", "PeerRequestHandler"]

OWNER_PEER_LEASE_S = 3.0
# Covers a clock drift of up to a tenth of the peer lease's duration.
CLOCK_DRIFT_MARGIN_S = 0.3


class PeerRequestHandler:
    """Answers peer calls for one process; only gates grant freshness."""

    def __init__(
        self,
        store: Store,
        configuration_cache: ConfigurationCache,
        registry: MemberRegistry,
        outstanding: OutstandingPatches | None = None,
    ) -> None:
        self._store = store
        self._configuration_cache = configuration_cache
        self._registry = registry
        self._outstanding = outstanding
        self._grantors_by_shard: dict[tuple[str, int], PeerLeaseGrantor] = {}

    @property
    def process_id(self) -> str:
        """The id of this process, which every reply carries."""
        return self._registry.member.process_id

    def configuration(self) -> StoredConfiguration:
        """Returns the configuration that this process uses, as stored."""
        return self._configuration_cache.stored

    def members(self) -> MemberList:
        """Returns the member list that this process relies on."""
        return self._registry.members

    def freshness(self, request: FreshnessRequest) -> FreshnessReply:
        """Returns how current the configuration is here, and whether freshness is granted.

        A registered gate grants it, unless the requester's member list lacks an admitted gate or a
        patch of unknown outcome may have taken the requester's zone out of service.
        """
        now = asyncio.get_running_loop().time()
        return FreshnessReply(
            process_id=self.process_id,
            revision=self._configuration_cache.revision,
            age_s=self._configuration_cache.freshness.age_s(now),
            members_revision=self._registry.members.revision,
            is_granted=self._grants_freshness(request, now),
        )

    def admit(self, created_revision: int) -> None:
        """Starts to refuse freshness to requesters whose member list lacks a new gate.

        Args:
            created_revision: store revision of the new gate's registration.
        """
        if self._outstanding is not None:
            now = asyncio.get_running_loop().time()
            self._outstanding.fence(created_revision, now)

    def grant(self, request: ShardRequest) -> bool:
        """Grants an owner a peer lease unless it is fenced or this process is not registered."""
        now = asyncio.get_running_loop().time()
        if not self._registry.is_registered(now):
            return False
        return self._grantor(request).grant(request.epoch, now)

    def fence(self, request: ShardRequest) -> FenceReply:
        """Starts to refuse peer leases to owners earlier than the requester.

        Returns:
            The seconds until the peer leases granted so far have expired.
        """
        now = asyncio.get_running_loop().time()
        expires_in_s = self._grantor(request).fence(request.epoch, now)
        return FenceReply(self.process_id, expires_in_s)

    async def renew_lease(self, lease_id: int) -> LeaseReply:
        """Renews a store lease for another process that may be unable to reach the store."""
        result = await self._store.renew_lease(lease_id)
        if isinstance(result, Err):
            return LeaseReply(False, 0.0)
        return LeaseReply(True, result.ok_value)

    def _grants_freshness(self, request: FreshnessRequest, now: float) -> bool:
        if self._outstanding is None or not self._registry.is_registered(now):
            return False
        return self._outstanding.grant(request.zone, request.basis, now)

    def _grantor(self, request: ShardRequest) -> PeerLeaseGrantor:
        key = (request.zone, request.shard)
        grantor = self._grantors_by_shard.get(key)
        if grantor is None:
            grantor = PeerLeaseGrantor(OWNER_PEER_LEASE_S + CLOCK_DRIFT_MARGIN_S)
            self._grantors_by_shard[key] = grantor
        return grantor
