"""Client for calls between gates and schedulers, over gRPC."""

import zlib
from typing import Any

from grpclib.client import Channel
from pollengate.membership import Member, MemberList, Role
from pollengate.peer import (
    FenceReply,
    FreshnessReply,
    FreshnessRequest,
    LeaseReply,
    PeerClient,
    PeerFailure,
    ShardRequest,
    StoredConfiguration,
)
from result import Err, Result

from pollengate_net.calls import call_unary, open_channel
from pollengate_net.messages import peer_pb2 as pb
from pollengate_net.messages.peer_grpc import PeerStub

__all__ = [
    "GrpcPeerClient",
    "configuration_from_message",
    "configuration_to_message",
    "members_from_message",
    "members_to_message",
]

CALL_TIMEOUT_S = 0.5
MS_PER_S = 1000.0


class GrpcPeerClient(PeerClient):
    """Client with one channel per address; a channel is replaced after a failed call."""

    def __init__(self) -> None:
        self._channels_by_address: dict[str, Channel] = {}

    async def get_configuration(self, address: str) -> Result[StoredConfiguration, PeerFailure]:
        """Reads the configuration that a process uses."""
        reply = await self._call(address, "GetConfiguration", pb.ConfigurationRequest())
        return reply.map(configuration_from_message)

    async def request_freshness(
        self, address: str, request: FreshnessRequest
    ) -> Result[FreshnessReply, PeerFailure]:
        """Asks how current a process's configuration is, and for a grant to use it."""
        message = pb.FreshnessRequest(zone=request.zone, basis=request.basis)
        reply = await self._call(address, "AskFreshness", message)
        return reply.map(_freshness_from_message)

    async def get_members(self, address: str) -> Result[MemberList, PeerFailure]:
        """Reads a process's member list."""
        reply = await self._call(address, "GetMembers", pb.MembersRequest())
        return reply.map(members_from_message)

    async def admit(
        self, address: str, gate_id: str, created_revision: int
    ) -> Result[str, PeerFailure]:
        """Makes a gate refuse grants to schedulers that can't know a new gate.

        Returns:
            The id of the process that replied.
        """
        message = pb.AdmissionRequest(process_id=gate_id, created_revision=created_revision)
        reply = await self._call(address, "Admit", message)
        return reply.map(lambda reply: str(reply.process_id))

    async def request_peer_lease(
        self, address: str, request: ShardRequest
    ) -> Result[str | None, PeerFailure]:
        """Asks a scheduler for a peer lease on a shard.

        Returns:
            The id of the process that granted the lease, None if it refused.
        """
        message = pb.PromiseRequest(
            process_id=request.process_id,
            zone=request.zone,
            shard=request.shard,
            epoch=request.epoch,
        )
        reply = await self._call(address, "AskPromise", message)
        return reply.map(lambda reply: str(reply.process_id) if reply.promised else None)

    async def fence(self, address: str, request: ShardRequest) -> Result[FenceReply, PeerFailure]:
        """Makes a scheduler refuse peer leases to earlier owners of a shard."""
        message = pb.WithholdRequest(
            process_id=request.process_id,
            zone=request.zone,
            shard=request.shard,
            epoch=request.epoch,
        )
        reply = await self._call(address, "Withhold", message)
        return reply.map(lambda r: FenceReply(r.process_id, r.lapse_ms / MS_PER_S))

    async def renew_lease(self, address: str, lease_id: int) -> Result[LeaseReply, PeerFailure]:
        """Renews a store lease through a process that can reach the store."""
        reply = await self._call(address, "KeepLease", pb.KeepLeaseRequest(lease_id=lease_id))
        return reply.map(lambda r: LeaseReply(r.answered, r.left_ms / MS_PER_S))

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels_by_address.values():
            channel.close()
        self._channels_by_address.clear()

    async def _call(self, address: str, method: str, message: Any) -> Result[Any, PeerFailure]:
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = open_channel(address)
            self._channels_by_address[address] = channel
        reply = await call_unary(getattr(PeerStub(channel), method), message, CALL_TIMEOUT_S)
        if isinstance(reply, Err):
            self._discard_channel(address, channel)
            return Err(PeerFailure(reply.err_value.detail))
        return reply

    def _discard_channel(self, address: str, channel: Channel) -> None:
        if self._channels_by_address.get(address) is channel:
            del self._channels_by_address[address]
            channel.close()


def configuration_to_message(configuration: StoredConfiguration) -> pb.Configuration:
    """Encodes a configuration; its document is compressed."""
    document = zlib.compress(configuration.document)
    return pb.Configuration(revision=configuration.revision, document=document)


def configuration_from_message(message: pb.Configuration) -> StoredConfiguration:
    """Decodes a configuration."""
    return StoredConfiguration(message.revision, zlib.decompress(message.document))


def members_to_message(members: MemberList) -> pb.Members:
    """Encodes a member list."""
    message = pb.Members(revision=members.revision)
    for member in members.members:
        message.members.add(
            process_id=member.process_id,
            role=member.role.value,
            zone=member.zone,
            address=member.address,
            created_revision=member.created_revision,
            known_revision=member.known_revision,
        )
    return message


def members_from_message(message: pb.Members) -> MemberList:
    """Decodes a member list."""
    members = tuple(
        Member(m.process_id, Role(m.role), m.zone, m.address, m.created_revision, m.known_revision)
        for m in message.members
    )
    return MemberList(message.revision, members)


def _freshness_from_message(reply: pb.FreshnessReply) -> FreshnessReply:
    return FreshnessReply(
        process_id=reply.process_id,
        revision=reply.revision,
        age_s=reply.age_ms / MS_PER_S if reply.HasField("age_ms") else None,
        members_revision=reply.members_revision,
        is_granted=reply.promised,
    )
