"""A uvicorn server that is one of several parts of a process."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn

from pollengated.logs import Log

__all__ = ["NoSignalServer", "limit_receive_buffers"]

# The date header of responses is renewed at this interval.
TICK_INTERVAL_S = 1.0


class NoSignalServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers and does not poll for its exit."""

    def __init__(self, config: uvicorn.Config, receive_buffer_bytes: int | None = None) -> None:
        """Creates a server.

        Args:
            config: configuration of uvicorn.
            receive_buffer_bytes: size of the receive buffers of connections, None for the system's.
        """
        self._exit_requested = asyncio.Event()
        self._receive_buffer_bytes = receive_buffer_bytes
        super().__init__(config)

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Opens the listeners; connections inherit the receive buffer of their listener."""
        await super().startup(sockets)
        if self._receive_buffer_bytes is not None:
            for server in self.servers:
                limit_receive_buffers(server, self._receive_buffer_bytes)

    @property
    def should_exit(self) -> bool:
        """Whether the server is to finish the requests in progress and stop."""
        return self._exit_requested.is_set()

    @should_exit.setter
    def should_exit(self, is_requested: bool) -> None:
        if is_requested:
            self._exit_requested.set()
        else:
            self._exit_requested.clear()

    async def main_loop(self) -> None:
        """Waits for the request to exit; the base class checks for it ten times a second."""
        while not await self.on_tick(0):
            try:
                async with asyncio.timeout(TICK_INTERVAL_S):
                    await self._exit_requested.wait()
            except TimeoutError:
                continue

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers; the role handles signals itself."""
        yield


def limit_receive_buffers(server: asyncio.Server, size_bytes: int) -> None:
    """Bounds what each connection of a server may have received that has not been read."""
    for listener in server.sockets:
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)
        except OSError as error:
            Log("limits").warning("cannot limit the receive buffers of a listener", cause=error)
