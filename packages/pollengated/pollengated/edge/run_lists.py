"""Durable lists of what may run on workers that get no starts, for the next owner of a shard.

A successor has to assume that each restored task may run on a recorded worker that does not reply.
The list of a worker names the only tasks that may run there. No run is started on a listed worker,
so that a list stays complete until its removal is durable.
"""

import dataclasses
from collections.abc import Callable, Mapping

import msgspec
from pollengate.decoding import Amount, DocumentDecoder
from pollengate.store import Entry, Operation, Put
from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.keys import run_lists_key
from pollengate.workflow.stragglers import SILENT_AFTER_S
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import CommitNumber, Committer, Record
from pollengated.logs import Log

__all__ = ["RunLists", "decode_run_lists", "load_run_lists"]

# Above this number of tasks a handover lists silent workers only, so that the record stays small.
MAX_LISTED_TASKS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRunLists:
    """The record of a shard's lists.

    Attributes:
        term: number of the ownership term that wrote it. It holds only until the next term has
            committed, as an earlier version of the process does not remove lists.
        tasks_by_worker_id: names of the tasks that may run on each listed worker.
    """

    term: Amount
    tasks_by_worker_id: dict[str, list[str]]


_DECODER = DocumentDecoder(StoredRunLists)


def decode_run_lists(value: bytes) -> StoredRunLists | None:
    """Decodes a record of lists; returns None if it is malformed."""
    decoded = _DECODER.decode(value)
    if isinstance(decoded, Err):
        Log("roster").warning(
            "record of run lists is unreadable; assuming that it lists none",
            cause=decoded.err_value,
        )
        return None
    return decoded.ok_value


def load_run_lists(
    entry: Entry | None, previous_commit: CommitNumber | None
) -> dict[str, frozenset[str]]:
    """Returns the tasks that may run on each listed worker, by worker id.

    Args:
        entry: the stored lists, None if there are none.
        previous_commit: number of the shard's newest commit.
    """
    stored = None if entry is None else decode_run_lists(entry.value)
    if stored is None or previous_commit is None or stored.term != previous_commit.tenure:
        return {}
    return {worker_id: frozenset(tasks) for worker_id, tasks in stored.tasks_by_worker_id.items()}


@dataclasses.dataclass(slots=True)
class _RunList:
    """What may run on one worker.

    Attributes:
        replied_at: clock time of the worker's newest reply when it was listed.
        record_number: the list is written once all records up to this one are durable: a
            successor that reads it must also read the results that the worker reported before.
        tasks: names of the tasks.
        is_complete: whether this owner knows all runs on the worker.
    """

    replied_at: float
    record_number: int
    tasks: frozenset[str]
    is_complete: bool


