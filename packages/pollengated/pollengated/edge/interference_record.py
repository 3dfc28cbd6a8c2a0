"""Stores what was learned about interference between images for the next owner of the shard."""

import msgspec
from pollengate.decoding import MAX_NUMBER, DocumentDecoder
from pollengate.interference.latency_model import EstimateByImages, LatencyModel
from pollengate.store import Operation, Put
from pollengate.workflow.keys import interference_record_key
from result import Err, Result

from pollengated.edge.committer import Committer, Record
from pollengated.logs import Log

__all__ = ["InterferenceRecorder", "decode_estimates", "load_interference_record"]

# The next owner learns later changes itself; the interference of a pair shows within some seconds.
RECORD_INTERVAL_S = 2.0
# Other shards ignore a record that has not changed for 30 s, so an unchanged one is written again
# often enough that two writes may fail.
REFRESH_INTERVAL_S = 10.0


_ESTIMATES_DECODER = DocumentDecoder(EstimateByImages)


def decode_estimates(value: bytes) -> Result[EstimateByImages, str]:
    """Decodes a record; the error says why it cannot be used."""
    decoded = _ESTIMATES_DECODER.decode(value)
    if isinstance(decoded, Err):
        return decoded
    for estimate_by_filler in decoded.ok_value.values():
        for mean, variance in estimate_by_filler.values():
            if abs(mean) > MAX_NUMBER or not 0 <= variance <= MAX_NUMBER:
                return Err("an estimate is out of range")
    return decoded


def load_interference_record(value: bytes, latency_model: LatencyModel) -> None:
    """Loads the record of an earlier owner into the model; ignores a malformed record."""
    decoded = decode_estimates(value)
    if isinstance(decoded, Err):
        Log("beliefs").warning(
            "interference record is unreadable; starting without it", cause=decoded.err_value
        )
    else:
        latency_model.load(decoded.ok_value)


class InterferenceRecorder:
    """Writes the interference record periodically if it has changed.

    Args:
        shard: number of the shard.
        latency_model: what was learned.
        committer: writes the record.
        is_shared: whether other shards use the record while it is fresh, so that it is also written
            if it has not changed.
    """

    def __init__(
        self,
        shard: int,
        latency_model: LatencyModel,
        committer: Committer,
        is_shared: bool = False,
    ) -> None:
        self._record = _InterferenceRecord(shard, latency_model)
        self._latency_model = latency_model
        self._committer = committer
        self._recorded: EstimateByImages = {}
        self._refresh_s = REFRESH_INTERVAL_S if is_shared else float("inf")
        self._checked_at = float("-inf")
        self._recorded_at = float("-inf")

    def update(self, now: float) -> None:
        """Queues the record if the interval has passed and the last record differs or is stale."""
        if now - self._checked_at < RECORD_INTERVAL_S:
            return
        self._checked_at = now
        current = self._latency_model.export()
        is_stale = bool(current) and now - self._recorded_at >= self._refresh_s
        if current != self._recorded or is_stale:
            self._recorded = current
            self._recorded_at = now
            self._committer.add(self._record)


class _InterferenceRecord(Record):
    def __init__(self, shard: int, latency_model: LatencyModel) -> None:
        self.key = interference_record_key(shard)
        self._latency_model = latency_model

    def operation(self) -> Operation:
        return Put(self.key, msgspec.json.encode(self._latency_model.export()))
