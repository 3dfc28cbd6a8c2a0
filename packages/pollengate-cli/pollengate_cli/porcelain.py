"""Operations of the command line on a gate, as functions with typed results."""

import dataclasses
import uuid
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

from result import Err, Ok, Result

from pollengate_cli.client import GateClient
from pollengate_cli.failures import MALFORMED_RESPONSE, NO_PROCESS, NOT_RUN, UNKNOWN, Failure
from pollengate_cli.views import (
    AcceptedPatchView,
    ConfigurationView,
    ExplanationView,
    HistoryEntryView,
    ServiceView,
    StatusView,
    TaskSubmission,
    TaskView,
    ZoneView,
    decode_view,
    decode_views,
    explanation_from_document,
    status_from_document,
    task_from_document,
)

__all__ = [
    "Patch",
    "cancel_task",
    "explain_job",
    "explain_workflow",
    "find_patch",
    "get_configuration",
    "get_history",
    "get_schema",
    "get_status",
    "list_services",
    "list_tasks",
    "list_zones",
    "new_idempotency_key",
    "patch_configuration",
    "patch_zone",
    "show_task",
    "submit_task",
]

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """A merge patch, the version it is based on and the key that makes it idempotent."""

    version: int
    document: dict[str, Any]
    idempotency_key: str


def new_idempotency_key() -> str:
    """Returns a random key for one patch."""
    return str(uuid.uuid4())


def get_configuration(gate: GateClient) -> Result[ConfigurationView, Failure]:
    """Returns the configuration with its version."""
    return _read(gate, "/config", lambda document: decode_view(ConfigurationView, document))


def get_schema(gate: GateClient) -> Result[dict[str, Any], Failure]:
    """Returns the JSON schema of the configuration."""
    return _read(gate, "/config/schema", dict)


def get_history(gate: GateClient) -> Result[tuple[HistoryEntryView, ...], Failure]:
    """Returns the accepted patches that the gate still keeps, newest first."""
    return _read(gate, "/config/history", lambda document: decode_views(HistoryEntryView, document))


def patch_configuration(gate: GateClient, patch: Patch) -> Result[AcceptedPatchView, Failure]:
    """Applies a merge patch; repeating it with the same key has no further effect."""
    headers = {"If-Match": f'"{patch.version}"', "Idempotency-Key": patch.idempotency_key}
    response = gate.call("PATCH", "/config", patch.document, headers)
    accepted = _decode(
        response,
        lambda document: AcceptedPatchView(document["version"], patch.idempotency_key),
        UNKNOWN,
    )
    key = patch.idempotency_key
    return accepted.map_err(lambda failure: dataclasses.replace(failure, idempotency_key=key))


def find_patch(gate: GateClient, idempotency_key: str) -> Result[HistoryEntryView, Failure]:
    """Returns the accepted patch with an idempotency key."""
    path = f"/config/patches/{quote(idempotency_key, safe='')}"
    return _read(gate, path, lambda document: decode_view(HistoryEntryView, document))


def patch_zone(
    gate: GateClient, zone: str, in_service: bool, version: int | None, idempotency_key: str
) -> Result[AcceptedPatchView, Failure]:
    """Takes an availability zone out of service or brings it back.

    Args:
        gate: client of the gate that applies the patch.
        zone: name of a configured zone.
        in_service: whether tasks may start in the zone.
        version: version that the patch is based on, None for the current one.
        idempotency_key: makes the patch idempotent.
    """
    current = get_configuration(gate)
    if isinstance(current, Err):
        return current
    zones = current.ok_value.configuration.get("zones", {})
    if zone not in zones:
        known = ", ".join(sorted(zones)) or "none"
        detail = f"zone {zone!r} is not configured; configured: {known}"
        return Err(Failure(NOT_RUN, "not_found", detail))
    base_version = current.ok_value.version if version is None else version
    document = {"zones": {zone: {"in_service": in_service}}}
    return patch_configuration(gate, Patch(base_version, document, idempotency_key))


