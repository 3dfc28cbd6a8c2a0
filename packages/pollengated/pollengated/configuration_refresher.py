"""Keeps the configuration current: one reader a zone, its peers, and promises of all gates."""

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
# During an outage, every gate is asked in each round.
OUTAGE_ROUND_INTERVAL_S = 1.0
MIN_PAUSE_S = 0.05
MEMBERS_READ_INTERVAL_S = 2.0
UNRESPONSIVE_PEER_SKIP_S = 5.0
MAX_PREDECESSORS_ASKED = 2
# A reader confirms each round; one that is older can't confirm its peers.
MAX_PEER_AGE_S = 1.4


class ConfigurationRefresher:
    """Confirms the configuration of one process, round by round.

    The process of a zone that comes first, schedulers before gates and each by age, reads the
    store. The others ask the processes before them, and do as the first when none helps. A
    process that has never been confirmed takes the highest version that entry VMs hold.
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
        """Confirms the configuration until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            await self.refresh()
            if self._registry.member.role is Role.SCHEDULER and not self._is_store_down:
                await self._registry.record_members_revision()
            interval_s = OUTAGE_ROUND_INTERVAL_S if self._is_store_down else ROUND_INTERVAL_S
            await asyncio.sleep(max(MIN_PAUSE_S, started_at + interval_s - loop.time()))

    async def refresh(self) -> None:
        """Confirms the configuration once, by the cheapest way that works."""
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
            self._log.info("store reachable" if is_reachable else "store not reachable")
        self._is_store_down = not is_reachable
        if self._configuration_cache.freshness.age_s(asyncio.get_running_loop().time()) is None:
            await self.adopt_highest_version(self._entry_addresses())

    async def adopt_highest_version(self, addresses: Sequence[str]) -> None:
        """Takes the highest version that any of some processes holds."""
        replies = await asyncio.gather(*(self._peers.get_configuration(a) for a in addresses))
        for reply in replies:
            if not isinstance(reply, Err):
                self._configuration_cache.apply(reply.ok_value)

    async def collect_freshness_grants(self) -> None:
        """Asks every gate that this process relies on, and confirms if all promised."""
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
        asked = 0
        for peer in self._predecessors():
            if self._skip_until_by_id.get(peer.process_id, now) > now:
                continue
            if asked == MAX_PREDECESSORS_ASKED:
                break
            asked += 1
            if await self._refresh_from(peer):
                return True
            self._skip_until_by_id[peer.process_id] = now + UNRESPONSIVE_PEER_SKIP_S
        return False

    async def _refresh_from(self, peer: Member) -> bool:
        asked_at = asyncio.get_running_loop().time()
        reply = await self._request_freshness(peer)
        if reply is None or reply.age_s is None or reply.age_s > MAX_PEER_AGE_S:
            return False
        await self._fetch_members(peer, reply)
        self._confirm(asked_at - reply.age_s)
        return True

    async def _fetch_members(self, peer: Member, reply: FreshnessReply) -> None:
        if reply.members_revision <= self._registry.members.revision:
            return
        fetched = await self._peers.get_members(peer.address)
        if not isinstance(fetched, Err) and fetched.ok_value.revision == reply.members_revision:
            self._unconfirmed_members = fetched.ok_value

    async def _request_freshness(self, member: Member) -> FreshnessReply | None:
        """Asks a process and takes over its configuration; None without a usable answer."""
        request = FreshnessRequest(self._registry.member.zone, self._peer_leases.basis)
        result = await self._peers.request_freshness(member.address, request)
        if isinstance(result, Err) or result.ok_value.process_id != member.process_id:
            return None
        reply = result.ok_value
        if reply.revision > self._configuration_cache.revision:
            await self.adopt_highest_version([member.address])
        return reply if reply.revision <= self._configuration_cache.revision else None

    async def _request_grant(self, gate: Member) -> None:
        asked_at = asyncio.get_running_loop().time()
        reply = await self._request_freshness(gate)
        if reply is None:
            self._metrics.count_refusal(Reason.PROMISE_UNANSWERED)
        elif reply.granted:
            self._peer_leases.record_grant(gate.process_id, asked_at)
        else:
            self._metrics.count_refusal(Reason.PROMISE_WITHHELD)

    async def _read_store(self) -> bool:
        asked_at = asyncio.get_running_loop().time()
        if not self._is_store_down and asked_at >= self._members_read_at + MEMBERS_READ_INTERVAL_S:
            members = await self._registry.read_members()
            if isinstance(members, Err):
                return False
            self._unconfirmed_members = members.ok_value
            self._members_read_at = asked_at
            asked_at = asyncio.get_running_loop().time()
        if not await self._configuration_cache.refresh():
            return False
        self._confirm(asked_at)
        return True

    def _confirm(self, asked_at: float) -> None:
        """Records a confirmation; members read before it may now be relied on."""
        self._configuration_cache.freshness.confirm(asked_at)
        if self._unconfirmed_members is not None:
            members, self._unconfirmed_members = self._unconfirmed_members, None
            if self._registry.adopt_members(members):
                self._peer_leases.rely_on(members.revision, [g.process_id for g in members.gates()])
