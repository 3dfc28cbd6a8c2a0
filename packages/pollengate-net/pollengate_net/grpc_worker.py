"""Client of one worker, over gRPC."""

from collections.abc import Sequence

from pollengate.worker import (
    Attachment,
    OrderReply,
    TaskOrder,
    TaskRef,
    WorkerCallFailure,
    WorkerClient,
)
from result import Result

from pollengate_net.calls import CallFailure, call_unary, open_channel
from pollengate_net.messages import worker_pb2 as pb
from pollengate_net.messages.worker_grpc import WorkerStub
from pollengate_net.worker_messages import (
    attachment_from_message,
    order_reply_from_message,
    order_to_message,
    ref_to_message,
)

__all__ = ["GrpcWorkerClient"]

CALL_TIMEOUT_S = 1.0


class GrpcWorkerClient(WorkerClient):
    """Calls the worker at one address."""

    def __init__(self, address: str) -> None:
        self._channel = open_channel(address)
        self._stub = WorkerStub(self._channel)

    async def attach(
        self, epoch: int, session: int, owner_address: str
    ) -> Result[Attachment, WorkerCallFailure]:
        """Attaches the worker: it reports its tasks and sends its heartbeats to this owner."""
        request = pb.AttachRequest(epoch=epoch, session=session, owner_address=owner_address)
        reply = await call_unary(self._stub.Attach, request, CALL_TIMEOUT_S)
        return reply.map(attachment_from_message).map_err(_worker_failure)

    async def start(
        self, epoch: int, session: int, orders: Sequence[TaskOrder]
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Starts tasks; returns one reply per order."""
        messages = [order_to_message(order) for order in orders]
        request = pb.StartRequest(epoch=epoch, session=session, orders=messages)
        reply = await call_unary(self._stub.Start, request, CALL_TIMEOUT_S)
        return reply.map(_order_replies).map_err(_worker_failure)

    async def stop(
        self, epoch: int, tasks: Sequence[TaskRef], checkpoint: bool
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Stops tasks, after saving their checkpoints if `checkpoint` is set."""
        refs = [ref_to_message(ref) for ref in tasks]
        request = pb.StopRequest(epoch=epoch, tasks=refs, checkpoint=checkpoint)
        reply = await call_unary(self._stub.Stop, request, CALL_TIMEOUT_S)
        return reply.map(_order_replies).map_err(_worker_failure)

    async def throttle(
        self, epoch: int, task: TaskRef, share: float
    ) -> Result[tuple[OrderReply, ...], WorkerCallFailure]:
        """Limits a task to a share of its processor cores, above 0 and at most 1."""
        request = pb.ThrottleRequest(epoch=epoch, task=ref_to_message(task), share=share)
        reply = await call_unary(self._stub.Throttle, request, CALL_TIMEOUT_S)
        return reply.map(_order_replies).map_err(_worker_failure)

    async def close(self) -> None:
        """Closes the channel."""
        self._channel.close()


def _order_replies(message: pb.TaskAnswers) -> tuple[OrderReply, ...]:
    return tuple(order_reply_from_message(reply) for reply in message.answers)


def _worker_failure(failure: CallFailure) -> WorkerCallFailure:
    return WorkerCallFailure(failure.was_sent, failure.detail)
