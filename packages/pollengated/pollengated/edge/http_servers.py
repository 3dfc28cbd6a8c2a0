"""Creates the HTTP servers of an edge process, which refuse what exceeds their limits."""

import time

import uvicorn
from litestar.types import ASGIApp
from pollengate.refusals import Refusal
from pollengate_net.calls import split_address
from pollengate_platform.client_api import MAX_BODY_BYTES, encode_refusal

from pollengated.connection_table import ConnectionTable
from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.http_listener import HttpListener
from pollengated.http_protocol import bounded_http_protocol
from pollengated.http_refusals import encode_response
from pollengated.limit_refusals import LimitRefusals
from pollengated.request_budget import RequestBudget
from pollengated.request_limits import (
    RECEIVE_BUFFER_BYTES,
    ListenerLimits,
    ProcessLimits,
    RequestLimits,
)
from pollengated.uvicorn_server import NoSignalServer

__all__ = ["EdgeHttpServers"]

# Clients reuse idle connections; a shorter timeout makes them open new ones.
KEEP_ALIVE_TIMEOUT_S = 75


class EdgeHttpServers:
    """Creates the HTTP servers of one process."""

    def __init__(self, limits: ProcessLimits, metrics: EdgeMetrics) -> None:
        self._metrics = metrics
        self._budget = RequestBudget(limits.buffered_bytes)

    def create(
        self, name: str, app: ASGIApp, address: str, limits: ListenerLimits
    ) -> NoSignalServer:
        """Returns a server.

        Args:
            name: name of the listener in metrics and logs.
            app: application that handles the requests.
            address: `ip:port` to listen on.
            limits: limits of the listener.
        """
        host, port = split_address(address)
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            loop="asyncio",
            http=bounded_http_protocol(self._listener(name, limits)),
            backlog=limits.backlog,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        )
        return NoSignalServer(config, RECEIVE_BUFFER_BYTES)

    def _listener(self, name: str, limits: ListenerLimits) -> HttpListener:
        refusals = LimitRefusals(name, self._metrics.count_limit_refusal, time.monotonic)

        def record(limit: str, _: Refusal | None) -> None:
            refusals.record(limit)

        return HttpListener(
            RequestLimits(body_bytes=MAX_BODY_BYTES, first_byte_timeout_s=KEEP_ALIVE_TIMEOUT_S),
            self._budget,
            ConnectionTable(limits.connections),
            _encode_refusal,
            record,
        )


def _encode_refusal(refusal: Refusal) -> bytes:
    status, media_type, body = encode_refusal(refusal)
    return encode_response(status, media_type, body, refusal)
