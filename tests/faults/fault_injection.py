"""Clients of one process for the store and for workers, which inject faults into calls."""

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
    """Faults of the platform's store that affect every process.

    Attributes:
        is_down: whether every call fails before it takes effect.
        delay_s: duration of each call.
        lost_replies: number of next writes that take effect, but time out.
        late_writes: number of next writes that time out and take effect later.
        watches_open: cleared while watches deliver no events.
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
        loses_worker_replies: whether worker calls take effect, but time out.
        loses_heartbeats: whether heartbeats sent to it are lost.
        late_worker_calls: number of next worker calls that time out and are delivered later.
        is_configuration_silent: whether its reads of the configuration hang.
        loses_heartbeat_replies: whether its replies to heartbeats are lost.
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
        """Whether the process is frozen or dead."""
        return not self._running.is_set()

    def freeze(self) -> None:
        """Suspends the process at its next call or failpoint."""
        self._running.clear()

    def unfreeze(self) -> None:
        """Resumes a frozen process; a dead one stays suspended."""
        if not self.is_dead:
            self._running.set()

    def kill(self) -> None:
        """Suspends the process at its next call or failpoint for good."""
        self.is_dead = True
        self._running.clear()

    async def wait_while_frozen(self) -> None:
        """Waits while the process is frozen; never returns if it is dead."""
        while not self._running.is_set():
            await self._running.wait()


class FaultyStore(ForwardingStore):
    """The client of one process for the platform's store."""

    def __init__(self, store: Store, control: ProcessControl, platform: Platform) -> None:
        super().__init__(store)
        self._control = control
        self._platform = platform

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields changes; holds them back while the process is frozen or watches are silent."""
        async for event in self._store.watch(prefix, from_revision):
            await self._control.wait_while_frozen()
            await self._platform.watches_open.wait()
            yield event

    async def forward(
        self, kind: CallKind, send: Callable[[], Awaitable[Result[T, StoreFailure]]]
    ) -> Result[T, StoreFailure]:
        """Makes a call with the faults that are active."""
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
        return Err(StoreFailure(FailureKind.UNKNOWN, "no reply"))


def _send_late(send: Callable[[], Awaitable[object]]) -> None:
    asyncio.ensure_future(send())


class FaultyWorkerClient(WorkerClient):
    """The client of one process for one worker."""

    def __init__(self, client: WorkerClient, control: ProcessControl) -> None:
        self._client = client
        self._control = control

    async def attach(
        self, epoch: int, session: int, owner_address: str
    ) -> Result[Attachment, WorkerCallFailure]:
        """Calls `attach` on the worker."""
        return await self._call(lambda: self._client.attach(epoch, session, owner_address))

    async def start(
        self, epoch: int, session: int, orders: Sequence[TaskOrder]
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Calls `start` on the worker."""
        return await self._call(lambda: self._client.start(epoch, session, orders))

    async def stop(
        self, epoch: int, tasks: Sequence[TaskRef], checkpoint: bool
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Calls `stop` on the worker."""
        return await self._call(lambda: self._client.stop(epoch, tasks, checkpoint))

    async def throttle(
        self, epoch: int, task: TaskRef, share: float
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Calls `throttle` on the worker."""
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
            return Err(WorkerCallFailure(True, "no reply"))
        await asyncio.sleep(NETWORK_LATENCY_S)
        result = await send()
        if self._control.loses_worker_replies and isinstance(result, Ok):
            await asyncio.sleep(CALL_TIMEOUT_S)
            result = Err(WorkerCallFailure(True, "no reply"))
        await self._control.wait_while_frozen()
        return result
