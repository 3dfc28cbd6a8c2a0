"""Builders of workflows, workers and job tables for tests."""

import itertools
from collections.abc import Callable
from typing import Any

from pollengate.accounts.job_access import Requester
from pollengate.failure_evidence import FailureEvidence
from pollengate.interference.latency_model import LatencyModel
from pollengate.workflow.decision_guard import DecisionGuard
from pollengate.workflow.fleet import Fleet
from pollengate.workflow.job_table import JobTable
from pollengate.workflow.model import (
    Demand,
    Deployment,
    Queue,
    Step,
    Worker,
    WorkerCondition,
    Workflow,
)
from pollengate.workflow.ordering import StepOrder
from pollengate.workflow.placement import Placer
from pollengate.workflow.planner import Planner
from pollengate.workflow.progress import JobProgress, Run, TaskProgress
from pollengate.workflow.tickets import TicketCache

__all__ = [
    "REQUESTER",
    "build_job_table",
    "build_deployment",
    "build_job",
    "build_lease_worker",
    "build_planner",
    "build_workflow",
    "fail_for",
    "start_all",
    "build_step",
]

QUEUE = "queue"
REQUESTER = Requester(QUEUE, "")
SERVICE = "service"
LEASE_S = 4.0


def build_step(count: int = 1, **changes: Any) -> Step:
    """Returns a step of small tasks."""
    fields: dict[str, Any] = {"demand": Demand(1000, 100), "estimate_ms": 1000}
    return Step(count, **(fields | changes))


def build_workflow(*steps: Step, **changes: Any) -> Workflow:
    """Returns a workflow of the given steps, by default of a single task."""
    return Workflow("payload", steps or (build_step(),), **changes)


def build_job(job_id: str = "00000000000000aa", *steps: Step, **changes: Any) -> JobProgress:
    """Returns a job accepted at time 0."""
    return JobProgress(job_id, QUEUE, build_workflow(*steps, **changes), 0, 0.0)


def build_deployment(version: int = 1, **changes: Any) -> Deployment:
    """Returns a configuration with one queue."""
    fields: dict[str, Any] = {"max_attempts": 2, "stretch": 2.0, "target_ms": 500, "name": QUEUE}
    queue = Queue(host="host", prefix="/jobs/", service=SERVICE, **(fields | changes))
    return Deployment(version, (queue,))


def build_lease_worker(worker_id: str = "w0", **changes: Any) -> Worker:
    """Returns a ready worker with four cores."""
    fields: dict[str, Any] = {
        "service": SERVICE,
        "address": f"{worker_id}:1",
        "zone": "a",
        "condition": WorkerCondition.READY,
        "capacity": Demand(4000, 1000),
        "labels": ("kind", "r0"),
        "rack": "r0",
    }
    return Worker(worker_id, **(fields | changes))


def build_job_table(*workers: Worker, term: int = 0, **queue: Any) -> JobTable:
    """Returns an empty job table with workers that are attached and recorded."""
    fleet = Fleet(LEASE_S, 0.0)
    fleet.update(workers, 0.0)
    for view in fleet.workers_by_id.values():
        view.is_attached = view.is_recorded = True
    job_table = JobTable(fleet, FailureEvidence(lambda: 0.0), term)
    job_table.deployment = build_deployment(**queue)
    return job_table


def build_planner(
    job_table: JobTable,
    latency_model: LatencyModel | None = None,
    settled: bool = True,
    tickets: TicketCache | None = None,
    order: StepOrder | None = None,
    guard: DecisionGuard | None = None,
) -> Planner:
    """Returns a planner for a job table."""
    placer = Placer(job_table.evidence, latency_model or LatencyModel(), tickets or TicketCache())
    return Planner(job_table, placer, lambda: settled, order, guard=guard)


def start_all(job_table: JobTable, now: float = 0.0) -> list[Run]:
    """Starts every waiting task that fits on a worker, and confirms the starts."""
    runs = build_planner(job_table).plan(now)
    for run in runs:
        job_table.mark_started(run, now)
    return runs


def fail_for(job_id: str, choose: Callable[..., Any], after: int = 0) -> Callable[..., Any]:
    """Returns a stand-in of `Placer.choose` that raises for the tasks of a job.

    Args:
        job_id: the job.
        choose: the real method.
        after: number of calls for the job that succeed before.
    """
    calls = itertools.count()

    def choose_or_fail(placer: Placer, task: TaskProgress, *args: Any, **kwargs: Any) -> Any:
        if task.step.job.job_id == job_id and next(calls) >= after:
            raise ArithmeticError(task.name)
        return choose(placer, task, *args, **kwargs)

    return choose_or_fail
