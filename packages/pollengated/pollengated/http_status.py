"""HTTP route for operators: the status of the whole system."""

from litestar import Router, get

from pollengated.status_collector import StatusCollector
from pollengated.status_report import StatusReport

__all__ = ["status_router"]


def status_router(collector: StatusCollector) -> Router:
    """Returns the router of `/status`."""

    @get("/status")
    async def status() -> StatusReport:
        return await collector.collect()

    return Router("/", route_handlers=[status])
