"""Durable list of the start orders without a response, for the next owner of a shard.

The next owner learns from it which tasks may still be started by an order of the owner before.
"""

import msgspec
from pollengate.decoding import Amount, DocumentDecoder
from pollengate.store import Entry, Operation, Put
from pollengate.workflow.fleet import Fleet
from pollengate.workflow.keys import unanswered_starts_key
from pollengate.workflow.unanswered_starts import (
    MAX_ORDER_DELAY_S,
    UnansweredStart,
    UnansweredStarts,
)
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import Committer, Record
from pollengated.logs import Log

__all__ = ["UnansweredStartRecords"]

# The time that is left is written anew at this interval, so that the waits of a series of owners
# add up to little more than that of the first one.
REWRITE_INTERVAL_S = 1.0


class _Row(msgspec.Struct, array_like=True):
    """The unanswered orders for one run, see `UnansweredStart`.

    Attributes:
        left_ms: time in which they may still be carried out, from when the list was written.
    """

    task: str
    worker_id: str
    run: Amount
    orders: Amount
    left_ms: Amount
    is_released: bool = False
    born_ms: Amount = 0


_DECODER = DocumentDecoder(list[_Row])


class UnansweredStartRecords:
    """Durable list of the start orders without a response.

    Args:
        shard: number of the shard.
        committer: writes the list.
        starts: the orders.
        clocks: the process's clocks.
    """

    def __init__(
        self, shard: int, committer: Committer, starts: UnansweredStarts, clocks: Clocks
    ) -> None:
        self._shard = shard
        self._committer = committer
        self._starts = starts
        self._clocks = clocks
        self._queued_version = starts.version
        self._queued_at = clocks.monotonic_s()

    def load(self, entry: Entry | None, acquired_at: float) -> None:
        """Adds the orders of earlier owners that may still be carried out.

        Args:
            entry: the stored list, None if there is none.
            acquired_at: clock time at which this process acquired the shard; the list was written
                before.
        """
        decoded = _DECODER.decode(entry.value) if entry is not None else None
        if isinstance(decoded, Err):
            Log("roster").warning(
                "record of unanswered starts is unreadable; assuming that it lists none",
                cause=decoded.err_value,
            )
        for row in (decoded.ok() if decoded is not None else None) or []:
            arrives_by = acquired_at + min(MAX_ORDER_DELAY_S, row.left_ms / 1000)
            self._starts.restore(
                UnansweredStart(
                    row.task,
                    row.worker_id,
                    row.run,
                    row.orders,
                    arrives_by,
                    row.is_released,
                    row.born_ms,
                )
            )
        self._queued_version = self._starts.version

    def add_in_flight(self, fleet: Fleet) -> None:
        """Adds the orders that wait for a response, which may come too late to be recorded."""
        now = self._clocks.monotonic_s()
        for view in fleet.workers_by_id.values():
            for run in view.runs.values():
                if run.replied_at is None and run.order_token:
                    self._starts.record(run, now)

    def update(self) -> None:
        """Forgets what no longer matters, and writes the list if it has changed or is old."""
        now = self._clocks.monotonic_s()
        self._starts.forget_arrived(now)
        is_old = bool(self._starts) and now - self._queued_at >= REWRITE_INTERVAL_S
        if self._starts.version != self._queued_version or is_old:
            self._queued_version, self._queued_at = self._starts.version, now
            self._committer.add(_UnansweredStartsRecord(self._shard, self._starts, self._clocks))


class _UnansweredStartsRecord(Record):
    def __init__(self, shard: int, starts: UnansweredStarts, clocks: Clocks) -> None:
        self.key = unanswered_starts_key(shard)
        self._starts = starts
        self._clocks = clocks

    def operation(self) -> Operation:
        now = self._clocks.monotonic_s()
        rows = [
            _Row(
                s.task,
                s.worker_id,
                s.run,
                s.orders,
                max(0, int((s.arrives_by - now) * 1000)),
                s.is_released,
                s.born_ms,
            )
            for s in self._starts.list_all()
        ]
        return Put(self.key, msgspec.json.encode(rows))
