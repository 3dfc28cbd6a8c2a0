"""Graceful shutdown of a gate, without failed requests.

The gate first reports that it is not ready and keeps serving until the load balancer has noticed.
Then it accepts no new connections, finishes the requests in progress and exits.
"""

import asyncio
import signal

from litestar.types import ASGIApp, Message, Receive, Scope, Send

from pollengated.logs import Log
from pollengated.readiness import ShutdownFlag
from pollengated.uvicorn_server import NoSignalServer

__all__ = ["CloseConnectionsOnShutdown", "GateShutdown"]


class CloseConnectionsOnShutdown:
    """ASGI middleware that closes each connection after its response once the gate is stopping.

    A caller with a persistent connection then opens its next one to another gate.
    """

    def __init__(self, app: ASGIApp, readiness: ShutdownFlag) -> None:
        self._app = app
        self._readiness = readiness

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handles one ASGI scope."""

        async def send_closing(message: Message) -> None:
            if message["type"] == "http.response.start" and self._readiness.is_stopping:
                message["headers"] = [*message["headers"], (b"connection", b"close")]
            await send(message)

        await self._app(scope, receive, send_closing)


class GateShutdown:
    """Runs the steps of a gate's graceful shutdown."""

    def __init__(self, readiness: ShutdownFlag, delay_s: float) -> None:
        """Creates the shutdown of one gate.

        Args:
            readiness: readiness that the load balancer polls.
            delay_s: seconds that the load balancer needs to notice that the gate is not ready.
        """
        self._readiness = readiness
        self._delay_s = delay_s
        self._requested = asyncio.Event()
        self._delay_skipped = asyncio.Event()
        self._log = Log("stop")

    def request(self) -> None:
        """Starts the shutdown; a second call skips the rest of the delay."""
        if self._requested.is_set():
            self._delay_skipped.set()
        self._requested.set()

    async def serve(self, server: NoSignalServer) -> None:
        """Serves until SIGTERM or SIGINT, then until all requests in progress have finished."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request)
        serving = asyncio.create_task(server.serve())
        waiting = asyncio.create_task(self.wait_for_balancer())
        await asyncio.wait((serving, waiting), return_when=asyncio.FIRST_COMPLETED)
        waiting.cancel()
        server.should_exit = True
        await serving
        self._log.info("all requests finished; server closed")

    async def wait_for_balancer(self) -> None:
        """Returns once shutdown was requested and the load balancer has had time to notice."""
        await self._requested.wait()
        self._readiness.stop()
        self._log.info("shutdown requested; reporting not ready", delay_s=self._delay_s)
        try:
            async with asyncio.timeout(self._delay_s):
                await self._delay_skipped.wait()
        except TimeoutError:
            return
