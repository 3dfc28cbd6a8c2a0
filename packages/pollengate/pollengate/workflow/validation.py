"""Checks workflows that clients submit and that other processes store or forward."""

from pollengate.decoding import MAX_NUMBER
from pollengate.workflow.model import Step, Workflow

__all__ = ["MAX_GANG_TASKS", "MAX_TASKS_PER_JOB", "find_excess", "find_fault"]

# An owner keeps every task of a job in memory, a few hundred bytes each.
MAX_TASKS_PER_JOB = 50_000
# The members of a gang have to be present within seconds of the first, and a deployment starts some
# hundred tasks a second.
MAX_GANG_TASKS = 4_000


def find_fault(workflow: Workflow) -> str | None:
    """Returns why a workflow cannot be scheduled, None if it can."""
    if not workflow.steps:
        return "a job needs a step"
    times = (workflow.first_due_ms, workflow.interval_ms, workflow.repeat_count)
    if not _are_amounts(times):
        return "a time of the job is out of range"
    tasks = sum(step.count for step in workflow.steps) * max(1, workflow.repeat_count)
    if tasks > MAX_TASKS_PER_JOB:
        return f"the job has {tasks} tasks; the limit is {MAX_TASKS_PER_JOB}"
    for number, step in enumerate(workflow.steps):
        if step.count < 1:
            return f"step {number} has no tasks"
        if any(not 0 <= before < number for before in step.after):
            return f"step {number} comes after a step that is not before it"
        if not _are_amounts(_numbers_of(step)):
            return f"a number of step {number} is out of range"
    return None


def find_excess(workflow: Workflow) -> str | None:
    """Returns why a new workflow cannot be served, None if it can; accepted ones are not judged."""
    for number, step in enumerate(workflow.steps):
        if step.is_gang and step.count > MAX_GANG_TASKS:
            return f"step {number} is a gang of {step.count} tasks; the limit is {MAX_GANG_TASKS}"
    return None


def _numbers_of(step: Step) -> tuple[int, ...]:
    demand = step.demand
    return (
        demand.cpu_millis,
        demand.memory_mb,
        demand.accelerators,
        step.estimate_ms,
        step.max_per_worker,
        step.target_ms,
        step.may_miss,
    )


def _are_amounts(numbers: tuple[int, ...]) -> bool:
    return all(0 <= number <= MAX_NUMBER for number in numbers)
