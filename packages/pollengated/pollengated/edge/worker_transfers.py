"""Requests workers for a shard that is short of capacity, and releases them to other shards.

The assignment of a worker to another shard is a key that the releasing owner writes with its
commits, after the results of all runs on the worker. Its revision is above the fencing token of
every owner that has contacted the worker, so that the new owner uses it as its token there.
"""

import collections
import dataclasses
from collections.abc import Callable, Sequence

import msgspec
from pollengate.store import Operation, Put
from pollengate.workflow.fleet import WorkerView
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.keys import assignment_key, capacity_request_key
from pollengate.workflow.moves import is_in_touch
from pollengate.workflow.progress import Run, RunState
from pollengate.workflow.shard_lease import ShardLease
from pollengate.workflow.start_filter import StartFilter
from pollengate.workflow.worker_need import WorkerNeed
from pollengate.workflow.worker_needs import RecentNeeds, find_waiting_need
from pollengate.workflow.worker_transfer import (
    MAX_WORKERS_PER_REQUEST,
    CapacityRequest,
    choose_shortage,
    find_shortages,
    fits_elsewhere,
    is_movable,
    list_usable,
    release_delay_s,
    worker_to_release,
)

from pollengated.edge.clocks import Clocks
from pollengated.edge.committer import Committer, Record
from pollengated.edge.worker_assignments import (
    REQUEST_VALID_S,
    OpenRequest,
    WorkerAssignments,
)
from pollengated.logs import Log

__all__ = ["WorkerTransfers"]

