"""A store lease that bounds how long records of accepted patches are kept."""

import asyncio

from pollengate.patches import PATCH_RETENTION_S
from pollengate.store import Store
from result import Err

__all__ = ["RetentionLease"]

LEASE_REUSE_S = 3_600


class RetentionLease:
    """Shares one store lease between the patches of an hour, instead of one lease per patch."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._lease_id = 0
        self._reuse_until = 0.0

    async def get(self) -> int:
        """Returns a lease id with at least `PATCH_RETENTION_S` left, 0 if none was granted."""
        now = asyncio.get_running_loop().time()
        if self._lease_id and now < self._reuse_until:
            return self._lease_id
        result = await self._store.grant_lease(PATCH_RETENTION_S + LEASE_REUSE_S)
        if isinstance(result, Err):
            return 0
        self._lease_id = result.ok_value
        self._reuse_until = now + LEASE_REUSE_S
        return self._lease_id

    def invalidate(self) -> None:
        """Discards the lease, which the store may no longer have; `get` then requests another."""
        self._lease_id = 0
