"""Requests, releases and takes over workers for one shard, through the store.

The assignment of a worker to another shard is a key that the releasing owner writes with its
commits, after the results of all runs on the worker. Its revision is above the fencing token of
every owner that has contacted the worker, so that the new owner uses it as its token there.
"""

import dataclasses
from collections.abc import Callable
from typing import TypeVar

import msgspec
from pollengate.store import Entry, Listing, Operation, PolledStore, Put
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.keys import (
    TRANSFER_PREFIX,
    assignment_key,
    assignment_prefix,
    capacity_request_key,
    capacity_request_prefix,
)
from pollengate.workflow.model import Worker
from pollengate.workflow.progress import RunState
from pollengate.workflow.worker_transfer import (
    CapacityRequest,
    find_shortage,
    is_movable,
    release_delay_s,
    worker_to_release,
)

from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import Committer, Record
from pollengated.edge.layout import Layout
from pollengated.edge.prefix_cache import PrefixCache
from pollengated.logs import Log

__all__ = ["WorkerTransfers"]

CHECK_INTERVAL_S = 0.1
# Tasks of a second or two often free capacity in less time than a transfer takes.
SHORT_AFTER_S = 0.5
REQUEST_INTERVAL_S = 1.0
# A request that nobody met is repeated sooner than this; an older one is out of date.
REQUEST_VALID_S = 2.0
# A worker whose runs have not ended or moved within this time is kept.
RELEASE_TIMEOUT_S = 6.0

_T = TypeVar("_T")


@dataclasses.dataclass(slots=True)
class _OpenRequest:
    """A request of another shard, as stored at a revision."""

    revision: int
    received_at: float
    request: CapacityRequest
    is_answered: bool = False


@dataclasses.dataclass(slots=True)
class _Release:
    """A worker that is about to be released, and the request for it."""

    view: WorkerView
    request: CapacityRequest
    began_at: float


