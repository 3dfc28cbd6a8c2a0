"""Refusals: error responses to callers whose requests were not carried out."""

import dataclasses
import enum

__all__ = ["Outcome", "Reason", "Refusal"]


class Outcome(enum.StrEnum):
    """What is known about the effect of a refused request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Reason(enum.StrEnum):
    """Why a request was refused. Each value is also a metric label."""

    BACKEND_FAILED = "backend_failed"
    BODY_TOO_LARGE = "body_too_large"
    CALLER_GONE = "caller_gone"
    CONFIGURATION_STALE = "configuration_stale"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    HEADERS_TOO_LARGE = "headers_too_large"
    IDEMPOTENCY_CONFLICT = "idempotency_conflict"
    INTERNAL_ERROR = "internal_error"
    INVALID_REQUEST = "invalid_request"
    MEMORY_FULL = "memory_full"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NO_BACKEND = "no_backend"
    NO_OWNER = "no_owner"
    NOT_ADMITTED = "not_admitted"
    NO_SLOT = "no_slot"
    NOT_FOUND = "not_found"
    OWNER_MAY_REMAIN = "owner_may_remain"
    PROMISE_UNANSWERED = "promise_unanswered"
    PROMISE_WITHHELD = "promise_withheld"
    QUEUE_FULL = "queue_full"
    REQUEST_INCOMPLETE = "request_incomplete"
    STOPPING = "stopping"
    STORE_UNAVAILABLE = "store_unavailable"
    TASK_CONFLICT = "task_conflict"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    VERSION_CONFLICT = "version_conflict"
    VERSION_REQUIRED = "version_required"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal with its reason and the known effect of the request.

    Attributes:
        outcome: whether the request ran.
        reason: why the request was refused.
        detail: human-readable description in one sentence.
        retry_after_s: seconds after which a retry may succeed, None if it never does.
        fields: pairs of the path of an invalid field and the values that are allowed for it.
    """

    outcome: Outcome
    reason: Reason
    detail: str
    retry_after_s: float | None = None
    fields: tuple[tuple[str, str], ...] = ()
