"""Operators' routes: status, health and metrics."""

from typing import Any

from google.protobuf.json_format import MessageToDict
from litestar import Router, get
from litestar.response import Response
from pollengate_net.scheduler_client import SchedulerClient
from result import Ok

from pollengated.configuration_follower import ConfigurationFollower
from pollengated.metrics import Metrics
from pollengated.owner_directory import OwnerDirectory

__all__ = ["status_router"]


def status_router(
    process_id: str,
    follower: ConfigurationFollower,
    directory: OwnerDirectory,
    client: SchedulerClient,
    metrics: Metrics,
) -> Router:
    """Returns the routes for status, health and metrics."""

    @get("/status")
    async def status() -> dict[str, Any]:
        schedulers = []
        for address in sorted({owner.address for owner in directory.all()}):
            reply = await client.status(address)
            if isinstance(reply, Ok):
                schedulers.append(MessageToDict(reply.ok_value, preserving_proto_field_name=True))
        configuration = follower.current
        return {
            "process_id": process_id,
            "configuration_version": configuration.version,
            "zones": {
                name: {"in_service": zone.in_service}
                for name, zone in configuration.zones_by_name.items()
            },
            "schedulers": schedulers,
        }

    @get("/healthz", media_type="text/plain")
    async def healthy() -> str:
        return "ok\n"

    @get("/readyz", media_type="text/plain")
    async def ready() -> Response[str]:
        is_ready = follower.current.version > 0
        return Response("ok\n" if is_ready else "no configuration\n", status_code=200)

    @get("/metrics", media_type="text/plain")
    async def export() -> bytes:
        return metrics.export()

    return Router("/", route_handlers=[status, healthy, ready, export])
