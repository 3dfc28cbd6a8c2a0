"""Reasons against placing the next task of a step on a worker."""

import enum
import math

from pollengate.workflow.fleet import Fleet, WorkerView
from pollengate.workflow.model import WorkerCondition
from pollengate.workflow.placement import Placer, has_unused_processors
from pollengate.workflow.progress import StepProgress, TaskProgress
from pollengate.workflow.unanswered_starts import UnansweredStarts

__all__ = ["Reason", "count_fitting_tasks", "find_reason", "find_unschedulable_reason"]


class Reason(enum.StrEnum):
    """Why a worker does not get the next task of a step."""

    NOT_REGISTERED = "not_registered"
    NOT_REPLYING = "not_replying"
    OTHER_INCARNATION = "other_incarnation"
    NOT_RECORDED = "not_recorded"
    RELEASED = "released"
    DRAINING = "draining"
    EVACUATED_ZONE = "evacuated_zone"
    TRIAL = "trial"
    BACKOFF = "backoff"
    LABEL = "label"
    NO_CAPACITY = "no_capacity"
    LIMIT_PER_WORKER = "limit_per_worker"
    HAS_RUN = "has_run"
    UNANSWERED_START = "unanswered_start"
    NO_TICKET = "no_ticket"
    QUARANTINE = "quarantine"
    FAILED_THERE = "failed_there"
    FILLERS_BLOCKED = "fillers_blocked"
    INTERFERENCE = "interference"
    ACCOUNT_LIMIT = "account_limit"
    RESERVED = "reserved"


def find_unschedulable_reason(fleet: Fleet, view: WorkerView, now: float) -> Reason | None:
    """Returns why a worker may get no task at all; the conditions of `Fleet.is_schedulable`."""
    if not view.is_registered:
        return Reason.NOT_REGISTERED
    if view.is_released:
        return Reason.RELEASED
    if view.trial is not None:
        return Reason.TRIAL
    if view.info.condition is not WorkerCondition.READY:
        return Reason.DRAINING
    if view.info.zone in fleet.evacuated_zones:
        return Reason.EVACUATED_ZONE
    if not view.is_attached:
        return Reason.NOT_REPLYING
    if not view.is_registration_current:
        return Reason.OTHER_INCARNATION
    if not view.is_recorded:
        return Reason.NOT_RECORDED
    return Reason.BACKOFF if now < view.unavailable_until else None


def find_reason(
    task: TaskProgress,
    view: WorkerView,
    placer: Placer,
    unanswered_starts: UnansweredStarts,
    needs_ticket: bool,
    now: float,
) -> Reason | None:
    """Returns the first reason against a task on a schedulable worker, None if there is none."""
    step = task.step
    spec = step.spec
    if spec.required_label and spec.required_label not in view.info.labels:
        return Reason.LABEL
    if not view.fits(spec.demand, spec.is_filler):
        return Reason.NO_CAPACITY
    if spec.max_per_worker and step.runs_on(view.worker_id) >= spec.max_per_worker:
        return Reason.LIMIT_PER_WORKER
    if view.worker_id in task.worker_ids:
        return Reason.HAS_RUN
    if not unanswered_starts.allowed(task, (view,), now):
        return Reason.UNANSWERED_START
    if needs_ticket and not placer.has_ticket(step, view, now):
        return Reason.NO_TICKET
    if not placer.evidence.admits(view.worker_id, task.name, task.probe_name):
        is_quarantined = placer.evidence.is_quarantined(view.worker_id)
        return Reason.QUARANTINE if is_quarantined else Reason.FAILED_THERE
    if not spec.is_filler:
        return Reason.RESERVED if view.is_reserved else None
    if now < view.fillers_blocked_until:
        return Reason.FILLERS_BLOCKED
    if not has_unused_processors(step, view, now):
        return Reason.NO_CAPACITY
    return None if placer.fillers.may_start(step, view, now) else Reason.INTERFERENCE


def count_fitting_tasks(step: StepProgress, view: WorkerView) -> int:
    """Returns how many waiting tasks of a step fit on a worker next to its runs."""
    spec = step.spec
    demand = spec.demand
    capacity = view.info.capacity
    free_millis = capacity.cpu_millis - view.committed_millis
    if spec.is_filler:
        free_millis = math.floor(view.unused_millis())
    limits = [len(step.waiting)]
    if spec.max_per_worker:
        limits.append(spec.max_per_worker - step.runs_on(view.worker_id))
    for free, needed in (
        (free_millis, demand.cpu_millis),
        (capacity.memory_mb - view.memory_mb, demand.memory_mb),
        (capacity.accelerators - view.accelerators, demand.accelerators),
    ):
        if needed:
            limits.append(free // needed)
    return max(0, min(limits))
