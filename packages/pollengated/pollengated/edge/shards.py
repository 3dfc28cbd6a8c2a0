"""The shards that this process owns at the moment."""

from pollengated.edge.shard_keeper import ShardKeeper
from pollengated.edge.shard_tenure import ShardTenure

__all__ = ["OwnedShards"]


class OwnedShards:
    """Finds the tenure of a shard."""

    def __init__(self) -> None:
        self.keepers_by_shard: dict[int, ShardKeeper] = {}

    def serving(self, shard: int) -> ShardTenure | None:
        """Returns a shard's tenure if this process owns it and has read its records."""
        keeper = self.keepers_by_shard.get(shard)
        tenure = keeper and keeper.tenure
        return tenure if tenure and tenure.is_serving and not tenure.right.is_lost else None
