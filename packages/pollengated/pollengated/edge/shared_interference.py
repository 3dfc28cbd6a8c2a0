"""Reads what the owners of other shards have learned about interference."""

import asyncio
import dataclasses
from collections.abc import Iterable

from pollengate.interference.latency_model import EstimateByImages, LatencyModel
from pollengate.store import Entry, PolledStore, StoreFailure
from pollengate.workflow.keys import INTERFERENCE_RECORD_PREFIX
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.interference_record import decode_estimates
from pollengated.logs import Log

__all__ = ["MAX_AGE_S", "READ_INTERVAL_S", "SharedInterference"]

# Owners write their records at most this often.
READ_INTERVAL_S = 2.0
# A record that has not changed for this long is not used: its shard has no owner, or its owner does
# not reach the store. Longer than a takeover, so that evidence does not come and go.
MAX_AGE_S = 30.0


@dataclasses.dataclass(slots=True)
class _ShardRecord:
    """Newest record of a shard.

    Attributes:
        revision: store revision of the newest record, also if that is malformed.
        changed_at: clock time at which the newest readable record was first read.
        estimates: its content.
    """

    revision: int
    changed_at: float = float("-inf")
    estimates: EstimateByImages = dataclasses.field(default_factory=dict)


class SharedInterference:
    """Gives the model the evidence of other shards while their records are fresh.

    Ages are counted on the clock of this process from when it first read a revision, so that clocks
    of other processes do not matter.

    Args:
        shard: shard of the owner that uses the evidence.
        shards: number of shards.
        store: the platform's store.
        latency_model: the owner's model.
        clocks: the process's clocks.
        metrics: metrics of this process.
    """

    def __init__(
        self,
        shard: int,
        shards: int,
        store: PolledStore,
        latency_model: LatencyModel,
        clocks: Clocks,
        metrics: EdgeMetrics,
    ) -> None:
        self._shard = shard
        self._shard_by_key = {
            f"{INTERFERENCE_RECORD_PREFIX}{other}": other
            for other in range(shards)
            if other != shard
        }
        self._store = store
        self._latency_model = latency_model
        self._clocks = clocks
        self._metrics = metrics
        self._record_by_shard: dict[int, _ShardRecord] = {}
        self._merged_at_by_shard: dict[int, float] = {}
        self._is_failing = False
        self._log = Log("beliefs")

    async def run(self) -> None:
        """Reads the records periodically until cancelled."""
        while True:
            await self.update()
            await asyncio.sleep(READ_INTERVAL_S)

    async def update(self) -> None:
        """Reads the records once; if that fails, the last ones are used while they are fresh."""
        requested_at = self._clocks.monotonic_s()
        listing = await self._store.list_stale(INTERFERENCE_RECORD_PREFIX)
        if isinstance(listing, Err):
            self._handle_failure(listing.err_value)
        else:
            self._is_failing = False
            self._apply(listing.ok_value.entries, requested_at)
        self._merge(self._clocks.monotonic_s())

    def _apply(self, entries: Iterable[Entry], now: float) -> None:
        for entry in entries:
            shard = self._shard_by_key.get(entry.key)
            if shard is None:
                continue
            record = self._record_by_shard.setdefault(shard, _ShardRecord(0))
            # A stale read may also return an older record than the one before.
            if entry.revision <= record.revision:
                continue
            record.revision = entry.revision
            decoded = decode_estimates(entry.value)
            if not isinstance(decoded, Err):
                record.estimates = decoded.ok_value
                record.changed_at = now
            else:
                self._log.warning(
                    "interference record of another shard is unreadable; ignoring it",
                    shard=self._shard,
                    other=shard,
                    cause=decoded.err_value,
                )

    def _merge(self, now: float) -> None:
        """Replaces the evidence in the model if a record has changed or is no longer fresh."""
        fresh = {
            shard: record
            for shard, record in self._record_by_shard.items()
            if now - record.changed_at < MAX_AGE_S
        }
        changed_at_by_shard = {shard: record.changed_at for shard, record in fresh.items()}
        if changed_at_by_shard == self._merged_at_by_shard:
            return
        pairs = self._latency_model.replace_others(record.estimates for record in fresh.values())
        self._metrics.merged_interference_records.inc(
            len(changed_at_by_shard.items() - self._merged_at_by_shard.items())
        )
        self._metrics.shared_interference_pairs.labels(str(self._shard)).set(pairs)
        if changed_at_by_shard.keys() != self._merged_at_by_shard.keys():
            self._log.info(
                "using what other shards learned about interference",
                shard=self._shard,
                others=sorted(fresh),
                pairs=pairs,
            )
        self._merged_at_by_shard = changed_at_by_shard

    def _handle_failure(self, failure: StoreFailure) -> None:
        if not self._is_failing:
            self._is_failing = True
            self._log.warning(
                "cannot read what other shards learned about interference",
                shard=self._shard,
                kind=failure.kind.value,
                cause=failure.detail,
            )
