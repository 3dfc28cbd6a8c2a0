"""HTTP routes of every role: health, readiness and metrics."""

from litestar import Router, get
from litestar.response import Response

from pollengated.metrics import Metrics
from pollengated.readiness import Readiness

__all__ = ["health_router"]

READY_STATUS = 200
NOT_READY_STATUS = 503


def health_router(readiness: Readiness, metrics: Metrics) -> Router:
    """Returns the router of `/healthz`, `/readyz` and `/metrics`."""

    @get("/healthz", media_type="text/plain")
    async def healthy() -> str:
        return "ok\n"

    @get("/readyz", media_type="text/plain")
    async def ready() -> Response[str]:
        not_ready_reasons = readiness.not_ready_reasons()
        if not_ready_reasons:
            return Response(", ".join(not_ready_reasons) + "\n", status_code=NOT_READY_STATUS)
        return Response("ok\n", status_code=READY_STATUS)

    @get("/metrics", media_type="text/plain")
    async def export() -> bytes:
        return metrics.export()

    return Router("/", route_handlers=[healthy, ready, export])
