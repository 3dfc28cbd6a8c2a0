"""Checks whether the owners of shards are reachable from this process.

If this process is cut off from an owner, requests for its shard are refused at once, before
anything is sent, and the readiness check fails so that the platform sends clients elsewhere.

Each owner sends heartbeats over one stream to each other process, whichever number of shards it
owns. A heartbeat costs one message, without the call that a ping takes.
"""

import asyncio
import dataclasses
from collections.abc import Iterable

from pollengated.edge.clocks import Clocks
from pollengated.edge.node_directory import NodeDirectory, Owner
from pollengated.edge.owned_shards import OwnedShards
from pollengated.edge.rpc import HEARTBEAT_INTERVAL_S, EdgeClient
from pollengated.logs import Log

__all__ = ["OwnerProbe"]

CHECK_INTERVAL_S = 0.4
# A heartbeat takes a few milliseconds, but longer if the owner is under load.
HEARTBEAT_TIMEOUT_S = HEARTBEAT_INTERVAL_S + 0.4
# A takeover takes tens of milliseconds after the directory shows the new owner.
UNREACHABLE_AFTER_S = 0.7


@dataclasses.dataclass(slots=True)
class _Subscription:
    """A stream of heartbeats from one process.

    Attributes:
        task: reads the stream until it fails.
        renewed_at: clock time of the last heartbeat, or of the request for the stream.
    """

    task: asyncio.Task[None]
    renewed_at: float


class OwnerProbe:
    """Follows the heartbeats of the owners of all shards.

    Args:
        shards: number of shards.
        owned_shards: shards that this process owns.
        directory: owners of the other shards.
        client: requests the heartbeats.
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
        self._confirmed_at_by_shard = dict.fromkeys(range(shards), clocks.monotonic_s())
        self._subscriptions_by_address: dict[str, _Subscription] = {}
        self._failing_shards: set[int] = set()
        self._log = Log("probe")

    async def run(self) -> None:
        """Follows the owners until cancelled."""
        try:
            while True:
                self._check()
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for subscription in self._subscriptions_by_address.values():
                subscription.task.cancel()

    def is_reachable(self, shard: int) -> bool:
        """Whether requests may be sent to the owner of a shard."""
        return self.failing_s(shard) < UNREACHABLE_AFTER_S

    def failing_s(self, shard: int) -> float:
        """Returns the seconds for which heartbeats of the owner are overdue; 0 if they are not."""
        silent_s = self._clocks.monotonic_s() - self._confirmed_at_by_shard[shard]
        return max(0.0, silent_s - HEARTBEAT_TIMEOUT_S)

    def are_all_reachable(self) -> bool:
        """Whether the owner of every shard is reachable; ignores shards without an owner."""
        return all(self.is_reachable(shard) for shard in range(self._shards))

    def _check(self) -> None:
        """Subscribes to the present owners and logs changes of their reachability."""
        owners_by_shard = {shard: self._other_owner(shard) for shard in range(self._shards)}
        now = self._clocks.monotonic_s()
        for shard, owner in owners_by_shard.items():
            if owner is None:
                self._confirmed_at_by_shard[shard] = now
            self._log_change(shard)
        addresses = {owner.record.address for owner in owners_by_shard.values() if owner}
        for address, subscription in list(self._subscriptions_by_address.items()):
            is_overdue = now - subscription.renewed_at > HEARTBEAT_TIMEOUT_S
            if address not in addresses or is_overdue or subscription.task.done():
                subscription.task.cancel()
                del self._subscriptions_by_address[address]
        for address in addresses - self._subscriptions_by_address.keys():
            task = asyncio.create_task(self._follow(address))
            self._subscriptions_by_address[address] = _Subscription(task, now)

    def _other_owner(self, shard: int) -> Owner | None:
        """Returns the owner of a shard if it is another process."""
        if self._owned_shards.serving_term(shard) is not None:
            return None
        return self._directory.owner(shard)

    async def _follow(self, address: str) -> None:
        """Applies the heartbeats of a process until their stream ends."""

        def confirm(served_shards: Iterable[int]) -> None:
            now = self._clocks.monotonic_s()
            subscription = self._subscriptions_by_address.get(address)
            if subscription is not None:
                subscription.renewed_at = now
            for shard in served_shards:
                owner = self._directory.owner(shard)
                if owner is not None and owner.record.address == address:
                    self._confirmed_at_by_shard[shard] = now

        failure = await self._client.follow_heartbeats(address, confirm)
        self._log.info("heartbeats of an owner ended", address=address, cause=failure.detail)

    def _log_change(self, shard: int) -> None:
        failing_s = self.failing_s(shard)
        if failing_s and shard not in self._failing_shards:
            self._failing_shards.add(shard)
            self._log.warning("heartbeat of an owner is overdue", shard=shard)
        elif not failing_s and shard in self._failing_shards:
            self._failing_shards.remove(shard)
            self._log.info("owner is reachable again", shard=shard)
