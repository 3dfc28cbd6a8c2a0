"""Registers this process, so that others can call it and rank it as a candidate owner."""

import asyncio
import dataclasses

from pollengate.store import PolledStore, Put
from pollengate.workflow.keys import member_key
from result import Err

from pollengated.edge.node_directory import NodeRecord
from pollengated.logs import Log

__all__ = ["Membership"]

# A dead process stays a candidate owner for this long.
LEASE_S = 3.0
RENEW_INTERVAL_S = 1.0
RETRY_S = 0.3


class Membership:
    """Maintains the member key of this process under a store lease."""

    def __init__(self, store: PolledStore, record: NodeRecord) -> None:
        self._store = store
        self._record = record
        self._lease_id = 0
        self._log = Log("membership")

    async def run(self) -> None:
        """Registers, renews the lease, and registers again when the lease has expired."""
        while True:
            is_registered = await (self._renew() if self._lease_id else self._register())
            if not is_registered:
                self._lease_id = 0
            await asyncio.sleep(RENEW_INTERVAL_S if is_registered else RETRY_S)

    async def announce_leaving(self) -> None:
        """Marks this process as leaving, so that it is no longer a candidate owner."""
        self._record = dataclasses.replace(self._record, is_leaving=True)
        await self._write()

    async def deregister(self) -> None:
        """Removes the registration."""
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)

    async def _register(self) -> bool:
        lease = await self._store.grant_lease(LEASE_S)
        if isinstance(lease, Err):
            return False
        self._lease_id = lease.ok_value
        if not await self._write():
            return False
        self._log.info("registered", node=self._record.node, lease=self._lease_id)
        return True

    async def _write(self) -> bool:
        key = member_key(self._record.node)
        put = Put(key, self._record.encode(), self._lease_id)
        return not isinstance(await self._store.commit((), (put,)), Err)

    async def _renew(self) -> bool:
        renewal = await self._store.renew_lease(self._lease_id)
        if isinstance(renewal, Err) or renewal.ok_value > 0:
            return True
        self._log.warning(
            "registration has lapsed; registering again",
            node=self._record.node,
            lease=self._lease_id,
        )
        return False
