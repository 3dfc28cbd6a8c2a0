"""The gRPC services of a scheduler: jobs for gates, heartbeats for workers."""

from typing import Any

from grpclib.server import Stream
from pollengate.job_entry import JobEntry
from pollengate.refusals import Outcome, Reason, Refusal
from pollengate.worker import HeartbeatReply
from pollengate_net.grpc_requests import receive_request
from pollengate_net.messages import scheduler_pb2 as pb
from pollengate_net.messages.scheduler_grpc import SchedulerBase
from pollengate_net.messages.worker_grpc import HeartbeatsBase
from pollengate_net.scheduler_messages import (
    job_from_message,
    job_to_message,
    refusal_to_message,
)
from pollengate_net.worker_messages import heartbeat_from_message, heartbeat_reply_to_message
from result import Err, Ok, Result

from pollengated.configuration_cache import ConfigurationCache
from pollengated.shard_owner import ShardOwner
from pollengated.shard_set import ShardSet

__all__ = ["HeartbeatService", "SchedulerService"]


class SchedulerService(SchedulerBase):
    """Answers the calls of gates about jobs and status."""

    def __init__(
        self,
        process_id: str,
        zone: str,
        shards: ShardSet,
        configuration_cache: ConfigurationCache,
    ) -> None:
        self._process_id = process_id
        self._zone = zone
        self._shards = shards
        self._configuration_cache = configuration_cache

    async def Submit(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Submits a job to a shard of this process."""
        request = await receive_request(stream)
        owner = self._find(request)
        if isinstance(owner, Err):
            await stream.send_message(pb.JobReply(refusal=refusal_to_message(owner.err_value)))
            return
        spec = job_from_message(request.job)
        result = await owner.ok_value.submit(spec)
        if isinstance(result, Err):
            await stream.send_message(pb.JobReply(refusal=refusal_to_message(result.err_value)))
            return
        location = result.ok_value.location
        job = owner.ok_value.shard_state.jobs_by_id.get(spec.job_id)
        if job is None:
            status = pb.JobStatus(zone=location.zone, shard=location.shard)
        else:
            status = _status(owner.ok_value, job)
        await stream.send_message(pb.JobReply(status=status, created=result.ok_value.is_new))

    async def Show(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Returns the status of a job and its tasks."""
        request = await receive_request(stream)
        await stream.send_message(await self._show(request))

    async def Cancel(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Cancels a job; replies once the cancellation is durable."""
        request = await receive_request(stream)
        owner = self._find(request)
        if isinstance(owner, Err):
            await stream.send_message(pb.JobReply(refusal=refusal_to_message(owner.err_value)))
            return
        result = await owner.ok_value.cancel(request.job_id)
        if isinstance(result, Err):
            await stream.send_message(pb.JobReply(refusal=refusal_to_message(result.err_value)))
            return
        await stream.send_message(pb.JobReply(status=_status(owner.ok_value, result.ok_value)))

    async def List(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Returns the jobs of a shard, without their tasks."""
        request = await receive_request(stream)
        owner = self._find(request)
        if isinstance(owner, Err):
            await stream.send_message(pb.ListReply(refusal=refusal_to_message(owner.err_value)))
            return
        jobs = owner.ok_value.shard_state.jobs_by_id.values()
        await stream.send_message(pb.ListReply(jobs=[_summary(owner.ok_value, j) for j in jobs]))

    async def Status(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Returns the status of this scheduler and of the shards that it serves."""
        await receive_request(stream)
        reply = pb.StatusReply(
            process_id=self._process_id,
            zone=self._zone,
            configuration_version=self._configuration_cache.current.version,
            shards=[_shard_status(o) for o in self._shards.owners if o.is_serving()],
        )
        await stream.send_message(reply)

    def _find(self, request: Any) -> Result[ShardOwner, Refusal]:
        owner = self._shards.find(request.zone, request.shard)
        if owner is None or not owner.is_serving():
            detail = f"process {self._process_id} does not own shard {request.shard}"
            return Err(Refusal(Outcome.NOT_RUN, Reason.NO_OWNER, detail, 1.0))
        return Ok(owner)

    async def _show(self, request: Any) -> pb.JobReply:
        owner = self._find(request)
        if isinstance(owner, Err):
            return pb.JobReply(refusal=refusal_to_message(owner.err_value))
        job = await owner.ok_value.find_job(request.job_id)
        if job is None:
            detail = f"task {request.job_id!r} does not exist"
            refusal = Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, detail)
            return pb.JobReply(refusal=refusal_to_message(refusal))
        return pb.JobReply(status=_status(owner.ok_value, job))


class HeartbeatService(HeartbeatsBase):
    """Answers the heartbeats of workers."""

    def __init__(self, shards: ShardSet) -> None:
        self._shards = shards

    async def Heartbeat(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Applies a heartbeat, or rejects it if no shard served here has the worker."""
        heartbeat = heartbeat_from_message(await receive_request(stream))
        reply = HeartbeatReply(accepted=False)
        for owner in self._shards.owners:
            if owner.is_serving() and heartbeat.worker_id in owner.shard_state.workers_by_id:
                reply = await owner.heartbeat(heartbeat)
        await stream.send_message(heartbeat_reply_to_message(reply))


def _summary(owner: ShardOwner, job: JobEntry) -> pb.JobStatus:
    return pb.JobStatus(
        job=job_to_message(job.spec), zone=owner.zone, shard=owner.number, state=job.state().value
    )


def _status(owner: ShardOwner, job: JobEntry) -> pb.JobStatus:
    status = _summary(owner, job)
    for row in job.rows():
        status.tasks.add(
            task_id=row.task_id,
            state=row.state.value,
            worker_id=row.worker_id,
            attempt=row.attempt,
        )
    return status


def _shard_status(owner: ShardOwner) -> pb.ShardStatus:
    shard_state = owner.shard_state
    status = pb.ShardStatus(
        zone=owner.zone,
        shard=owner.number,
        epoch=owner.ownership.epoch,
        queued=shard_state.queued_count,
        running=shard_state.running_count,
    )
    for worker_id, worker in sorted(shard_state.workers_by_id.items()):
        free = shard_state.free(worker_id)
        status.workers.add(
            worker_id=worker_id,
            state=worker.state.value,
            cores_free=free.cores,
            memory_free_mb=free.memory_mb,
            accelerators_free=free.accelerators,
            tasks=len(worker.task_ids),
        )
    return status
