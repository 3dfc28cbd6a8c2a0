"""HTTP routes for callers: batch tasks."""

import re
from typing import Any

import pydantic
from litestar import Request, Router, delete, get, put
from litestar.response import Response
from pollengate.jobs import JobSpec, Resources
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate_net.messages import scheduler_pb2 as pb
from result import Err

from pollengated.config_model import NAME_PATTERN
from pollengated.job_router import JobRouter
from pollengated.metrics import Metrics
from pollengated.problems import problem_response

__all__ = ["TaskModel", "task_router"]


TASK_ID_RULE = "1 to 128 letters, digits, '.', '_' and '-', starting with a letter or digit"
MAX_MEMORY_MB = 100_000_000
MAX_DURATION_MS = 2_592_000_000  # 30 days

_TASK_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


class TaskModel(pydantic.BaseModel):
    """The request body that submits a batch task."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    team: str = pydantic.Field(pattern=NAME_PATTERN)
    task_class: str = pydantic.Field(default="default", pattern=NAME_PATTERN)
    cores: int = pydantic.Field(ge=1, le=1024)
    memory_mb: int = pydantic.Field(ge=1, le=MAX_MEMORY_MB)
    accelerators: int = pydantic.Field(default=0, ge=0, le=1024)
    count: int = pydantic.Field(default=1, ge=1, le=100_000)
    duration_ms: int = pydantic.Field(default=1000, ge=1, le=MAX_DURATION_MS)
    idempotent: bool = True
    urgent: bool = False


def task_router(jobs: JobRouter, metrics: Metrics) -> Router:
    """Returns the router of `/tasks`."""

    @put("/{task_id:str}")
    async def submit(request: Request[Any, Any, Any], task_id: str) -> Response[Any]:
        body = await request.body()
        if isinstance(refusal := _check_id(task_id), Refusal):
            return problem_response(refusal, metrics)
        try:
            model = TaskModel.model_validate_json(body)
        except pydantic.ValidationError as error:
            return problem_response(_invalid(error), metrics)
        result = await jobs.submit(_spec(task_id, model))
        if isinstance(result, Err):
            return problem_response(result.err_value, metrics)
        status = 201 if result.ok_value.created else 200
        return Response(_document(result.ok_value.status), status_code=status)

    @get("/{task_id:str}")
    async def show(task_id: str) -> Response[Any]:
        if isinstance(refusal := _check_id(task_id), Refusal):
            return problem_response(refusal, metrics)
        result = await jobs.show(task_id)
        if isinstance(result, Err):
            return problem_response(result.err_value, metrics)
        return Response(_document(result.ok_value.status))

    @delete("/{task_id:str}", status_code=200)
    async def cancel(task_id: str) -> Response[Any]:
        if isinstance(refusal := _check_id(task_id), Refusal):
            return problem_response(refusal, metrics)
        result = await jobs.cancel(task_id)
        if isinstance(result, Err):
            return problem_response(result.err_value, metrics)
        return Response(_document(result.ok_value.status))

    @get("/")
    async def list_tasks() -> list[dict[str, Any]]:
        return [_document(status) for status in await jobs.list_jobs()]

    return Router("/tasks", route_handlers=[submit, show, cancel, list_tasks])


def _check_id(task_id: str) -> Refusal | None:
    if _TASK_ID.fullmatch(task_id):
        return None
    fields = (("task_id", TASK_ID_RULE),)
    detail = "the task id is invalid"
    return Refusal(Outcome.NOT_RUN, Reason.INVALID_REQUEST, detail, fields=fields)


def _spec(job_id: str, model: TaskModel) -> JobSpec:
    return JobSpec(
        job_id=job_id,
        team=model.team,
        task_class=model.task_class,
        resources=Resources(model.cores, model.memory_mb, model.accelerators),
        count=model.count,
        duration_ms=model.duration_ms,
        idempotent=model.idempotent,
        urgent=model.urgent,
    )


def _invalid(error: pydantic.ValidationError) -> Refusal:
    fields = tuple(
        (".".join(str(part) for part in entry["loc"]) or "body", entry["msg"])
        for entry in error.errors()
    )
    return Refusal(Outcome.NOT_RUN, Reason.INVALID_REQUEST, "the task is invalid", fields=fields)


def _document(status: pb.JobStatus) -> dict[str, Any]:
    return {
        "task_id": status.job.job_id,
        "team": status.job.team,
        "zone": status.zone,
        "shard": status.shard,
        "state": status.state,
        "count": status.job.count,
        "tasks": [
            {
                "task_id": task.task_id,
                "state": task.state,
                "worker_id": task.worker_id,
                "attempt": task.attempt,
            }
            for task in status.tasks
        ],
    }
