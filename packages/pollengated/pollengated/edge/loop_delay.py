"""Measures how late the event loop of the process runs its callbacks."""

import asyncio

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.logs import Log

__all__ = ["LoopDelayMonitor"]

CHECK_INTERVAL_S = 0.25
# Above this, responses of workers are read after the time-outs of their calls, the shortest of
# which is 0.5 s.
LATE_S = 0.3
# A process that has too little processor time is late at each check.
LOG_INTERVAL_S = 2.0


class LoopDelayMonitor:
    """Records the delay of a timer, which is that of all responses that wait to be read.

    Args:
        clocks: the process's clocks.
        metrics: records the delays.
    """

    def __init__(self, clocks: Clocks, metrics: EdgeMetrics) -> None:
        self._clocks = clocks
        self._metrics = metrics
        self._logged_at = float("-inf")
        self._longest_s = 0.0
        self._log = Log("loops")

    async def run(self) -> None:
        """Measures until cancelled."""
        while True:
            due_at = self._clocks.monotonic_s() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._record(max(0.0, self._clocks.monotonic_s() - due_at))

    def _record(self, delay_s: float) -> None:
        self._metrics.loop_delay_seconds.observe(delay_s)
        self._longest_s = max(self._longest_s, delay_s)
        now = self._clocks.monotonic_s()
        if self._longest_s >= LATE_S and now - self._logged_at >= LOG_INTERVAL_S:
            self._log.warning("event loop is late", delay_s=round(self._longest_s, 2))
            self._logged_at, self._longest_s = now, 0.0
