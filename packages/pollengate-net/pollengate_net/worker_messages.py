"""Conversion between worker messages and the data classes of the library."""

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
    TaskUsage,
)

from pollengate_net.messages import worker_pb2 as pb

__all__ = [
    "attachment_from_message",
    "attachment_to_message",
    "heartbeat_reply_from_message",
    "heartbeat_reply_to_message",
    "heartbeat_from_message",
    "heartbeat_to_message",
    "order_from_message",
    "order_reply_from_message",
    "order_reply_to_message",
    "order_to_message",
    "ref_from_message",
    "ref_to_message",
]


def ref_to_message(ref: TaskRef) -> pb.TaskRef:
    """Encodes a task reference."""
    return pb.TaskRef(task_id=ref.task_id, attempt=ref.attempt, epoch=ref.epoch)


def ref_from_message(message: pb.TaskRef) -> TaskRef:
    """Decodes a task reference."""
    return TaskRef(message.task_id, message.attempt, message.epoch)


def order_to_message(order: TaskOrder) -> pb.TaskOrder:
    """Encodes a start order."""
    return pb.TaskOrder(
        task_id=order.ref.task_id,
        attempt=order.ref.attempt,
        resources=pb.Resources(
            cores=order.resources.cores,
            memory_mb=order.resources.memory_mb,
            accelerators=order.resources.accelerators,
        ),
        duration_ms=order.duration_ms,
        checkpoint=order.checkpoint,
        task_class=order.task_class,
        epoch=order.ref.epoch,
    )


def order_from_message(message: pb.TaskOrder) -> TaskOrder:
    """Decodes a start order."""
    resources = message.resources
    return TaskOrder(
        ref=TaskRef(message.task_id, message.attempt, message.epoch),
        resources=Resources(resources.cores, resources.memory_mb, resources.accelerators),
        duration_ms=message.duration_ms,
        task_class=message.task_class,
        checkpoint=message.checkpoint,
    )


def order_reply_to_message(reply: OrderReply) -> pb.TaskAnswer:
    """Encodes a worker's reply to one order."""
    return pb.TaskAnswer(
        task_id=reply.ref.task_id,
        attempt=reply.ref.attempt,
        accepted=reply.accepted,
        reason=reply.reason,
        epoch=reply.ref.epoch,
    )


def order_reply_from_message(message: pb.TaskAnswer) -> OrderReply:
    """Decodes a worker's reply to one order."""
    ref = TaskRef(message.task_id, message.attempt, message.epoch)
    return OrderReply(ref, message.accepted, message.reason)


def attachment_to_message(attachment: Attachment) -> pb.AttachReply:
    """Encodes a worker's reply to an attach call."""
    return pb.AttachReply(
        accepted=attachment.accepted,
        epoch=attachment.epoch,
        reports=[_report_to_message(report) for report in attachment.reports],
    )


def attachment_from_message(message: pb.AttachReply) -> Attachment:
    """Decodes a worker's reply to an attach call."""
    reports = tuple(_report_from_message(report) for report in message.reports)
    return Attachment(message.accepted, message.epoch, reports)


def heartbeat_to_message(heartbeat: Heartbeat) -> pb.HeartbeatRequest:
    """Encodes a heartbeat."""
    return pb.HeartbeatRequest(
        worker_id=heartbeat.worker_id,
        epoch=heartbeat.epoch,
        reports=[_report_to_message(report) for report in heartbeat.reports],
        usage=[_usage_to_message(usage) for usage in heartbeat.usage],
        usage_age_ms=round(heartbeat.usage_age_s * 1000),
        session=heartbeat.session,
        number=heartbeat.number,
    )


def heartbeat_from_message(message: pb.HeartbeatRequest) -> Heartbeat:
    """Decodes a heartbeat."""
    return Heartbeat(
        worker_id=message.worker_id,
        epoch=message.epoch,
        reports=tuple(_report_from_message(report) for report in message.reports),
        usage=tuple(_usage_from_message(usage) for usage in message.usage),
        usage_age_s=message.usage_age_ms / 1000,
        session=message.session,
        number=message.number,
    )


def heartbeat_reply_to_message(reply: HeartbeatReply) -> pb.HeartbeatReply:
    """Encodes the reply to a heartbeat."""
    return pb.HeartbeatReply(
        accepted=reply.accepted,
        lease_ms=round(reply.lease_s * 1000),
        start_window_ms=round(reply.start_window_s * 1000),
        acknowledged=[ref_to_message(ref) for ref in reply.acknowledged],
        unknown=[ref_to_message(ref) for ref in reply.unknown],
    )


def heartbeat_reply_from_message(message: pb.HeartbeatReply) -> HeartbeatReply:
    """Decodes the reply to a heartbeat."""
    return HeartbeatReply(
        accepted=message.accepted,
        lease_s=message.lease_ms / 1000,
        start_window_s=message.start_window_ms / 1000,
        acknowledged=tuple(ref_from_message(ref) for ref in message.acknowledged),
        unknown=tuple(ref_from_message(ref) for ref in message.unknown),
    )


def _report_to_message(report: TaskReport) -> pb.TaskReport:
    return pb.TaskReport(
        task_id=report.ref.task_id,
        attempt=report.ref.attempt,
        state=report.state.value,
        checkpoint=report.checkpoint,
        detail=report.detail,
        epoch=report.ref.epoch,
    )


def _report_from_message(message: pb.TaskReport) -> TaskReport:
    ref = TaskRef(message.task_id, message.attempt, message.epoch)
    return TaskReport(ref, ReportState(message.state), message.checkpoint, message.detail)


def _usage_to_message(usage: TaskUsage) -> pb.TaskUsage:
    return pb.TaskUsage(
        task_id=usage.task_id,
        cores=usage.cores,
        memory_mb=usage.memory_mb,
        slowdown=usage.slowdown,
        in_step=usage.in_step,
    )


def _usage_from_message(message: pb.TaskUsage) -> TaskUsage:
    return TaskUsage(
        message.task_id, message.cores, message.memory_mb, message.slowdown, message.in_step
    )
