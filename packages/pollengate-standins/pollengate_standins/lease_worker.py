"""A simulated worker that runs workflow tasks under a lease, for tests in virtual time."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from pollengate.workflow.clients import (
    EndedRun,
    EndKind,
    OrderFailure,
    OrderRejection,
    RenewOrder,
    Report,
    RunningTask,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerClient,
)
from result import Err, Ok, Result

__all__ = ["MAX_LEASE_S", "LeaseWorker", "LeaseWorkerClient", "StartRecord"]

REPLY_LATENCY_S = 0.002
LOST_REPLY_TIMEOUT_S = 0.8
STOP_LATENCY_S = 0.1
# Time from the start of a task that crashes its worker to the crash, and until the worker is back.
CRASH_LATENCY_S = 0.01
DOWN_S = 3.0
# Ends that a worker lists in one report.
MAX_ENDS_PER_REPORT = 500
# Longer leases are shortened to this length.
MAX_LEASE_S = 6.0


@dataclasses.dataclass(slots=True)
class StartRecord:
    """One run that a worker started.

    Attributes:
        task: name of the task.
        run: number of the run.
        worker_id: worker that started it.
        began_at: loop time of the start.
        ended_at: loop time of the end; None while it runs.
        end_kind: how it ended; None while it runs.
        duration_s: time that it runs until it is done; infinite for a long-running task.
        checkpoint: checkpoint from which it resumed; empty for none.
        done_s: work that is done, in seconds at full speed.
        speed: share of full speed to which it is limited.
        noted_at: loop time at which its end was acknowledged before the lease expired; None if it
            was not.
        noted_token: fencing token of the order that acknowledged it then.
        is_late: whether its start order was carried out late.
        token: fencing token of its start order.
    """

    task: str
    run: int
    worker_id: str
    began_at: float
    ended_at: float | None = None
    end_kind: EndKind | None = None
    duration_s: float = 1.0
    checkpoint: str = ""
    done_s: float = 0.0
    speed: float = 1.0
    noted_at: float | None = None
    noted_token: int = 0
    is_late: bool = False
    token: int = 0


class LeaseWorker:
    """One worker, whose runs and lease are updated to the current time at each call.

    Attributes:
        is_unreachable: whether calls, except throttle orders, have no effect and time out.
        is_gone: the same, for good.
        is_replaced: whether another worker replies at its address.
        is_unhealthy: whether it refuses all starts.
        completes_reports: whether calls for a report ever end.
        loses_replies: whether start orders take effect, but time out.
        start_delay_s: if not 0, start orders time out and take effect after this time.
        late_starts_outlive_crashes: whether such a start takes effect although the worker has
            crashed since.
        stop_delay_s: the same for stop orders.
        born_ms: identifies the incarnation; a crash increases it.
        max_lease_s: longer leases are shortened to this length.
        next_clock_ms: clock with which the next incarnation begins.
        fails: returns whether a run of the task ends with a failure.
        duration_of: returns the `duration_s` of a run of the task.
        crashes_under: returns whether the worker crashes right after it has started the task.
        measurement_of: returns what the worker measures of a running task.
        clock_rate: seconds that the worker's clock advances in a second.
        max_ends_per_report: ends that one report lists at most.
        fences_reports: whether a renewal that waited for an end is rejected if the worker has seen
            a higher token meanwhile; otherwise its reply is a report.
        noted_ends: start records whose end was acknowledged before the lease expired.
    """

    def __init__(self, worker_id: str, history: list[StartRecord]) -> None:
        self.worker_id = worker_id
        self.is_unreachable = False
        self.is_gone = False
        self.is_replaced = False
        self.is_unhealthy = False
        self.completes_reports = True
        self.loses_replies = False
        self.start_delay_s = 0.0
        self.late_starts_outlive_crashes = False
        self.stop_delay_s = 0.0
        self.born_ms = 1
        self.max_lease_s = MAX_LEASE_S
        self.next_clock_ms = 0
        self.fails: Callable[[str], bool] = lambda task: False
        self.duration_of: Callable[[str], float] = lambda task: 1.0
        self.crashes_under: Callable[[str], bool] = lambda task: False
        self.measurement_of: Callable[[str], float] = lambda task: 1.0
        self.clock_rate = 1.0
        self.max_ends_per_report = MAX_ENDS_PER_REPORT
        self.fences_reports = True
        self.noted_ends: list[StartRecord] = []
        self._history = history
        self._token = 0
        self._born_at = 0.0
        self._first_clock_ms = 0
        self._lease_until = 0.0
        self._expired_at = 0.0
        self._records_by_end: dict[int, StartRecord] = {}
        self._ended: list[EndedRun] = []
        self._ended_count = 0
        self._highest_by_task: dict[str, int] = {}
        self._running: dict[tuple[str, int], StartRecord] = {}
        self._changed = asyncio.Event()
        self._is_hanging = False
        self._advanced_at = 0.0

    @property
    def running(self) -> list[StartRecord]:
        """The runs in progress."""
        return list(self._running.values())

    def hang(self, is_hanging: bool) -> None:
        """Makes all tasks stand still, or work on; calls are still answered."""
        self.advance()
        self._is_hanging = is_hanging

    def crash(self) -> None:
        """Ends all runs and starts a new incarnation, whose clock and counts start anew."""
        self.advance()
        for record in self._running.values():
            record.ended_at, record.end_kind = self._now(), EndKind.EXPIRED
        self._running.clear()
        self._ended.clear()
        self._highest_by_task.clear()
        self._ended_count = self._token = 0
        self._lease_until = 0.0
        self._born_at = self._now()
        self._first_clock_ms = self.next_clock_ms
        self.born_ms += 1

    def crash_for(self, seconds: float) -> None:
        """Crashes; the new incarnation replies after some time."""
        self.crash()
        self.is_unreachable = True
        asyncio.get_running_loop().call_later(seconds, self._become_reachable)

    def start(self, order: StartOrder, is_late: bool = False) -> Result[int, OrderFailure]:
        """Starts a run; confirms an order that was already carried out."""
        self.advance()
        key = (order.task, order.run)
        if order.token < self._token:
            return self._refuse(OrderRejection.FENCED)
        self._token = order.token
        if key in self._running:
            return Ok(self._clock_ms())
        if order.run <= self._highest_by_task.get(order.task, 0):
            return self._refuse(OrderRejection.OLD_RUN)
        if order.lease_until_ms <= self._clock_ms():
            return self._refuse(OrderRejection.TOO_LATE)
        if self.is_unhealthy:
            return self._refuse(OrderRejection.UNHEALTHY)
        self._extend_lease(order.lease_until_ms)
        record = StartRecord(
            order.task,
            order.run,
            self.worker_id,
            self._now(),
            duration_s=self.duration_of(order.task),
            checkpoint=order.checkpoint,
            is_late=is_late,
            token=order.token,
        )
        self._running[key] = record
        self._history.append(record)
        if self.crashes_under(order.task):
            asyncio.get_running_loop().call_later(CRASH_LATENCY_S, self.crash_for, DOWN_S)
        return Ok(self._clock_ms())

    def stop(self, order: StopOrder) -> Result[int, OrderFailure]:
        """Stops a run and rejects later orders to start it."""
        self.advance()
        if order.token < self._token:
            return self._refuse(OrderRejection.FENCED)
        self._token = order.token
        highest = self._highest_by_task.get(order.task, 0)
        self._highest_by_task[order.task] = max(highest, order.run)
        record = self._running.get((order.task, order.run))
        if record is not None:
            self._end(record, EndKind.STOPPED, self._now())
        return Ok(self._clock_ms())

    def throttle(self, order: ThrottleOrder) -> Result[int, OrderFailure]:
        """Limits the speed of a run."""
        self.advance()
        record = self._running.get((order.task, order.run))
        if record is not None:
            record.speed = order.percent / 100
        return Ok(self._clock_ms())

    def renew(self, order: RenewOrder) -> Result[Report, OrderFailure]:
        """Extends the lease if the order asks for it, and returns a report."""
        self.advance()
        if order.token < self._token:
            return self._refuse(OrderRejection.FENCED)
        self._token = order.token
        self._note_ends(order.acked_upto)
        if order.lease_until_ms is not None:
            self._extend_lease(order.lease_until_ms)
        return Ok(self.report())

    def report(self) -> Report:
        """Returns the runs and ends, without an order."""
        self.advance()
        running = tuple(
            RunningTask(
                r.task,
                r.run,
                f"c{self._now():.2f}",
                self._percent(r),
                self.measurement_of(r.task),
            )
            for r in self._running.values()
        )
        listed = tuple(self._ended[: self.max_ends_per_report])
        return Report(self._clock_ms(), self.born_ms, running, listed)

    async def wait_for_end(self, seconds: float) -> None:
        """Waits until there is an end to report, at most for `seconds`."""
        deadline = self._now() + seconds
        while not self._ended and self._now() < deadline:
            ends = [self._done_at(record) for record in self._running.values()]
            wake_at = min([deadline, self._lease_until, *ends])
            await asyncio.sleep(max(0.001, wake_at - self._now()))
            self.advance()

    def advance(self) -> None:
        """Ends runs that are done by now, and all others if the lease has expired."""
        now = self._now()
        if self._lease_until <= now:
            self._expired_at = self._lease_until
        for record in list(self._running.values()):
            done_at = self._done_at(record)
            if done_at <= min(now, self._lease_until):
                end_kind = EndKind.FAILED if self.fails(record.task) else EndKind.DONE
                self._end(record, end_kind, done_at)
            elif self._lease_until <= now:
                self._end(record, EndKind.EXPIRED, self._lease_until)
            else:
                record.done_s += self._speed(record) * (now - self._from(record))
        self._advanced_at = now

    def _from(self, record: StartRecord) -> float:
        """Returns the time up to which the work of a run is counted."""
        return max(record.began_at, self._advanced_at)

    def _speed(self, record: StartRecord) -> float:
        return 0.0 if self._is_hanging else record.speed

    def _done_at(self, record: StartRecord) -> float:
        speed = self._speed(record)
        if not speed:
            return float("inf")
        return self._from(record) + (record.duration_s - record.done_s) / speed

    def _extend_lease(self, until_ms: int) -> None:
        longest_ms = self._clock_ms() + self.max_lease_s * 1000
        age_s = (min(until_ms, longest_ms) - self._first_clock_ms) / 1000 / self.clock_rate
        self._lease_until = max(self._lease_until, self._born_at + age_s)

    def _note_ends(self, acked_upto: int) -> None:
        for end in self._ended:
            record = self._records_by_end[end.number]
            if end.number <= acked_upto and (record.ended_at or 0.0) > self._expired_at:
                self.noted_ends.append(record)
                record.noted_at, record.noted_token = self._now(), self._token
        self._ended = [end for end in self._ended if end.number > acked_upto]

    def _become_reachable(self) -> None:
        self.is_unreachable = False

    def _end(self, record: StartRecord, end_kind: EndKind, at: float) -> None:
        del self._running[record.task, record.run]
        highest = self._highest_by_task.get(record.task, 0)
        self._highest_by_task[record.task] = max(highest, record.run)
        record.ended_at, record.end_kind = at, end_kind
        self._ended_count += 1
        self._records_by_end[self._ended_count] = record
        checkpoint = f"c{at:.2f}" if end_kind is EndKind.STOPPED else ""
        self._ended.append(
            EndedRun(self._ended_count, record.task, record.run, end_kind, checkpoint)
        )

    def _percent(self, record: StartRecord) -> float:
        if record.duration_s == float("inf"):
            return 100.0
        return 100 * record.done_s / record.duration_s

    def _refuse(self, kind: OrderRejection) -> Err[OrderFailure]:
        return Err(OrderFailure(kind, kind.value, self._clock_ms()))

    def _clock_ms(self) -> int:
        elapsed_ms = int((self._now() - self._born_at) * 1000 * self.clock_rate)
        return self._first_clock_ms + elapsed_ms

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


class LeaseWorkerClient(WorkerClient):
    """The client through which one process calls the workers.

    Attributes:
        workers_by_id: the workers, shared by the clients of all processes.
        unreachable_worker_ids: workers that only this process can't reach.
    """

    def __init__(self, workers_by_id: dict[str, LeaseWorker]) -> None:
        self.workers_by_id = workers_by_id
        self.unreachable_worker_ids: set[str] = set()
        self._opened_by_id: collections.Counter[str] = collections.Counter()
        self._connected_born_ms: dict[str, int] = {}

    def opened_connections(self, address: str) -> int | None:
        """Returns how many connections to a worker were opened so far; a crash breaks them."""
        return self._opened_by_id[address.partition(":")[0]]

    async def start(
        self, address: str, worker_id: str, order: StartOrder
    ) -> Result[int, OrderFailure]:
        """Sends a start order, subject to the worker's simulated faults."""
        worker = self.workers_by_id[worker_id]
        if worker.start_delay_s and not self._is_unreachable(worker):
            loop = asyncio.get_running_loop()
            loop.call_later(worker.start_delay_s, _start_late, worker, worker.born_ms, order)
            return await _time_out()
        if self._is_unreachable(worker):
            return await _time_out()
        await asyncio.sleep(REPLY_LATENCY_S)
        result = worker.start(order)
        return await _time_out() if worker.loses_replies else result

    async def stop(
        self, address: str, worker_id: str, order: StopOrder
    ) -> Result[int, OrderFailure]:
        """Sends a stop order, which times out if the worker is unreachable."""
        worker = self.workers_by_id[worker_id]
        if worker.stop_delay_s and not self._is_unreachable(worker):
            loop = asyncio.get_running_loop()
            loop.call_later(worker.stop_delay_s, worker.stop, order)
            return await _time_out()
        if self._is_unreachable(worker):
            return await _time_out()
        await asyncio.sleep(STOP_LATENCY_S)
        return worker.stop(order)

    async def throttle(
        self, address: str, worker_id: str, order: ThrottleOrder
    ) -> Result[int, OrderFailure]:
        """Sends a throttle order, also to an unreachable worker."""
        await asyncio.sleep(REPLY_LATENCY_S)
        return self.workers_by_id[worker_id].throttle(order)

    async def renew(
        self, address: str, worker_id: str, order: RenewOrder
    ) -> Result[Report, OrderFailure]:
        """Extends the lease at once and reports after a run has ended or `wait_ms` is over."""
        worker = self.workers_by_id[worker_id]
        if self._is_unreachable(worker):
            return await _time_out()
        await asyncio.sleep(REPLY_LATENCY_S)
        if worker.is_replaced:
            return Err(OrderFailure(OrderRejection.OTHER_INCARNATION, "other_incarnation"))
        if not worker.completes_reports:
            await asyncio.Event().wait()
        first = worker.renew(order)
        if isinstance(first, Err) or not order.wait_ms:
            return first
        born_ms = worker.born_ms
        await worker.wait_for_end(order.wait_ms / 1000)
        # A crash breaks the connection: the next incarnation doesn't reply to this order.
        if self._is_unreachable(worker) or worker.born_ms != born_ms:
            return await _time_out()
        if not worker.fences_reports:
            return Ok(worker.report())
        return worker.renew(RenewOrder(order.token, order.acked_upto))

    def _is_unreachable(self, worker: LeaseWorker) -> bool:
        is_down = worker.is_unreachable or worker.is_gone
        if is_down or worker.worker_id in self.unreachable_worker_ids:
            return True
        if self._connected_born_ms.get(worker.worker_id) != worker.born_ms:
            self._connected_born_ms[worker.worker_id] = worker.born_ms
            self._opened_by_id[worker.worker_id] += 1
        return False


def _start_late(worker: LeaseWorker, born_ms: int, order: StartOrder) -> None:
    is_accepted = worker.born_ms == born_ms or worker.late_starts_outlive_crashes
    if is_accepted and not worker.is_gone:
        worker.start(order, is_late=True)


async def _time_out() -> Err[OrderFailure]:
    await asyncio.sleep(LOST_REPLY_TIMEOUT_S)
    return Err(OrderFailure(OrderRejection.NO_ANSWER, "timeout"))
