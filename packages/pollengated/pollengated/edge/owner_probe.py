"""Checks whether the owners of shards are reachable from this process.

If this process is cut off from an owner, requests for its shard are refused at once, before
anything is sent, and the readiness check fails so that the platform sends clients elsewhere.
"""

import asyncio

from pollengated.edge.clocks import Clocks
from pollengated.edge.node_directory import NodeDirectory
from pollengated.edge.owned_shards import OwnedShards
from pollengated.edge.rpc import EdgeClient
from pollengated.logs import Log

__all__ = ["OwnerProbe"]

PROBE_INTERVAL_S = 0.4
# A ping takes a few milliseconds, but longer if the owner is under load.
PROBE_TIMEOUT_S = 0.4
# A takeover takes tens of milliseconds after the directory shows the new owner.
UNREACHABLE_AFTER_S = 0.7


class OwnerProbe:
    """Pings the owner of each shard periodically.

    Args:
        shards: number of shards.
        owned_shards: shards that this process owns.
        directory: owners of the other shards.
        client: sends the pings.
        clocks: the process's clocks.
    """

    def __init__(
        self,
        shards: int,
        owned_shards: OwnedShards,
        directory: NodeDirectory,
        client: EdgeClient,
        clocks: Clocks,
    ) -> None:
        self._shards = shards
        self._owned_shards = owned_shards
        self._directory = directory
        self._client = client
        self._clocks = clocks
        self._failing_since_by_shard: dict[int, float] = {}
        self._log = Log("probe")

    async def run(self) -> None:
        """Pings until cancelled."""
        while True:
            await asyncio.gather(*(self._probe(shard) for shard in range(self._shards)))
            await asyncio.sleep(PROBE_INTERVAL_S)

    def is_reachable(self, shard: int) -> bool:
        """Whether requests may be sent to the owner of a shard."""
        return self.failing_s(shard) < UNREACHABLE_AFTER_S

    def failing_s(self, shard: int) -> float:
        """Returns the seconds for which pings to the owner have failed; 0 if they succeed."""
        since = self._failing_since_by_shard.get(shard)
        return 0.0 if since is None else self._clocks.monotonic_s() - since

    def are_all_reachable(self) -> bool:
        """Whether the owner of every shard is reachable; ignores shards without an owner."""
        return all(self.is_reachable(shard) for shard in range(self._shards))

    async def _probe(self, shard: int) -> None:
        owner = self._directory.owner(shard)
        if owner is None or self._owned_shards.serving_term(shard) is not None:
            self._record_ping(shard, True)
            return
        address = owner.record.address
        self._record_ping(shard, await self._client.ping(address, shard, PROBE_TIMEOUT_S))

    def _record_ping(self, shard: int, has_replied: bool) -> None:
        since = self._failing_since_by_shard.get(shard)
        if has_replied and since is not None:
            del self._failing_since_by_shard[shard]
            failing_s = round(self._clocks.monotonic_s() - since, 2)
            self._log.info("owner replies again", shard=shard, failing_s=failing_s)
        elif not has_replied and since is None:
            self._failing_since_by_shard[shard] = self._clocks.monotonic_s()
            self._log.warning("owner did not reply to a ping", shard=shard)
