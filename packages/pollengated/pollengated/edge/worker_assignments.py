"""The shards that workers were transferred to, and the open requests for workers, as stored."""

import dataclasses
from collections.abc import Callable, Collection
from typing import TypeVar

from pollengate.decoding import DocumentDecoder
from pollengate.store import Entry, Listing, PolledStore
from pollengate.workflow.keys import (
    ASSIGNMENT_PREFIX,
    CAPACITY_REQUEST_PREFIX,
    TRANSFER_PREFIX,
)
from pollengate.workflow.model import Worker
from pollengate.workflow.worker_transfer import CapacityRequest
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.layout import Layout
from pollengated.edge.prefix_cache import PrefixCache
from pollengated.logs import Log

__all__ = ["REQUEST_VALID_S", "OpenRequest", "WorkerAssignments"]

# A request that nobody met is repeated sooner than this; an older one is out of date.
REQUEST_VALID_S = 2.0
_T = TypeVar("_T")
_SHARD_DECODER = DocumentDecoder(int)
_REQUEST_DECODER = DocumentDecoder(CapacityRequest)


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """The newest request of a shard.

    Attributes:
        revision: store revision of the request.
        received_at: clock time at which this process learned of it.
        request: the request.
        waiting_since: clock time from which on the shard has asked without getting a worker.
        is_answered: whether this process has responded to it, or is not to respond.
        is_tried: whether it was due and this process had no worker for it.
    """

    revision: int
    received_at: float
    request: CapacityRequest
    waiting_since: float
    is_answered: bool = False
    is_tried: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Assignment:
    """The shard that a worker was assigned to, and the store revision of the assignment."""

    shard: int
    revision: int


class WorkerAssignments:
    """Local copy of the assignments of workers and the requests for workers.

    Args:
        shard: shard of the owner that uses the copy.
        layout: the shards of the deployment.
        store: the platform's store.
        clocks: the process's clocks.
        on_change: called with the ids of the workers whose assignment has changed.
        metrics: counts invalid records.

    Attributes:
        cache: the cached keys.
        requests_by_shard: the newest request of each other shard.
    """

    def __init__(
        self,
        shard: int,
        layout: Layout,
        store: PolledStore,
        clocks: Clocks,
        on_change: Callable[[Collection[str]], None],
        metrics: EdgeMetrics | None = None,
    ) -> None:
        self._metrics = metrics or EdgeMetrics()
        self.cache = PrefixCache(
            store,
            TRANSFER_PREFIX,
            clocks,
            self._report,
            apply_key=self._apply_key,
            metrics=self._metrics,
        )
        self.requests_by_shard: dict[int, OpenRequest] = {}
        self._shard = shard
        self._layout = layout
        self._clocks = clocks
        self._on_change = on_change
        self._is_loaded = False
        self._assignments_by_worker: dict[str, _Assignment] = {}
        self._log = Log("transfers")

    @property
    def is_used(self) -> bool:
        """Whether there is a shard to transfer workers to."""
        return self._layout.shards > 1

    def load(self, listing: Listing) -> None:
        """Takes over what was read at the beginning of the term; earlier requests are not met."""
        self.cache.replace_if_newer(listing.entries, listing.revision)
        for open_request in self.requests_by_shard.values():
            open_request.is_answered = True
        self._is_loaded = True

    def shard_of(self, worker: Worker) -> int:
        """Returns the shard that a worker belongs to."""
        assigned = self._assignments_by_worker.get(worker.worker_id)
        return self._layout.shard_of(worker.rack) if assigned is None else assigned.shard

    def is_assigned_elsewhere(self, worker_id: str) -> bool:
        """Whether a worker was transferred to another shard."""
        assigned = self._assignments_by_worker.get(worker_id)
        return assigned is not None and assigned.shard != self._shard

    def lowest_token(self, worker_id: str) -> int:
        """Returns the lowest fencing token that a worker accepts, 0 if it was not transferred."""
        assigned = self._assignments_by_worker.get(worker_id)
        return 0 if assigned is None else assigned.revision

    def is_met(self, open_request: OpenRequest) -> bool:
        """Whether all requested workers were assigned to a shard after its newest request."""
        return self.received_workers(open_request) >= open_request.request.workers

    def received_workers(self, open_request: OpenRequest) -> int:
        """Returns how many workers were assigned to a shard after its newest request."""
        return sum(
            assigned.shard == open_request.request.shard
            and assigned.revision > open_request.revision
            for assigned in self._assignments_by_worker.values()
        )

    def _apply_key(self, key: str) -> bool:
        """Applies the newest entry of a key; returns whether it assigns a worker."""
        entry = self.cache.entries_by_key.get(key)
        if key.startswith(ASSIGNMENT_PREFIX):
            self._apply_assignment(key.removeprefix(ASSIGNMENT_PREFIX), entry)
            return True
        if key.startswith(CAPACITY_REQUEST_PREFIX) and entry is not None:
            self._apply_request(entry)
        return False

    def _report(self, keys: Collection[str]) -> None:
        if self._is_loaded and keys:
            self._on_change([key.removeprefix(ASSIGNMENT_PREFIX) for key in keys])

    def _apply_assignment(self, worker_id: str, entry: Entry | None) -> None:
        shard = None if entry is None else self._decode(entry, _SHARD_DECODER)
        if entry is not None and shard is not None and not 0 <= shard < self._layout.shards:
            self._ignore(entry, "there is no such shard")
            shard = None
        if entry is None or shard is None:
            self._assignments_by_worker.pop(worker_id, None)
        else:
            self._assignments_by_worker[worker_id] = _Assignment(shard, entry.revision)
            if shard in self.requests_by_shard:
                self.requests_by_shard[shard].waiting_since = self._clocks.monotonic_s()

    def _apply_request(self, entry: Entry) -> None:
        request = self._decode(entry, _REQUEST_DECODER)
        if request is None or request.shard == self._shard:
            return
        known = self.requests_by_shard.get(request.shard)
        if known is None or known.revision < entry.revision:
            now = waiting_since = self._clocks.monotonic_s()
            if known is not None and now - known.received_at <= REQUEST_VALID_S:
                waiting_since = known.waiting_since
            self.requests_by_shard[request.shard] = OpenRequest(
                entry.revision, now, request, waiting_since
            )

    def _decode(self, entry: Entry, decoder: DocumentDecoder[_T]) -> _T | None:
        decoded = decoder.decode(entry.value)
        if isinstance(decoded, Err):
            self._ignore(entry, decoded.err_value)
        return decoded.ok()

    def _ignore(self, entry: Entry, cause: str) -> None:
        self._log.warning("record is unreadable; ignoring it", key=entry.key, cause=cause)
        self._metrics.invalid_entries.labels(TRANSFER_PREFIX).inc()
