"""Callers' routes: requests of services."""

from typing import Any

from litestar import Request, Router, route
from litestar.response import Response
from litestar.types import Method
from pollengate.refusals import Outcome, Reason, Refusal
from result import Err, Ok, Result

from pollengated.metrics import Metrics
from pollengated.problems import problem
from pollengated.service_proxy import ServiceProxy, ServiceRequest

__all__ = ["service_router"]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
METHODS: list[Method] = ["GET", "HEAD", "PUT", "POST", "PATCH", "DELETE"]


def service_router(proxy: ServiceProxy, metrics: Metrics) -> Router:
    """Returns the routes below `/services`."""

    @route("/{service:str}/{path:path}", http_method=METHODS)
    async def serve(request: Request[Any, Any, Any], service: str, path: str) -> Response[Any]:
        timeout_ms = _timeout_ms(request.headers.get("pollengate-timeout-ms"))
        if isinstance(timeout_ms, Err):
            return problem(timeout_ms.err_value, metrics)
        sent = ServiceRequest(
            service=service,
            method=request.method,
            path=path,
            headers=dict(request.headers),
            body=await request.body(),
            timeout_ms=timeout_ms.ok_value,
            is_idempotent=_is_idempotent(request),
        )
        with metrics.requests.labels(service).time():
            result = await proxy.send(sent)
        if isinstance(result, Err):
            return problem(result.err_value, metrics)
        answer = result.ok_value
        media_type = answer.headers.get("content-type", "application/octet-stream")
        return Response(
            answer.body, status_code=answer.status, headers=answer.headers, media_type=media_type
        )

    return Router("/services", route_handlers=[serve])


def _timeout_ms(header: str | None) -> Result[int | None, Refusal]:
    if header is None:
        return Ok(None)
    if header.isdecimal() and int(header) > 0:
        return Ok(int(header))
    detail = f"Pollengate-Timeout-Ms {header!r} is no positive number of milliseconds"
    return Err(Refusal(Outcome.NOT_RUN, Reason.INVALID_REQUEST, detail))


def _is_idempotent(request: Request[Any, Any, Any]) -> bool:
    marked = request.headers.get("pollengate-idempotent")
    if marked is not None:
        return marked.lower() == "true"
    return request.method in IDEMPOTENT_METHODS
