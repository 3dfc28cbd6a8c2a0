"""The workers that are registered in the store."""

from collections.abc import Callable, Collection

from pollengate.store import Entry, PolledStore
from pollengate.workflow.model import Worker
from pollengate_platform.documents import WORKER_PREFIX, decode_worker
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.prefix_cache import PrefixCache
from pollengated.logs import Log

__all__ = ["WorkerRegistry"]

# Hundreds of workers write several times in each such period. Bounds on draining are seconds.
POLL_PAUSE_S = 0.1


class WorkerRegistry:
    """Local copy of the workers' registrations.

    Workers write their registrations about once a second. The cost of such a write depends neither
    on the number of workers nor, if its value is the same, on decoding it.

    Args:
        store: the platform's store.
        clocks: the process's clocks.
        on_change: called with the ids of the workers whose registration has changed.
        metrics: counts invalid registrations.

    Attributes:
        cache: the cached registrations.
        workers_by_id: the workers whose registration is valid.
    """

    def __init__(
        self,
        store: PolledStore,
        clocks: Clocks,
        on_change: Callable[[Collection[str]], None],
        metrics: EdgeMetrics | None = None,
    ) -> None:
        self._metrics = metrics or EdgeMetrics()
        self.cache = PrefixCache(
            store,
            WORKER_PREFIX,
            clocks,
            self._report,
            POLL_PAUSE_S,
            self._update,
            self._metrics,
        )
        self.workers_by_id: dict[str, Worker] = {}
        self._values_by_key: dict[str, bytes] = {}
        self._on_change = on_change
        self._log = Log("registry")

    def _report(self, keys: Collection[str]) -> None:
        if keys:
            self._on_change([key.removeprefix(WORKER_PREFIX) for key in keys])

    def _update(self, key: str) -> bool:
        """Applies the newest entry of a key; returns whether its worker has changed."""
        entry = self.cache.entries_by_key.get(key)
        if entry is not None and self._values_by_key.get(key) == entry.value:
            return False
        worker_id = key.removeprefix(WORKER_PREFIX)
        known = self.workers_by_id.get(worker_id)
        worker = None
        if entry is None:
            self._values_by_key.pop(key, None)
        else:
            worker = self._decode(entry)
            self._values_by_key[key] = entry.value
        if worker == known:
            return False
        self._log_change(known, worker, entry)
        if worker is None:
            del self.workers_by_id[worker_id]
        else:
            self.workers_by_id[worker_id] = worker
        return True

    def _decode(self, entry: Entry) -> Worker | None:
        decoded = decode_worker(entry)
        if isinstance(decoded, Err):
            self._log.warning(
                "worker registration is invalid; ignoring it",
                key=entry.key,
                cause=decoded.err_value,
            )
            self._metrics.invalid_entries.labels(WORKER_PREFIX).inc()
            return None
        return decoded.ok_value

    def _log_change(self, known: Worker | None, worker: Worker | None, entry: Entry | None) -> None:
        if worker is None and known is not None and entry is None:
            self._log.info("worker registration is gone", worker=known.worker_id, zone=known.zone)
        elif (
            worker is not None
            and entry is not None
            and (known is None or known.condition != worker.condition)
        ):
            self._log.info(
                "worker registered",
                worker=worker.worker_id,
                zone=worker.zone,
                condition=worker.condition.value,
                revision=entry.revision,
            )
