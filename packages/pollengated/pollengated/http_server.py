"""The HTTP server of a process: application, size and time limits, error responses."""

import asyncio
from collections.abc import Sequence

import uvicorn
from litestar import Litestar, Router
from litestar.handlers import ASGIRouteHandler
from litestar.types import ASGIApp
from pollengate_net.calls import split_address

from pollengated.body_deadline import BodyDeadline
from pollengated.http_errors import exception_handlers
from pollengated.http_protocol import http_protocol
from pollengated.metrics import Metrics
from pollengated.request_budget import RequestBudget
from pollengated.request_limits import DEFAULT_BUFFERED_BYTES, RequestLimits
from pollengated.request_tracing import RequestTracing
from pollengated.settings import Settings
from pollengated.uvicorn_server import NoSignalServer

__all__ = ["create_app", "create_server", "serve_until_cancelled"]

BODY_TIMEOUT_MARGIN_S = 5.0
# Bodies of the largest size that fit into the memory of a process's requests.
MIN_LARGEST_BODIES = 8


def create_app(
    routers: Sequence[Router | ASGIRouteHandler], settings: Settings, metrics: Metrics
) -> ASGIApp:
    """Returns an application that reports every error as a problem document."""
    app = Litestar(
        list(routers),
        request_max_body_size=settings.max_body_bytes,
        exception_handlers=exception_handlers(metrics, settings.max_body_bytes),
        openapi_config=None,
        logging_config=None,
    )
    return RequestTracing(BodyDeadline(app, settings.body_timeout_s))


def create_server(app: ASGIApp, settings: Settings, metrics: Metrics) -> NoSignalServer:
    """Returns a server that listens on the HTTP address of the settings."""
    host, port = split_address(settings.http_address)
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        http=http_protocol(
            metrics,
            settings.head_timeout_s,
            settings.answer_timeout_s,
            _request_limits(settings),
            RequestBudget(
                max(DEFAULT_BUFFERED_BYTES, MIN_LARGEST_BODIES * settings.max_body_bytes)
            ),
        ),
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
    )
    return NoSignalServer(config)


def _request_limits(settings: Settings) -> RequestLimits:
    # Exceeds the time limit of `BodyDeadline`, whose response has the request's id.
    body_timeout_s = settings.body_timeout_s + BODY_TIMEOUT_MARGIN_S
    return RequestLimits(body_bytes=settings.max_body_bytes, body_timeout_s=body_timeout_s)


async def serve_until_cancelled(app: ASGIApp, settings: Settings, metrics: Metrics) -> None:
    """Serves until cancelled, then finishes the requests in progress."""
    server = create_server(app, settings, metrics)
    serving = asyncio.create_task(server.serve())
    try:
        await asyncio.shield(serving)
    except asyncio.CancelledError:
        server.should_exit = True
        await serving
        raise
