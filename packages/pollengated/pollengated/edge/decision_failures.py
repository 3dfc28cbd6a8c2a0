"""Logs and counts the decisions that failed while an ownership term went on."""

from pollengate.workflow.decision_guard import FailedDecision
from pollengate.workflow.progress import StepProgress

from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.logs import Log

__all__ = ["DecisionFailures"]

# A traceback takes some 2 KB, and one cause may make the decisions for thousands of steps fail.
LOG_INTERVAL_S = 1.0


class DecisionFailures:
    """Counts every failed decision, and logs one of each kind a second with its traceback.

    Args:
        shard: number of the shard.
        metrics: metrics of this process.
    """

    def __init__(self, shard: int, metrics: EdgeMetrics) -> None:
        self._shard = shard
        self._metrics = metrics
        self._logged_at_by_kind: dict[str, float] = {}
        self._unlogged_by_kind: dict[str, int] = {}
        self._log = Log("owner")

    def record(self, failed: FailedDecision) -> None:
        """Records a failed decision."""
        kind = failed.kind
        self._metrics.failed_decisions.labels(kind).inc()
        logged_at = self._logged_at_by_kind.get(kind)
        if logged_at is not None and failed.at - logged_at < LOG_INTERVAL_S:
            self._unlogged_by_kind[kind] = self._unlogged_by_kind.get(kind, 0) + 1
            return
        self._logged_at_by_kind[kind] = failed.at
        self._log.error(
            "decision failed; going on without it",
            failed.error,
            shard=self._shard,
            decision=kind,
            **_fields(failed.subject),
            unlogged=self._unlogged_by_kind.pop(kind, 0),
        )


def _fields(subject: object) -> dict[str, object]:
    if isinstance(subject, StepProgress):
        return {"job": subject.job.job_id, "step": subject.number}
    return {"subject": subject} if subject else {}
