"""Follows the configuration in the store; never goes back to a lower version."""

import asyncio
from typing import Any

from pollengate.configuration import CONFIGURATION_KEY, Configuration, Limits
from pollengate.freshness import Freshness
from pollengate.store import Entry, Store
from result import Err

from pollengated.config_model import decode_configuration, empty_document
from pollengated.logs import Log
from pollengated.metrics import Metrics

__all__ = ["ConfigurationFollower"]

POLL_INTERVAL_S = 0.5


class ConfigurationFollower:
    """Holds the newest known configuration and when it was confirmed current.

    Attributes:
        current: the configuration in force.
        document: its document, as operators see it.
        revision: store revision of the version in force, 0 before the first.
        freshness: when it was last confirmed current.
    """

    def __init__(self, store: Store, metrics: Metrics) -> None:
        self.current = Configuration(0, {}, {}, {}, Limits())
        self.document: dict[str, Any] = empty_document()
        self.revision = 0
        self.freshness = Freshness()
        self._store = store
        self._metrics = metrics
        self._log = Log("configuration")

    async def run(self) -> None:
        """Reads the store until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def refresh(self) -> bool:
        """Reads the store once; returns whether it answered."""
        asked_at = asyncio.get_running_loop().time()
        result = await self._store.get(CONFIGURATION_KEY)
        if isinstance(result, Err):
            self._log.warning("store did not answer", detail=result.err_value.detail)
            return False
        if result.ok_value is not None:
            self.take(result.ok_value)
        self.freshness.confirm(asked_at)
        return True

    def take(self, entry: Entry) -> None:
        """Puts a stored version in force unless a newer one is."""
        if entry.revision <= self.revision:
            return
        self.current, self.document = decode_configuration(entry.value)
        self.revision = entry.revision
        self._metrics.configuration_version.set(self.current.version)
        self._log.info("version in force", version=self.current.version)
