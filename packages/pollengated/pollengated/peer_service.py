"""The gRPC service for calls between gates and schedulers."""

import math
from typing import Any

from grpclib.server import Stream
from pollengate.peer import FreshnessRequest, ShardRequest
from pollengate_net.grpc_requests import receive_request
from pollengate_net.messages import peer_pb2 as pb
from pollengate_net.messages.peer_grpc import PeerBase
from pollengate_net.peer_client import configuration_to_message, members_to_message

from pollengated.peer_request_handler import PeerRequestHandler

__all__ = ["PeerService"]

MS_PER_S = 1000.0


class PeerService(PeerBase):
    """Decodes peer requests and encodes their replies."""

    def __init__(self, peer_handler: PeerRequestHandler) -> None:
        self._peer_handler = peer_handler

    async def GetConfiguration(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Returns the configuration that this process uses."""
        await receive_request(stream)
        await stream.send_message(configuration_to_message(self._peer_handler.configuration()))

    async def AskFreshness(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Returns how current the configuration is, and whether freshness is granted."""
        request = await receive_request(stream)
        reply = self._peer_handler.freshness(FreshnessRequest(request.zone, request.basis))
        message = pb.FreshnessReply(
            process_id=reply.process_id,
            revision=reply.revision,
            members_revision=reply.members_revision,
            promised=reply.is_granted,
        )
        if reply.age_s is not None:
            message.age_ms = math.ceil(reply.age_s * MS_PER_S)
        await stream.send_message(message)

    async def GetMembers(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Returns the member list."""
        await receive_request(stream)
        await stream.send_message(members_to_message(self._peer_handler.members()))

    async def Admit(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Admits a new gate: refuses freshness to requesters that don't know it."""
        request = await receive_request(stream)
        self._peer_handler.admit(request.created_revision)
        message = pb.AdmissionReply(process_id=self._peer_handler.process_id, admitted=True)
        await stream.send_message(message)

    async def AskPromise(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Grants a shard's owner a peer lease, or refuses it."""
        is_granted = self._peer_handler.grant(_shard_request(await receive_request(stream)))
        message = pb.PromiseReply(process_id=self._peer_handler.process_id, promised=is_granted)
        await stream.send_message(message)

    async def Withhold(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Fences the earlier owners of a shard."""
        reply = self._peer_handler.fence(_shard_request(await receive_request(stream)))
        expires_in_ms = math.ceil(reply.expires_in_s * MS_PER_S)
        message = pb.WithholdReply(process_id=reply.process_id, lapse_ms=expires_in_ms)
        await stream.send_message(message)

    async def KeepLease(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Renews a store lease for another process."""
        request = await receive_request(stream)
        reply = await self._peer_handler.renew_lease(request.lease_id)
        remaining_ms = math.floor(reply.remaining_s * MS_PER_S)
        await stream.send_message(
            pb.KeepLeaseReply(answered=reply.store_replied, left_ms=remaining_ms)
        )


def _shard_request(request: Any) -> ShardRequest:
    return ShardRequest(request.process_id, request.zone, request.shard, request.epoch)
