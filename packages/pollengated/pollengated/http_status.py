"""Operators' route: the status of the whole system."""

import asyncio

from litestar import Router, get
from pollengate.configuration import Configuration
from pollengate.ownership import Owner
from pollengate_net.scheduler_client import SchedulerClient
from result import Err

from pollengated.configuration_follower import ConfigurationFollower
from pollengated.metrics import Metrics
from pollengated.owner_directory import OwnerDirectory
from pollengated.status_report import (
    ProcessStatus,
    ShardStatus,
    StatusReport,
    ZoneStatus,
    process_from_reply,
)

__all__ = ["status_router"]


def status_router(
    process_id: str,
    zone: str,
    follower: ConfigurationFollower,
    directory: OwnerDirectory,
    client: SchedulerClient,
    metrics: Metrics,
) -> Router:
    """Returns the route `/status`."""

    async def ask(owner: Owner) -> ProcessStatus:
        reply = await client.status(owner.address)
        if isinstance(reply, Err):
            detail = reply.err_value.detail
            return ProcessStatus(owner.process_id, "scheduler", owner.zone, None, error=detail)
        return process_from_reply(reply.ok_value)

    @get("/status")
    async def status() -> StatusReport:
        owners = {owner.process_id: owner for owner in directory.all()}
        schedulers = await asyncio.gather(*(ask(owner) for owner in owners.values()))
        configuration = follower.current
        gate = ProcessStatus(process_id, "gate", zone, configuration.version)
        return StatusReport(
            process_id,
            configuration.version,
            _zones(configuration, schedulers),
            (gate, *schedulers),
            metrics.refusals_by_reason(),
        )

    return Router("/", route_handlers=[status])


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
