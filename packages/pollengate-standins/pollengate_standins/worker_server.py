"""A worker stand-in that serves a `WorkerModel` over gRPC."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from grpclib.client import Channel
from grpclib.server import Stream
from pollengate.worker import Heartbeat, HeartbeatReply, OrderReply
from pollengate_net.calls import call_unary, open_channel
from pollengate_net.grpc_requests import receive_request
from pollengate_net.messages import worker_pb2 as pb
from pollengate_net.messages.worker_grpc import HeartbeatsStub, WorkerBase
from pollengate_net.worker_messages import (
    attachment_to_message,
    heartbeat_reply_from_message,
    heartbeat_to_message,
    order_from_message,
    order_reply_to_message,
    ref_from_message,
)
from result import Err

from pollengate_standins.worker_model import WorkerModel

__all__ = ["HeartbeatSender", "WorkerModel", "WorkerService", "run_heartbeats"]

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_MIN_INTERVAL_S = 0.05
HEARTBEAT_TIMEOUT_S = 1.0

SendHeartbeat = Callable[[str, Heartbeat], Awaitable[HeartbeatReply | None]]


async def run_heartbeats(model: WorkerModel, send: SendHeartbeat) -> None:
    """Sends heartbeats regularly, and earlier if the model has changed, until cancelled.

    Args:
        model: the worker; nothing is sent before it has an owner.
        send: sends a heartbeat to an address; returns None if there was no reply.
    """
    loop = asyncio.get_running_loop()
    while True:
        if model.owner_address:
            sent_at = loop.time()
            heartbeat = model.next_heartbeat()
            reply = await send(model.owner_address, heartbeat)
            if reply is not None:
                model.apply_heartbeat_answer(heartbeat, reply, sent_at)
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await model.changed.wait()
            await asyncio.sleep(HEARTBEAT_MIN_INTERVAL_S)
        except TimeoutError:
            continue


class HeartbeatSender:
    """Sends heartbeats over one channel, which is replaced after a failure or for a new address."""

    def __init__(self) -> None:
        self._address = ""
        self._channel: Channel | None = None

    async def send(self, address: str, heartbeat: Heartbeat) -> HeartbeatReply | None:
        """Sends one heartbeat and returns the reply, or None if there was none."""
        channel = self._open(address)
        message = heartbeat_to_message(heartbeat)
        reply = await call_unary(HeartbeatsStub(channel).Heartbeat, message, HEARTBEAT_TIMEOUT_S)
        if isinstance(reply, Err):
            channel.close()
            self._channel = None
            return None
        return heartbeat_reply_from_message(reply.ok_value)

    def _open(self, address: str) -> Channel:
        if self._channel is None or self._address != address:
            if self._channel is not None:
                self._channel.close()
            self._channel = open_channel(address)
            self._address = address
        return self._channel


class WorkerService(WorkerBase):
    """The gRPC service of a worker, which also sends its heartbeats."""

    def __init__(self, model: WorkerModel) -> None:
        self._model = model

    async def Attach(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Handles an attach call."""
        request = await receive_request(stream)
        attachment = self._model.attach(request.epoch, request.session, request.owner_address)
        await stream.send_message(attachment_to_message(attachment))

    async def Start(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Handles start orders."""
        request = await receive_request(stream)
        orders = [order_from_message(order) for order in request.orders]
        await self._reply(stream, self._model.start(request.epoch, request.session, orders))

    async def Stop(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Handles stop orders."""
        request = await receive_request(stream)
        refs = [ref_from_message(ref) for ref in request.tasks]
        replies = self._model.stop(request.epoch, refs, request.checkpoint)
        await self._reply(stream, replies)

    async def Throttle(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Handles a throttle order."""
        request = await receive_request(stream)
        reply = self._model.throttle(request.epoch, ref_from_message(request.task))
        await self._reply(stream, [reply])

    async def send_heartbeats(self) -> None:
        """Sends heartbeats until cancelled."""
        await run_heartbeats(self._model, HeartbeatSender().send)

    @staticmethod
    async def _reply(stream: Stream[Any, Any], replies: Sequence[OrderReply]) -> None:
        messages = [order_reply_to_message(reply) for reply in replies]
        await stream.send_message(pb.TaskAnswers(answers=messages))
