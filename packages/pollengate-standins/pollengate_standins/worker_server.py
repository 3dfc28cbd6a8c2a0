"""A worker stand-in: it runs tasks as timers, under a lease that its owner renews."""

import asyncio
import dataclasses
from collections.abc import Sequence
from typing import Any

from grpclib.server import Stream
from pollengate.jobs import Resources
from pollengate.worker import (
    Attachment,
    Heartbeat,
    ReportState,
    TaskAnswer,
    TaskOrder,
    TaskRef,
    TaskReport,
)
from pollengate_net.calls import call, open_channel
from pollengate_net.messages import worker_pb2 as pb
from pollengate_net.messages.worker_grpc import HeartbeatsStub, WorkerBase
from pollengate_net.serving import receive
from pollengate_net.worker_messages import (
    answer_to_message,
    attachment_to_message,
    heartbeat_answer_from_message,
    heartbeat_to_message,
    order_from_message,
    ref_from_message,
)
from result import Err

__all__ = ["WorkerModel", "WorkerService"]

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class _RunningTask:
    order: TaskOrder
    started_at: float
    timer: asyncio.TimerHandle


class WorkerModel:
    """The rules of a worker: epochs, capacity, leases and checkpoints."""

    def __init__(self, worker_id: str, capacity: Resources) -> None:
        self.worker_id = worker_id
        self.epoch = 0
        self.owner_address = ""
        self.starts: list[TaskRef] = []
        self._capacity = capacity
        self._lease_until = 0.0
        self._lease_timer: asyncio.TimerHandle | None = None
        self._running_by_id: dict[str, _RunningTask] = {}
        self._ended_by_ref: dict[TaskRef, TaskReport] = {}

    def attach(self, epoch: int, owner_address: str) -> Attachment:
        """Takes a new owner unless its epoch is lower than one seen before."""
        if epoch < self.epoch:
            return Attachment(False, self.epoch, ())
        self.epoch = epoch
        self.owner_address = owner_address
        return Attachment(True, epoch, self.reports())

    def start(self, epoch: int, orders: Sequence[TaskOrder]) -> list[TaskAnswer]:
        """Starts what fits; refuses lower epochs and what runs already."""
        return [self._start_one(epoch, order) for order in orders]

    def stop(self, epoch: int, refs: Sequence[TaskRef], checkpoint: bool) -> list[TaskAnswer]:
        """Stops tasks, with a checkpoint of the time that they have run."""
        answers = []
        for ref in refs:
            if epoch < self.epoch:
                answers.append(TaskAnswer(ref, False, "epoch_too_low"))
                continue
            running = self._running_by_id.get(ref.task_id)
            if running is not None and running.order.ref == ref:
                self._end(ref, ReportState.CHECKPOINTED if checkpoint else ReportState.STOPPED)
            answers.append(TaskAnswer(ref, True))
        return answers

    def reports(self) -> tuple[TaskReport, ...]:
        """Reports running tasks and ended ones that the owner has not acknowledged."""
        running = [
            TaskReport(task.order.ref, ReportState.RUNNING) for task in self._running_by_id.values()
        ]
        return (*running, *self._ended_by_ref.values())

    def renew(self, asked_at: float, lease_s: float) -> None:
        """Extends the lease, counted from when the renewal was asked for."""
        if asked_at + lease_s <= self._lease_until:
            return
        self._lease_until = asked_at + lease_s
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        loop = asyncio.get_running_loop()
        self._lease_timer = loop.call_at(self._lease_until, self._stop_all)

    def acknowledge(self, refs: Sequence[TaskRef]) -> None:
        """Forgets ended tasks."""
        for ref in refs:
            self._ended_by_ref.pop(ref, None)

    def _stop_all(self) -> None:
        for task in list(self._running_by_id.values()):
            self._end(task.order.ref, ReportState.STOPPED)

    def _start_one(self, epoch: int, order: TaskOrder) -> TaskAnswer:
        loop = asyncio.get_running_loop()
        if epoch != self.epoch:
            return TaskAnswer(order.ref, False, "epoch_too_low")
        if loop.time() >= self._lease_until:
            return TaskAnswer(order.ref, False, "no_lease")
        running = self._running_by_id.get(order.ref.task_id)
        if running is not None:
            return TaskAnswer(order.ref, running.order.ref == order.ref, "already_running")
        if not order.resources.fits(self._free()):
            return TaskAnswer(order.ref, False, "no_capacity")
        done_ms = int(order.checkpoint or "0")
        left_s = max(order.duration_ms - done_ms, 0) / 1000
        timer = loop.call_later(left_s, self._end, order.ref, ReportState.FINISHED)
        self._running_by_id[order.ref.task_id] = _RunningTask(order, loop.time(), timer)
        self.starts.append(order.ref)
        return TaskAnswer(order.ref, True)

    def _free(self) -> Resources:
        free = self._capacity
        for task in self._running_by_id.values():
            free = free - task.order.resources
        return free

    def _end(self, ref: TaskRef, state: ReportState) -> None:
        task = self._running_by_id.pop(ref.task_id)
        task.timer.cancel()
        checkpoint = ""
        if state is ReportState.CHECKPOINTED:
            ran_ms = (asyncio.get_running_loop().time() - task.started_at) * 1000
            checkpoint = str(int(ran_ms) + int(task.order.checkpoint or "0"))
        self._ended_by_ref[ref] = TaskReport(ref, state, checkpoint)


class WorkerService(WorkerBase):
    """Serves a worker over grpclib and sends its heartbeats."""

    def __init__(self, model: WorkerModel) -> None:
        self._model = model

    async def Attach(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Handles an attach call."""
        request = await receive(stream)
        attachment = self._model.attach(request.epoch, request.owner_address)
        await stream.send_message(attachment_to_message(attachment))

    async def Start(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Handles start orders."""
        request = await receive(stream)
        orders = [order_from_message(order) for order in request.orders]
        await self._answer(stream, self._model.start(request.epoch, orders))

    async def Stop(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Handles stop orders."""
        request = await receive(stream)
        refs = [ref_from_message(ref) for ref in request.tasks]
        answers = self._model.stop(request.epoch, refs, request.checkpoint)
        await self._answer(stream, answers)

    async def Throttle(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Handles a throttle order; the stand-in's tasks run at full speed all the same."""
        request = await receive(stream)
        accepted = request.epoch >= self._model.epoch
        await self._answer(stream, [TaskAnswer(ref_from_message(request.task), accepted)])

    async def beat(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            if self._model.owner_address:
                await self._beat_once()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _beat_once(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        model = self._model
        beat = Heartbeat(model.worker_id, model.epoch, model.reports())
        channel = open_channel(model.owner_address)
        try:
            stub = HeartbeatsStub(channel)
            reply = await call(stub.Heartbeat, heartbeat_to_message(beat), HEARTBEAT_TIMEOUT_S)
        finally:
            channel.close()
        if isinstance(reply, Err):
            return
        answer = heartbeat_answer_from_message(reply.ok_value)
        if not answer.accepted or beat.epoch != model.epoch:
            return
        model.renew(asked_at, answer.lease_s)
        model.acknowledge(answer.acknowledged)
        model.stop(model.epoch, answer.unknown, checkpoint=False)

    @staticmethod
    async def _answer(stream: Stream[Any, Any], answers: Sequence[TaskAnswer]) -> None:
        messages = [answer_to_message(answer) for answer in answers]
        await stream.send_message(pb.TaskAnswers(answers=messages))
