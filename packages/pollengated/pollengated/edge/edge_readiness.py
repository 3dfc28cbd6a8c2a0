"""Whether the platform should send new clients to this process."""

from pollengated.edge.operator_view import OperatorView
from pollengated.edge.owner_probe import OwnerProbe
from pollengated.readiness import ShutdownFlag

__all__ = ["EdgeReadiness"]


class EdgeReadiness:
    """Ready with a configuration and an answering owner, until the process stops.

    Attributes:
        probe: set once the number of shards is known; before that the process is not ready.
    """

    def __init__(self, operator_view: OperatorView, stop_flag: ShutdownFlag) -> None:
        self.probe: OwnerProbe | None = None
        self._operator_view = operator_view
        self._stop_flag = stop_flag

    def is_ready(self) -> bool:
        """Tells whether requests are likely to be served here."""
        return (
            self._operator_view.deployment is not None
            and not self._stop_flag.is_stopping
            and self.probe is not None
            and self.probe.are_all_reachable()
        )
