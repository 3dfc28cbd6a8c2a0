"""Client with which a gate calls schedulers, over gRPC."""

from grpclib.client import Channel
from pollengate.jobs import JobSpec
from result import Result

from pollengate_net.calls import CallFailure, call_unary, open_channel
from pollengate_net.messages import scheduler_pb2 as pb
from pollengate_net.messages.scheduler_grpc import SchedulerStub
from pollengate_net.scheduler_messages import job_to_message

__all__ = ["SchedulerClient"]

CALL_TIMEOUT_S = 2.0


class SchedulerClient:
    """Client with one channel per scheduler address."""

    def __init__(self) -> None:
        self._channels_by_address: dict[str, Channel] = {}

    async def submit(
        self, address: str, spec: JobSpec, zone: str, shard: int
    ) -> Result[pb.JobReply, CallFailure]:
        """Submits a job to the owner of a shard."""
        request = pb.SubmitRequest(job=job_to_message(spec), zone=zone, shard=shard)
        return await call_unary(self._stub(address).Submit, request, CALL_TIMEOUT_S)

    async def show(
        self, address: str, job_id: str, zone: str, shard: int
    ) -> Result[pb.JobReply, CallFailure]:
        """Reads the status of a job."""
        request = pb.JobRequest(job_id=job_id, zone=zone, shard=shard)
        return await call_unary(self._stub(address).Show, request, CALL_TIMEOUT_S)

    async def cancel(
        self, address: str, job_id: str, zone: str, shard: int
    ) -> Result[pb.JobReply, CallFailure]:
        """Cancels a job."""
        request = pb.JobRequest(job_id=job_id, zone=zone, shard=shard)
        return await call_unary(self._stub(address).Cancel, request, CALL_TIMEOUT_S)

    async def list_jobs(
        self, address: str, zone: str, shard: int
    ) -> Result[pb.ListReply, CallFailure]:
        """Lists the jobs of a shard."""
        request = pb.ListRequest(zone=zone, shard=shard)
        return await call_unary(self._stub(address).List, request, CALL_TIMEOUT_S)

    async def status(self, address: str) -> Result[pb.StatusReply, CallFailure]:
        """Reads the status of a scheduler."""
        return await call_unary(self._stub(address).Status, pb.StatusRequest(), CALL_TIMEOUT_S)

    def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels_by_address.values():
            channel.close()
        self._channels_by_address.clear()

    def _stub(self, address: str) -> SchedulerStub:
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = open_channel(address)
            self._channels_by_address[address] = channel
        return SchedulerStub(channel)
