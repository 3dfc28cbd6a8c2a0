"""A cluster whose processes can be frozen, with random latencies of all calls.

A frozen process runs nothing: each callback and timer of its tasks waits until it resumes, and all
of them then run at once, in an order that varies. Calls are carried out outside of the process, so
that those on their way take effect and their replies wait. Callbacks are those of the event loop: a
process is frozen between two of them and never inside of one.
"""

import asyncio
import contextvars
import dataclasses
import functools
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar

from pollengate.forwarding_store import CallKind
from pollengate.memory_store import MemoryStore
from pollengate.store import (
    Changes,
    CommitResult,
    FailureKind,
    Operation,
    StoreFailure,
    Unchanged,
)
from pollengate.workflow.clients import (
    OrderFailure,
    OrderRejection,
    RenewOrder,
    Report,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from pollengate.workflow.job_service import JobResponse
from pollengate.workflow.model import Workflow
from pollengate_standins.lease_worker import LeaseWorker, LeaseWorkerClient
from result import Err, Result

from tests.edge_cluster import EdgeCluster, EdgeNode, NodeStore

__all__ = ["FreezableCluster", "FreezableProcess", "RemoteStore", "RemoteWorkers", "process_of"]

T = TypeVar("T")

# One way, in seconds; half of the latency of a call.
STORE_DELAY_S = (0.002, 0.015)
WORKER_DELAY_S = (0.0005, 0.005)
# As in pollengate_platform.
CALL_TIMEOUT_S = 0.8
WAIT_MARGIN_S = 0.7
# Calls that get no reply are carried out up to this time later.
MAX_DELAY_S = 12.0

_process: contextvars.ContextVar["FreezableProcess | None"] = contextvars.ContextVar(
    "process", default=None
)


class FreezableProcess:
    """What tasks with a context of their own run on the loop.

    Args:
        choices: chooses the order in which callbacks run after a freeze.
        counts_freezes: whether the clock of timers runs on in a freeze. The monotonic clock of a VM
            that is suspended does not, so that its timers become due later.

    Attributes:
        context: the context of the process's tasks.
        is_frozen: whether all callbacks wait.
    """

    def __init__(self, choices: random.Random, counts_freezes: bool) -> None:
        self.context = contextvars.copy_context()
        self.context.run(_process.set, self)
        self.is_frozen = False
        self._choices = choices
        self._counts_freezes = counts_freezes
        self._waiting: list[_Callback] = []
        self._frozen_at = 0.0
        self._timer_delay_s = 0.0

    def freeze(self) -> None:
        """Makes all callbacks wait."""
        self.is_frozen = True
        self._frozen_at = asyncio.get_running_loop().time()

    def resume(self) -> None:
        """Runs what has waited."""
        if not self.is_frozen:
            return
        self.is_frozen = False
        if not self._counts_freezes:
            self._timer_delay_s += asyncio.get_running_loop().time() - self._frozen_at
        waiting, self._waiting = self._waiting, []
        if self._choices.random() < 0.7:
            self._choices.shuffle(waiting)
        for callback in waiting:
            callback.schedule()

    def admit(self, callback: "_Callback") -> bool:
        """Returns whether a callback may run now; otherwise it runs later."""
        if self.is_frozen:
            self._waiting.append(callback)
            return False
        delay_s = self._timer_delay_s - callback.counted_delay_s
        if callback.when is not None and delay_s > 0:
            callback.when += delay_s
            callback.counted_delay_s = self._timer_delay_s
            callback.schedule()
            return False
        return True

    def wrap(
        self, when: float | None, run: Callable[[], object], context: contextvars.Context
    ) -> "_Callback":
        """Returns a callback that runs only while the process is not frozen."""
        return _Callback(self, when, run, context, self._timer_delay_s)


@dataclasses.dataclass(eq=False)
class _Callback:
    """A callback of a process; `when` is the loop time of a timer."""

    process: FreezableProcess
    when: float | None
    run: Callable[[], object]
    context: contextvars.Context
    counted_delay_s: float
    handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        is_cancelled = self.handle is not None and self.handle.cancelled()
        if not is_cancelled and self.process.admit(self):
            self.run()

    def schedule(self) -> None:
        """Schedules the callback again; cancelling its first handle still cancels it."""
        loop = asyncio.get_running_loop()
        if self.when is None or self.when <= loop.time():
            asyncio.BaseEventLoop.call_soon(loop, self, context=self.context)  # type: ignore
        else:
            asyncio.BaseEventLoop.call_at(  # type: ignore
                loop, self.when, self, context=self.context
            )


def _make_freezable(loop: Any) -> None:
    """Lets processes decide when the callbacks of their contexts run."""
    call_soon, call_at = loop.call_soon, loop.call_at

    def schedule(
        when: float | None,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> asyncio.Handle:
        if context is None:  # an empty context is false
            context = contextvars.copy_context()
        process = context.get(_process)
        if process is not None:
            wrapped = process.wrap(when, functools.partial(callback, *args), context)
            callback, args = wrapped, ()
        handle: asyncio.Handle = (
            call_soon(callback, *args, context=context)
            if when is None
            else call_at(when, callback, *args, context=context)
        )
        if process is not None:
            wrapped.handle = handle
        return handle

    loop.call_soon = lambda callback, *args, context=None: schedule(None, callback, args, context)
    loop.call_at = lambda when, callback, *args, context=None: schedule(
        when, callback, args, context
    )


class _Network:
    """Carries out the calls of one process outside of it."""

    def __init__(self, choices: random.Random, delay_s: tuple[float, float]) -> None:
        self.choices = choices
        self._delay_s = delay_s
        self._exchanges: set[asyncio.Task[Any]] = set()

    async def call(self, send: Callable[[], Awaitable[T]], timeout_s: float) -> T | None:
        """Returns the reply, None if there is none in time; the call may be carried out later."""
        exchange = asyncio.get_running_loop().create_task(
            self._exchange(send), context=contextvars.Context()
        )
        self._exchanges.add(exchange)
        exchange.add_done_callback(self._exchanges.discard)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(exchange)
        except TimeoutError:
            return None

    async def _exchange(self, send: Callable[[], Awaitable[T]]) -> T:
        await asyncio.sleep(self.choices.uniform(*self._delay_s))
        reply = await send()
        await asyncio.sleep(self.choices.uniform(*self._delay_s))
        return reply


class RemoteStore(NodeStore):
    """Access of a freezable process to the store.

    Attributes:
        late_share: share of the calls about leases that are carried out late, without a reply.
        has_sent_renewal: set when the process sends the renewal of a lease.
    """

    def __init__(self, shared_store: MemoryStore, choices: random.Random) -> None:
        super().__init__(shared_store)
        self.late_share = 0.0
        self.has_sent_renewal = asyncio.Event()
        self._network = _Network(choices, STORE_DELAY_S)

    async def commit(
        self, conditions: Sequence[Unchanged], operations: Sequence[Operation]
    ) -> Result[CommitResult, StoreFailure]:
        """Sends a transaction."""
        commit = super().commit
        return await self._send(lambda: commit(conditions, operations), CALL_TIMEOUT_S)

    async def forward(
        self, kind: CallKind, send: Callable[[], Awaitable[Result[T, StoreFailure]]]
    ) -> Result[T, StoreFailure]:
        """Sends any other call."""
        forward = super().forward
        if kind is CallKind.RENEW:
            self.has_sent_renewal.set()
        is_lease_call = kind in (CallKind.RENEW, CallKind.REVOKE, CallKind.GRANT)
        is_late = is_lease_call and self._network.choices.random() < self.late_share
        delay_s = self._network.choices.uniform(CALL_TIMEOUT_S, MAX_DELAY_S) if is_late else 0.0

        async def carry_out() -> Result[T, StoreFailure]:
            await asyncio.sleep(delay_s)
            found: Result[T, StoreFailure] = await forward(kind, send)
            return found

        return await self._send(carry_out, CALL_TIMEOUT_S)

    async def changes(
        self, prefix: str, after_revision: int, wait_s: float, max_bytes: int | None = None
    ) -> Result[Changes, StoreFailure]:
        """Polls the store."""
        changes = super().changes
        timeout_s = wait_s + WAIT_MARGIN_S
        return await self._send(
            lambda: changes(prefix, after_revision, wait_s, max_bytes), timeout_s
        )

    async def _send(
        self, send: Callable[[], Awaitable[Result[T, StoreFailure]]], timeout_s: float
    ) -> Result[T, StoreFailure]:
        reply = await self._network.call(send, timeout_s)
        return Err(StoreFailure(FailureKind.UNKNOWN, "timeout")) if reply is None else reply


class RemoteWorkers(LeaseWorkerClient):
    """The client through which a freezable process calls the workers.

    Attributes:
        lost_reply_share: share of the orders that are carried out without a reply.
        late_renewal_share: share of the renewals that are carried out late, without a reply.
    """

    def __init__(self, workers_by_id: dict[str, LeaseWorker], choices: random.Random) -> None:
        super().__init__(workers_by_id)
        self.lost_reply_share = 0.0
        self.late_renewal_share = 0.0
        self._network = _Network(choices, WORKER_DELAY_S)

    async def start(
        self, address: str, worker_id: str, order: StartOrder
    ) -> Result[int, OrderFailure]:
        """Sends a start order."""
        start = super().start
        return await self._send(lambda: start(address, worker_id, order), CALL_TIMEOUT_S)

    async def stop(
        self, address: str, worker_id: str, order: StopOrder
    ) -> Result[int, OrderFailure]:
        """Sends a stop order."""
        stop = super().stop
        return await self._send(lambda: stop(address, worker_id, order), CALL_TIMEOUT_S)

    async def throttle(
        self, address: str, worker_id: str, order: ThrottleOrder
    ) -> Result[int, OrderFailure]:
        """Sends a throttle order."""
        throttle = super().throttle
        return await self._send(lambda: throttle(address, worker_id, order), CALL_TIMEOUT_S)

    async def renew(
        self, address: str, worker_id: str, order: RenewOrder
    ) -> Result[Report, OrderFailure]:
        """Sends a renewal."""
        renew = super().renew
        timeout_s = order.wait_ms / 1000 + WAIT_MARGIN_S
        if self._network.choices.random() < self.late_renewal_share:
            return await self._send(lambda: self._renew_late(worker_id, order), timeout_s)
        return await self._send(lambda: renew(address, worker_id, order), timeout_s)

    async def _renew_late(self, worker_id: str, order: RenewOrder) -> Result[Report, OrderFailure]:
        worker = self.workers_by_id[worker_id]
        born_ms = worker.born_ms
        await asyncio.sleep(self._network.choices.uniform(CALL_TIMEOUT_S, MAX_DELAY_S))
        if worker.born_ms == born_ms and not (worker.is_unreachable or worker.is_gone):
            worker.renew(order)
        return Err(OrderFailure(OrderRejection.NO_ANSWER, "reply lost"))

    async def _send(
        self, send: Callable[[], Awaitable[Result[T, OrderFailure]]], timeout_s: float
    ) -> Result[T, OrderFailure]:
        loses_reply = self._network.choices.random() < self.lost_reply_share
        reply = await self._network.call(send, timeout_s)
        if reply is None or loses_reply:
            return Err(OrderFailure(OrderRejection.NO_ANSWER, "timeout"))
        return reply


class FreezableCluster(EdgeCluster):
    """A cluster of freezable processes.

    Args:
        workers: number of workers.
        choices: chooses latencies and orders.
        counts_freezes: whether the clock of timers runs on in a freeze.
    """

    def __init__(self, workers: int, choices: random.Random, counts_freezes: bool) -> None:
        super().__init__(workers)
        self._choices = choices
        self._counts_freezes = counts_freezes
        _make_freezable(asyncio.get_running_loop())

    def create_context(self) -> contextvars.Context:
        """Returns the context of a new freezable process."""
        return FreezableProcess(self._choices, self._counts_freezes).context

    def create_store(self, context: contextvars.Context) -> NodeStore:
        """Returns a new process's access to the shared store."""
        return RemoteStore(self.store, self._choices)

    def create_worker_client(self, context: contextvars.Context) -> LeaseWorkerClient:
        """Returns the client through which a new process calls the workers."""
        return RemoteWorkers(self.workers_by_id, self._choices)

    def add_worker(self, worker_id: str) -> LeaseWorker:
        """Adds a worker, which is not registered yet."""
        worker = LeaseWorker(worker_id, self.history)
        first_id = next(iter(self.workers_by_id))
        self.zone_by_worker[worker_id] = self.zone_by_worker[first_id]
        self.rack_by_worker[worker_id] = self.rack_by_worker[first_id]
        self.workers_by_id[worker_id] = worker
        return worker

    async def submit(
        self, job_id: str, workflow: Workflow, other_than: str = "", account: str = ""
    ) -> JobResponse:
        """Submits a job to the owner, whose response waits while it is frozen."""
        term = await self.wait_for_term(other_than)
        node = self.owner(other_than)
        assert node is not None
        return await node.run(term.request_handler.submit("queue", job_id, workflow, account))

    def owner(self, other_than: str = "", shard: int = 0) -> EdgeNode | None:
        """Returns the process that serves a shard and is not frozen, None if there is none."""
        found = super().owner(other_than, shard)
        if found is None or not process_of(found).is_frozen:
            return found
        return super().owner(found.name, shard) if not other_than else None


def process_of(node: EdgeNode) -> FreezableProcess:
    """Returns the freezable process of a node."""
    process = node.context.get(_process)
    assert process is not None
    return process