class RunLists:
    """Lists what may run on silent workers, and in a handover on all workers.

    Args:
        shard: number of the shard.
        committer: writes the lists.
        fleet: workers of the shard.
        clocks: the process's clocks.
        leases_expire_at: returns the clock time by which all leases of earlier owners have expired
            on a worker.
        restored: the lists of the earlier owner.
    """

    def __init__(
        self,
        shard: int,
        committer: Committer,
        fleet: Fleet,
        clocks: Clocks,
        leases_expire_at: Callable[[WorkerView], float],
        restored: Mapping[str, frozenset[str]],
    ) -> None:
        self.shard = shard
        self._committer = committer
        self._fleet = fleet
        self._clocks = clocks
        self._leases_expire_at = leases_expire_at
        self._lists_by_id = {
            worker_id: _RunList(0.0, 0, tasks, False) for worker_id, tasks in restored.items()
        }
        self._possibly_stored_ids = set(restored)
        self._is_handing_over = False
        self.tasks_by_id: dict[str, frozenset[str]] = {}
        if restored:
            self._queue(dict(restored))
        self._block_starts()

    def update(self) -> None:
        """Lists workers that have become silent, and removes the lists of those that replied."""
        now = self._clocks.monotonic_s()
        for worker_id, run_list in list(self._lists_by_id.items()):
            view = self._fleet.workers_by_id.get(worker_id)
            if view is None or (_has_replied(view, run_list) and not self._is_handing_over):
                del self._lists_by_id[worker_id]
            elif not self._is_handing_over:
                self._shorten(run_list, view, now)
        for view in self._fleet.workers_by_id.values():
            if view.worker_id not in self._lists_by_id and self._is_silent(view, now):
                self._add(view)
        self._write_durable()

    def update_replying(self) -> None:
        """Removes the lists of workers that have replied, so that they get starts again."""
        views_by_id = self._fleet.workers_by_id
        if not self._is_handing_over and any(
            worker_id in views_by_id and _has_replied(views_by_id[worker_id], run_list)
            for worker_id, run_list in self._lists_by_id.items()
        ):
            self.update()

    @property
    def term_number(self) -> int:
        """Number of the ownership term."""
        return self._committer.term_number

    async def hand_over(self, timeout_s: float) -> None:
        """Lists what may run on any worker, once the owner starts no run any more.

        Args:
            timeout_s: longest wait until earlier records are durable, and again for the lists.
        """
        self._list_all()
        if await self._committer.wait_durable(self._committer.last_record_number, timeout_s):
            self.update()
            await self._committer.wait_durable(self._committer.last_record_number, timeout_s)

    def cancel_handover(self) -> None:
        """Removes the lists of workers that reply, so that they get starts again."""
        self._is_handing_over = False
        self.update()

    def _list_all(self) -> None:
        self.update()
        self._is_handing_over = True
        views = [
            view
            for view in self._fleet.workers_by_id.values()
            if view.worker_id not in self._lists_by_id and view.is_attached
        ]
        if sum(len(view.runs) for view in views) <= MAX_LISTED_TASKS:
            for view in views:
                self._add(view)

    def mark_possibly_stored(self, worker_ids: frozenset[str]) -> None:
        """Records that a commit with these lists is about to be sent."""
        self._possibly_stored_ids |= worker_ids
        self._block_starts()

    def mark_stored(self, worker_ids: frozenset[str]) -> None:
        """Records that exactly these workers are listed in the store."""
        self._possibly_stored_ids = set(worker_ids)
        self._block_starts()

    def _is_silent(self, view: WorkerView, now: float) -> bool:
        """Whether a worker that this owner knows does not reply, so that it gets no starts."""
        is_known = view.lease.replied_at > 0 or now >= self._leases_expire_at(view)
        is_failing = now < view.unavailable_until and now - view.lease.replied_at >= SILENT_AFTER_S
        return is_known and is_failing

    def _add(self, view: WorkerView) -> None:
        record_number = self._committer.last_record_number
        replied_at = view.lease.replied_at
        self._lists_by_id[view.worker_id] = _RunList(replied_at, record_number, _tasks(view), True)
        self._block_starts()

    def _shorten(self, run_list: _RunList, view: WorkerView, now: float) -> None:
        """Removes the tasks whose runs have ended with the worker's lease."""
        if run_list.is_complete or now >= self._leases_expire_at(view):
            run_list.is_complete = True
            run_list.tasks &= _tasks(view)

    def _write_durable(self) -> None:
        durable_number = self._committer.durable_record_number
        wanted = {
            worker_id: run_list.tasks
            for worker_id, run_list in self._lists_by_id.items()
            if run_list.record_number <= durable_number
        }
        if wanted != self.tasks_by_id:
            self._queue(wanted)
        self._block_starts()

    def _queue(self, tasks_by_id: dict[str, frozenset[str]]) -> None:
        self.tasks_by_id = tasks_by_id
        self._committer.add(_RunListsRecord(self))

    def _block_starts(self) -> None:
        self._fleet.listed_ids = self._possibly_stored_ids | self._lists_by_id.keys()


class _RunListsRecord(Record):
    def __init__(self, run_lists: RunLists) -> None:
        self.key = run_lists_key(run_lists.shard)
        self._run_lists = run_lists
        self._written: frozenset[str] = frozenset()

    def operation(self) -> Operation:
        tasks_by_id = self._run_lists.tasks_by_id
        self._written = frozenset(tasks_by_id)
        self._run_lists.mark_possibly_stored(self._written)
        stored = StoredRunLists(
            self._run_lists.term_number,
            {worker_id: sorted(tasks) for worker_id, tasks in tasks_by_id.items()},
        )
        return Put(self.key, msgspec.json.encode(stored))

    def on_committed(self) -> None:
        self._run_lists.mark_stored(self._written)


def _has_replied(view: WorkerView, run_list: _RunList) -> bool:
    return view.is_attached and view.lease.replied_at > run_list.replied_at


def _tasks(view: WorkerView) -> frozenset[str]:
    return frozenset(task for task, _ in view.runs)
