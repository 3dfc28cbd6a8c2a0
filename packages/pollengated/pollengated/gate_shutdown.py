"""Stops a gate without failing a request.

The gate first says that it is not ready and goes on serving until the balancer has noticed. Then
it takes no new connections, finishes what is in progress and ends.
"""

import asyncio
import signal

from litestar.types import ASGIApp, Message, Receive, Scope, Send

from pollengated.http_server import NoSignalServer
from pollengated.logs import Log
from pollengated.readiness import ShutdownFlag

__all__ = ["CloseConnectionsOnShutdown", "GateShutdown"]


class CloseConnectionsOnShutdown:
    """ASGI middleware: a stopping gate closes each connection after its answer.

    A caller on a kept connection then opens its next one at another gate.
    """

    def __init__(self, app: ASGIApp, readiness: ShutdownFlag) -> None:
        self._app = app
        self._readiness = readiness

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handles one connection scope."""

        async def send_closing(message: Message) -> None:
            if message["type"] == "http.response.start" and self._readiness.is_stopping:
                message["headers"] = [*message["headers"], (b"connection", b"close")]
            await send(message)

        await self._app(scope, receive, send_closing)


class GateShutdown:
    """Takes a gate through its stop."""

    def __init__(self, readiness: ShutdownFlag, delay_s: float) -> None:
        """Creates the stop of one gate.

        Args:
            readiness: what the balancer is told.
            delay_s: seconds that the balancer needs to notice.
        """
        self._readiness = readiness
        self._delay_s = delay_s
        self._requested = asyncio.Event()
        self._delay_skipped = asyncio.Event()
        self._log = Log("stop")

    def request(self) -> None:
        """Begins the stop; a second request ends the balancer's delay."""
        if self._requested.is_set():
            self._delay_skipped.set()
        self._requested.set()

    async def serve(self, server: NoSignalServer) -> None:
        """Serves until SIGTERM or SIGINT and every request in progress has been answered."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request)
        serving = asyncio.create_task(server.serve())
        waiting = asyncio.create_task(self.wait_for_balancer())
        await asyncio.wait((serving, waiting), return_when=asyncio.FIRST_COMPLETED)
        waiting.cancel()
        server.should_exit = True
        await serving
        self._log.info("every request answered")

    async def wait_for_balancer(self) -> None:
        """Returns when new requests no longer come."""
        await self._requested.wait()
        self._readiness.stop()
        self._log.info("not ready", delay_s=self._delay_s)
        try:
            async with asyncio.timeout(self._delay_s):
                await self._delay_skipped.wait()
        except TimeoutError:
            return
