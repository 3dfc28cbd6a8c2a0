"""The shards that this process owns at the moment."""

from pollengated.edge.clocks import Clocks
from pollengated.edge.shard_keeper import ShardKeeper
from pollengated.edge.shard_tenure import ShardTenure

__all__ = ["OwnedShards"]


class OwnedShards:
    """Finds the tenure of a shard.

    Args:
        clocks: the process's clocks.
    """

    def __init__(self, clocks: Clocks) -> None:
        self._clocks = clocks
        self.keepers_by_shard: dict[int, ShardKeeper] = {}

    def serving(self, shard: int) -> ShardTenure | None:
        """Returns a shard's tenure if this process owns it and has read its records.

        None while the right is suspended: a successor may know better.
        """
        keeper = self.keepers_by_shard.get(shard)
        tenure = keeper.tenure if keeper is not None else None
        if tenure is None or not tenure.is_serving:
            return None
        return tenure if tenure.right.is_valid(self._clocks.steady()) else None
