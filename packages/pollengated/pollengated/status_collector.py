"""Collects the status of all known processes."""

import asyncio
import json

from pollengate.configuration import Configuration
from pollengate.membership import Member, Role
from pollengate.ownership import Owner
from pollengate.peer import PeerClient, StoredConfiguration
from pollengate_net.scheduler_client import SchedulerClient
from result import Err

from pollengated.configuration_cache import ConfigurationCache
from pollengated.member_registry import MemberRegistry
from pollengated.metrics import Metrics
from pollengated.owner_directory import OwnerDirectory
from pollengated.status_report import (
    ProcessStatus,
    ShardStatus,
    StatusReport,
    ZoneStatus,
    process_from_reply,
)

__all__ = ["StatusCollector"]

MAX_CONCURRENT_REQUESTS = 16


class StatusCollector:
    """Requests the status of the members known to this gate and of the owners of shards."""

    def __init__(
        self,
        registry: MemberRegistry,
        configuration_cache: ConfigurationCache,
        directory: OwnerDirectory,
        schedulers: SchedulerClient,
        peers: PeerClient,
        metrics: Metrics,
    ) -> None:
        self._registry = registry
        self._configuration_cache = configuration_cache
        self._directory = directory
        self._schedulers = schedulers
        self._peers = peers
        self._metrics = metrics
        self._request_limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def collect(self) -> StatusReport:
        """Returns the system's status; a process that can't be reached is listed with the error."""
        own = self._registry.member
        configuration = self._configuration_cache.current
        others = [member for member in self._members() if member.process_id != own.process_id]
        statuses = await asyncio.gather(*(self._request_status(member) for member in others))
        gate = ProcessStatus(own.process_id, own.role, own.zone, configuration.version)
        processes = sorted((gate, *statuses), key=lambda p: (p.zone, p.role, p.process_id))
        return StatusReport(
            own.process_id,
            configuration.version,
            _zones(configuration, processes),
            tuple(processes),
            self._metrics.refusals_by_reason(),
        )

    def _members(self) -> list[Member]:
        owners = [_owner_member(owner) for owner in self._directory.all()]
        members = self._registry.members.members
        return list({member.process_id: member for member in (*owners, *members)}.values())

    async def _request_status(self, member: Member) -> ProcessStatus:
        async with self._request_limit:
            if member.role is Role.SCHEDULER:
                return await self._request_scheduler_status(member)
            return await self._request_gate_status(member)

    async def _request_scheduler_status(self, member: Member) -> ProcessStatus:
        reply = await self._schedulers.status(member.address)
        if isinstance(reply, Err):
            return _unreachable_process(member, reply.err_value.detail)
        return process_from_reply(reply.ok_value)

    async def _request_gate_status(self, member: Member) -> ProcessStatus:
        reply = await self._peers.get_configuration(member.address)
        if isinstance(reply, Err):
            return _unreachable_process(member, reply.err_value.detail)
        version = self._version_of(reply.ok_value)
        return ProcessStatus(member.process_id, member.role, member.zone, version)

    def _version_of(self, stored: StoredConfiguration) -> int:
        if stored.revision == self._configuration_cache.revision:
            return self._configuration_cache.current.version
        return int(json.loads(stored.document)["version"]) if stored.document else 0


def _owner_member(owner: Owner) -> Member:
    return Member(owner.process_id, Role.SCHEDULER, owner.zone, owner.address)


def _unreachable_process(member: Member, detail: str) -> ProcessStatus:
    return ProcessStatus(member.process_id, member.role, member.zone, None, error=detail)


def _zones(configuration: Configuration, processes: list[ProcessStatus]) -> tuple[ZoneStatus, ...]:
    shards = [shard for process in processes for shard in process.shards]
    return tuple(
        _zone(name, zone.in_service, [shard for shard in shards if shard.zone == name])
        for name, zone in sorted(configuration.zones_by_name.items())
    )


def _zone(name: str, in_service: bool, shards: list[ShardStatus]) -> ZoneStatus:
    return ZoneStatus(
        name=name,
        in_service=in_service,
        owners=len(shards),
        workers=sum(len(shard.workers) for shard in shards),
        queued=sum(shard.queued for shard in shards),
        running=sum(shard.running for shard in shards),
    )
