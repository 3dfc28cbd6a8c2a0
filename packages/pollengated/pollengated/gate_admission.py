"""Admission of a new gate, before which it accepts no patches."""

import asyncio

from pollengate.membership import MEMBER_LEASE_S, Member, find_admitting_gates
from pollengate.peer import PeerClient
from result import Err

from pollengated.logs import Log
from pollengated.member_registry import MemberRegistry

__all__ = ["GateAdmission"]

RETRY_INTERVAL_S = 0.5


class GateAdmission:
    """Requests the admission of this gate after each registration.

    During a store outage, schedulers rely on the freshness granted by all gates that they know.
    A scheduler that does not know this gate does not ask it and could miss its patches. Before this
    gate accepts any, a gate that every scheduler knows therefore has to refuse freshness to such
    schedulers.
    """

    def __init__(self, registry: MemberRegistry, peers: PeerClient) -> None:
        self._registry = registry
        self._peers = peers
        self._admitted_revision = 0
        self._registered_at = 0.0
        self._requested_revision = 0
        self._log = Log("admission")

    def is_admitted(self, now: float) -> bool:
        """Whether this gate may accept patches at loop time `now`."""
        created = self._registry.member.created_revision
        return self._registry.is_registered(now) and created == self._admitted_revision

    async def run(self) -> None:
        """Requests admission after each registration, until cancelled."""
        while True:
            if not self.is_admitted(asyncio.get_running_loop().time()):
                await self.request_admission()
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def request_admission(self) -> None:
        """Requests admission of the current registration once."""
        now = asyncio.get_running_loop().time()
        own = self._registry.member
        if own.created_revision == 0:
            return
        if own.created_revision != self._requested_revision:
            self._requested_revision = own.created_revision
            self._registered_at = now
        listing = await self._registry.read_members()
        if isinstance(listing, Err) or listing.ok_value.find(own.process_id) is None:
            return
        gates = find_admitting_gates(listing.ok_value, own.process_id)
        # If True, any scheduler whose member list lacks this gate read that list longer ago than a
        # member lease lasts.
        have_older_lists_expired = now - self._registered_at > MEMBER_LEASE_S
        if (
            gates
            and not have_older_lists_expired
            and not await self._request_from_any(own.created_revision, gates)
        ):
            return
        self._admitted_revision = own.created_revision
        self._log.info("gate admitted; it may accept patches", revision=own.created_revision)

    async def _request_from_any(self, created_revision: int, gates: tuple[Member, ...]) -> bool:
        for gate in gates:
            reply = await self._peers.admit(
                gate.address, self._registry.member.process_id, created_revision
            )
            if not isinstance(reply, Err) and reply.ok_value == gate.process_id:
                return True
        return False