class WorkerTransfers:
    """Transfers workers between one shard and the others during an ownership term.

    Args:
        shard: number of the shard.
        layout: the shards of the deployment.
        store: the platform's store.
        clocks: the process's clocks.
        on_change: called after each change of the assignments.
    """

    def __init__(
        self,
        shard: int,
        layout: Layout,
        store: PolledStore,
        clocks: Clocks,
        on_change: Callable[[], None],
    ) -> None:
        self._shard = shard
        self._layout = layout
        self._clocks = clocks
        self._on_change = on_change
        self.cache = PrefixCache(store, TRANSFER_PREFIX, clocks, self._changed)
        self._log = Log("transfers")
        self._shards_by_worker: dict[str, int] = {}
        self._revisions_by_worker: dict[str, int] = {}
        self._requests_by_shard: dict[int, _OpenRequest] = {}
        self._checked_at = float("-inf")
        self._short_since: float | None = None
        self._requested_at = float("-inf")
        self._release: _Release | None = None
        self._is_loaded = False

    @property
    def is_possible(self) -> bool:
        """Whether there is another shard."""
        return self._layout.shards > 1

    def load(self, listing: Listing) -> None:
        """Takes over the assignments and requests that were read at the beginning of the term."""
        self.cache.replace_if_newer(listing.entries, listing.revision)
        self._is_loaded = True

    def shard_of(self, worker: Worker) -> int:
        """Returns the shard that a worker belongs to."""
        assigned = self._shards_by_worker.get(worker.worker_id)
        return self._layout.shard_of(worker.rack) if assigned is None else assigned

    def is_assigned_elsewhere(self, worker_id: str) -> bool:
        """Whether a worker was transferred to another shard."""
        return self._shards_by_worker.get(worker_id, self._shard) != self._shard

    def token(self, worker_id: str) -> int:
        """Returns the lowest fencing token that a worker accepts after its last transfer."""
        return self._revisions_by_worker.get(worker_id, 0)

    def update(
        self,
        job_table: JobTable,
        committer: Committer,
        is_settled: Callable[[], bool],
        detach: Callable[[WorkerView], None],
    ) -> None:
        """Requests a worker if the shard is short of capacity, otherwise meets a request.

        Args:
            job_table: the shard's jobs, runs and workers.
            committer: writes requests and assignments.
            is_settled: whether no unreported run of an earlier owner can exist any more.
            detach: ends all orders to a worker that is about to be assigned elsewhere.
        """
        now = self._clocks.monotonic_s()
        if not self.is_possible or now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        shortage = find_shortage(self._shard, job_table, is_settled, now)
        if shortage is None:
            self._short_since = None
        elif self._short_since is None:
            self._short_since = now
        if self._release is not None:
            self._continue_release(self._release, job_table, committer, detach, now)
        elif shortage is None:
            self._begin_release(job_table, now)
        elif now - (self._short_since or now) >= SHORT_AFTER_S:
            self._request(shortage, committer, now)

    def _request(self, shortage: CapacityRequest, committer: Committer, now: float) -> None:
        if now - self._requested_at < REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        self._log.info(
            "shard is short of capacity; requesting a worker",
            shard=self._shard,
            service=shortage.service,
            label=shortage.required_label,
            cpu_millis=shortage.demand.cpu_millis,
        )
        committer.add(_RequestRecord(shortage))

    def _begin_release(self, job_table: JobTable, now: float) -> None:
        fleet = job_table.fleet
        for pending in self._requests_by_shard.values():
            age_s = now - pending.received_at
            if pending.is_answered or age_s > REQUEST_VALID_S or self._has_been_met(pending):
                continue
            if age_s < release_delay_s(fleet, pending.request, now):
                continue
            pending.is_answered = True
            view = worker_to_release(fleet, pending.request, now)
            if view is not None:
                self._release = _Release(view, pending.request, now)
                view.is_released = True
                return

    def _has_been_met(self, pending: _OpenRequest) -> bool:
        return any(
            shard == pending.request.shard
            and self._revisions_by_worker[worker_id] > pending.revision
            for worker_id, shard in self._shards_by_worker.items()
        )

    def _continue_release(
        self,
        release: _Release,
        job_table: JobTable,
        committer: Committer,
        detach: Callable[[WorkerView], None],
        now: float,
    ) -> None:
        view = release.view
        if not view.runs and view.is_attached:
            self._log.info(
                "assigning a worker to a shard that is short of capacity",
                worker=view.worker_id,
                shard=self._shard,
                to_shard=release.request.shard,
            )
            detach(view)
            committer.add(_AssignmentRecord(view.worker_id, release.request.shard))
            self._release = None
        elif now - release.began_at > RELEASE_TIMEOUT_S or not view.is_attached:
            view.is_released = False
            self._release = None
        else:
            self._stop_runs(view, job_table)

    def _stop_runs(self, view: WorkerView, job_table: JobTable) -> None:
        """Stops the runs that can go on elsewhere; those of the same step one after the other."""
        for run in view.runs.values():
            spec = run.task.step.spec
            if run.is_stop_wanted or run.state is not RunState.RUNNING:
                continue
            if is_movable(run) if spec.is_long_running else spec.saves_progress:
                self._log.info(
                    "stopping a run so that its worker can be released",
                    task=run.task.name,
                    run=run.number,
                    worker=view.worker_id,
                )
                job_table.stop(run)

    def _changed(self) -> None:
        self._shards_by_worker.clear()
        self._revisions_by_worker.clear()
        for entry in self.cache.entries_by_key.values():
            if entry.key.startswith(assignment_prefix()):
                self._apply_assignment(entry)
            elif entry.key.startswith(capacity_request_prefix()):
                self._apply_request(entry)
        if self._is_loaded:
            self._on_change()

    def _apply_assignment(self, entry: Entry) -> None:
        shard = self._decode(entry, int)
        if shard is not None:
            worker_id = entry.key.removeprefix(assignment_prefix())
            self._shards_by_worker[worker_id] = shard
            self._revisions_by_worker[worker_id] = entry.revision

    def _apply_request(self, entry: Entry) -> None:
        request = self._decode(entry, CapacityRequest)
        if request is None or request.shard == self._shard:
            return
        known = self._requests_by_shard.get(request.shard)
        if known is None or known.revision < entry.revision:
            now = self._clocks.monotonic_s()
            self._requests_by_shard[request.shard] = _OpenRequest(entry.revision, now, request)

    def _decode(self, entry: Entry, expected: type[_T]) -> _T | None:
        try:
            return msgspec.json.decode(entry.value, type=expected)
        except msgspec.MsgspecError as error:
            self._log.warning("record is unreadable; ignoring it", key=entry.key, cause=str(error))
            return None


class _RequestRecord(Record):
    """Stores the request of a shard that is short of capacity."""

    def __init__(self, request: CapacityRequest) -> None:
        self.key = capacity_request_key(request.shard)
        self._request = request

    def operation(self) -> Operation:
        return Put(self.key, msgspec.json.encode(self._request))


class _AssignmentRecord(Record):
    """Stores the shard that a worker belongs to from now on."""

    def __init__(self, worker_id: str, shard: int) -> None:
        self.key = assignment_key(worker_id)
        self._shard = shard

    def operation(self) -> Operation:
        return Put(self.key, msgspec.json.encode(self._shard))
