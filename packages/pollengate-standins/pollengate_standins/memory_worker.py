"""A client of a worker stand-in in the same process, for tests in virtual time."""

import asyncio
from collections.abc import Sequence
from typing import TypeVar

from pollengate.worker import (
    Attachment,
    OrderReply,
    TaskOrder,
    TaskRef,
    WorkerCallFailure,
    WorkerClient,
)
from result import Err, Ok, Result

from pollengate_standins.worker_model import WorkerModel

__all__ = ["MemoryWorkerClient"]

T = TypeVar("T")


class MemoryWorkerClient(WorkerClient):
    """Calls a worker model directly; attributes or subclasses simulate faults.

    Attributes:
        delay_s: seconds from the call until it takes effect.
        is_disconnected: whether calls fail before they are sent.
        loses_replies: whether calls take effect, but their replies are lost.
    """

    def __init__(self, model: WorkerModel, delay_s: float = 0.001) -> None:
        self.model = model
        self.delay_s = delay_s
        self.is_disconnected = False
        self.loses_replies = False

    async def attach(
        self, epoch: int, session: int, owner_address: str
    ) -> Result[Attachment, WorkerCallFailure]:
        """Attaches the worker to an owner and session."""
        failure = await self._deliver()
        if failure is not None:
            return failure
        attachment = self.model.attach(epoch, session, owner_address)
        return self._reply(attachment)

    async def start(
        self, epoch: int, session: int, orders: Sequence[TaskOrder]
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Starts tasks."""
        failure = await self._deliver()
        if failure is not None:
            return failure
        return self._reply(tuple(self.model.start(epoch, session, orders)))

    async def stop(
        self, epoch: int, tasks: Sequence[TaskRef], checkpoint: bool
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Stops tasks."""
        failure = await self._deliver()
        if failure is not None:
            return failure
        return self._reply(tuple(self.model.stop(epoch, tasks, checkpoint)))

    async def throttle(
        self, epoch: int, task: TaskRef, share: float
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Sends a throttle order; the model ignores `share`."""
        failure = await self._deliver()
        if failure is not None:
            return failure
        return self._reply((self.model.throttle(epoch, task),))

    async def _deliver(self) -> Err[WorkerCallFailure] | None:
        if self.is_disconnected:
            return Err(WorkerCallFailure(False, "worker not reachable"))
        await asyncio.sleep(self.delay_s)
        return None

    def _reply(self, value: T) -> Result[T, WorkerCallFailure]:
        if self.loses_replies:
            return Err(WorkerCallFailure(True, "reply lost"))
        return Ok(value)
