"""Durable list of the worker incarnations whose leases all end by their own clocks.

An order that was meant for one incarnation of a worker may give the next one a lease of the longest
length that the worker accepts. From this list the next owner of the shard learns on which workers
it need not wait for such leases.
"""

import msgspec
from pollengate.decoding import Amount, DocumentDecoder
from pollengate.store import Entry, Operation, Put
from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.keys import settled_incarnations_key
from pollengate.workflow.leases import WORKER_LEASE_S, PreviousLeases
from pollengate.workflow.settings import Bounds
from pollengate.workflow.shard_lease import previous_leases
from result import Err

from pollengated.edge.committer import Committer, Record
from pollengated.logs import Log

__all__ = ["SettledIncarnations", "load_previous_leases"]

# Registrations are renewed about once a second.
UPDATE_INTERVAL_S = 0.5

_DECODER = DocumentDecoder(dict[str, Amount])


def load_previous_leases(entry: Entry | None, acquired_at: float, bounds: Bounds) -> PreviousLeases:
    """Returns when the leases of earlier owners have expired.

    Args:
        entry: the stored list, None if there is none.
        acquired_at: clock time at which this process acquired the shard.
        bounds: limits and durations of the platform.
    """
    return previous_leases(
        acquired_at,
        min(WORKER_LEASE_S, bounds.max_worker_lease_s),
        bounds.max_worker_lease_s,
        bounds.registration_timeout_s,
        _decode_born_by_id(entry),
    )


def _decode_born_by_id(entry: Entry | None) -> dict[str, int]:
    decoded = _DECODER.decode(entry.value) if entry is not None else None
    if isinstance(decoded, Err):
        Log("roster").warning(
            "record of incarnations is unreadable; assuming that it lists none",
            cause=decoded.err_value,
        )
    return (decoded.ok() if decoded is not None else None) or {}


class SettledIncarnations:
    """Durable list of the incarnations on which all leases are known to end by their own clocks.

    Args:
        shard: number of the shard.
        committer: writes the list.
        fleet: workers of the shard.
        previous_leases: has the list of an earlier owner.

    Attributes:
        born_by_id: start of the incarnations in Unix milliseconds, by worker id.
    """

    def __init__(
        self, shard: int, committer: Committer, fleet: Fleet, previous_leases: PreviousLeases
    ) -> None:
        self.shard = shard
        self.born_by_id = dict(previous_leases.settled_born_by_id)
        self._committer = committer
        self._fleet = fleet
        self._update_at = float("-inf")

    def update(self, now: float) -> None:
        """Queues a new record if the list has changed by clock time `now`, twice a second."""
        if now < self._update_at:
            return
        self._update_at = now + UPDATE_INTERVAL_S
        wanted = {
            worker_id: born_ms
            for worker_id, view in self._fleet.workers_by_id.items()
            if (born_ms := self._settled_born_ms(view, now))
        }
        if wanted != self.born_by_id:
            self.born_by_id = wanted
            self._committer.add(_SettledIncarnationsRecord(self))

    def _settled_born_ms(self, view: WorkerView, now: float) -> int:
        """Returns the start of a worker's incarnation if it is settled, 0 otherwise."""
        if view.is_attached and view.lease.is_settled(now):
            return view.born_ms
        listed_ms = self.born_by_id.get(view.worker_id, 0)
        is_same = view.born_ms in (0, listed_ms) and view.info.born_ms in (0, listed_ms)
        # A response may have shown another incarnation that has not reported or registered yet.
        is_known_settled = not view.born_ms or view.lease.is_settled(now)
        return listed_ms if is_same and is_known_settled else 0


class _SettledIncarnationsRecord(Record):
    def __init__(self, incarnations: SettledIncarnations) -> None:
        self.key = settled_incarnations_key(incarnations.shard)
        self._incarnations = incarnations

    def operation(self) -> Operation:
        return Put(self.key, msgspec.json.encode(self._incarnations.born_by_id))
