"""Tests of the HTTP interface: every error gets a problem document as its response."""

import asyncio
import unittest
from typing import Any

import httpx
import logbook
from hypothesis import given, settings
from hypothesis import strategies as st
from litestar import Request, Router, get, put
from litestar.types import ASGIApp
from pollengated.http_server import create_app
from pollengated.metrics import Metrics
from pollengated.settings import Settings

from tests.utils import build_settings, request_app, run_virtual

SETTINGS = build_settings(max_body_bytes=100, body_timeout_s=5.0)


def build_app(
    metrics: Metrics, received_bodies: list[bytes], config: Settings = SETTINGS
) -> ASGIApp:
    """Returns an application with a route that reads the body and one that raises."""

    @put("/echo")
    async def echo(request: Request[Any, Any, Any]) -> str:
        received_bodies.append(await request.body())
        return "ok"

    @get("/fail")
    async def fail() -> str:
        raise KeyError("broken")

    return create_app([Router("/", route_handlers=[echo, fail])], config, metrics)


class HttpErrorsTest(unittest.TestCase):
    """Calls an application without sockets."""

    def setUp(self) -> None:
        self.metrics = Metrics()
        self.received_bodies: list[bytes] = []
        self.app = build_app(self.metrics, self.received_bodies)

    def request(self, method: str, path: str, **options: Any) -> httpx.Response:
        return request_app(self.app, method, path, **options)

    def assert_problem(
        self, response: httpx.Response, status: int, reason: str, outcome: str
    ) -> None:
        self.assertEqual(status, response.status_code)
        self.assertEqual("application/problem+json", response.headers["content-type"])
        document = response.json()
        self.assertEqual((status, reason), (document["status"], document["reason"]))
        self.assertEqual(outcome, document["outcome"])
        self.assertEqual(response.headers["pollengate-request-id"], document["request_id"])
        self.assertEqual({reason: 1}, self.metrics.refusals_by_reason())

    def test_unknown_path(self) -> None:
        self.assert_problem(self.request("GET", "/nowhere"), 404, "not_found", "not_run")

    def test_method_not_allowed_lists_the_allowed_methods(self) -> None:
        response = self.request("POST", "/echo")
        self.assert_problem(response, 405, "method_not_allowed", "not_run")
        self.assertIn("PUT", response.headers["allow"])

    def test_body_of_the_maximum_size_is_accepted(self) -> None:
        self.assertEqual(200, self.request("PUT", "/echo", content=b"x" * 100).status_code)
        self.assertEqual([b"x" * 100], self.received_bodies)

    def test_oversized_body(self) -> None:
        response = self.request("PUT", "/echo", content=b"x" * 101)
        self.assert_problem(response, 413, "body_too_large", "not_run")
        self.assertEqual([], self.received_bodies)

    def test_oversized_body_of_undeclared_length(self) -> None:
        async def chunks() -> Any:
            for _ in range(11):
                yield b"x" * 10

        response = self.request("PUT", "/echo", content=chunks())
        self.assert_problem(response, 413, "body_too_large", "not_run")
        self.assertEqual([], self.received_bodies)

    def test_unexpected_exception_is_logged_with_unknown_outcome(self) -> None:
        with logbook.TestHandler() as log:
            response = self.request("GET", "/fail", headers={"Pollengate-Request-Id": "req-9"})
        self.assert_problem(response, 500, "internal_error", "unknown")
        self.assertNotIn("broken", response.text)
        [record] = [r for r in log.records if r.level >= logbook.ERROR]
        self.assertEqual("req-9", record.extra["request_id"])
        self.assertIn("KeyError: 'broken'", record.formatted_exception)

    def test_request_id_of_the_caller_is_returned(self) -> None:
        headers = {"Pollengate-Request-Id": "match-7"}
        response = self.request("PUT", "/echo", content=b"", headers=headers)
        self.assertEqual("match-7", response.headers["pollengate-request-id"])

    def test_request_id_is_generated_if_the_caller_sends_none(self) -> None:
        first = self.request("PUT", "/echo", content=b"").headers["pollengate-request-id"]
        second = self.request("PUT", "/echo", content=b"").headers["pollengate-request-id"]
        self.assertNotEqual(first, second)

    def test_incomplete_body_times_out_and_is_not_handled(self) -> None:
        messages = [{"type": "http.request", "body": b"half", "more_body": True}]
        status, elapsed_s = self._drive(messages)
        self.assertEqual(408, status)
        self.assertEqual(5.0, elapsed_s)
        self.assertEqual([], self.received_bodies)

    def test_body_sent_byte_by_byte_times_out_at_the_same_time(self) -> None:
        messages = [{"type": "http.request", "body": b"x", "more_body": True}] * 20
        status, elapsed_s = self._drive(messages, pause_s=1.0)
        self.assertEqual(408, status)
        self.assertEqual(5.0, elapsed_s)

    def test_body_truncated_by_a_disconnect_is_not_handled(self) -> None:
        half = {"type": "http.request", "body": b"half", "more_body": True}
        status, _ = self._drive([half, {"type": "http.disconnect"}])
        self.assertEqual(408, status)
        self.assertEqual([], self.received_bodies)
        self.assertEqual({"request_incomplete": 1}, self.metrics.refusals_by_reason())

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.text(max_size=30), st.sampled_from(["GET", "PUT", "DELETE", "PATCH", "QUERY"]))
    def test_any_path_and_method_gets_a_response(self, path: str, method: str) -> None:
        status, _ = self._drive(
            [{"type": "http.request", "body": b"", "more_body": False}],
            path=f"/{path}",
            method=method,
        )
        self.assertIn(status, {200, 404, 405, 422, 500 if path == "fail" else 404})

    def _drive(
        self,
        messages: list[dict[str, Any]],
        pause_s: float = 0.0,
        path: str = "/echo",
        method: str = "PUT",
    ) -> tuple[int, float]:
        """Sends ASGI messages; returns the status of the response and the seconds until it."""
        queue = list(messages)
        statuses: list[int] = []
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "root_path": "",
            "query_string": b"",
            "headers": [],
            "http_version": "1.1",
            "scheme": "http",
            "server": ("gate", 80),
            "client": ("caller", 1),
            "asgi": {"version": "3.0"},
            "state": {},
        }

        async def receive() -> Any:
            await asyncio.sleep(pause_s)
            if queue:
                return queue.pop(0)
            return await asyncio.get_running_loop().create_future()

        async def send(message: Any) -> None:
            if message["type"] == "http.response.start":
                statuses.append(message["status"])

        async def main() -> float:
            await self.app(scope, receive, send)  # type: ignore[arg-type]
            return asyncio.get_running_loop().time()

        elapsed_s = run_virtual(main())
        [status] = statuses
        return status, elapsed_s
