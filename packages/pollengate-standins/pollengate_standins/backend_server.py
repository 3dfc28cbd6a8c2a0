"""A backend server stand-in that counts executions by request id."""

import asyncio
from typing import Any

from litestar import Litestar, Request, get, route
from litestar.response import Response
from litestar.types import Method

__all__ = ["create_backend_app"]

METHODS: list[Method] = ["GET", "HEAD", "PUT", "POST", "PATCH", "DELETE"]
REQUEST_ID_HEADER = "pollengate-request-id"


def create_backend_app(service: str, slots: int, work_s: float) -> Litestar:
    """Returns the application.

    Args:
        service: its service; requests for another are answered by 404.
        slots: requests that it runs at a time; one more is answered by 503.
        work_s: seconds that a request takes.
    """
    executions_by_id: dict[str, int] = {}
    running = 0
    peak = 0

    @route("/services/{path:path}", http_method=METHODS, status_code=200)
    async def serve(request: Request[Any, Any, Any], path: str) -> Response[Any]:
        nonlocal running, peak
        if not path.startswith(f"/{service}/"):
            return Response({"error": "another service"}, status_code=404)
        if running >= slots:
            return Response({"error": "no free slot"}, status_code=503)
        running += 1
        peak = max(peak, running)
        try:
            request_id = request.headers.get(REQUEST_ID_HEADER, "")
            executions_by_id[request_id] = executions_by_id.get(request_id, 0) + 1
            body = await request.body()
            await asyncio.sleep(work_s)
            answer = {"path": path, "method": request.method, "bytes": len(body)}
            return Response(answer, headers={REQUEST_ID_HEADER: request_id})
        finally:
            running -= 1

    @get("/executions")
    async def executions() -> dict[str, Any]:
        return {"executions_by_id": executions_by_id, "peak": peak}

    return Litestar([serve, executions], logging_config=None)
