"""Client of the backend servers, over HTTP/1.1.

Calls the transport layer of httpx directly: it does not decode bodies, follow redirects or merge
repeated headers.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, cast

import httpx
from pollengate.backend_client import (
    BackendClient,
    BackendRequest,
    BackendResponse,
    ExchangeFailure,
    Headers,
    ResponseTruncatedError,
    SendProgress,
)
from pollengate.request_outcomes import FailurePoint, Sent
from result import Err, Ok, Result

__all__ = [
    "DRAINING_HEADER",
    "EXCHANGE_ID_HEADER",
    "NOT_RUN_HEADER",
    "TIMEOUT_HEADER",
    "HttpBackendClient",
]

EXCHANGE_ID_HEADER = b"pollengate-request-id"
TIMEOUT_HEADER = b"pollengate-timeout-ms"
NOT_RUN_HEADER = b"pollengate-not-run"
DRAINING_HEADER = b"pollengate-draining"
BODY_BUFFER_BYTES = 1_000_000
CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 2.0
# Exchanges that run on other connections of a retired pool get this time to end.
RETIRED_POOL_CLOSE_DELAY_S = 10.0
# A response is awaited for this time past the deadline, so that the slot stays occupied while the
# backend server may still be running the request.
LATE_RESPONSE_WAIT_S = 5.0
# Shorter than the lifetime of slot grants, so that a gate without slots keeps no connections.
IDLE_CONNECTION_EXPIRY_S = 3.0
TCP_USER_TIMEOUT_MS = 3000
TCP_KEEPALIVE_IDLE_S = 2
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 3
MAX_CONNECTIONS_PER_BACKEND = 64
SERVICE_UNAVAILABLE = 503
MS_PER_S = 1000

_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
_INTERNAL_HEADERS = frozenset({EXCHANGE_ID_HEADER, TIMEOUT_HEADER, NOT_RUN_HEADER, DRAINING_HEADER})
_TRANSPORT_ERRORS = (httpx.HTTPError, httpx.StreamError, OSError)


class HttpBackendClient(BackendClient):
    """Client with one connection pool per backend server."""

    def __init__(self) -> None:
        self._pools_by_address: dict[str, httpx.AsyncHTTPTransport] = {}
        self._retired_pools: set[httpx.AsyncHTTPTransport] = set()
        self._close_tasks: set[asyncio.Task[None]] = set()

    async def exchange(
        self, address: str, request: BackendRequest
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Sends a request and waits for its response, even past the request's deadline."""
        pool = self._get_pool(address)
        try:
            http_response = await pool.handle_async_request(_build_http_request(address, request))
        except _TRANSPORT_ERRORS as error:
            failure = _exchange_failure(error, request.progress)
            if failure.point is FailurePoint.SILENT:
                self._retire(address, pool)
            return Err(failure)
        headers = tuple((name.lower(), value) for name, value in http_response.headers.raw)
        response_failure = _check_response(http_response.status_code, headers, request.exchange_id)
        if response_failure is not None:
            await _close(http_response)
            return Err(response_failure)
        return await self._read_response(address, pool, http_response, headers)

    async def close(self) -> None:
        """Closes all connections."""
        pools = [*self._pools_by_address.values(), *self._retired_pools]
        self._pools_by_address.clear()
        self._retired_pools.clear()
        await asyncio.gather(*(pool.aclose() for pool in pools))

    async def _read_response(
        self,
        address: str,
        pool: httpx.AsyncHTTPTransport,
        http_response: httpx.Response,
        headers: Headers,
    ) -> Result[BackendResponse, ExchangeFailure]:
        stream = cast(httpx.AsyncByteStream, http_response.stream).__aiter__()
        chunks: list[bytes] = []
        size = 0
        response = BackendResponse(
            http_response.status_code,
            tuple(pair for pair in headers if pair[0] not in _INTERNAL_HEADERS),
            b"",
            is_draining=_is_set(headers, DRAINING_HEADER),
        )
        try:
            async for chunk in stream:
                chunks.append(chunk)
                size += len(chunk)
                if size > BODY_BUFFER_BYTES:
                    response.remaining_body = _remaining_body(stream)
                    response.close = http_response.aclose
                    break
            else:
                await http_response.aclose()
        except _TRANSPORT_ERRORS as error:
            await _close(http_response)
            if isinstance(error, httpx.ReadTimeout):
                self._retire(address, pool)
            detail = f"response body ended early: {_describe(error)}"
            return Err(ExchangeFailure(FailurePoint.ANSWER_CUT_SHORT, Sent.WHOLE, detail))
        response.body = b"".join(chunks)
        return Ok(response)

    def _get_pool(self, address: str) -> httpx.AsyncHTTPTransport:
        pool = self._pools_by_address.get(address)
        if pool is None:
            limits = httpx.Limits(
                max_connections=MAX_CONNECTIONS_PER_BACKEND,
                max_keepalive_connections=MAX_CONNECTIONS_PER_BACKEND,
                keepalive_expiry=IDLE_CONNECTION_EXPIRY_S,
            )
            pool = httpx.AsyncHTTPTransport(limits=limits, socket_options=_SOCKET_OPTIONS)
            self._pools_by_address[address] = pool
        return pool

    def _retire(self, address: str, pool: httpx.AsyncHTTPTransport) -> None:
        """Opens new connections for later requests; the old ones are closed after a delay."""
        if self._pools_by_address.get(address) is not pool:
            return
        del self._pools_by_address[address]
        self._retired_pools.add(pool)
        asyncio.get_running_loop().call_later(
            RETIRED_POOL_CLOSE_DELAY_S, self._close_retired_pool, pool
        )

    def _close_retired_pool(self, pool: httpx.AsyncHTTPTransport) -> None:
        if pool in self._retired_pools:
            self._retired_pools.discard(pool)
            task = asyncio.create_task(pool.aclose())
            self._close_tasks.add(task)
            task.add_done_callback(self._close_tasks.discard)


