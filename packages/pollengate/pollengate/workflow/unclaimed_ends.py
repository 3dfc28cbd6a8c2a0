"""Runs that ended done and whose job is unknown, kept for when the job is added.

The client of the job may submit it again, and the worker forgets the end.
"""

import dataclasses

from pollengate.bounded import BoundedDict

__all__ = ["UnclaimedEnd", "UnclaimedEnds"]

# Unknown jobs of which the tasks that are done are kept.
MAX_UNKNOWN_JOBS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class UnclaimedEnd:
    """A run that ended done.

    Attributes:
        task: name of its task.
        run: number of the run.
        worker_id: the worker.
    """

    task: str
    run: int
    worker_id: str


class UnclaimedEnds:
    """Runs that ended done, by job; those of the least recent jobs are forgotten."""

    def __init__(self) -> None:
        self._ends_by_job_id = BoundedDict[str, list[UnclaimedEnd]](MAX_UNKNOWN_JOBS)

    def keep(self, end: UnclaimedEnd) -> None:
        """Keeps a run until its job is added."""
        job_id = end.task.partition(".")[0]
        ends = self._ends_by_job_id.get(job_id) or []
        ends.append(end)
        self._ends_by_job_id.put(job_id, ends)

    def of_job(self, job_id: str) -> tuple[UnclaimedEnd, ...]:
        """Returns the runs of a job."""
        return tuple(self._ends_by_job_id.get(job_id) or ())
