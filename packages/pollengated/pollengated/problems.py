"""Refusals as HTTP problem documents (RFC 9457)."""

import math
from typing import Any

from litestar.response import Response
from pollengate.refusals import Reason, Refusal
from pollengate_net.request_ids import current_request_id

from pollengated.metrics import Metrics

__all__ = ["PROBLEM_MEDIA_TYPE", "STATUS_BY_REASON", "problem_response", "problem_document"]

PROBLEM_MEDIA_TYPE = "application/problem+json"

STATUS_BY_REASON = {
    Reason.BACKEND_FAILED: 502,
    Reason.BODY_TOO_LARGE: 413,
    Reason.CALLER_GONE: 499,
    Reason.CONFIGURATION_STALE: 503,
    Reason.DEADLINE_TOO_SHORT: 503,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.IDEMPOTENCY_CONFLICT: 409,
    Reason.INTERNAL_ERROR: 500,
    Reason.INVALID_REQUEST: 422,
    Reason.MEMORY_FULL: 503,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.NO_BACKEND: 503,
    Reason.NO_OWNER: 503,
    Reason.NOT_ADMITTED: 503,
    Reason.NO_SLOT: 503,
    Reason.NOT_FOUND: 404,
    Reason.OWNER_MAY_REMAIN: 503,
    Reason.PROMISE_UNANSWERED: 503,
    Reason.PROMISE_WITHHELD: 503,
    Reason.QUEUE_FULL: 503,
    Reason.REQUEST_INCOMPLETE: 408,
    Reason.STOPPING: 503,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.TASK_CONFLICT: 409,
    Reason.UPSTREAM_TIMEOUT: 504,
    Reason.VERSION_CONFLICT: 412,
    Reason.VERSION_REQUIRED: 428,
}


def problem_response(refusal: Refusal, metrics: Metrics) -> Response[Any]:
    """Counts a refusal and returns it as an HTTP response."""
    metrics.count_refusal(refusal.reason)
    headers = {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    return Response(
        problem_document(refusal),
        status_code=STATUS_BY_REASON[refusal.reason],
        headers=headers,
        media_type=PROBLEM_MEDIA_TYPE,
    )


def problem_document(refusal: Refusal) -> dict[str, Any]:
    """Returns the problem document of a refusal."""
    document: dict[str, Any] = {
        "type": f"urn:pollengate:{refusal.reason.value}",
        "title": refusal.reason.value.replace("_", " "),
        "status": STATUS_BY_REASON[refusal.reason],
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
        "reason": refusal.reason.value,
    }
    if request_id := current_request_id():
        document["request_id"] = request_id
    if refusal.fields:
        document["fields"] = [{"field": f, "detail": detail} for f, detail in refusal.fields]
    return document
