"""A uvicorn server that is one of several parts of a process."""

import asyncio
import contextlib
from collections.abc import Iterator

import uvicorn

__all__ = ["NoSignalServer"]

# The date header of responses is renewed at this interval.
TICK_INTERVAL_S = 1.0


class NoSignalServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers and does not poll for its exit."""

    def __init__(self, config: uvicorn.Config) -> None:
        self._exit_requested = asyncio.Event()
        super().__init__(config)

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
