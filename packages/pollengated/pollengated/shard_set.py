"""The shards of this process's zone, each with its `ShardOwner`."""

import asyncio
from collections.abc import Callable

from pollengate.shard_layout import ensure_shard_count
from pollengate.store import Store
from result import Ok

from pollengated.configuration_cache import ConfigurationCache
from pollengated.logs import Log
from pollengated.shard_owner import ShardOwner

__all__ = ["ShardSet"]

LAYOUT_RETRY_DELAY_S = 0.5

MakeOwner = Callable[[int, int], ShardOwner]


class ShardSet:
    """Runs a `ShardOwner` for every shard of the zone.

    Attributes:
        owners: one per shard; empty until the number of shards has been read.
    """

    def __init__(
        self,
        store: Store,
        zone: str,
        configuration_cache: ConfigurationCache,
        make_owner: MakeOwner,
    ) -> None:
        self.owners: list[ShardOwner] = []
        self._store = store
        self._zone = zone
        self._configuration_cache = configuration_cache
        self._make_owner = make_owner
        self._is_stopping = False
        self._log = Log("shards")

    async def run(self) -> None:
        """Runs every owner until stopped; an exception in one cancels all of them."""
        shard_count = await self._wait_for_layout()
        self.owners.extend(self._make_owner(number, shard_count) for number in range(shard_count))
        if self._is_stopping:
            return
        async with asyncio.TaskGroup() as group:
            for owner in self.owners:
                group.create_task(owner.run())

    def stop(self) -> None:
        """Makes every owner hand its shard over and `run` return."""
        self._is_stopping = True
        for owner in self.owners:
            owner.stop()

    def find(self, zone: str, number: int) -> ShardOwner | None:
        """Returns the `ShardOwner` of a shard; None for another zone or an unknown shard."""
        for owner in self.owners:
            if (owner.zone, owner.number) == (zone, number):
                return owner
        return None

    async def _wait_for_layout(self) -> int:
        while not self._is_stopping:
            zone = self._configuration_cache.current.zones_by_name.get(self._zone)
            if zone is not None:
                result = await ensure_shard_count(self._store, self._zone, zone.shards)
                if isinstance(result, Ok):
                    self._warn_if_different(zone.shards, result.ok_value)
                    return result.ok_value
            await asyncio.sleep(LAYOUT_RETRY_DELAY_S)
        return 0

    def _warn_if_different(self, configured: int, recorded: int) -> None:
        if configured != recorded:
            self._log.warning(
                "configured number of shards differs from the recorded one; using the latter",
                configured=configured,
                recorded=recorded,
            )
