"""Keeps the configuration of a process current.

One process of each zone reads the store and the others ask it. While the store can't be reached,
freshness grants from all gates take its place.
"""

import asyncio
from collections.abc import Callable, Sequence

from pollengate.membership import Member, MemberList, Role
from pollengate.peer import FreshnessReply, FreshnessRequest, PeerClient
from pollengate.peer_leases import PeerLeaseHolder
from pollengate.refusals import Reason
from result import Err

from pollengated.configuration_cache import ConfigurationCache
from pollengated.logs import Log
from pollengated.member_registry import MemberRegistry
from pollengated.metrics import Metrics

__all__ = ["ConfigurationRefresher"]

ROUND_INTERVAL_S = 0.5
# Longer than the usual interval, because each round of an outage sends a request to every gate.
OUTAGE_ROUND_INTERVAL_S = 1.0
MIN_PAUSE_S = 0.05
MEMBERS_READ_INTERVAL_S = 2.0
UNRESPONSIVE_PEER_SKIP_S = 5.0
MAX_PREDECESSOR_REQUESTS = 2
# A peer whose confirmation is older than this is skipped: the process that reads the store for its
# zone confirms in every round.
MAX_PEER_AGE_S = 1.4


class ConfigurationRefresher:
    """Confirms the configuration of one process at regular intervals.

    The processes of a zone are ranked: schedulers before gates, older ones before younger ones.
    The first reads the store. Each of the others asks up to `MAX_PREDECESSOR_REQUESTS` of those
    ranked before it, and reads the store itself if it gets no usable reply. A process that has
    never confirmed its configuration adopts the highest version that an entry VM has.
    """

    def __init__(
        self,
        configuration_cache: ConfigurationCache,
        registry: MemberRegistry,
        peers: PeerClient,
        metrics: Metrics,
        entry_addresses: Callable[[], Sequence[str]] = tuple,
    ) -> None:
        self._configuration_cache = configuration_cache
        self._registry = registry
        self._peers = peers
        self._metrics = metrics
        self._entry_addresses = entry_addresses
        self._peer_leases = PeerLeaseHolder()
        self._unconfirmed_members: MemberList | None = None
        self._members_read_at = float("-inf")
        self._skip_until_by_id: dict[str, float] = {}
        self._is_store_down = False
        self._log = Log("exchange")

    async def run(self) -> None:
        """Refreshes the configuration at regular intervals until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            await self.refresh()
            if self._registry.member.role is Role.SCHEDULER and not self._is_store_down:
                await self._registry.record_members_revision()
            interval_s = OUTAGE_ROUND_INTERVAL_S if self._is_store_down else ROUND_INTERVAL_S
            await asyncio.sleep(max(MIN_PAUSE_S, started_at + interval_s - loop.time()))

    async def refresh(self) -> None:
        """Confirms the configuration once.

        Asks peers first. If that fails, reads the store; if the store was not reachable the last
        time, also requests freshness grants concurrently.
        """
        if await self._refresh_from_predecessors():
            self._is_store_down = False
            return
        if self._is_store_down:
            is_reachable, _ = await asyncio.gather(
                self._read_store(), self.collect_freshness_grants()
            )
        else:
            is_reachable = await self._read_store()
        if is_reachable == self._is_store_down:
            self._log.info(
                "store reachable again; reading the configuration from it"
                if is_reachable
                else "store not reachable; requesting freshness grants from all gates"
            )
        self._is_store_down = not is_reachable
        if self._configuration_cache.freshness.age_s(asyncio.get_running_loop().time()) is None:
            await self.adopt_highest_version(self._entry_addresses())

    async def adopt_highest_version(self, addresses: Sequence[str]) -> None:
        """Fetches the configuration of the processes at `addresses`; adopts the highest version."""
        replies = await asyncio.gather(*(self._peers.get_configuration(a) for a in addresses))
        for reply in replies:
            if not isinstance(reply, Err):
                self._configuration_cache.apply(reply.ok_value)

    async def collect_freshness_grants(self) -> None:
        """Requests a grant from every gate in the member list; confirms if all grant it."""
        now = asyncio.get_running_loop().time()
        members = self._registry.members
        gates = [m for m in map(members.find, self._peer_leases.grantor_ids) if m is not None]
        await asyncio.gather(*(self._request_grant(gate) for gate in gates))
        since = self._peer_leases.granted_since()
        is_recorded = self._registry.recorded_revision > 0
        if since is None or not is_recorded or not self._registry.is_registered(now):
            return
        self._configuration_cache.freshness.confirm(since)

    def _predecessors(self) -> list[Member]:
        own = self._registry.member
        ranked = sorted(
            self._registry.members.in_zone(own.zone),
            key=lambda m: (m.role is not Role.SCHEDULER, m.created_revision),
        )
        ids = [member.process_id for member in ranked]
        if own.process_id not in ids:
            return ranked
        return ranked[: ids.index(own.process_id)]

    async def _refresh_from_predecessors(self) -> bool:
        now = asyncio.get_running_loop().time()
        request_count = 0
        for peer in self._predecessors():
            if self._skip_until_by_id.get(peer.process_id, now) > now:
                continue
            if request_count == MAX_PREDECESSOR_REQUESTS:
                break
            request_count += 1
            if await self._refresh_from(peer):
                return True
            self._skip_until_by_id[peer.process_id] = now + UNRESPONSIVE_PEER_SKIP_S
        return False

    async def _refresh_from(self, peer: Member) -> bool:
        requested_at = asyncio.get_running_loop().time()
        reply = await self._request_freshness(peer)
        if reply is None or reply.age_s is None or reply.age_s > MAX_PEER_AGE_S:
            return False
        await self._fetch_members(peer, reply)
        self._confirm(requested_at - reply.age_s)
        return True

    async def _fetch_members(self, peer: Member, reply: FreshnessReply) -> None:
        if reply.members_revision <= self._registry.members.revision:
            return
        fetched = await self._peers.get_members(peer.address)
        if not isinstance(fetched, Err) and fetched.ok_value.revision == reply.members_revision:
            self._unconfirmed_members = fetched.ok_value

    async def _request_freshness(self, member: Member) -> FreshnessReply | None:
        """Asks a process how fresh its configuration is and adopts the configuration if newer.

        Returns:
            The reply, None if there is none or if the newer configuration could not be fetched.
        """
        request = FreshnessRequest(self._registry.member.zone, self._peer_leases.basis)
        result = await self._peers.request_freshness(member.address, request)
        if isinstance(result, Err) or result.ok_value.process_id != member.process_id:
            return None
        reply = result.ok_value
        if reply.revision > self._configuration_cache.revision:
            await self.adopt_highest_version([member.address])
        return reply if reply.revision <= self._configuration_cache.revision else None

    async def _request_grant(self, gate: Member) -> None:
        requested_at = asyncio.get_running_loop().time()
        reply = await self._request_freshness(gate)
        if reply is None:
            self._metrics.count_refusal(Reason.PROMISE_UNANSWERED)
        elif reply.is_granted:
            self._peer_leases.record_grant(gate.process_id, requested_at)
        else:
            self._metrics.count_refusal(Reason.PROMISE_WITHHELD)

    async def _read_store(self) -> bool:
        requested_at = asyncio.get_running_loop().time()
        if (
            not self._is_store_down
            and requested_at >= self._members_read_at + MEMBERS_READ_INTERVAL_S
        ):
            members = await self._registry.read_members()
            if isinstance(members, Err):
                return False
            self._unconfirmed_members = members.ok_value
            self._members_read_at = requested_at
            requested_at = asyncio.get_running_loop().time()
        if not await self._configuration_cache.refresh():
            return False
        self._confirm(requested_at)
        return True

    def _confirm(self, requested_at: float) -> None:
        """Records a confirmation and adopts the member list that was read before it."""
        self._configuration_cache.freshness.confirm(requested_at)
        if self._unconfirmed_members is not None:
            members, self._unconfirmed_members = self._unconfirmed_members, None
            if self._registry.adopt_members(members):
                self._peer_leases.rely_on(members.revision, [g.process_id for g in members.gates()])
