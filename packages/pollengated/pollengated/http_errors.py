"""Exception handlers that turn HTTP errors into problem documents."""

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
    """Returns an application's exception handlers by exception type.

    Args:
        metrics: counts the refusals.
        max_body_bytes: largest accepted request body, named in the error.
    """
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
        detail = f"the request body exceeds {max_body_bytes} bytes"
        return problem_response(Refusal(Outcome.NOT_RUN, Reason.BODY_TOO_LARGE, detail), metrics)

    def incomplete(_: Request[Any, Any, Any], error: BodyIncomplete) -> Response[Any]:
        refusal = Refusal(Outcome.NOT_RUN, Reason.REQUEST_INCOMPLETE, str(error), 1.0)
        return problem_response(refusal, metrics)

    def client_error(request: Request[Any, Any, Any], error: HTTPException) -> Response[Any]:
        if error.status_code >= SERVER_ERROR:
            return unexpected(request, error)
        refusal = Refusal(Outcome.NOT_RUN, Reason.INVALID_REQUEST, error.detail)
        return problem_response(refusal, metrics)

    def unexpected(request: Request[Any, Any, Any], error: Exception) -> Response[Any]:
        log.error(
            "unhandled exception; responding with status 500",
            error,
            method=request.method,
            path=request.url.path,
        )
        detail = "internal error; the gate's log has the traceback under this request id"
        return problem_response(Refusal(Outcome.UNKNOWN, Reason.INTERNAL_ERROR, detail), metrics)

    return {
        NotFoundException: not_found,
        MethodNotAllowedException: not_allowed,
        RequestEntityTooLarge: too_large,
        BodyIncomplete: incomplete,
        HTTPException: client_error,
        Exception: unexpected,
    }
