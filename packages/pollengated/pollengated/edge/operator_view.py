"""Local copy of what operators set: the configuration and the evacuated zones."""

import math
from collections.abc import Callable, Collection

from pollengate.accounts.keys import KeyRing
from pollengate.store import Entry, PolledStore
from pollengate.workflow.model import Deployment
from pollengate_platform.documents import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    decode_deployment,
    evacuated_zone,
)
from result import Err

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.edge.prefix_cache import PrefixCache
from pollengated.logs import Log

__all__ = ["OperatorView"]


class OperatorView:
    """Local copy of the operators' keys; an older configuration never replaces a newer one.

    Args:
        store: the platform's store.
        clocks: the process's clocks.
        metrics: counts invalid configurations.

    Attributes:
        deployment: the newest configuration, None until one has been loaded.
        key_ring: the keys of its client accounts, None if it has no accounts.
        evacuated_zones: zones that get no new tasks.
        cache: the cached keys.
    """

    def __init__(
        self, store: PolledStore, clocks: Clocks, metrics: EdgeMetrics | None = None
    ) -> None:
        self._metrics = metrics or EdgeMetrics()
        self.cache = PrefixCache(
            store,
            OPERATOR_PREFIX,
            clocks,
            self._changed,
            apply_key=self._apply_key,
            metrics=self._metrics,
        )
        self.deployment: Deployment | None = None
        self.key_ring: KeyRing | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        self._listeners: list[Callable[[], None]] = []
        self._log = Log("configuration")

    def subscribe(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Calls `listener` after each change; returns a function that unsubscribes it."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def _apply_key(self, key: str) -> bool:
        if key == CONFIGURATION_KEY:
            self._apply_configuration(self.cache.entries_by_key.get(key))
        return True

    def _changed(self, _keys: Collection[str]) -> None:
        entries = self.cache.entries_by_key
        zones = frozenset(z for key in entries if (z := evacuated_zone(key)) is not None)
        if zones != self.evacuated_zones:
            self._log.info("evacuated zones changed", zones=",".join(sorted(zones)) or "none")
            self.evacuated_zones = zones
        for listener in list(self._listeners):
            listener()

    def _apply_configuration(self, entry: Entry | None) -> None:
        if entry is None:
            return
        decoded = decode_deployment(entry.value)
        if isinstance(decoded, Err):
            self._log.warning(
                "configuration is unreadable; keeping the previous one", cause=decoded.err_value
            )
            self._metrics.invalid_entries.labels(OPERATOR_PREFIX).inc()
            return
        newest = decoded.ok_value
        if self.deployment is None or newest.version > self.deployment.version:
            accounts = newest.accounts_by_name
            self.deployment = newest
            self.key_ring = None if accounts is None else KeyRing(accounts.values())
            self._log.info(
                "configuration applied",
                version=newest.version,
                queues=len(newest.queues),
                revision=entry.revision,
                **self._describe_read(),
                **({} if accounts is None else {"accounts": len(accounts)}),
            )

    def _describe_read(self) -> dict[str, object]:
        """Returns how the configuration was read, as fields of a log line."""
        read = self.cache.last_read
        if read is None:
            return {}
        is_known = read.age_at_most_s < math.inf
        return {
            "source": read.source.value,
            "events": read.events,
            "bytes": read.transfer.size_bytes,
            "transfer_s": round(read.transfer.seconds, 3),
            "age_at_most_s": round(read.age_at_most_s, 2) if is_known else None,
        }