def list_zones(gate: GateClient) -> Result[tuple[ZoneView, ...], Failure]:
    """Returns the configured zones with their numbers of owners, workers and tasks."""
    return get_status(gate).map(lambda status: status.zones)


def list_services(gate: GateClient) -> Result[tuple[ServiceView, ...], Failure]:
    """Returns the configured services, sorted by name."""

    def services(document: dict[str, Any]) -> tuple[ServiceView, ...]:
        by_name = document["configuration"]["services"]
        return decode_views(ServiceView, ({"name": n} | by_name[n] for n in sorted(by_name)))

    return _read(gate, "/config", services)


def submit_task(
    gate: GateClient, task_id: str, submission: TaskSubmission
) -> Result[TaskView, Failure]:
    """Submits a batch task or an array; repeating the submission has no further effect."""
    response = gate.call("PUT", _task_path(task_id), dataclasses.asdict(submission))
    return _decode(response, task_from_document, UNKNOWN)


def show_task(gate: GateClient, task_id: str) -> Result[TaskView, Failure]:
    """Returns a batch task or array."""
    return _read(gate, _task_path(task_id), task_from_document)


def list_tasks(gate: GateClient) -> Result[tuple[TaskView, ...], Failure]:
    """Returns all batch tasks and arrays that the system knows."""
    return _read(gate, "/tasks", lambda documents: tuple(map(task_from_document, documents)))


def cancel_task(gate: GateClient, task_id: str) -> Result[TaskView, Failure]:
    """Cancels a batch task; repeating it has no further effect."""
    return _decode(gate.call("DELETE", _task_path(task_id)), task_from_document, UNKNOWN)


def get_status(gate: GateClient) -> Result[StatusView, Failure]:
    """Returns the status of the whole system as one gate sees it."""
    return _read(gate, "/status", status_from_document)


def explain_job(process: GateClient, job_id: str) -> Result[ExplanationView, Failure]:
    """Explains a job; asks the process at whose metrics address the client calls."""
    return _explain(process, "GET", f"/explain/{quote(job_id, safe='')}", None)


def explain_workflow(
    process: GateClient, path: str, document: dict[str, Any], host: str, account: str
) -> Result[ExplanationView, Failure]:
    """Explains a job that was never submitted.

    Args:
        process: client of the metrics address of a process.
        path: prefix of the queue, optionally followed by a job id.
        document: the job as clients send it.
        host: host of the queue, empty if the prefix is enough to find it.
        account: the client account that would submit it, empty for none.
    """
    given = {name: value for name, value in (("host", host), ("account", account)) if value}
    query = f"?{urlencode(given)}" if given else ""
    return _explain(process, "POST", f"/explain/{quote(path.removeprefix('/'))}{query}", document)


def _explain(
    process: GateClient, method: str, path: str, body: object
) -> Result[ExplanationView, Failure]:
    response = process.call(method, path, body).map_err(_as_failed_read)
    return _decode(response, explanation_from_document, NOT_RUN)


def _as_failed_read(failure: Failure) -> Failure:
    """Returns the failure of a call that has no effect whatever became of it."""
    if failure.status:
        return dataclasses.replace(failure, outcome=NOT_RUN)
    return dataclasses.replace(failure, outcome=NOT_RUN, reason=NO_PROCESS)


def _task_path(task_id: str) -> str:
    return f"/tasks/{quote(task_id, safe='')}"


def _read(gate: GateClient, path: str, decode: Callable[[Any], T]) -> Result[T, Failure]:
    return _decode(gate.call("GET", path), decode, NOT_RUN)


def _decode(
    response: Result[Any, Failure], decode: Callable[[Any], T], outcome: str
) -> Result[T, Failure]:
    if isinstance(response, Err):
        return response
    try:
        return Ok(decode(response.ok_value))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        detail = f"the response does not have the expected form: {error}"
        return Err(Failure(outcome, MALFORMED_RESPONSE, detail))
