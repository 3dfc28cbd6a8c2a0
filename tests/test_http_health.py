"""Tests of the routes for health, readiness and metrics."""

import types
import unittest
from typing import Any

import httpx
from pollengate.freshness import Freshness
from pollengated.http_health import health_router
from pollengated.http_server import create_app
from pollengated.metrics import Metrics
from pollengated.readiness import Readiness

from tests.utils import build_settings, request_app


def build_configuration_cache_fake(version: int, confirmed_at: float | None = None) -> Any:
    """Returns a stand-in for a configuration cache, with the fields that readiness reads."""
    freshness = Freshness()
    if confirmed_at is not None:
        freshness.confirm(confirmed_at)
    return types.SimpleNamespace(
        current=types.SimpleNamespace(version=version), freshness=freshness
    )


class HttpHealthTest(unittest.TestCase):
    """Calls the routes without sockets."""

    def get(self, path: str, readiness: Readiness) -> httpx.Response:
        metrics = Metrics()
        app = create_app([health_router(readiness, metrics)], build_settings(), metrics)
        return request_app(app, "GET", path)

    def test_ready_with_a_configuration_while_the_store_is_unreachable(self) -> None:
        response = self.get("/readyz", Readiness(build_configuration_cache_fake(version=3)))
        self.assertEqual((200, "ok\n"), (response.status_code, response.text))

    def test_ready_without_a_version_once_the_store_has_replied(self) -> None:
        response = self.get(
            "/readyz", Readiness(build_configuration_cache_fake(version=0, confirmed_at=0.0))
        )
        self.assertEqual(200, response.status_code)

    def test_not_ready_before_the_configuration_is_known(self) -> None:
        response = self.get("/readyz", Readiness(build_configuration_cache_fake(version=0)))
        self.assertEqual((503, "no configuration known\n"), (response.status_code, response.text))

    def test_not_ready_while_stopping(self) -> None:
        readiness = Readiness(build_configuration_cache_fake(version=3))
        readiness.stop()
        response = self.get("/readyz", readiness)
        self.assertEqual((503, "stopping\n"), (response.status_code, response.text))
        self.assertEqual(200, self.get("/healthz", readiness).status_code)

    def test_metrics_are_exported_as_text(self) -> None:
        response = self.get("/metrics", Readiness(build_configuration_cache_fake(version=3)))
        self.assertTrue(response.headers["content-type"].startswith("text/plain"))
        self.assertIn("pollengate_configuration_version", response.text)
