"""Actions that follow from changes of the job table."""

import dataclasses

from pollengate.workflow.progress import JobProgress, Run

__all__ = ["Outbox"]


@dataclasses.dataclass(slots=True)
class Outbox:
    """Actions that follow from the events so far.

    Attributes:
        stops: runs to stop.
        orphans: runs that no task wants, as worker id, task name and run number.
        changed: jobs whose progress is to be recorded, by job id.
    """

    stops: list[Run] = dataclasses.field(default_factory=list)
    orphans: list[tuple[str, str, int]] = dataclasses.field(default_factory=list)
    changed: dict[str, JobProgress] = dataclasses.field(default_factory=dict)
