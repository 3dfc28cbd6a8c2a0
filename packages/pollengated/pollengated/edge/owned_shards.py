"""The shards that this process owns at the moment."""

from pollengated.edge.clocks import Clocks
from pollengated.edge.shard_elector import ShardElector
from pollengated.edge.shard_term import ShardTerm

__all__ = ["OwnedShards"]


class OwnedShards:
    """Finds the tenure of a shard.

    Args:
        clocks: the process's clocks.
    """

    def __init__(self, clocks: Clocks) -> None:
        self._clocks = clocks
        self.electors_by_shard: dict[int, ShardElector] = {}

    def serving_term(self, shard: int) -> ShardTerm | None:
        """Returns a shard's tenure if this process owns it and has read its records.

        None while the right is suspended: a successor may know better.
        """
        elector = self.electors_by_shard.get(shard)
        term = elector.term if elector is not None else None
        if term is None or not term.is_serving:
            return None
        return term if term.shard_lease.is_valid(self._clocks.monotonic_s()) else None
