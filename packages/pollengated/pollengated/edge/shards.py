"""The shards that this process owns at the moment."""

from pollengated.edge.clocks import Clocks
from pollengated.edge.shard_keeper import ShardKeeper
from pollengated.edge.shard_term import ShardTerm

__all__ = ["OwnedShards"]


class OwnedShards:
    """Finds the tenure of a shard.

    Args:
        clocks: the process's clocks.
    """

    def __init__(self, clocks: Clocks) -> None:
        self._clocks = clocks
        self.keepers_by_shard: dict[int, ShardKeeper] = {}

    def serving(self, shard: int) -> ShardTerm | None:
        """Returns a shard's tenure if this process owns it and has read its records.

        None while the right is suspended: a successor may know better.
        """
        keeper = self.keepers_by_shard.get(shard)
        term = keeper.term if keeper is not None else None
        if term is None or not term.is_serving:
            return None
        return term if term.right.is_valid(self._clocks.steady()) else None
