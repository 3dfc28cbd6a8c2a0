"""Tests of the routes for service requests, through ASGI and over a real connection."""

import asyncio
import contextlib
import gzip
import json
import unittest
from collections.abc import AsyncIterator
from typing import Any

import httpx
import uvicorn
from litestar import Litestar
from pollengate.backend_client import BackendResponse, ResponseTruncatedError
from pollengate.refusals import Outcome, Reason, Refusal
from pollengated.gate_shutdown import CloseConnectionsOnShutdown
from pollengated.http_services import drop_hop_by_hop_headers, service_router
from pollengated.metrics import Metrics
from pollengated.readiness import Readiness
from pollengated.service_proxy import ServiceRequest
from pollengated.uvicorn_server import NoSignalServer
from result import Err, Ok, Result

from tests.test_gate_shutdown import build_readiness

MAX_BODY_BYTES = 1000
ProxyResult = Result[BackendResponse, Refusal]


class FakeProxy:
    """Records the requests and returns the same result for each."""

    def __init__(self, result: ProxyResult) -> None:
        self.requests: list[ServiceRequest] = []
        self._result = result

    async def send(self, request: ServiceRequest) -> ProxyResult:
        self.requests.append(request)
        return self._result


async def chunks(*parts: bytes, is_cut: bool = False) -> AsyncIterator[bytes]:
    """Yields a streamed body; raises at its end if `is_cut`."""
    for part in parts:
        yield part
    if is_cut:
        raise ResponseTruncatedError("cut off")


def build_app(proxy: FakeProxy) -> Litestar:
    """Returns an application with only these routes."""
    router = service_router(proxy, Metrics(), MAX_BODY_BYTES)  # type: ignore[arg-type]
    return Litestar([router], openapi_config=None, logging_config=None)


@contextlib.asynccontextmanager
async def serve(proxy: FakeProxy, readiness: Readiness) -> AsyncIterator[str]:
    """Serves the routes on a free port and yields their base URL."""
    app: Any = CloseConnectionsOnShutdown(build_app(proxy), readiness)
    config = uvicorn.Config(app, port=0, log_config=None, log_level="critical", lifespan="off")
    server = NoSignalServer(config)
    serving = asyncio.create_task(server.serve())
    while not server.started:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    port = server.servers[0].sockets[0].getsockname()[1]
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        server.should_exit = True
        await serving


