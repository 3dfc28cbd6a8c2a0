"""Answers errors of the HTTP border with problem documents."""

from collections.abc import Callable
from typing import Any

from litestar import Request
from litestar.exceptions import HTTPException, MethodNotAllowedException, NotFoundException
from litestar.exceptions.http_exceptions import RequestEntityTooLarge
from litestar.response import Response
from pollengate.refusals import Outcome, Reason, Refusal

from pollengated.body_deadline import BodyIncomplete
from pollengated.logs import Log
from pollengated.metrics import Metrics
from pollengated.problems import problem_response

__all__ = ["ExceptionHandlers", "exception_handlers"]

SERVER_ERROR = 500

ExceptionHandlers = dict[
    int | type[Exception], Callable[[Request[Any, Any, Any], Any], Response[Any]]
]


def exception_handlers(metrics: Metrics, max_body_bytes: int) -> ExceptionHandlers:
    """Returns the handlers of an application, by exception type."""
    log = Log("http")

    def not_found(request: Request[Any, Any, Any], _: Exception) -> Response[Any]:
        detail = f"path {request.url.path!r} does not exist"
        return problem_response(Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, detail), metrics)

    def not_allowed(request: Request[Any, Any, Any], error: HTTPException) -> Response[Any]:
        detail = f"method {request.method} is not allowed on {request.url.path!r}"
        refusal = Refusal(Outcome.NOT_RUN, Reason.METHOD_NOT_ALLOWED, detail)
        response = problem_response(refusal, metrics)
        response.headers.update(error.headers or {})
        return response

    def too_large(_: Request[Any, Any, Any], __: Exception) -> Response[Any]:
        detail = f"the body is longer than {max_body_bytes} bytes"
        return problem_response(Refusal(Outcome.NOT_RUN, Reason.BODY_TOO_LARGE, detail), metrics)

    def incomplete(_: Request[Any, Any, Any], error: BodyIncomplete) -> Response[Any]:
        refusal = Refusal(Outcome.NOT_RUN, Reason.REQUEST_INCOMPLETE, str(error), 1.0)
        return problem_response(refusal, metrics)

    def refused(request: Request[Any, Any, Any], error: HTTPException) -> Response[Any]:
        if error.status_code >= SERVER_ERROR:
            return unexpected(request, error)
        refusal = Refusal(Outcome.NOT_RUN, Reason.INVALID_REQUEST, error.detail)
        return problem_response(refusal, metrics)

    def unexpected(request: Request[Any, Any, Any], error: Exception) -> Response[Any]:
        log.error("request failed", error, method=request.method, path=request.url.path)
        detail = "the gate failed while it handled the request; its log has the request id"
        return problem_response(Refusal(Outcome.UNKNOWN, Reason.INTERNAL_ERROR, detail), metrics)

    return {
        NotFoundException: not_found,
        MethodNotAllowedException: not_allowed,
        RequestEntityTooLarge: too_large,
        BodyIncomplete: incomplete,
        HTTPException: refused,
        Exception: unexpected,
    }
