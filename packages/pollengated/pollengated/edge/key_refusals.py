"""Counts and logs requests that have no key of a client account."""

import collections

from pollengated.edge.clocks import Clocks
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.logs import Log

__all__ = ["KeyRefusals"]

# A client with a withdrawn key may send hundreds of requests a second; a line for each would use up
# the process's budget of log lines.
LOG_INTERVAL_S = 1.0


class KeyRefusals:
    """Counts refused keys; logs at most one line a second for each queue and reason.

    The keys themselves are neither passed to it nor logged.
    """

    def __init__(self, clocks: Clocks, metrics: EdgeMetrics) -> None:
        self._clocks = clocks
        self._metrics = metrics
        self._log = Log("gate")
        self._logged_at: dict[tuple[str, str], float] = {}
        self._unlogged: collections.Counter[tuple[str, str]] = collections.Counter()

    def record(self, queue_name: str, reason: str, view_age_s: float) -> None:
        """Records a refused key.

        Args:
            queue_name: the queue that was requested.
            reason: why the key was refused.
            view_age_s: age of the configuration.
        """
        self._metrics.refused_keys.labels(reason).inc()
        subject = (queue_name, reason)
        self._unlogged[subject] += 1
        now = self._clocks.monotonic_s()
        if now - self._logged_at.get(subject, float("-inf")) < LOG_INTERVAL_S:
            return
        self._logged_at[subject] = now
        self._log.info(
            "key refused",
            queue=queue_name,
            reason=reason,
            requests=self._unlogged.pop(subject),
            view_age_s=round(view_age_s, 2),
        )
