"""In-memory backend servers that use the event loop's clock, for tests and benchmarks."""

import asyncio
import dataclasses
from collections.abc import Callable

from result import Err, Ok, Result

from pollengate.backend_client import (
    BackendClient,
    BackendRequest,
    BackendResponse,
    ExchangeFailure,
)
from pollengate.request_outcomes import FailurePoint, Sent

__all__ = ["MemoryBackend", "MemoryBackendClient"]

Fault = Callable[[BackendRequest], ExchangeFailure | None]


@dataclasses.dataclass(slots=True)
class MemoryBackend:
    """One simulated backend server.

    Attributes:
        slots: number of requests that may run concurrently; any more are refused.
        get_duration_s: returns the seconds that a request takes.
        fail_before: may return a failure; the request then does not run.
        fail_after: may return a failure in place of the response of a request that ran.
        is_silent: whether requests run but never get a response.
        is_draining: whether requests are refused with the note that the server is leaving.
        executions_by_id: number of executions of each request.
        running: number of requests that are running.
        peak: highest number of requests that ran concurrently.
        refused: number of refused requests.
    """

    slots: int = 8
    get_duration_s: Callable[[], float] = lambda: 0.02
    fail_before: Fault = lambda _: None
    fail_after: Fault = lambda _: None
    is_silent: bool = False
    is_draining: bool = False
    executions_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    running: int = 0
    peak: int = 0
    refused: int = 0


class MemoryBackendClient(BackendClient):
    """Client of in-memory backend servers.

    Args:
        backends_by_address: the backend servers that can be reached.
        delay_s: one-way network delay.
    """

    def __init__(self, backends_by_address: dict[str, MemoryBackend], delay_s: float = 0.0) -> None:
        self._backends_by_address = backends_by_address
        self._delay_s = delay_s

    async def exchange(
        self, address: str, request: BackendRequest
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Runs a request at its backend server; it keeps running if the caller is cancelled."""
        backend = self._backends_by_address.get(address)
        if backend is None:
            detail = f"no backend server at {address}"
            return Err(ExchangeFailure(FailurePoint.CONNECT_FAILED, Sent.NOTHING, detail))
        failure = backend.fail_before(request)
        if failure is not None:
            return Err(failure)
        request.progress.sent = Sent.WHOLE
        await asyncio.sleep(self._delay_s)
        if backend.is_draining or backend.running >= backend.slots:
            return Err(_refuse(backend))
        work = asyncio.create_task(_execute(backend, request.exchange_id.rpartition(".")[0]))
        return await self._respond(backend, request, work)

    async def _respond(
        self, backend: MemoryBackend, request: BackendRequest, work: asyncio.Task[None]
    ) -> Result[BackendResponse, ExchangeFailure]:
        if backend.is_silent:
            loop = asyncio.get_running_loop()
            idle_timeout_s = request.idle_timeout_s or max(0.0, request.deadline - loop.time())
            await asyncio.sleep(idle_timeout_s)
            return Err(ExchangeFailure(FailurePoint.SILENT, Sent.WHOLE, "no progress"))
        await asyncio.shield(work)
        await asyncio.sleep(self._delay_s)
        failure = backend.fail_after(request)
        if failure is not None:
            return Err(failure)
        return Ok(BackendResponse(200, (), request.exchange_id.encode()))


async def _execute(backend: MemoryBackend, request_id: str) -> None:
    count = backend.executions_by_id.get(request_id, 0)
    backend.executions_by_id[request_id] = count + 1
    backend.running += 1
    backend.peak = max(backend.peak, backend.running)
    await asyncio.sleep(backend.get_duration_s())
    backend.running -= 1


def _refuse(backend: MemoryBackend) -> ExchangeFailure:
    backend.refused += 1
    detail = "the backend server refused the request before running it"
    point = FailurePoint.REFUSED_BY_BACKEND
    return ExchangeFailure(point, Sent.WHOLE, detail, backend.is_draining)
