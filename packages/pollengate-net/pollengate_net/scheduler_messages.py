"""Conversion between scheduler messages and the data classes of the library."""

from pollengate.jobs import JobSpec, Resources
from pollengate.refusals import Outcome, Reason, Refusal

from pollengate_net.messages import scheduler_pb2 as pb

__all__ = ["job_from_message", "job_to_message", "refusal_from_message", "refusal_to_message"]


def job_to_message(spec: JobSpec) -> pb.Job:
    """Encodes a job."""
    return pb.Job(
        job_id=spec.job_id,
        team=spec.team,
        task_class=spec.task_class,
        cores=spec.resources.cores,
        memory_mb=spec.resources.memory_mb,
        accelerators=spec.resources.accelerators,
        count=spec.count,
        duration_ms=spec.duration_ms,
        idempotent=spec.idempotent,
        urgent=spec.urgent,
    )


def job_from_message(message: pb.Job) -> JobSpec:
    """Decodes a job."""
    return JobSpec(
        job_id=message.job_id,
        team=message.team,
        task_class=message.task_class,
        resources=Resources(message.cores, message.memory_mb, message.accelerators),
        count=message.count,
        duration_ms=message.duration_ms,
        idempotent=message.idempotent,
        urgent=message.urgent,
    )


def refusal_to_message(refusal: Refusal) -> pb.Refusal:
    """Encodes a refusal; a negative `retry_after_s` stands for None."""
    retry_after_s = -1.0 if refusal.retry_after_s is None else refusal.retry_after_s
    return pb.Refusal(
        outcome=refusal.outcome.value,
        reason=refusal.reason.value,
        detail=refusal.detail,
        retry_after_s=retry_after_s,
    )


def refusal_from_message(message: pb.Refusal) -> Refusal:
    """Decodes a refusal that was encoded by `refusal_to_message`."""
    retry_after_s = None if message.retry_after_s < 0 else message.retry_after_s
    return Refusal(Outcome(message.outcome), Reason(message.reason), message.detail, retry_after_s)
