"""Local copy of the configuration; it never goes back to a lower version."""

import asyncio
from typing import Any

from pollengate.configuration import CONFIGURATION_KEY, Configuration, Limits
from pollengate.freshness import Freshness
from pollengate.peer import StoredConfiguration
from pollengate.store import Entry, Store, Unchanged
from result import Err

from pollengated.config_model import decode_configuration, empty_document
from pollengated.logs import Log
from pollengated.metrics import Metrics

__all__ = ["ConfigurationCache"]


class ConfigurationCache:
    """The newest configuration known to this process and when it was last confirmed.

    Attributes:
        current: the configuration in force.
        document: the same configuration as the document that operators see.
        revision: store revision of the version in force, 0 if none was read yet.
        stored: the version in force as the store holds it.
        freshness: when the configuration was last confirmed to be current.
    """

    def __init__(self, store: Store, metrics: Metrics) -> None:
        self.current = Configuration(0, {}, {}, {}, Limits())
        self.document: dict[str, Any] = empty_document()
        self.revision = 0
        self.stored = StoredConfiguration()
        self.freshness = Freshness()
        self._store = store
        self._metrics = metrics
        self._log = Log("configuration")

    async def refresh(self) -> bool:
        """Reads a newer version from the store if there is one, and confirms the configuration.

        A transaction with a condition and no operations returns the document only if it has
        changed.

        Returns:
            Whether the store replied.
        """
        requested_at = asyncio.get_running_loop().time()
        result = await self._store.commit((Unchanged(CONFIGURATION_KEY, self.revision),), ())
        if isinstance(result, Err):
            self._log.warning(
                "store did not reply; configuration not confirmed", detail=result.err_value.detail
            )
            return False
        for entry in result.ok_value.current:
            self.apply_entry(entry)
        self.freshness.confirm(requested_at)
        return True

    def apply_entry(self, entry: Entry) -> None:
        """Applies a store entry that holds a newer version; ignores other keys."""
        if entry.key == CONFIGURATION_KEY:
            self.apply(StoredConfiguration(entry.revision, entry.value))

    def apply(self, stored: StoredConfiguration) -> None:
        """Puts a version in force if its revision is higher than that of the current one."""
        if stored.revision <= self.revision:
            return
        self.current, self.document = decode_configuration(stored.document)
        self.revision = stored.revision
        self.stored = stored
        self._metrics.configuration_version.set(self.current.version)
        self._log.info("configuration version now in force", version=self.current.version)
