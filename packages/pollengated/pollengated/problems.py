"""RFC 9457 problem documents."""

from typing import Any

from litestar.response import Response
from pollengate.refusals import Reason, Refusal

from pollengated.metrics import Metrics

__all__ = ["problem"]

_STATUS_BY_REASON = {
    Reason.BACKEND_FAILED: 502,
    Reason.BODY_TOO_LARGE: 413,
    Reason.CALLER_GONE: 499,
    Reason.CONFIGURATION_STALE: 503,
    Reason.DEADLINE_TOO_SHORT: 503,
    Reason.INVALID_REQUEST: 422,
    Reason.NO_BACKEND: 503,
    Reason.NO_OWNER: 503,
    Reason.NO_SLOT: 503,
    Reason.NOT_FOUND: 404,
    Reason.QUEUE_FULL: 503,
    Reason.STOPPING: 503,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.TASK_CONFLICT: 409,
    Reason.UPSTREAM_TIMEOUT: 504,
    Reason.VERSION_CONFLICT: 412,
    Reason.VERSION_REQUIRED: 428,
}


def problem(refusal: Refusal, metrics: Metrics) -> Response[Any]:
    """Encodes a refusal and counts it."""
    metrics.refusals.labels(refusal.reason.value).inc()
    status = _STATUS_BY_REASON[refusal.reason]
    document: dict[str, Any] = {
        "type": f"urn:pollengate:{refusal.reason.value}",
        "title": refusal.reason.value.replace("_", " "),
        "status": status,
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
        "reason": refusal.reason.value,
    }
    if refusal.fields:
        document["fields"] = [{"field": f, "detail": detail} for f, detail in refusal.fields]
    headers = {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    return Response(
        document, status_code=status, headers=headers, media_type="application/problem+json"
    )