class ServiceRouteTest(unittest.TestCase):
    """Checks what reaches the proxy and what reaches the caller."""

    def call(
        self, result: ProxyResult, method: str = "GET", path: str = "/services/s/a", **fields: Any
    ) -> httpx.Response:
        self.proxy = FakeProxy(result)

        async def main() -> httpx.Response:
            transport = httpx.ASGITransport(build_app(self.proxy))  # type: ignore[arg-type]
            async with httpx.AsyncClient(transport=transport, base_url="http://gate") as client:
                return await client.request(method, path, **fields)

        return asyncio.run(main())

    def test_path_and_query_are_forwarded_unchanged(self) -> None:
        self.call(Ok(BackendResponse(200, (), b"")), path="/services/s/a%2Fb?q=1%202&q=3")
        self.assertEqual(b"/services/s/a%2Fb?q=1%202&q=3", self.proxy.requests[0].target)
        self.assertEqual("s", self.proxy.requests[0].service)

    def test_hop_by_hop_headers_are_dropped(self) -> None:
        headers = ((b"connection", b"close, X-Hop"), (b"x-hop", b"1"), (b"te", b"x"), (b"a", b"b"))
        self.assertEqual(((b"a", b"b"),), drop_hop_by_hop_headers(headers))

    def test_request_is_idempotent_by_method_unless_the_header_says_otherwise(self) -> None:
        cases = (
            ("GET", None, True),
            ("POST", None, False),
            ("PATCH", None, False),
            ("POST", "true", True),
            ("GET", "false", False),
        )
        for method, header, expected in cases:
            headers = {} if header is None else {"Pollengate-Idempotent": header}
            self.call(Ok(BackendResponse(200, (), b"")), method=method, headers=headers)
            self.assertEqual(expected, self.proxy.requests[0].is_idempotent, (method, header))

    def test_malformed_timeout_and_oversized_body_are_refused(self) -> None:
        result = Ok(BackendResponse(200, (), b""))
        for value in ("0", "-1", "abc", "99999999"):
            response = self.call(result, headers={"Pollengate-Timeout-Ms": value})
            self.assertEqual(422, response.status_code)
        response = self.call(result, method="POST", content=b"x" * (MAX_BODY_BYTES + 1))
        self.assertEqual((413, "not_run"), (response.status_code, response.json()["outcome"]))
        self.assertEqual([], self.proxy.requests)

    def test_unknown_method_is_refused(self) -> None:
        response = self.call(Ok(BackendResponse(200, (), b"")), method="OPTIONS")
        self.assertEqual((405, []), (response.status_code, self.proxy.requests))

    def test_refusal_is_a_problem_document(self) -> None:
        refusal = Refusal(Outcome.UNKNOWN, Reason.UPSTREAM_TIMEOUT, "no answer", 1.5)
        response = self.call(Err(refusal))
        self.assertEqual(504, response.status_code)
        self.assertEqual("2", response.headers["retry-after"])
        self.assertEqual("application/problem+json", response.headers["content-type"])
        self.assertEqual("unknown", json.loads(response.content)["outcome"])

    def test_repeated_headers_reach_the_caller(self) -> None:
        headers = ((b"set-cookie", b"a=1"), (b"set-cookie", b"b=2"))
        response = self.call(Ok(BackendResponse(200, headers, b"x")))
        self.assertEqual(["a=1", "b=2"], response.headers.get_list("set-cookie"))


class ConnectionTest(unittest.TestCase):
    """Checks what a caller receives over a real connection."""

    def get(self, response: BackendResponse, method: str = "GET") -> httpx.Response:
        async def main() -> httpx.Response:
            proxy = FakeProxy(Ok(response))
            async with serve(proxy, build_readiness()) as url, httpx.AsyncClient() as client:
                return await client.request(method, f"{url}/services/s/a")

        return asyncio.run(main())

    def test_streamed_response_arrives_complete(self) -> None:
        response = BackendResponse(200, (), b"a" * 5000, remaining_body=chunks(b"b" * 5000, b"c"))
        self.assertEqual(b"a" * 5000 + b"b" * 5000 + b"c", self.get(response).content)

    def test_truncated_response_without_a_length_is_detected(self) -> None:
        response = BackendResponse(200, (), b"a" * 5000, remaining_body=chunks(b"b", is_cut=True))
        with self.assertRaises(httpx.RemoteProtocolError):
            self.get(response)

    def test_truncated_response_with_a_length_is_detected(self) -> None:
        headers = ((b"content-length", b"9000"),)
        response = BackendResponse(
            200, headers, b"a" * 5000, remaining_body=chunks(b"b", is_cut=True)
        )
        with self.assertRaises(httpx.RemoteProtocolError):
            self.get(response)

    def test_responses_without_a_body(self) -> None:
        headers = ((b"content-length", b"500"),)
        response = self.get(BackendResponse(200, headers, b""), method="HEAD")
        self.assertEqual("500", response.headers["content-length"])
        for status in (204, 304):
            self.assertEqual(status, self.get(BackendResponse(status, headers, b"")).status_code)

    def test_compressed_body_reaches_the_caller_unchanged(self) -> None:
        body = gzip.compress(b"standings" * 100)
        headers = ((b"content-encoding", b"gzip"), (b"content-length", str(len(body)).encode()))
        self.assertEqual(b"standings" * 100, self.get(BackendResponse(200, headers, body)).content)
