"""Failed calls to a gate, their exit codes and hints on what to do next."""

import dataclasses
from typing import Any

from pollengate_cli.exit_codes import ExitCode

__all__ = ["FieldFault", "Failure", "failure_from_problem", "next_step"]

NOT_RUN = "not_run"
UNKNOWN = "unknown"

NO_GATE = "no_gate"
NO_PROCESS = "no_process"
NO_RESPONSE = "no_answer"
MALFORMED_RESPONSE = "malformed_answer"

_NEXT_STEP_BY_REASON = {
    "ambiguous_queue": "repeat with --host",
    "configuration_stale": "look at `pollengate status`: a zone is cut off or the store is down",
    "idempotency_conflict": "this key was used for another patch; leave out --idempotency-key",
    "internal_error": "look for the request id in the gate's log",
    "invalid_request": "correct the fields and repeat",
    "method_not_allowed": "the gate and this command differ in version; update one of them",
    "no_backend": "look at the service's backend servers, then repeat",
    "not_admitted": "repeat in a few seconds, or with another --gate",
    "no_owner": "repeat in a few seconds; if it persists, look at `pollengate status`",
    "not_owner": "repeat with the metrics address of that node as --address",
    "not_found": "check the name with `pollengate task list`, `service list` or `zone list`",
    "queue_full": "submit later, or raise limits.max_queued_tasks with `pollengate config patch`",
    "stopping": "repeat with another --gate",
    "store_unavailable": "repeat once the platform's store answers",
    "task_conflict": "choose another task id; this one is taken by another task",
    "unknown_account": "check the name given with --account against the configuration",
    "unknown_job": "check the id; jobs are forgotten some time after their end",
    "unknown_queue": "check --queue and --host against the routes of the configuration",
    "version_conflict": "read `pollengate config get`, check the patch, repeat with --version",
    "version_required": "the gate and this command differ in version; update one of them",
    NO_GATE: "check the addresses given with --gate or POLLENGATE_GATE",
    NO_PROCESS: "check that --address is the metrics address of an edge process that runs",
    MALFORMED_RESPONSE: "check that the address is a gate with the version of this command",
}
_NEXT_STEP_UNKNOWN = "check with `get`, `show` or `list` whether it took effect before repeating"


@dataclasses.dataclass(frozen=True, slots=True)
class FieldFault:
    """An invalid field of a request and what is wrong with it."""

    field: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A call that a gate refused or did not respond to.

    Attributes:
        outcome: `not_run`, `unknown` or `failed`.
        reason: machine-readable cause: a reason from the gate's metrics or one of this module.
        detail: the cause in one sentence.
        status: HTTP status, 0 if there was no response.
        retry_after_s: seconds to wait before a retry, None if the gate gave none.
        fields: invalid fields of the request.
        request_id: identifies the request in the gate's logs.
        idempotency_key: key to look up or repeat a patch with; empty for other calls.
    """

    outcome: str
    reason: str
    detail: str
    status: int = 0
    retry_after_s: int | None = None
    fields: tuple[FieldFault, ...] = ()
    request_id: str = ""
    idempotency_key: str = ""

    def exit_code(self) -> ExitCode:
        """Returns the exit code of a command that fails this way."""
        if self.outcome != NOT_RUN:
            return ExitCode.UNKNOWN
        if self.reason in (NO_GATE, NO_PROCESS):
            return ExitCode.UNREACHABLE
        if self.reason == "version_conflict":
            return ExitCode.CONFLICT
        return ExitCode.REFUSED


def failure_from_problem(
    status: int, document: dict[str, Any], retry_after: str | None, request_id: str
) -> Failure:
    """Decodes a problem document, which may lack any of its fields.

    Args:
        status: HTTP status of the response.
        document: its JSON body; without an outcome, the outcome is `unknown`.
        retry_after: its `Retry-After` header; ignored unless it is a number of seconds.
        request_id: its request id, empty if there is none.
    """
    listed = document.get("fields")
    fields = tuple(
        FieldFault(str(entry.get("field", "")), str(entry.get("detail", "")))
        for entry in (listed if isinstance(listed, list) else ())
        if isinstance(entry, dict)
    )
    return Failure(
        outcome=str(document.get("outcome", UNKNOWN)),
        reason=str(document.get("reason", f"http_{status}")),
        detail=str(document.get("detail", f"the response has status {status}")),
        status=status,
        retry_after_s=int(retry_after) if retry_after and retry_after.isdecimal() else None,
        fields=fields,
        request_id=request_id,
    )


def next_step(failure: Failure) -> str:
    """Returns a hint on what to do next, empty if there is none."""
    if failure.outcome != NOT_RUN and failure.idempotency_key:
        key = failure.idempotency_key
        return f"check with `pollengate config find {key}` or repeat with --idempotency-key {key}"
    if failure.outcome != NOT_RUN and failure.reason != MALFORMED_RESPONSE:
        return _NEXT_STEP_UNKNOWN
    return _NEXT_STEP_BY_REASON.get(failure.reason, "")
