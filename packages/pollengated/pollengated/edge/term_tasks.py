"""The asyncio tasks of one ownership term, which end with it."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ["TermTasks"]


class TermTasks:
    """Keeps the tasks of a term and reports their errors.

    Args:
        on_error: called with the error of each task that ends by one.
    """

    def __init__(self, on_error: Callable[[BaseException], None]) -> None:
        self._on_error = on_error
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a coroutine until it or the term ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._on_error(error)
