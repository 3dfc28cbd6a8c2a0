"""The workers that may hold leases of a shard's owner, recorded before any of them gets one."""

from collections.abc import Iterable

import msgspec
from pollengate.store import Operation, Put
from pollengate.workflow.fleet import Fleet
from pollengate.workflow.keys import ROOT

from pollengated.edge.committer import Committer, Record
from pollengated.logs import Log

__all__ = ["Roster", "decode_roster"]


def decode_roster(value: bytes) -> dict[str, str]:
    """Decodes addresses by worker id; an unreadable record names none."""
    try:
        return msgspec.json.decode(value, type=dict[str, str])
    except msgspec.MsgspecError as error:
        Log("roster").warning("record is unreadable", cause=str(error))
        return {}


class Roster:
    """Tells a successor which workers may run tasks that the registry does not list any more.

    Attributes:
        inherited: workers that an earlier owner recorded.
        addresses_by_id: all that are recorded.
    """

    def __init__(
        self, shard: int, committer: Committer, fleet: Fleet, recorded: dict[str, str]
    ) -> None:
        self.shard = shard
        self._committer = committer
        self._fleet = fleet
        self.inherited = frozenset(recorded)
        self.addresses_by_id = dict(recorded)

    @staticmethod
    def key_of(shard: int) -> str:
        """Returns the key of a shard's roster."""
        return f"{ROOT}roster/{shard}"

    def update(self) -> None:
        """Records the workers of the fleet; those that left stay until their runs are gone."""
        views = self._fleet.workers_by_id.values()
        wanted = {view.worker_id: view.info.address for view in views}
        if wanted != self.addresses_by_id:
            self.addresses_by_id = wanted
            self._committer.add(_RosterRecord(self))

    def committed(self, worker_ids: Iterable[str]) -> None:
        """Takes in which workers the durable record names."""
        for worker_id in worker_ids:
            view = self._fleet.workers_by_id.get(worker_id)
            if view is not None:
                view.is_recorded = True


class _RosterRecord(Record):
    def __init__(self, roster: Roster) -> None:
        self.key = Roster.key_of(roster.shard)
        self._roster = roster
        self._written: tuple[str, ...] = ()

    def operation(self) -> Operation:
        self._written = tuple(self._roster.addresses_by_id)
        return Put(self.key, msgspec.json.encode(self._roster.addresses_by_id))

    def committed(self) -> None:
        self._roster.committed(self._written)
