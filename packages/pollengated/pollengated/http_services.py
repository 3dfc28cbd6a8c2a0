"""HTTP routes for callers: requests to services, forwarded without decoding the body."""

import json
import time
from typing import Any, cast

from litestar import asgi
from litestar.handlers import ASGIRouteHandler
from litestar.types import HTTPScope, Receive, Scope, Send
from pollengate.backend_client import BackendResponse, Headers
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate_net.request_ids import current_request_id
from result import Err, Ok, Result

from pollengated.metrics import Metrics
from pollengated.problems import problem_response
from pollengated.service_proxy import ServiceProxy, ServiceRequest

__all__ = ["service_router"]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
METHODS = frozenset({"GET", "HEAD", "PUT", "POST", "PATCH", "DELETE"})
PREFIX = b"/services/"
MAX_TIMEOUT_MS = 600_000
INTERNAL_ERROR = 500
TIMEOUT_HEADER = b"pollengate-timeout-ms"
IDEMPOTENT_HEADER = b"pollengate-idempotent"

# Hop-by-hop headers (RFC 9110, section 7.6.1) and those that the gate sets itself.
_DROPPED_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"pollengate-request-id",
        TIMEOUT_HEADER,
    }
)
_BODILESS_STATUSES = frozenset({204, 304})


def service_router(proxy: ServiceProxy, metrics: Metrics, max_body_bytes: int) -> ASGIRouteHandler:
    """Returns the handler of `/services`.

    Args:
        proxy: forwards the requests to backend servers.
        metrics: counts refusals and measures response times.
        max_body_bytes: largest accepted request body.
    """

    @asgi("/services", is_mount=True, copy_scope=True)
    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        http = cast(HTTPScope, scope)
        body = await _read_body(receive, max_body_bytes)
        request = _decode_request(http, receive, body) if isinstance(body, Ok) else body
        if isinstance(request, Err):
            await _send_refusal(request.err_value, metrics, send)
            return
        started_at = time.perf_counter()
        result = await proxy.send(request.ok_value)
        if not _is_unknown_service(result):
            elapsed_s = time.perf_counter() - started_at
            metrics.requests.labels(request.ok_value.service).observe(elapsed_s)
        if isinstance(result, Err):
            await _send_refusal(result.err_value, metrics, send)
        else:
            await _send_response(result.ok_value, send, is_head=http["method"] == "HEAD")

    return serve


def _is_unknown_service(result: Result[Any, Refusal]) -> bool:
    # A caller may name any service; only configured ones become metric labels.
    return isinstance(result, Err) and result.err_value.reason is Reason.NOT_FOUND


async def _read_body(receive: Receive, max_bytes: int) -> Result[bytes, Refusal]:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            detail = "the caller disconnected before the request was complete"
            return Err(Refusal(Outcome.NOT_RUN, Reason.CALLER_GONE, detail))
        chunks.append(message["body"])
        size += len(message["body"])
        if size > max_bytes:
            detail = f"the request body exceeds {max_bytes} bytes"
            return Err(Refusal(Outcome.NOT_RUN, Reason.BODY_TOO_LARGE, detail))
        if not message["more_body"]:
            return Ok(b"".join(chunks))


def _decode_request(
    scope: HTTPScope, receive: Receive, body: Result[bytes, Refusal]
) -> Result[Any, Refusal]:
    method: str = scope["method"]
    if method not in METHODS:
        detail = f"method {method} is not allowed for services"
        return Err(Refusal(Outcome.NOT_RUN, Reason.METHOD_NOT_ALLOWED, detail))
    raw: tuple[tuple[bytes, bytes], ...] = tuple((k.lower(), v) for k, v in scope["headers"])
    value_by_name = dict(raw)
    timeout_ms = _timeout_ms(value_by_name.get(TIMEOUT_HEADER))
    if isinstance(timeout_ms, Err):
        return timeout_ms
    target: bytes = scope["raw_path"]
    service = target.removeprefix(PREFIX).partition(b"/")[0].decode("latin-1")
    if scope["query_string"]:
        target += b"?" + scope["query_string"]

    async def wait_for_disconnect() -> None:
        while (await receive())["type"] != "http.disconnect":
            pass

    return Ok(
        ServiceRequest(
            request_id=current_request_id(),
            service=service,
            method=method.encode(),
            target=target,
            headers=drop_hop_by_hop_headers(raw),
            body=body.unwrap(),
            timeout_ms=timeout_ms.ok_value,
            is_idempotent=_is_idempotent(method, value_by_name.get(IDEMPOTENT_HEADER)),
            wait_for_disconnect=wait_for_disconnect,
        )
    )


def drop_hop_by_hop_headers(headers: Headers) -> Headers:
    """Removes hop-by-hop headers, including those that `Connection` names."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    dropped = _DROPPED_HEADERS | named
    return tuple(pair for pair in headers if pair[0] not in dropped)


async def _send_response(response: BackendResponse, send: Send, is_head: bool) -> None:
    headers = list(drop_hop_by_hop_headers(response.headers))
    length = next((v for k, v in response.headers if k == b"content-length"), None)
    if length is None and response.remaining_body is None and not is_head:
        length = str(len(response.body)).encode()
    if length is not None and response.status not in _BODILESS_STATUSES:
        headers.append((b"content-length", length))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    if response.remaining_body is None:
        await send({"type": "http.response.body", "body": response.body, "more_body": False})
        return
    try:
        await send({"type": "http.response.body", "body": response.body, "more_body": True})
        async for chunk in response.remaining_body:
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": False})
    finally:
        await response.close()


async def _send_refusal(refusal: Refusal, metrics: Metrics, send: Send) -> None:
    response = problem_response(refusal, metrics)
    body = json.dumps(response.content).encode()
    headers = [
        (b"content-type", str(response.media_type).encode()),
        (b"content-length", str(len(body)).encode()),
        *((name.lower().encode(), value.encode()) for name, value in response.headers.items()),
    ]
    status = response.status_code or INTERNAL_ERROR
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})


def _timeout_ms(header: bytes | None) -> Result[int | None, Refusal]:
    if header is None:
        return Ok(None)
    if header.isdigit() and 0 < int(header) <= MAX_TIMEOUT_MS:
        return Ok(int(header))
    detail = f"Pollengate-Timeout-Ms must be an integer from 1 to {MAX_TIMEOUT_MS}"
    return Err(Refusal(Outcome.NOT_RUN, Reason.INVALID_REQUEST, detail))


def _is_idempotent(method: str, header: bytes | None) -> bool:
    if header is not None:
        return header.lower() == b"true"
    return method in IDEMPOTENT_METHODS
