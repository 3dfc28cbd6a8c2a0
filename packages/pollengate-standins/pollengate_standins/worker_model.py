"""The rules of a worker: epochs, sessions, capacity, leases and checkpoints."""

import asyncio
import dataclasses
from collections.abc import Sequence

from pollengate.jobs import Resources
from pollengate.worker import (
    Attachment,
    Heartbeat,
    HeartbeatReply,
    OrderReply,
    ReportState,
    TaskOrder,
    TaskRef,
    TaskReport,
)

__all__ = ["WorkerModel"]


@dataclasses.dataclass(slots=True)
class _RunningTask:
    order: TaskOrder
    started_at: float
    timer: asyncio.TimerHandle


class WorkerModel:
    """A worker whose tasks are timers.

    Attributes:
        worker_id: the worker.
        epoch: the highest epoch seen.
        session: the highest session seen of that epoch.
        owner_address: where heartbeats go, empty before the first attach call.
        starts: every attempt that was started.
        changed: set when there is something to report without delay.
    """

    def __init__(self, worker_id: str, capacity: Resources) -> None:
        self.worker_id = worker_id
        self.epoch = 0
        self.session = 0
        self.owner_address = ""
        self.starts: list[TaskRef] = []
        self.changed = asyncio.Event()
        self._capacity = capacity
        self._heartbeat_number = 0
        self._lease_until = 0.0
        self._start_until = 0.0
        self._lease_timer: asyncio.TimerHandle | None = None
        self._running_by_id: dict[str, _RunningTask] = {}
        self._ended_by_ref: dict[TaskRef, TaskReport] = {}

    def attach(self, epoch: int, session: int, owner_address: str) -> Attachment:
        """Takes a new owner or session unless a higher one was seen before."""
        if (epoch, session) < (self.epoch, self.session):
            return Attachment(False, self.epoch, ())
        self.epoch, self.session = epoch, session
        self.owner_address = owner_address
        self.changed.set()
        return Attachment(True, epoch, self.reports())

    def start(self, epoch: int, session: int, orders: Sequence[TaskOrder]) -> list[OrderReply]:
        """Starts what fits; refuses other sessions and what runs already."""
        return [self._start_one(epoch, session, order) for order in orders]

    def stop(self, epoch: int, refs: Sequence[TaskRef], checkpoint: bool) -> list[OrderReply]:
        """Stops tasks, with a checkpoint of the time that they have run."""
        if epoch < self.epoch:
            return [OrderReply(ref, False, "epoch_too_low") for ref in refs]
        for ref in refs:
            running = self._running_by_id.get(ref.task_id)
            if running is not None and running.order.ref == ref:
                self.end(ref, ReportState.CHECKPOINTED if checkpoint else ReportState.STOPPED)
        return [OrderReply(ref, True) for ref in refs]

    def throttle(self, epoch: int, ref: TaskRef) -> OrderReply:
        """Answers a throttle order; tasks run at full speed all the same."""
        if epoch < self.epoch:
            return OrderReply(ref, False, "epoch_too_low")
        running = self._running_by_id.get(ref.task_id)
        return OrderReply(ref, running is not None and running.order.ref == ref)

    def reports(self) -> tuple[TaskReport, ...]:
        """Reports running tasks and ended ones that the owner has not acknowledged."""
        running = [
            TaskReport(task.order.ref, ReportState.RUNNING, task.order.checkpoint)
            for task in self._running_by_id.values()
        ]
        return (*running, *self._ended_by_ref.values())

    def running(self) -> list[TaskRef]:
        """Returns the attempts that run now."""
        return [task.order.ref for task in self._running_by_id.values()]

    def next_heartbeat(self) -> Heartbeat:
        """Returns the next heartbeat to the owner."""
        self.changed.clear()
        self._heartbeat_number += 1
        return Heartbeat(
            self.worker_id,
            self.epoch,
            self.reports(),
            session=self.session,
            number=self._heartbeat_number,
        )

    def apply_heartbeat_answer(
        self, heartbeat: Heartbeat, answer: HeartbeatReply, sent_at: float
    ) -> None:
        """Takes in the answer to a heartbeat that was sent at loop time `sent_at`."""
        if not answer.accepted or (heartbeat.epoch, heartbeat.session) != (
            self.epoch,
            self.session,
        ):
            return
        self._renew(sent_at, answer.lease_s)
        self._start_until = max(self._start_until, sent_at + answer.start_window_s)
        for ref in answer.acknowledged:
            self._ended_by_ref.pop(ref, None)
        self.stop(self.epoch, answer.unknown, checkpoint=False)

    def _renew(self, sent_at: float, lease_s: float) -> None:
        if sent_at + lease_s <= self._lease_until:
            return
        self._lease_until = sent_at + lease_s
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        loop = asyncio.get_running_loop()
        self._lease_timer = loop.call_at(self._lease_until, self.expire_lease)

    def expire_lease(self) -> None:
        """Stops every task, as at the end of the lease."""
        self._lease_until = 0.0
        for task in list(self._running_by_id.values()):
            self.end(task.order.ref, ReportState.STOPPED)

    def _start_one(self, epoch: int, session: int, order: TaskOrder) -> OrderReply:
        loop = asyncio.get_running_loop()
        if (epoch, session) != (self.epoch, self.session):
            return OrderReply(order.ref, False, "session_too_low")
        if loop.time() >= self._lease_until:
            return OrderReply(order.ref, False, "no_lease")
        if loop.time() >= self._start_until:
            return OrderReply(order.ref, False, "too_late")
        running = self._running_by_id.get(order.ref.task_id)
        if running is not None:
            return OrderReply(order.ref, running.order.ref == order.ref, "already_running")
        if order.ref in self._ended_by_ref:
            return OrderReply(order.ref, True, "already_ended")
        if not order.resources.fits(self._free_resources()):
            return OrderReply(order.ref, False, "no_capacity")
        done_ms = int(order.checkpoint or "0")
        left_s = max(order.duration_ms - done_ms, 0) / 1000
        timer = loop.call_later(left_s, self.end, order.ref, ReportState.FINISHED)
        self._running_by_id[order.ref.task_id] = _RunningTask(order, loop.time(), timer)
        self.starts.append(order.ref)
        return OrderReply(order.ref, True)

    def _free_resources(self) -> Resources:
        free = self._capacity
        for task in self._running_by_id.values():
            free = free - task.order.resources
        return free

    def end(self, ref: TaskRef, state: ReportState) -> None:
        """Ends a running attempt and keeps its report until that is acknowledged."""
        task = self._running_by_id.pop(ref.task_id)
        task.timer.cancel()
        checkpoint = ""
        if state is ReportState.CHECKPOINTED:
            ran_ms = (asyncio.get_running_loop().time() - task.started_at) * 1000
            checkpoint = str(int(ran_ms) + int(task.order.checkpoint or "0"))
        self._ended_by_ref[ref] = TaskReport(ref, state, checkpoint)
        self.changed.set()
