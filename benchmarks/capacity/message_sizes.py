"""Sizes of the messages between scheduler and worker at several numbers of tasks."""

from collections.abc import Callable, Sequence

from pollengate.jobs import Resources
from pollengate.worker import (
    Heartbeat,
    HeartbeatReply,
    OrderReply,
    ReportState,
    TaskOrder,
    TaskRef,
    TaskReport,
    TaskUsage,
)
from pollengate_net.messages import worker_pb2 as pb
from pollengate_net.worker_messages import (
    heartbeat_reply_to_message,
    heartbeat_to_message,
    order_reply_to_message,
    order_to_message,
)

from benchmarks.capacity.fits import Fit, Point, fit_line

__all__ = ["TASK_COUNTS", "measure_message_sizes"]

TASK_COUNTS = (4, 16, 64)
EPOCH = 1_234_567


def measure_message_sizes() -> dict[str, Fit]:
    """Returns, by message, its bytes against its number of tasks, without the gRPC framing."""
    measures: dict[str, Callable[[int], int]] = {
        "heartbeat": lambda tasks: heartbeat_to_message(_heartbeat(tasks)).ByteSize(),
        "heartbeat answer": lambda tasks: heartbeat_reply_to_message(_reply(tasks)).ByteSize(),
        "start": _start_bytes,
        "start answer": _start_reply_bytes,
        "stop": _stop_bytes,
    }
    return {name: _fit(measure, TASK_COUNTS) for name, measure in measures.items()}


def _fit(measure: Callable[[int], int], sizes: Sequence[int]) -> Fit:
    return fit_line([Point(size, measure(size)) for size in sizes])


def _ref(number: int) -> TaskRef:
    return TaskRef(f"standings-2028-{number:06d}.{number}", 1)


def _heartbeat(tasks: int) -> Heartbeat:
    reports = tuple(TaskReport(_ref(n), ReportState.RUNNING) for n in range(tasks))
    usage = tuple(TaskUsage(_ref(n).task_id, 1.7, 1900, 1.08) for n in range(tasks))
    return Heartbeat("worker-lima-sur-a-0123", EPOCH, reports, usage, 5.0)


def _reply(tasks: int) -> HeartbeatReply:
    return HeartbeatReply(True, 3.0, tuple(_ref(n) for n in range(tasks)))


def _start_bytes(tasks: int) -> int:
    orders = [TaskOrder(_ref(n), Resources(2, 4000), 60_000, "standings") for n in range(tasks)]
    messages = [order_to_message(order) for order in orders]
    return pb.StartRequest(epoch=EPOCH, orders=messages).ByteSize()


def _start_reply_bytes(tasks: int) -> int:
    replies = [order_reply_to_message(OrderReply(_ref(n), True)) for n in range(tasks)]
    return pb.TaskAnswers(answers=replies).ByteSize()


def _stop_bytes(tasks: int) -> int:
    refs = [pb.TaskRef(task_id=_ref(n).task_id, attempt=1) for n in range(tasks)]
    return pb.StopRequest(epoch=EPOCH, tasks=refs, checkpoint=True).ByteSize()
