"""Stores the learned odds of interference between images for the next owner of the shard."""

import msgspec
from pollengate.store import Operation, Put
from pollengate.workflow.colocation import ColocationModel
from pollengate.workflow.keys import interference_record_key

from pollengated.edge.committer import Committer, Record
from pollengated.logs import Log

__all__ = ["InterferenceRecorder", "load_interference_record"]

# The next owner learns later changes itself; the interference of a pair shows within some seconds.
RECORD_INTERVAL_S = 2.0


def load_interference_record(value: bytes, colocation: ColocationModel) -> None:
    """Loads the record of an earlier owner into the model; ignores a malformed record."""
    try:
        colocation.load(msgspec.json.decode(value, type=dict[str, dict[str, float]]))
    except msgspec.MsgspecError as error:
        Log("beliefs").warning(
            "interference record is unreadable; starting without it", cause=str(error)
        )


class InterferenceRecorder:
    """Writes the interference record periodically if the odds have changed."""

    def __init__(self, shard: int, colocation: ColocationModel, committer: Committer) -> None:
        self._record = _InterferenceRecord(shard, colocation)
        self._colocation = colocation
        self._committer = committer
        self._recorded: dict[str, dict[str, float]] = {}
        self._recorded_at = float("-inf")

    def update(self, now: float) -> None:
        """Queues the record if the interval has passed and the odds differ from the last record."""
        if now - self._recorded_at < RECORD_INTERVAL_S:
            return
        self._recorded_at = now
        current = self._colocation.export()
        if current != self._recorded:
            self._recorded = current
            self._committer.add(self._record)


class _InterferenceRecord(Record):
    def __init__(self, shard: int, colocation: ColocationModel) -> None:
        self.key = interference_record_key(shard)
        self._colocation = colocation

    def operation(self) -> Operation:
        return Put(self.key, msgspec.json.encode(self._colocation.export()))
