"""Calls to the workers of a shard, one at a time per worker and limited in total."""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence

from pollengate.failpoints import Failpoint
from pollengate.shard import StartOrders, WorkerState
from pollengate.worker import TaskOrder, TaskRef, WorkerClient
from pollengate.worker_entry import StopOrder
from result import Err, Ok

from pollengated.logs import Log
from pollengated.metrics import Metrics
from pollengated.ownership_term import OwnershipTerm

__all__ = ["WorkerCalls"]

MAX_CONCURRENT_CALLS = 64
MAX_ORDERS_PER_CALL = 200
ATTACH_RETRY_DELAY_S = 0.25
STOP_RETRY_DELAY_S = 1.0
FIRST_ATTEMPT = 1


@dataclasses.dataclass(slots=True)
class _WorkerConnection:
    client: WorkerClient
    orders: list[TaskOrder] = dataclasses.field(default_factory=list)
    sent_at_by_stop: dict[StopOrder, float] = dataclasses.field(default_factory=dict)
    retry_at: float = 0.0
    task: asyncio.Task[None] | None = None


class WorkerCalls:
    """Attaches workers and sends them start, stop and throttle orders."""

    def __init__(
        self,
        term: OwnershipTerm,
        connect: Callable[[str], WorkerClient],
        address: str,
        metrics: Metrics,
    ) -> None:
        self._term = term
        self._shard_state = term.shard_state
        self._failpoints = term.failpoints
        self._connect = connect
        self._address = address
        self._metrics = metrics
        self._connections_by_worker: dict[str, _WorkerConnection] = {}
        self._call_limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._log = Log("workers")

    def call_pending_workers(self) -> None:
        """Calls workers that are detached or have tasks to stop, unless a call is in progress."""
        workers = self._shard_state.workers
        for worker_id in (*workers.detached, *workers.with_pending_stops):
            self._call_if_idle(worker_id)

    def send_starts(self, plan: StartOrders) -> None:
        """Queues start orders for a worker; their capacity is already reserved."""
        self._connection(plan.worker_id).orders.extend(plan.orders)
        self._call_if_idle(plan.worker_id)

    async def throttle(self, worker_id: str, ref: TaskRef, share: float) -> None:
        """Limits a task to a share of its processors; a failed call is not retried."""
        async with self._call_limit:
            if self._term.is_valid():
                client = self._connection(worker_id).client
                await client.throttle(self._term.epoch, ref, share)

    async def drain_starts(self) -> None:
        """Withdraws unsent start orders and waits for calls in flight."""
        for connection in self._connections_by_worker.values():
            self._withdraw(connection)
        tasks = [
            connection.task
            for connection in self._connections_by_worker.values()
            if connection.task is not None
        ]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def close(self) -> None:
        """Cancels every call and closes the connections."""
        connections = list(self._connections_by_worker.values())
        tasks = [connection.task for connection in connections if connection.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in connections:
            await connection.client.close()

    def _connection(self, worker_id: str) -> _WorkerConnection:
        connection = self._connections_by_worker.get(worker_id)
        if connection is None:
            connection = _WorkerConnection(
                self._connect(self._shard_state.workers_by_id[worker_id].vm.address)
            )
            self._connections_by_worker[worker_id] = connection
        return connection

    def _call_if_idle(self, worker_id: str) -> None:
        connection = self._connection(worker_id)
        if connection.task is not None and not connection.task.done():
            return
        if connection.task is not None and not connection.task.cancelled():
            connection.task.result()
        connection.task = None
        if asyncio.get_running_loop().time() >= connection.retry_at and self._has_work(
            worker_id, connection
        ):
            connection.task = asyncio.create_task(self._run(worker_id, connection))

    def _has_work(self, worker_id: str, connection: _WorkerConnection) -> bool:
        worker = self._shard_state.workers_by_id.get(worker_id)
        if worker is None:
            return False
        is_detached = worker.state is WorkerState.DETACHED
        return (
            is_detached or bool(connection.orders) or bool(self._due_stops(worker_id, connection))
        )

    async def _run(self, worker_id: str, connection: _WorkerConnection) -> None:
        while self._term.is_valid() and self._has_work(worker_id, connection):
            async with self._call_limit:
                if self._shard_state.workers_by_id[worker_id].state is WorkerState.DETACHED:
                    self._withdraw(connection)
                    if not await self._attach(worker_id, connection):
                        connection.retry_at = (
                            asyncio.get_running_loop().time() + ATTACH_RETRY_DELAY_S
                        )
                        return
                elif connection.orders:
                    await self._start(worker_id, connection)
                else:
                    await self._stop(worker_id, connection)
        self._withdraw(connection)

    async def _attach(self, worker_id: str, connection: _WorkerConnection) -> bool:
        await self._failpoints.reach(Failpoint.ATTACH_SENDING, worker_id)
        if not self._term.is_serving():
            return False
        session = self._shard_state.workers.next_session(worker_id)
        result = await connection.client.attach(self._term.epoch, session, self._address)
        await self._failpoints.reach(Failpoint.WORKER_ATTACHED, worker_id)
        if isinstance(result, Err):
            return False
        if not result.ok_value.accepted:
            self._log.warning(
                "worker rejected attach, as it has seen a newer owner; retrying",
                worker_id=worker_id,
            )
            return False
        if not self._term.is_valid():
            return False
        now = asyncio.get_running_loop().time()
        refs_to_stop = self._shard_state.attach(worker_id, session, result.ok_value.reports, now)
        if refs_to_stop:
            await connection.client.stop(self._term.epoch, refs_to_stop, checkpoint=False)
        return True

    async def _start(self, worker_id: str, connection: _WorkerConnection) -> None:
        orders = connection.orders[:MAX_ORDERS_PER_CALL]
        await self._reach_all(Failpoint.START_SENDING, orders)
        session = self._shard_state.workers_by_id[worker_id].session
        if not self._term.may_start():
            self._withdraw(connection)
            return
        del connection.orders[: len(orders)]
        result = await connection.client.start(self._term.epoch, session, orders)
        await self._reach_all(Failpoint.START_ANSWERED, orders)
        if isinstance(result, Ok):
            self._shard_state.apply_start_replies(result.ok_value)
            self._count_starts([reply.ref for reply in result.ok_value if reply.accepted])
            return
        if not result.err_value.sent:
            self._shard_state.withdraw_starts(orders)
        self._shard_state.require_reattach(worker_id)

    def _count_starts(self, refs: Sequence[TaskRef]) -> None:
        self._metrics.starts.inc(len(refs))
        now = asyncio.get_running_loop().time()
        for ref in refs:
            job = self._shard_state.jobs_by_id.get(ref.task_id.rpartition(".")[0])
            if job is not None and job.accepted_at is not None and ref.attempt == FIRST_ATTEMPT:
                self._metrics.start_delay.observe(now - job.accepted_at)

    async def _stop(self, worker_id: str, connection: _WorkerConnection) -> None:
        stops = self._due_stops(worker_id, connection)
        await self._failpoints.reach(Failpoint.STOP_SENDING, worker_id)
        if not self._term.is_valid():
            return
        now = asyncio.get_running_loop().time()
        for checkpoint in (True, False):
            refs = [stop.ref for stop in stops if stop.checkpoint is checkpoint]
            if refs:
                await connection.client.stop(self._term.epoch, refs, checkpoint)
        connection.sent_at_by_stop = dict.fromkeys(stops, now) | {
            stop: connection.sent_at_by_stop[stop]
            for stop in self._shard_state.stop_orders(worker_id)
            if stop in connection.sent_at_by_stop and stop not in stops
        }
        await self._failpoints.reach(Failpoint.STOP_ANSWERED, worker_id)

    def _due_stops(self, worker_id: str, connection: _WorkerConnection) -> list[StopOrder]:
        due_before = asyncio.get_running_loop().time() - STOP_RETRY_DELAY_S
        return [
            stop
            for stop in self._shard_state.stop_orders(worker_id)
            if connection.sent_at_by_stop.get(stop, due_before) <= due_before
        ]

    def _withdraw(self, connection: _WorkerConnection) -> None:
        orders, connection.orders = connection.orders, []
        self._shard_state.withdraw_starts(orders)

    async def _reach_all(self, failpoint: Failpoint, orders: Sequence[TaskOrder]) -> None:
        for order in orders:
            await self._failpoints.reach(failpoint, order.ref.task_id)
            if order.checkpoint and failpoint is Failpoint.START_SENDING:
                await self._failpoints.reach(Failpoint.RESUME_SENDING, order.ref.task_id)
