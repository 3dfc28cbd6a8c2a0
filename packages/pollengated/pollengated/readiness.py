"""Readiness: whether a process should get new requests."""

import asyncio
from collections.abc import Callable

from pollengated.configuration_cache import ConfigurationCache

__all__ = ["Readiness", "ShutdownFlag"]


class ShutdownFlag:
    """Whether a process is stopping.

    Attributes:
        stopped: set once it is.
    """

    def __init__(self) -> None:
        self.stopped = asyncio.Event()

    @property
    def is_stopping(self) -> bool:
        """Whether the process is stopping."""
        return self.stopped.is_set()

    def stop(self) -> None:
        """Records that the process is stopping; it will not be ready again."""
        self.stopped.set()


class Readiness(ShutdownFlag):
    """Tells the balancer whether to send requests here."""

    def __init__(
        self,
        configuration_cache: ConfigurationCache,
        not_ready_reason: Callable[[], str] = lambda: "",
    ) -> None:
        """Creates the readiness of a process.

        Args:
            configuration_cache: holds the configuration.
            not_ready_reason: returns why the role itself is not ready, empty if it is.
        """
        super().__init__()
        self._configuration_cache = configuration_cache
        self._role_not_ready_reason = not_ready_reason

    def not_ready_reasons(self) -> list[str]:
        """Returns why the process is not ready, nothing if it is."""
        not_ready_reasons = []
        if self.is_stopping:
            not_ready_reasons.append("stopping")
        if not self._has_configuration():
            not_ready_reasons.append("no configuration known")
        if not_ready_reason := self._role_not_ready_reason():
            not_ready_reasons.append(not_ready_reason)
        return not_ready_reasons

    def _has_configuration(self) -> bool:
        # Before the first patch there is none, and a gate must be reachable to accept it.
        now = asyncio.get_running_loop().time()
        return (
            self._configuration_cache.current.version > 0
            or self._configuration_cache.freshness.is_fresh(now)
        )