# Tasks of a second or two often free capacity in less time than a transfer takes.
SHORT_AFTER_S = 0.5
REQUEST_INTERVAL_S = 1.0
# A shard that has just received a worker, or was loaded, may still need those of that kind.
KEEP_AFTER_SHORTAGE_S = 2.0
# A worker whose runs have not ended or moved within this time is kept.
RELEASE_TIMEOUT_S = 6.0


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
        assignments: assignments of workers and requests for workers.
        job_table: the shard's jobs, runs and workers.
        committer: writes requests and assignments.
        shard_lease: the owner's lease.
        clocks: the process's clocks.
        is_settled: returns True once no unreported run of an earlier owner can exist any more.
        detach: ends all orders to a worker that is about to be assigned elsewhere.
        start_filter: holds back tasks that a worker would not help to start.
    """

    def __init__(
        self,
        shard: int,
        assignments: WorkerAssignments,
        job_table: JobTable,
        committer: Committer,
        shard_lease: ShardLease,
        clocks: Clocks,
        is_settled: Callable[[], bool],
        detach: Callable[[WorkerView], None],
        start_filter: StartFilter | None = None,
    ) -> None:
        self._shard = shard
        self._assignments = assignments
        self._job_table = job_table
        self._committer = committer
        self._shard_lease = shard_lease
        self._clocks = clocks
        self._is_settled = is_settled
        self._detach = detach
        self._start_filter = start_filter
        self._short_since: float | None = None
        self._loaded_at = clocks.monotonic_s()
        self._recent_needs = RecentNeeds(KEEP_AFTER_SHORTAGE_S)
        self._requested_at = float("-inf")
        self._requests_sent = 0
        self._releases: list[_Release] = []
        self._logged_revisions_by_shard: dict[int, int] = {}
        self._log = Log("transfers")

    def update(self) -> None:
        """Requests workers if the shard is short of capacity, and meets requests if it may."""
        if not self._assignments.is_used:
            return
        now = self._clocks.monotonic_s()
        shortages = find_shortages(
            self._shard, self._job_table, self._is_settled, now, self._start_filter
        )
        self._record_shortages(shortages, now)
        self._releases = [r for r in self._releases if self._continue_release(r, now)]
        shortage = choose_shortage(shortages, self._requests_sent)
        if shortage is not None:
            self._request(shortage, now)
        self._begin_releases(now)

    def _record_shortages(self, shortages: Sequence[CapacityRequest], now: float) -> None:
        for shortage in shortages:
            self._recent_needs.record(shortage.need, shortage.is_restart, now)
        if not shortages:
            self._short_since = None
        elif self._short_since is None:
            self._short_since = now

    def _request(self, shortage: CapacityRequest, now: float) -> None:
        is_lasting = self._short_since is not None and now - self._short_since >= SHORT_AFTER_S
        if not is_lasting or now - self._requested_at < REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        self._requests_sent += 1
        self._log.info(
            "shard is short of capacity; requesting workers",
            shard=self._shard,
            workers=shortage.workers,
            service=shortage.service,
            label=shortage.required_label,
            cpu_millis=shortage.demand.cpu_millis,
            long_running=shortage.is_long_running,
            restart=shortage.is_restart,
        )
        self._committer.add(_RequestRecord(shortage))

    def _release_blocker(self, now: float) -> str | None:
        """Returns why the shard can't commit a release or may need any worker, if so."""
        if now - self._loaded_at < KEEP_AFTER_SHORTAGE_S:
            return "loaded_lately"
        if not self._shard_lease.is_confirmed(now) or self._committer.is_stalled:
            return "store_unavailable"
        return None if self._is_settled() else "unsettled"

    def _find_need(
        self, view: WorkerView, request: CapacityRequest, now: float
    ) -> tuple[str, WorkerNeed] | None:
        """Returns what the shard may need a worker for itself, None if for nothing.

        For a long-running task that has run before, only such tasks count as the shard's own need.

        Returns:
            Whether tasks wait for such a worker or have lately, and what they need.
        """
        waiting = find_waiting_need(self._job_table, view, request.is_restart, self._start_filter)
        if waiting is not None:
            return "tasks_wait", waiting
        recent = self._recent_needs.find(view, request.is_restart, now)
        return None if recent is None else ("short_lately", recent)

    def _begin_releases(self, now: float) -> None:
        """Begins releases for the requests that are due, one worker for each shard in turn.

        Long-running tasks are moved for no further release while some are being moved, as each of
        these counts on the same room.
        """
        may_move = not any(release.view.long_running for release in self._releases)
        releases_by_shard: collections.Counter[int] = collections.Counter()
        while True:
            moving = sum(bool(release.view.long_running) for release in self._releases)
            allows_moves = may_move and moving < MAX_WORKERS_PER_REQUEST
            choice = self._choose_release(releases_by_shard, allows_moves, now)
            if choice is None:
                return
            open_request, view = choice
            self._releases.append(_Release(view, open_request.request, now))
            view.is_released = True
            open_request.waiting_since = now
            open_request.is_answered = self._missing_workers(open_request) <= 0
            releases_by_shard[open_request.request.shard] += 1

    def _choose_release(
        self, releases_by_shard: collections.Counter[int], allows_moves: bool, now: float
    ) -> tuple[OpenRequest, WorkerView] | None:
        """Returns the request to meet next and the worker for it, None if none is met now.

        A request that is not due yet holds back those after it if a worker could be released for
        it: the delay would otherwise let a shard that asks for many take all of them. One that was
        due and found no worker is looked at again once there is a worker for a request after it.

        Args:
            releases_by_shard: numbers of releases that have begun now.
            allows_moves: whether long-running tasks may move for the release.
            now: clock time.
        """
        earlier: list[OpenRequest] = []
        blocker = self._release_blocker(now)
        for open_request in self._requests_in_order(releases_by_shard, now):
            request = open_request.request
            delay_s = release_delay_s(self._job_table.fleet, request, now)
            is_due = now - open_request.received_at >= delay_s
            if blocker is not None:
                if is_due:
                    self._log_unmet_request(open_request, blocker)
                continue
            if open_request.is_tried or not is_due:
                earlier.append(open_request)
                continue
            view = self._worker_for(request, allows_moves, now)
            if view is None:
                open_request.is_tried = not self._needs_all_usable(open_request, now)
                continue
            for other in earlier:
                view_for_other = self._worker_for(other.request, allows_moves, now)
                if view_for_other is not None:
                    return (other, view_for_other) if other.is_tried else None
            return open_request, view
        return None

    def _requests_in_order(
        self, releases_by_shard: collections.Counter[int], now: float
    ) -> list[OpenRequest]:
        """Returns the requests that lack workers, those with precedence first.

        Restarts come first, then the shard that has got no worker for the longest time.
        """
        waiting = [
            open_request
            for open_request in self._assignments.requests_by_shard.values()
            if not open_request.is_answered
            and now - open_request.received_at <= REQUEST_VALID_S
            and self._missing_workers(open_request) > 0
        ]
        return sorted(
            waiting,
            key=lambda r: (
                not r.request.is_restart,
                r.waiting_since,
                releases_by_shard[r.request.shard],
                r.revision,
            ),
        )

    def _missing_workers(self, open_request: OpenRequest) -> int:
        """Returns how many workers a shard lacks beside those that are being released for it."""
        request = open_request.request
        releases = sum(release.request.shard == request.shard for release in self._releases)
        return request.workers - releases - self._assignments.received_workers(open_request)

    def _worker_for(
        self, request: CapacityRequest, allows_moves: bool, now: float
    ) -> WorkerView | None:
        """Returns a worker to release for a request, None if there is none."""
        if not allows_moves:
            request = dataclasses.replace(request, is_long_running=False)
        released = [release.view for release in self._releases]
        return worker_to_release(
            self._job_table,
            request,
            now,
            released,
            lambda view: self._find_need(view, request, now) is not None,
        )

    def _needs_all_usable(self, open_request: OpenRequest, now: float) -> bool:
        """Logs why a request is not met; returns True if only the shard's own need prevents it."""
        request = open_request.request
        need = None
        for view in list_usable(self._job_table, request, now):
            need = self._find_need(view, request, now)
            if need is None:
                break
        if need is None:
            self._log_unmet_request(open_request, "no_worker")
            return False
        self._log_unmet_request(open_request, *need)
        return True

    def _log_unmet_request(
        self, open_request: OpenRequest, cause: str, need: WorkerNeed | None = None
    ) -> None:
        """Logs once why a request is not met, and for what the shard needs the worker itself."""
        request = open_request.request
        to_shard = request.shard
        if self._logged_revisions_by_shard.get(to_shard) == open_request.revision:
            return
        self._logged_revisions_by_shard[to_shard] = open_request.revision
        own: dict[str, object] = {}
        if need is not None:
            own["own_label"] = need.required_label
            own["own_cpu_millis"] = need.demand.cpu_millis
            own["own_memory_mb"] = need.demand.memory_mb
            own["own_accelerators"] = need.demand.accelerators
        self._log.info(
            "not releasing a worker",
            shard=self._shard,
            to_shard=to_shard,
            cause=cause,
            service=request.service,
            label=request.required_label,
            cpu_millis=request.demand.cpu_millis,
            **own,
        )

    def _continue_release(self, release: _Release, now: float) -> bool:
        """Advances the release of a worker; returns False once it has ended."""
        view = release.view
        needed = self._recent_needs.find(view, release.request.is_restart, now)
        if needed is not None or not self._is_wanted(release, now):
            view.is_released = False
            return False
        if view.runs:
            self._stop_runs(view, now)
            return True
        self._log.info(
            "assigning a worker to a shard that is short of capacity",
            worker=view.worker_id,
            shard=self._shard,
            to_shard=release.request.shard,
        )
        self._detach(view)
        self._committer.add(_AssignmentRecord(view.worker_id, release.request.shard))
        return False

    def _is_wanted(self, release: _Release, now: float) -> bool:
        """Returns True if a worker can still be released and the other shard still needs it."""
        view = release.view
        newest = self._assignments.requests_by_shard[release.request.shard]
        return (
            view.is_attached
            and view.is_registered
            and view.lease.is_settled(now)
            and not self._job_table.unanswered_starts.may_reach(view.worker_id, now)
            and now - release.began_at <= RELEASE_TIMEOUT_S
            and now - newest.received_at <= REQUEST_VALID_S
            and not self._assignments.is_met(newest)
            and fits_elsewhere(self._job_table, view, now)
        )

    def _stop_runs(self, view: WorkerView, now: float) -> None:
        """Stops the runs that can go on elsewhere; those of the same step one after the other."""
        for run in view.runs.values():
            spec = run.task.step.spec
            if run.is_stop_wanted or run.state is not RunState.RUNNING:
                continue
            if self._may_move(run, now) if spec.is_long_running else spec.saves_progress:
                self._log.info(
                    "stopping a run so that its worker can be released",
                    task=run.task.name,
                    run=run.number,
                    worker=view.worker_id,
                )
                self._job_table.stop(run)

    def _may_move(self, run: Run, now: float) -> bool:
        return is_movable(run, now) and is_in_touch(run.task.step, self._job_table.fleet, now)


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
