"""The shards that this process owns at present."""

from pollengate.workflow.shard_room import RoomSummary

from pollengated.edge.clocks import Clocks
from pollengated.edge.shard_elector import ShardElector
from pollengated.edge.shard_term import ShardTerm

__all__ = ["OwnedShards"]


class OwnedShards:
    """Finds the ownership term of a shard in this process.

    Args:
        clocks: the process's clocks.

    Attributes:
        electors_by_shard: the elector of each shard.
    """

    def __init__(self, clocks: Clocks) -> None:
        self._clocks = clocks
        self.electors_by_shard: dict[int, ShardElector] = {}

    def served_shards(self) -> list[int]:
        """Returns the numbers of the shards that this process serves."""
        return [shard for shard in self.electors_by_shard if self.serving_term(shard) is not None]

    def rooms_by_shard(self) -> dict[int, dict[str, RoomSummary]]:
        """Returns the room by service in each shard that this process serves."""
        now = self._clocks.monotonic_s()
        rooms: dict[int, dict[str, RoomSummary]] = {}
        for shard in self.electors_by_shard:
            term = self.serving_term(shard)
            if term is not None:
                rooms[shard] = term.request_handler.offered_room(now)
        return rooms

    def serving_term(self, shard: int) -> ShardTerm | None:
        """Returns the term of a shard if this process owns it and has loaded its records.

        Returns None while the lease is not valid, since there may be a new owner.
        """
        elector = self.electors_by_shard.get(shard)
        term = elector.term if elector is not None else None
        if term is None or not term.is_serving:
            return None
        return term if term.shard_lease.is_valid(self._clocks.monotonic_s()) else None
