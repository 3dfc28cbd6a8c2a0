"""A backend server stand-in that counts executions and simulates faults on request."""

import asyncio
import dataclasses
from typing import Any

from litestar import Litestar, Request, get, put, route
from litestar.response import Response
from litestar.types import Method

__all__ = ["Behaviour", "create_backend_app"]

METHODS: list[Method] = ["GET", "HEAD", "PUT", "POST", "PATCH", "DELETE"]
REQUEST_ID_HEADER = "pollengate-request-id"
NOT_RUN_HEADER = "pollengate-not-run"
DRAINING_HEADER = "pollengate-draining"


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How the stand-in responds; `PUT /behaviour` changes these fields by name.

    Attributes:
        work_s: seconds that a request takes.
        status: HTTP status of each response.
        is_draining: whether every request is refused with headers that say that the server is
            draining.
        wrong_id: whether responses have the id of another request.
    """

    work_s: float
    status: int = 200
    is_draining: bool = False
    wrong_id: bool = False


class _Executions:
    """Limits concurrent executions to the slots and counts them by request id.

    An exchange id is the request id and the number of the attempt, which is left out here.
    """

    def __init__(self, slots: int) -> None:
        self.count_by_id: dict[str, int] = {}
        self.running = 0
        self.peak = 0
        self.refused = 0
        self._slots = slots

    def begin(self, exchange_id: str) -> bool:
        if self.running >= self._slots:
            self.refused += 1
            return False
        request_id = exchange_id.rpartition(".")[0] or exchange_id
        self.count_by_id[request_id] = self.count_by_id.get(request_id, 0) + 1
        self.running += 1
        self.peak = max(self.peak, self.running)
        return True


def create_backend_app(service: str, slots: int, work_s: float) -> Litestar:
    """Returns the HTTP application of a backend server.

    Args:
        service: the service that it serves; a request for another one gets status 404.
        slots: number of requests that it runs concurrently; further ones are refused unrun.
        work_s: initial duration of a request in seconds; `PUT /behaviour` changes it.
    """
    executions = _Executions(slots)
    behaviour = Behaviour(work_s)

    @route("/services/{path:path}", http_method=METHODS, status_code=200)
    async def serve(request: Request[Any, Any, Any], path: str) -> Response[Any]:
        if not path.startswith(f"/{service}/"):
            return Response({"error": "another service"}, status_code=404)
        exchange_id = request.headers.get(REQUEST_ID_HEADER, "")
        if behaviour.is_draining or not executions.begin(exchange_id):
            return _refuse(exchange_id, behaviour)
        try:
            body = await request.body()
            await asyncio.sleep(behaviour.work_s)
        finally:
            executions.running -= 1
        document = {"path": path, "method": request.method, "bytes": len(body)}
        response_id = "another" if behaviour.wrong_id else exchange_id
        headers = {REQUEST_ID_HEADER: response_id}
        return Response(document, headers=headers, status_code=behaviour.status)

    @get("/executions")
    async def show_executions() -> dict[str, Any]:
        return {
            "executions_by_id": executions.count_by_id,
            "peak": executions.peak,
            "refused": executions.refused,
        }

    @put("/behaviour")
    async def change_behaviour(data: dict[str, Any]) -> None:
        for name, value in data.items():
            setattr(behaviour, name, value)

    return Litestar([serve, show_executions, change_behaviour], logging_config=None)


def _refuse(exchange_id: str, behaviour: Behaviour) -> Response[Any]:
    headers = {REQUEST_ID_HEADER: exchange_id, NOT_RUN_HEADER: "true"}
    if behaviour.is_draining:
        headers[DRAINING_HEADER] = "true"
    return Response({"error": "no free slot"}, status_code=503, headers=headers)
