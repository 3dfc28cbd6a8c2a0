"""Readiness of an edge process for new clients."""

from pollengated.edge.operator_view import OperatorView
from pollengated.edge.owner_probe import OwnerProbe
from pollengated.readiness import ShutdownFlag

__all__ = ["EdgeReadiness"]


class EdgeReadiness:
    """Readiness check of an edge process.

    The process is ready if it has a configuration, all shard owners are reachable and it is not
    stopping.

    Attributes:
        probe: None until the number of shards is known; until then the process is not ready.
    """

    def __init__(self, operator_view: OperatorView, stop_flag: ShutdownFlag) -> None:
        self.probe: OwnerProbe | None = None
        self._operator_view = operator_view
        self._stop_flag = stop_flag

    def is_ready(self) -> bool:
        """Whether the platform should send new clients to this process."""
        return (
            self._operator_view.deployment is not None
            and not self._stop_flag.is_stopping
            and self.probe is not None
            and self.probe.are_all_reachable()
        )
