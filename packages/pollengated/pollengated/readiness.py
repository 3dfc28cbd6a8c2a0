"""Readiness: whether a load balancer should send new requests to a process."""

import asyncio
from collections.abc import Callable

from pollengated.configuration_cache import ConfigurationCache

__all__ = ["Readiness", "ShutdownFlag"]


class ShutdownFlag:
    """A flag that is set once a process begins to shut down.

    Attributes:
        stopped: event that is set when the shutdown begins.
    """

    def __init__(self) -> None:
        self.stopped = asyncio.Event()

    @property
    def is_stopping(self) -> bool:
        """Whether the process is shutting down."""
        return self.stopped.is_set()

    def stop(self) -> None:
        """Sets the flag for good; the process will not be ready again."""
        self.stopped.set()


class Readiness(ShutdownFlag):
    """Conditions under which a process is ready for new requests."""

    def __init__(
        self,
        configuration_cache: ConfigurationCache,
        not_ready_reason: Callable[[], str] = lambda: "",
    ) -> None:
        """Creates the readiness of a process.

        Args:
            configuration_cache: the process is ready only if this holds a configuration, or if it
                has just confirmed that there is none yet.
            not_ready_reason: returns the role's own reason for not being ready, empty if none.
        """
        super().__init__()
        self._configuration_cache = configuration_cache
        self._role_not_ready_reason = not_ready_reason

    def not_ready_reasons(self) -> list[str]:
        """Returns the reasons why the process is not ready, empty if it is ready."""
        not_ready_reasons = []
        if self.is_stopping:
            not_ready_reasons.append("stopping")
        if not self._has_configuration():
            not_ready_reasons.append("no configuration known")
        if not_ready_reason := self._role_not_ready_reason():
            not_ready_reasons.append(not_ready_reason)
        return not_ready_reasons

    def _has_configuration(self) -> bool:
        # Before the first patch there is no configuration, but a gate must be ready to accept that
        # patch.
        now = asyncio.get_running_loop().time()
        return (
            self._configuration_cache.current.version > 0
            or self._configuration_cache.freshness.is_fresh(now)
        )
