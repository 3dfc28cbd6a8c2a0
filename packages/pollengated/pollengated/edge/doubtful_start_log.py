"""Builds the decision about doubtful fillers of a shard, and logs and counts such starts."""

from pollengate.learning.doubtful_starts import DoubtfulStarts
from pollengate.workflow.colocation import ColocationModel
from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.policy import InterferencePolicy
from pollengate.workflow.progress import StepProgress

from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.logs import Log

__all__ = ["build_doubtful_starts"]


def build_doubtful_starts(
    fleet: Fleet, colocation: ColocationModel, policy: InterferencePolicy, metrics: EdgeMetrics
) -> DoubtfulStarts | None:
    """Returns the decision about doubtful fillers, None unless their waits are bounded."""
    if not policy.is_wait_bounded:
        return None
    log = Log("owner")

    def record(step: StepProgress, view: WorkerView, probability: float) -> None:
        metrics.doubtful_starts.inc()
        log.info(
            "placing a doubtful filler",
            job=step.job.job_id,
            step=step.number,
            worker=view.worker_id,
            image=step.spec.image,
            probability=round(probability, 2),
        )

    return DoubtfulStarts(fleet, colocation, policy, record)
