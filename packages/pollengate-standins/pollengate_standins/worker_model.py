"""The behaviour of a worker: epochs, sessions, capacity, leases and checkpoints."""

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
    """A simulated worker, which runs each task as a timer.

    Attributes:
        worker_id: id of the worker.
        epoch: highest epoch seen.
        session: highest session seen in that epoch.
        owner_address: address to which heartbeats are sent; empty before the first attach call.
        starts: all attempts that were started.
        changed: set if the next heartbeat should be sent without delay.
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
        """Attaches to an owner and session; refuses them if a higher epoch or session was seen."""
        if (epoch, session) < (self.epoch, self.session):
            return Attachment(False, self.epoch, ())
        self.epoch, self.session = epoch, session
        self.owner_address = owner_address
        self.changed.set()
        return Attachment(True, epoch, self.reports())

    def start(self, epoch: int, session: int, orders: Sequence[TaskOrder]) -> list[OrderReply]:
        """Starts tasks, and returns a reply for each order.

        An order is refused if it is of another epoch or session, if the lease or the time allowed
        for starts is over, or if the task does not fit. A repeated order is confirmed.
        """
        return [self._start_one(epoch, session, order) for order in orders]

    def stop(self, epoch: int, refs: Sequence[TaskRef], checkpoint: bool) -> list[OrderReply]:
        """Stops tasks; a checkpoint holds the milliseconds that the task has run.

        Orders of a lower epoch are refused. A task that does not run is confirmed as stopped.
        """
        if epoch < self.epoch:
            return [OrderReply(ref, False, "epoch_too_low") for ref in refs]
        for ref in refs:
            running = self._running_by_id.get(ref.task_id)
            if running is not None and running.order.ref == ref:
                self.end(ref, ReportState.CHECKPOINTED if checkpoint else ReportState.STOPPED)
        return [OrderReply(ref, True) for ref in refs]

    def throttle(self, epoch: int, ref: TaskRef) -> OrderReply:
        """Confirms a throttle order if the task runs, but leaves its speed as it is."""
        if epoch < self.epoch:
            return OrderReply(ref, False, "epoch_too_low")
        running = self._running_by_id.get(ref.task_id)
        return OrderReply(ref, running is not None and running.order.ref == ref)

    def reports(self) -> tuple[TaskReport, ...]:
        """Returns reports of running tasks and of ended ones not acknowledged by the owner."""
        running = [
            TaskReport(task.order.ref, ReportState.RUNNING, task.order.checkpoint)
            for task in self._running_by_id.values()
        ]
        return (*running, *self._ended_by_ref.values())

    def running(self) -> list[TaskRef]:
        """Returns the attempts that are running."""
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
        self, heartbeat: Heartbeat, reply: HeartbeatReply, sent_at: float
    ) -> None:
        """Applies the reply to a heartbeat: lease, acknowledgements and tasks to be stopped.

        Args:
            heartbeat: the heartbeat; the reply is ignored if the session has changed since.
            reply: the owner's reply.
            sent_at: loop time at which the heartbeat was sent; the lease starts then.
        """
        if not reply.accepted or (heartbeat.epoch, heartbeat.session) != (
            self.epoch,
            self.session,
        ):
            return
        self._renew(sent_at, reply.lease_s)
        self._start_until = max(self._start_until, sent_at + reply.start_window_s)
        for ref in reply.acknowledged:
            self._ended_by_ref.pop(ref, None)
        self.stop(self.epoch, reply.unknown, checkpoint=False)

    def _renew(self, sent_at: float, lease_s: float) -> None:
        if sent_at + lease_s <= self._lease_until:
            return
        self._lease_until = sent_at + lease_s
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        loop = asyncio.get_running_loop()
        self._lease_timer = loop.call_at(self._lease_until, self.expire_lease)

    def expire_lease(self) -> None:
        """Expires the lease, which stops all tasks."""
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
        remaining_s = max(order.duration_ms - done_ms, 0) / 1000
        timer = loop.call_later(remaining_s, self.end, order.ref, ReportState.FINISHED)
        self._running_by_id[order.ref.task_id] = _RunningTask(order, loop.time(), timer)
        self.starts.append(order.ref)
        return OrderReply(order.ref, True)

    def _free_resources(self) -> Resources:
        free = self._capacity
        for task in self._running_by_id.values():
            free = free - task.order.resources
        return free

    def end(self, ref: TaskRef, state: ReportState) -> None:
        """Ends a running attempt and keeps its report until the owner acknowledges it."""
        task = self._running_by_id.pop(ref.task_id)
        task.timer.cancel()
        checkpoint = ""
        if state is ReportState.CHECKPOINTED:
            ran_ms = (asyncio.get_running_loop().time() - task.started_at) * 1000
            checkpoint = str(int(ran_ms) + int(task.order.checkpoint or "0"))
        self._ended_by_ref[ref] = TaskReport(ref, state, checkpoint)
        self.changed.set()
