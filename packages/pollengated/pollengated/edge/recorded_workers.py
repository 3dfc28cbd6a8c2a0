"""Durable list of the workers that may hold leases from a shard's owner.

A worker is recorded before it gets its first lease.
"""

from collections.abc import Callable, Iterable, Mapping

import msgspec
from pollengate.decoding import DocumentDecoder
from pollengate.store import Entry, Operation, Put
from pollengate.workflow.fleet import Fleet
from pollengate.workflow.keys import ROOT
from pollengate.workflow.leases import PreviousLeases
from result import Err

from pollengated.edge.committer import Committer, Record
from pollengated.logs import Log

__all__ = ["RecordedWorkers", "decode_recorded_workers", "load_recorded_workers"]


_ADDRESSES_DECODER = DocumentDecoder(dict[str, str])


def decode_recorded_workers(value: bytes) -> dict[str, str]:
    """Returns addresses by worker id; an empty dict if the record is malformed."""
    decoded = _ADDRESSES_DECODER.decode(value)
    if isinstance(decoded, Err):
        Log("roster").warning(
            "record of workers is unreadable; assuming that it lists none", cause=decoded.err_value
        )
        return {}
    return decoded.ok_value


def load_recorded_workers(
    entry: Entry | None, is_assigned_elsewhere: Callable[[str], bool]
) -> dict[str, str]:
    """Returns the addresses of the workers that may run tasks of a shard, by worker id.

    Args:
        entry: the stored list, None if there is none.
        is_assigned_elsewhere: returns whether a worker has been assigned to another shard.
    """
    addresses_by_id = {} if entry is None else decode_recorded_workers(entry.value)
    return {
        worker_id: address
        for worker_id, address in addresses_by_id.items()
        if not is_assigned_elsewhere(worker_id)
    }


class RecordedWorkers:
    """Durable list of the workers that may run tasks of a shard.

    From it the next owner learns of workers that are no longer registered but may still run tasks.

    Args:
        shard: number of the shard.
        committer: writes the list.
        fleet: workers of the shard.
        addresses_by_id: addresses by worker id, as recorded by an earlier owner.

    Attributes:
        addresses_by_id: addresses of all recorded workers, and of those whose record is pending.
    """

    def __init__(
        self, shard: int, committer: Committer, fleet: Fleet, addresses_by_id: Mapping[str, str]
    ) -> None:
        self.shard = shard
        self._committer = committer
        self._fleet = fleet
        self.addresses_by_id = dict(addresses_by_id)

    @staticmethod
    def key_of(shard: int) -> str:
        """Returns the store key of a shard's list."""
        return f"{ROOT}roster/{shard}"

    def add_to_fleet(
        self, lowest_token: Callable[[str], int], now: float, previous_leases: PreviousLeases
    ) -> None:
        """Adds the workers that an earlier owner recorded to the fleet, at a takeover.

        Args:
            lowest_token: returns the lowest fencing token that a worker accepts.
            now: clock time.
            previous_leases: when the leases of earlier owners have expired.
        """
        for worker_id, address in self.addresses_by_id.items():
            self._fleet.add_recorded(worker_id, address, now, previous_leases)
            self._fleet.workers_by_id[worker_id].lowest_token = lowest_token(worker_id)

    def update(self) -> None:
        """Queues a new record if the workers of the fleet have changed.

        The fleet contains workers that left until all their runs are gone.
        """
        views = self._fleet.workers_by_id.values()
        wanted = {view.worker_id: view.info.address for view in views}
        if wanted != self.addresses_by_id:
            self.addresses_by_id = wanted
            self._committer.add(_RecordedWorkersRecord(self))

    def mark_recorded(self, worker_ids: Iterable[str]) -> None:
        """Marks workers as recorded when the record that lists them is durable."""
        for worker_id in worker_ids:
            view = self._fleet.workers_by_id.get(worker_id)
            if view is not None:
                view.is_recorded = True


class _RecordedWorkersRecord(Record):
    def __init__(self, recorded_workers: RecordedWorkers) -> None:
        self.key = RecordedWorkers.key_of(recorded_workers.shard)
        self._recorded_workers = recorded_workers
        self._written: tuple[str, ...] = ()

    def operation(self) -> Operation:
        self._written = tuple(self._recorded_workers.addresses_by_id)
        return Put(self.key, msgspec.json.encode(self._recorded_workers.addresses_by_id))

    def on_committed(self) -> None:
        self._recorded_workers.mark_recorded(self._written)
