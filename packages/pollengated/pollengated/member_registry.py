"""Registers this process in the store and holds the member list that it relies on."""

import asyncio
import dataclasses

from pollengate.membership import (
    MEMBER_LEASE_MARGIN_S,
    MEMBER_LEASE_S,
    MEMBERS_PREFIX,
    Member,
    MemberList,
    decode_members,
    encode_member,
    member_key,
)
from pollengate.store import Put, Store, StoreFailure, Unchanged
from result import Err, Ok, Result

from pollengated.logs import Log

__all__ = ["MemberRegistry"]

RENEW_INTERVAL_S = 30.0
RETRY_INTERVAL_S = 1.0
RENEW_RETRY_INTERVAL_S = 5.0


class MemberRegistry:
    """The registration of this process and the member list that it relies on.

    Attributes:
        member: this process; `created_revision` is 0 until it is registered.
        members: the member list that this process relies on.
        recorded_revision: revision of the member list that this process has recorded in the store,
            0 if none.
    """

    def __init__(self, store: Store, member: Member) -> None:
        self.member = member
        self.members = MemberList()
        self.recorded_revision = 0
        self._store = store
        self._key = member_key(member.process_id)
        self._lease_id = 0
        self._registration_revision = 0
        self._valid_until = 0.0
        self._recording_postponed_until = 0.0
        self._log = Log("members")

    @property
    def registration_condition(self) -> Unchanged:
        """A condition for writes that must fail once this registration is gone or rewritten."""
        return Unchanged(self._key, self._registration_revision)

    async def run(self) -> None:
        """Registers this process and renews the registration until cancelled."""
        while True:
            is_renewed = await self.renew()
            is_registered = self.is_registered(asyncio.get_running_loop().time())
            retry_s = RENEW_RETRY_INTERVAL_S if is_registered else RETRY_INTERVAL_S
            await asyncio.sleep(RENEW_INTERVAL_S if is_renewed else retry_s)

    def is_registered(self, now: float) -> bool:
        """Whether the registration is certain to be valid at loop time `now`."""
        return self.member.created_revision > 0 and now < self._valid_until

    async def renew(self) -> bool:
        """Renews the registration, or registers again if it was lost.

        Returns:
            Whether the registration is confirmed.
        """
        if self._lease_id == 0:
            return await self._register()
        requested_at = asyncio.get_running_loop().time()
        result = await self._store.renew_lease(self._lease_id)
        if isinstance(result, Err):
            return False
        if result.ok_value <= 0:
            self._reset_registration()
            return await self._register()
        if not await self._read_back():
            return False
        self._extend_validity(requested_at)
        return self.member.created_revision > 0

    async def read_members(self) -> Result[MemberList, StoreFailure]:
        """Reads the member list from the store."""
        listing = await self._store.list(MEMBERS_PREFIX)
        return listing.map(decode_members)

    def adopt_members(self, members: MemberList) -> bool:
        """Replaces the member list by a later one that names other registrations.

        Returns:
            Whether it was replaced.
        """
        if members.revision <= self.members.revision or members.has_same_members(self.members):
            return False
        self.members = members
        return True

    def postpone_recording_until(self, until: float) -> None:
        """Postpones `record_members_revision` to a loop time.

        Until then, peer leases obtained under the current member list still count.
        """
        self._recording_postponed_until = max(self._recording_postponed_until, until)

    async def record_members_revision(self) -> None:
        """Records in the store which member list this process relies on, unless already recorded.

        The recorded revision is never later than that of the list relied on, even after a lost
        reply. Nothing is recorded while peer leases obtained under an earlier list still count.
        """
        revision = self.members.revision
        if asyncio.get_running_loop().time() < self._recording_postponed_until:
            return
        if revision == self.recorded_revision or self.member.created_revision == 0:
            return
        self.member = dataclasses.replace(self.member, known_revision=revision)
        if await self.rewrite():
            self.recorded_revision = revision

    async def rewrite(self) -> bool:
        """Rewrites the registration, so that writes conditional on its old revision fail.

        Returns:
            Whether the store confirmed the write.
        """
        if self.member.created_revision == 0:
            return False
        write = Put(self._key, encode_member(self.member), self._lease_id)
        result = await self._store.commit((self.registration_condition,), (write,))
        if isinstance(result, Ok) and result.ok_value.succeeded:
            self._registration_revision = result.ok_value.revision
            return True
        await self._read_back()
        return False

    async def deregister(self) -> None:
        """Revokes the registration's lease, which deletes the registration."""
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)
            self._reset_registration()

    async def _register(self) -> bool:
        requested_at = asyncio.get_running_loop().time()
        lease = await self._store.grant_lease(MEMBER_LEASE_S)
        if isinstance(lease, Err):
            return False
        write = Put(self._key, encode_member(self.member), lease.ok_value)
        result = await self._store.commit((Unchanged(self._key, 0),), (write,))
        if isinstance(result, Ok) and result.ok_value.succeeded:
            self._lease_id = lease.ok_value
            self._set_revisions(result.ok_value.revision, result.ok_value.revision)
        else:
            await self._read_back()
        if self._lease_id != lease.ok_value:
            return False
        self._extend_validity(requested_at)
        self._log.info("registered as a member", revision=self.member.created_revision)
        return True

    async def _read_back(self) -> bool:
        """Reads the registration from the store; returns whether the store replied."""
        result = await self._store.get(self._key)
        if isinstance(result, Err):
            return False
        entry = result.ok_value
        if entry is None:
            self._reset_registration()
            return True
        self._lease_id = entry.lease_id
        self._set_revisions(entry.revision, entry.created_revision)
        return True

    def _set_revisions(self, revision: int, created_revision: int) -> None:
        self._registration_revision = revision
        self.member = dataclasses.replace(self.member, created_revision=created_revision)

    def _extend_validity(self, requested_at: float) -> None:
        self._valid_until = requested_at + MEMBER_LEASE_S - MEMBER_LEASE_MARGIN_S

    def _reset_registration(self) -> None:
        self._lease_id = 0
        self._registration_revision = 0
        self._valid_until = 0.0
        self.recorded_revision = 0
        self.member = dataclasses.replace(self.member, created_revision=0, known_revision=0)
