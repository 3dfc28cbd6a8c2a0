"""Tests of the steps of a gate's graceful shutdown, in virtual time."""

import asyncio
import unittest
from typing import Any

from pollengate.memory_store import MemoryStore
from pollengated.configuration_cache import ConfigurationCache
from pollengated.gate_shutdown import CloseConnectionsOnShutdown, GateShutdown
from pollengated.metrics import Metrics
from pollengated.readiness import Readiness

from tests.utils import run_virtual

DELAY_S = 3.0


def build_readiness() -> Readiness:
    """Returns the readiness of a gate that has no configuration yet."""
    return Readiness(ConfigurationCache(MemoryStore(), Metrics()))


class GateShutdownTest(unittest.TestCase):
    """The delay for the load balancer and the closing of connections."""

    def test_gate_reports_not_ready_for_the_whole_delay_before_it_stops_serving(self) -> None:
        async def main() -> tuple[bool, float]:
            readiness = build_readiness()
            shutdown = GateShutdown(readiness, DELAY_S)
            waiting = asyncio.create_task(shutdown.wait_for_balancer())
            await asyncio.sleep(1.0)
            shutdown.request()
            await asyncio.sleep(0.1)
            is_stopping = readiness.is_stopping and not waiting.done()
            await waiting
            return is_stopping, asyncio.get_running_loop().time()

        self.assertEqual((True, 1.0 + DELAY_S), run_virtual(main()))

    def test_second_shutdown_request_skips_the_rest_of_the_delay(self) -> None:
        async def main() -> float:
            shutdown = GateShutdown(build_readiness(), DELAY_S)
            waiting = asyncio.create_task(shutdown.wait_for_balancer())
            shutdown.request()
            await asyncio.sleep(1.0)
            shutdown.request()
            await waiting
            return asyncio.get_running_loop().time()

        self.assertEqual(1.0, run_virtual(main()))

    def test_only_a_stopping_gate_closes_connections(self) -> None:
        async def app(_: Any, __: Any, send: Any) -> None:
            await send({"type": "http.response.start", "status": 200, "headers": []})

        async def main() -> list[Any]:
            readiness = build_readiness()
            messages: list[Any] = []

            async def send(message: Any) -> None:
                messages.append(message["headers"])

            closing = CloseConnectionsOnShutdown(app, readiness)
            await closing({}, None, send)  # type: ignore[arg-type, typeddict-item]
            readiness.stop()
            await closing({}, None, send)  # type: ignore[arg-type, typeddict-item]
            return messages

        self.assertEqual([[], [(b"connection", b"close")]], run_virtual(main()))
