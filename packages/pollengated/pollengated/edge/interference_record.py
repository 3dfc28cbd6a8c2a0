"""Stores the learned odds of interference between images for the next owner of the shard."""

import msgspec
from pollengate.store import Operation, Put
from pollengate.workflow.colocation import ColocationModel, LogOddsByImage
from pollengate.workflow.keys import interference_record_key

from pollengated.edge.committer import Committer, Record
from pollengated.logs import Log

__all__ = ["InterferenceRecorder", "load_interference_record"]

# The next owner learns later changes itself; the interference of a pair shows within some seconds.
RECORD_INTERVAL_S = 2.0
# Other shards ignore a record that has not changed for 30 s, so an unchanged one is written again
# often enough that two writes may fail.
REFRESH_INTERVAL_S = 10.0


def load_interference_record(value: bytes, colocation: ColocationModel) -> None:
    """Loads the record of an earlier owner into the model; ignores a malformed record."""
    try:
        colocation.load(msgspec.json.decode(value, type=LogOddsByImage))
    except msgspec.MsgspecError as error:
        Log("beliefs").warning(
            "interference record is unreadable; starting without it", cause=str(error)
        )


class InterferenceRecorder:
    """Writes the interference record periodically if the odds have changed.

    Args:
        shard: number of the shard.
        colocation: the learned odds.
        committer: writes the record.
        is_shared: whether other shards use the record while it is fresh, so that it is also written
            if the odds have not changed.
    """

    def __init__(
        self,
        shard: int,
        colocation: ColocationModel,
        committer: Committer,
        is_shared: bool = False,
    ) -> None:
        self._record = _InterferenceRecord(shard, colocation)
        self._colocation = colocation
        self._committer = committer
        self._recorded: dict[str, dict[str, float]] = {}
        self._refresh_s = REFRESH_INTERVAL_S if is_shared else float("inf")
        self._checked_at = float("-inf")
        self._recorded_at = float("-inf")

    def update(self, now: float) -> None:
        """Queues the record if the interval has passed and the last record differs or is stale."""
        if now - self._checked_at < RECORD_INTERVAL_S:
            return
        self._checked_at = now
        current = self._colocation.export()
        is_stale = bool(current) and now - self._recorded_at >= self._refresh_s
        if current != self._recorded or is_stale:
            self._recorded = current
            self._recorded_at = now
            self._committer.add(self._record)


class _InterferenceRecord(Record):
    def __init__(self, shard: int, colocation: ColocationModel) -> None:
        self.key = interference_record_key(shard)
        self._colocation = colocation

    def operation(self) -> Operation:
        return Put(self.key, msgspec.json.encode(self._colocation.export()))