def _build_http_request(address: str, request: BackendRequest) -> httpx.Request:
    host, _, port = address.rpartition(":")
    remaining_s = max(0.0, request.deadline - asyncio.get_running_loop().time())
    read_s = (
        remaining_s + LATE_RESPONSE_WAIT_S
        if request.idle_timeout_s is None
        else request.idle_timeout_s
    )
    headers = [
        (b"host", address.encode()),
        *request.headers,
        (EXCHANGE_ID_HEADER, request.exchange_id.encode()),
        (TIMEOUT_HEADER, str(int(remaining_s * MS_PER_S)).encode()),
    ]
    has_body = request.body or request.method in (b"POST", b"PUT", b"PATCH")
    if has_body:
        headers.append((b"content-length", str(len(request.body)).encode()))
    timeouts = {
        "connect": min(CONNECT_TIMEOUT_S, remaining_s),
        "pool": min(CONNECT_TIMEOUT_S, remaining_s),
        "write": WRITE_TIMEOUT_S,
        "read": read_s,
    }
    return httpx.Request(
        request.method.decode(),
        httpx.URL(scheme="http", host=host, port=int(port), raw_path=request.target),
        headers=headers,
        stream=httpx.ByteStream(request.body),
        extensions={"trace": _send_tracer(request.progress), "timeout": timeouts},
    )


def _send_tracer(progress: SendProgress) -> Callable[[str, Any], Awaitable[None]]:
    async def record(event: str, _: Any) -> None:
        if event == "http11.send_request_headers.started":
            progress.sent = max(progress.sent, Sent.PART)
        elif event == "http11.send_request_body.complete":
            progress.sent = Sent.WHOLE

    return record


def _exchange_failure(error: Exception, progress: SendProgress) -> ExchangeFailure:
    point = FailurePoint.CONNECTION_LOST
    if progress.sent is Sent.NOTHING:
        point = FailurePoint.CONNECT_FAILED
    elif isinstance(error, httpx.TimeoutException):
        point = FailurePoint.SILENT
    elif isinstance(error, httpx.RemoteProtocolError) and "disconnected" not in str(error):
        point = FailurePoint.ANSWER_MALFORMED
    return ExchangeFailure(point, progress.sent, _describe(error))


def _check_response(status: int, headers: Headers, exchange_id: str) -> ExchangeFailure | None:
    response_ids = [value for name, value in headers if name == EXCHANGE_ID_HEADER]
    if response_ids != [exchange_id.encode()]:
        detail = "response has a missing or different request id"
        return ExchangeFailure(FailurePoint.ANSWER_TO_ANOTHER_REQUEST, Sent.WHOLE, detail)
    if status == SERVICE_UNAVAILABLE and _is_set(headers, NOT_RUN_HEADER):
        detail = "the backend server refused the request before running it"
        is_draining = _is_set(headers, DRAINING_HEADER)
        return ExchangeFailure(FailurePoint.REFUSED_BY_BACKEND, Sent.WHOLE, detail, is_draining)
    return None


def _is_set(headers: Headers, wanted: bytes) -> bool:
    return any(name == wanted and value.lower() == b"true" for name, value in headers)


async def _remaining_body(stream: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    try:
        async for chunk in stream:
            yield chunk
    except _TRANSPORT_ERRORS as error:
        raise ResponseTruncatedError(_describe(error)) from error


async def _close(http_response: httpx.Response) -> None:
    try:
        await http_response.aclose()
    except _TRANSPORT_ERRORS:
        return


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
