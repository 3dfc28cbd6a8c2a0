"""The borders of one process, at which faults act."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import TypeVar

from pollengate.forwarding_store import CallKind, ForwardingStore
from pollengate.store import FailureKind, Store, StoreFailure, WatchEvent
from pollengate.worker import (
    Attachment,
    OrderReply,
    TaskOrder,
    TaskRef,
    WorkerCallFailure,
    WorkerClient,
)
from result import Err, Ok, Result

__all__ = ["FaultyStore", "FaultyWorkerClient", "Platform", "ProcessControl"]

T = TypeVar("T")

STORE_LATENCY_S = 0.002
NETWORK_LATENCY_S = 0.001
CALL_TIMEOUT_S = 1.0
REFUSED_AFTER_S = 0.2
LATE_WRITE_S = 3.0
LATE_CALL_S = 2.5


@dataclasses.dataclass(slots=True)
class Platform:
    """Faults of the platform's store that every process sees.

    Attributes:
        is_down: whether every call fails before it has an effect.
        delay_s: time that each call takes.
        lost_replies: number of writes to come that take effect without an answer.
        late_writes: number of writes to come that time out and take effect later.
        watches_open: cleared while watches are silent.
    """

    is_down: bool = False
    delay_s: float = STORE_LATENCY_S
    lost_replies: int = 0
    late_writes: int = 0
    watches_open: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class ProcessControl:
    """Freezes, kills and cuts off one process.

    Attributes:
        name: the process.
        is_dead: whether it was killed.
        is_cut_from_store: whether its store calls fail before they are sent.
        is_cut_from_workers: whether its worker calls fail before they are sent.
        loses_worker_replies: whether worker calls take effect without an answer.
        loses_heartbeats: whether heartbeats don't reach it.
        late_worker_calls: number of worker calls to come that are delivered late.
        is_configuration_silent: whether its reads of the configuration hang.
        loses_heartbeat_replies: whether its answers to heartbeats are lost.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_dead = False
        self.is_cut_from_store = False
        self.is_cut_from_workers = False
        self.loses_worker_replies = False
        self.loses_heartbeats = False
        self.late_worker_calls = 0
        self.is_configuration_silent = False
        self.loses_heartbeat_replies = False
        self._running = asyncio.Event()
        self._running.set()

    @property
    def is_frozen(self) -> bool:
        """Tells whether the process stands still."""
        return not self._running.is_set()

    def freeze(self) -> None:
        """Stops the process at its next border."""
        self._running.clear()

    def unfreeze(self) -> None:
        """Lets a frozen process go on."""
        if not self.is_dead:
            self._running.set()

    def kill(self) -> None:
        """Stops the process at its next border for good."""
        self.is_dead = True
        self._running.clear()

    async def wait_while_frozen(self) -> None:
        """Waits while the process is frozen; never returns once it is dead."""
        while not self._running.is_set():
            await self._running.wait()


class FaultyStore(ForwardingStore):
    """One process's client of the platform's store."""

    def __init__(self, store: Store, control: ProcessControl, platform: Platform) -> None:
        super().__init__(store)
        self._control = control
        self._platform = platform

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields changes, silently holding them back while watches are silent."""
        async for event in self._store.watch(prefix, from_revision):
            await self._control.wait_while_frozen()
            await self._platform.watches_open.wait()
            yield event

    async def forward(
        self, kind: CallKind, send: Callable[[], Awaitable[Result[T, StoreFailure]]]
    ) -> Result[T, StoreFailure]:
        """Makes a call, or fails as the faults in force say."""
        is_write = kind in (CallKind.WRITE, CallKind.GRANT, CallKind.REVOKE)
        await self._control.wait_while_frozen()
        if self._control.is_cut_from_store or self._platform.is_down:
            await asyncio.sleep(REFUSED_AFTER_S)
            return Err(StoreFailure(FailureKind.NOT_SENT, "connection refused"))
        if is_write and self._platform.late_writes > 0:
            self._platform.late_writes -= 1
            asyncio.get_running_loop().call_later(LATE_WRITE_S, _send_late, send)
            return await self._time_out()
        await asyncio.sleep(self._platform.delay_s)
        result = await send()
        if is_write and self._platform.lost_replies > 0:
            self._platform.lost_replies -= 1
            return await self._time_out()
        await self._control.wait_while_frozen()
        return result

    async def _time_out(self) -> Err[StoreFailure]:
        await asyncio.sleep(CALL_TIMEOUT_S)
        await self._control.wait_while_frozen()
        return Err(StoreFailure(FailureKind.UNKNOWN, "no answer"))


def _send_late(send: Callable[[], Awaitable[object]]) -> None:
    asyncio.ensure_future(send())


class FaultyWorkerClient(WorkerClient):
    """One process's client of one worker."""

    def __init__(self, client: WorkerClient, control: ProcessControl) -> None:
        self._client = client
        self._control = control

    async def attach(
        self, epoch: int, session: int, owner_address: str
    ) -> Result[Attachment, WorkerCallFailure]:
        """Attaches the worker."""
        return await self._call(lambda: self._client.attach(epoch, session, owner_address))

    async def start(
        self, epoch: int, session: int, orders: Sequence[TaskOrder]
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Starts tasks."""
        return await self._call(lambda: self._client.start(epoch, session, orders))

    async def stop(
        self, epoch: int, tasks: Sequence[TaskRef], checkpoint: bool
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Stops tasks."""
        return await self._call(lambda: self._client.stop(epoch, tasks, checkpoint))

    async def throttle(
        self, epoch: int, task: TaskRef, share: float
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Throttles a task."""
        return await self._call(lambda: self._client.throttle(epoch, task, share))

    async def _call(
        self, send: Callable[[], Awaitable[Result[T, WorkerCallFailure]]]
    ) -> Result[T, WorkerCallFailure]:
        await self._control.wait_while_frozen()
        if self._control.is_cut_from_workers:
            await asyncio.sleep(REFUSED_AFTER_S)
            return Err(WorkerCallFailure(False, "connection refused"))
        if self._control.late_worker_calls > 0:
            self._control.late_worker_calls -= 1
            asyncio.get_running_loop().call_later(LATE_CALL_S, _send_late, send)
            await asyncio.sleep(CALL_TIMEOUT_S)
            await self._control.wait_while_frozen()
            return Err(WorkerCallFailure(True, "no answer"))
        await asyncio.sleep(NETWORK_LATENCY_S)
        result = await send()
        if self._control.loses_worker_replies and isinstance(result, Ok):
            await asyncio.sleep(CALL_TIMEOUT_S)
            result = Err(WorkerCallFailure(True, "no answer"))
        await self._control.wait_while_frozen()
        return result
