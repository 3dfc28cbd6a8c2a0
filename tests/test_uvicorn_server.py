"""Tests of the HTTP server of a process, on virtual time."""

import asyncio
import unittest

import uvicorn
from pollengated.uvicorn_server import TICK_INTERVAL_S, NoSignalServer

from tests.utils import run_virtual


class CountingServer(NoSignalServer):
    """Counts how often an idle server wakes up."""

    ticks = 0

    async def on_tick(self, counter: int) -> bool:
        """Counts the tick."""
        self.ticks += 1
        return await super().on_tick(counter)


def build_server() -> CountingServer:
    """Returns a server that is not started."""
    config = uvicorn.Config("app", lifespan="off", log_config=None, ws="none")
    config.encoded_headers = []
    server = CountingServer(config)
    server.limit_max_requests = None
    return server


class NoSignalServerTest(unittest.TestCase):
    """Tests of the main loop."""

    def test_idle_server_wakes_up_once_a_second_for_its_date_header(self) -> None:
        async def main() -> None:
            server = build_server()
            serving = asyncio.create_task(server.main_loop())
            await asyncio.sleep(60.0)
            self.assertLessEqual(server.ticks, 60.0 / TICK_INTERVAL_S + 1)
            self.assertTrue(server.server_state.default_headers)
            serving.cancel()

        run_virtual(main())

    def test_server_exits_at_once_when_requested(self) -> None:
        async def main() -> None:
            server = build_server()
            serving = asyncio.create_task(server.main_loop())
            await asyncio.sleep(10.25)
            server.should_exit = True
            async with asyncio.timeout(0.01):
                await serving
            self.assertTrue(server.should_exit)

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()
