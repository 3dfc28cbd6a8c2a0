"""The owners of all shards, polled from the store."""

import asyncio

from pollengate.ownership import OWNERS_PREFIX, Owner, decode_owner
from pollengate.store import Store
from result import Err

from pollengated.logs import Log

__all__ = ["OwnerDirectory"]

POLL_INTERVAL_S = 1.0


class OwnerDirectory:
    """Caches the owners of all shards; keeps the last ones read while the store is down."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._owners_by_shard: dict[tuple[str, int], Owner] = {}
        self._log = Log("owners")
        self._reading: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Polls the store until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Reads the store once; concurrent calls share one read."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read())
        await asyncio.shield(self._reading)

    async def _read(self) -> None:
        result = await self._store.list(OWNERS_PREFIX)
        if isinstance(result, Err):
            self._log.warning(
                "store did not reply; using the last known owners", detail=result.err_value.detail
            )
            return
        owners = [decode_owner(entry) for entry in result.ok_value.entries]
        self._owners_by_shard = {(owner.zone, owner.shard): owner for owner in owners}

    def find(self, zone: str, shard: int) -> Owner | None:
        """Returns the last known owner of a shard, None if none is known."""
        return self._owners_by_shard.get((zone, shard))

    def all(self) -> list[Owner]:
        """Returns every known owner, sorted by zone and shard."""
        return [owner for _, owner in sorted(self._owners_by_shard.items())]
