"""Runs the loops of a process and starts those again that end by an unexpected error."""

import asyncio
from collections.abc import Awaitable, Callable

from pollengated.edge.edge_metrics import EdgeMetrics
from pollengated.logs import Log

__all__ = ["LoopSupervisor"]

# Pause before a failed loop is started again, so that a lasting error does not use all processors.
RESTART_DELAY_S = 0.5


class LoopSupervisor:
    """Owns the tasks of a process that run for as long as the process does.

    Without it, a loop that ends by an error goes unnoticed: the process keeps serving with, for
    example, a configuration that is no longer updated.

    Args:
        metrics: counts the failures.
    """

    def __init__(self, metrics: EdgeMetrics) -> None:
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []
        self._log = Log("loops")

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Starts a loop.

        Args:
            name: names the loop in logs and metrics.
            run: runs the loop; called again after each failure.
        """
        self._tasks.append(asyncio.create_task(self.run(name, run)))

    async def stop(self) -> None:
        """Cancels all loops and waits for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def run(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Runs a loop in the caller's task; the arguments are those of `start`."""
        while True:
            try:
                await run()
            except Exception as error:
                self._log.error("loop failed; starting it again", error, loop=name)
                self._metrics.loop_failures.labels(name).inc()
                await asyncio.sleep(RESTART_DELAY_S)
            else:
                return
