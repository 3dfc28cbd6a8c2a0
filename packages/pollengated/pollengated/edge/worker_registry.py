"""The workers that are registered in the store."""

from collections.abc import Callable

from pollengate.store import Entry, PolledStore
from pollengate.workflow.model import Worker
from pollengate_platform.documents import WORKER_PREFIX, decode_worker
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.edge.prefix_cache import PrefixCache
from pollengated.logs import Log

__all__ = ["WorkerRegistry"]


class WorkerRegistry:
    """Local copy of the workers' registrations.

    Args:
        store: the platform's store.
        clocks: the process's clocks.
        on_change: called after each change of the registrations.

    Attributes:
        cache: the cached registrations.
        workers_by_id: the workers whose registration is valid.
    """

    def __init__(self, store: PolledStore, clocks: Clocks, on_change: Callable[[], None]) -> None:
        self.cache = PrefixCache(store, WORKER_PREFIX, clocks, self._changed)
        self.workers_by_id: dict[str, Worker] = {}
        self._decoded_by_key: dict[str, tuple[int, Worker | None]] = {}
        self._on_change = on_change
        self._log = Log("registry")

    def _changed(self) -> None:
        entries = self.cache.entries_by_key
        for key in [key for key in self._decoded_by_key if key not in entries]:
            _, worker = self._decoded_by_key.pop(key)
            if worker is not None:
                self._log.info(
                    "worker registration is gone", worker=worker.worker_id, zone=worker.zone
                )
        workers = (self._decode(entry) for entry in entries.values())
        self.workers_by_id = {w.worker_id: w for w in workers if w is not None}
        self._on_change()

    def _decode(self, entry: Entry) -> Worker | None:
        known = self._decoded_by_key.get(entry.key)
        if known is not None and known[0] == entry.revision:
            return known[1]
        decoded = decode_worker(entry)
        worker = None if isinstance(decoded, Err) else decoded.ok_value
        if isinstance(decoded, Err):
            self._log.warning(
                "worker registration is invalid; ignoring it",
                key=entry.key,
                cause=decoded.err_value,
            )
        elif known is None or known[1] is None or known[1].condition != decoded.ok_value.condition:
            self._log.info(
                "worker registered",
                worker=decoded.ok_value.worker_id,
                zone=decoded.ok_value.zone,
                condition=decoded.ok_value.condition.value,
                revision=entry.revision,
            )
        self._decoded_by_key[entry.key] = (entry.revision, worker)
        return worker
