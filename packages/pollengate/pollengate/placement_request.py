"""The request to place one task on a worker."""

import dataclasses

from pollengate.jobs import JobSpec, Resources

__all__ = ["PlacementRequest", "request_for"]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """The properties of a task that matter to its placement.

    Attributes:
        task_id: the task.
        task_class: class of tasks that are expected to behave alike.
        team: the team whose quota it counts against.
        resources: declared resources.
        duration_ms: declared run time.
        urgent: whether it goes ahead of batch tasks.
        job_id: the job that it belongs to; tasks of one service's job are spread over racks.
        resumed: whether it ran before and was stopped.
    """

    task_id: str
    task_class: str
    team: str
    resources: Resources
    duration_ms: int
    urgent: bool = False
    job_id: str = ""
    resumed: bool = False


def request_for(task_id: str, spec: JobSpec, resumed: bool = False) -> PlacementRequest:
    """Returns the placement request of one task of a job."""
    return PlacementRequest(
        task_id=task_id,
        task_class=spec.task_class,
        team=spec.team,
        resources=spec.resources,
        duration_ms=spec.duration_ms,
        urgent=spec.urgent,
        job_id=spec.job_id,
        resumed=resumed,
    )
