"""What delaying or refusing a job costs its caller.

A job is of full use until its objective, of little use until a multiple of it, and of none after
that. Delaying one job in favour of another is weighed by the work that it still needs: one large
job must not displace ten small ones that cost their callers as much.
"""

import dataclasses
import enum
import math

from pollengate.overload.run_times import RunTimes
from pollengate.workflow.model import Queue, Step
from pollengate.workflow.progress import JobProgress, Occurrence

__all__ = ["JobCost", "Use", "cost_of"]

# A running task has half of its run time left in the mean.
RUNNING_LEFT_SHARE = 0.5
# Work of a task that declares no cores or no run time; its logarithm has to exist.
MIN_CORE_S = 1e-3


class Use(enum.IntEnum):
    """Of how much use a job is to its caller if its tasks start now."""

    FULL = 0
    LITTLE = 1
    NONE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class JobCost:
    """What is known of a job, or of one occurrence of it, to decide on its place.

    Attributes:
        priority: priority of its queue; 0 is the highest.
        accepted_at: clock time of its acceptance.
        due_at: clock time of its objective.
        useful_until: its last useful moment.
        chain_s: run time that is left on the longest chain of steps.
        reserving_core_s: work not yet started of tasks that reserve cores, in core-seconds.
        filler_core_s: work not yet started of fillers, in core-seconds.
    """

    priority: int
    accepted_at: float
    due_at: float
    useful_until: float
    chain_s: float
    reserving_core_s: float
    filler_core_s: float

    def core_s(self, is_filler: bool) -> float:
        """Returns the work not yet started that needs one kind of room, in core-seconds."""
        return self.filler_core_s if is_filler else self.reserving_core_s

    def use(self, now: float) -> Use:
        """Returns of how much use the job is if all of its tasks start now."""
        end = now + self.chain_s
        if end <= self.due_at:
            return Use.FULL
        return Use.LITTLE if end <= self.useful_until else Use.NONE

    def latest_start(self, use: Use) -> float:
        """Returns the clock time up to which a start keeps a use; infinity for none."""
        if use is Use.NONE:
            return math.inf
        return (self.due_at if use is Use.FULL else self.useful_until) - self.chain_s

    def rank(self, use: Use, is_filler: bool, look_ahead_s: float) -> float:
        """Returns the place among jobs of a use; the one with the lowest rank goes first.

        This is the logarithm of the apparent tardiness cost: use by core-second, discounted by the
        time that the job can still wait. The order of two jobs does not depend on the time at which
        they are compared. A job ages against later ones, since their latest start is later.

        Args:
            use: use of the job if it starts now.
            is_filler: the kind of room.
            look_ahead_s: waiting time that discounts the use by a factor of e.
        """
        if use is Use.NONE:
            return self.accepted_at
        core_s = max(self.core_s(is_filler), MIN_CORE_S)
        return math.log(core_s) + self.latest_start(use) / look_ahead_s


def cost_of(
    job: JobProgress,
    occurrence: Occurrence | None,
    queue: Queue,
    run_times: RunTimes,
    useful_factor: float,
) -> JobCost:
    """Returns the cost of a job.

    Args:
        job: the job.
        occurrence: its occurrence, None if no task of it has been opened yet.
        queue: its queue.
        run_times: corrects its estimates.
        useful_factor: a job is of no use after this many times its objective.
    """
    ends_s: list[float] = []
    work_s = [0.0, 0.0]
    for number, spec in enumerate(job.workflow.steps):
        unstarted, chain_share = _remaining(spec, occurrence, number)
        estimate_s = spec.estimate_ms / 1000 * run_times.factor(queue.name, spec.image)
        begin_s = max((ends_s[earlier] for earlier in spec.after), default=0.0)
        ends_s.append(begin_s + chain_share * estimate_s)
        work_s[spec.is_filler] += unstarted * spec.demand.cpu_millis / 1000 * estimate_s
    accepted_at = job.accepted_at
    if job.workflow.repeat_count and occurrence is not None:
        # Later occurrences of a scheduled job are due long after its acceptance.
        accepted_at = max([accepted_at, *(step.opened_at for step in occurrence.steps)])
    objective_s = job.objective_s(queue)
    return JobCost(
        queue.priority,
        accepted_at,
        accepted_at + objective_s,
        accepted_at + useful_factor * objective_s,
        max(ends_s, default=0.0),
        *work_s,
    )


def _remaining(spec: Step, occurrence: Occurrence | None, number: int) -> tuple[int, float]:
    """Returns the number of a step's tasks to start, and the share of its run time that is left."""
    if occurrence is None:
        return spec.count, 1.0
    step = occurrence.steps[number]
    if step.done == spec.count:
        return 0, 0.0
    if not step.is_open:
        return spec.count, 1.0
    return len(step.waiting), 1.0 if step.waiting else RUNNING_LEFT_SHARE
